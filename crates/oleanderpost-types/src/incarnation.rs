//! [`Incarnation`].

number_type! {
    /// Start number of a process on a VM; a later process on the same VM has a higher one.
    Incarnation(u64)
}
