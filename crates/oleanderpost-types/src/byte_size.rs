//! [`ByteSize`].

number_type! {
    /// A size in bytes.
    ByteSize(u64)
}
