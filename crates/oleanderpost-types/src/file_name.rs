//! [`FileName`].

name_type! {
    /// Name of a fleet file in the configuration service.
    FileName
}
