//! [`Generation`].

number_type! {
    /// Generation number that operators write into a fleet file; the higher one is newer.
    Generation(u64)
}
