//! [`TokenRate`].

number_type! {
    /// A rate in tokens per second.
    TokenRate(u64)
}
