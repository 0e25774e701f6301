//! [`Priority`].

number_type! {
    /// Priority of a request at an engine; a higher one is served first.
    Priority(u8)
}
