//! [`Attempt`].

number_type! {
    /// Number of an attempt at one request, counted from zero.
    Attempt(u32)
}
