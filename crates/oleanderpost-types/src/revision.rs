//! [`Revision`].

number_type! {
    /// Revision number that the platform assigns to a change; it increases with each change.
    Revision(u64)
}
