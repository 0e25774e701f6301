//! [`Millis`].

number_type! {
    /// A duration in milliseconds.
    Millis(u64)
}

impl From<std::time::Duration> for Millis {
    fn from(duration: std::time::Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

impl From<Millis> for std::time::Duration {
    fn from(millis: Millis) -> Self {
        Self::from_millis(millis.0)
    }
}
