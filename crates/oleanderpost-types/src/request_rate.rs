//! [`RequestRate`].

number_type! {
    /// A rate in requests per second.
    RequestRate(u32)
}
