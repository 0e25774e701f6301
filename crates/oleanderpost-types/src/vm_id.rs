//! [`VmId`].

name_type! {
    /// Name of a VM, as the platform's VM list gives it.
    VmId
}
