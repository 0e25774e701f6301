//! [`FencingNumber`].

number_type! {
    /// Fencing number of orders to an engine. An engine may refuse an order with a lower number than the
    /// highest one it has received.
    FencingNumber(u64)
}
