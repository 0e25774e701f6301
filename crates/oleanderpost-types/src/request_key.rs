//! [`RequestKey`].

uuid_type! {
    /// Idempotency key of a request; the caller sends the same key with each retry of the same work.
    RequestKey
}

impl RequestKey {
    /// Wall-clock time at which the key was issued, in milliseconds since the Unix epoch; `None` unless the
    /// key is a UUID version 7.
    #[must_use]
    pub fn issued_ms(self) -> Option<u64> {
        let timestamp = self.0.get_timestamp()?;
        let (seconds, nanos) = timestamp.to_unix();
        (self.0.get_version_num() == 7).then(|| seconds * 1_000 + u64::from(nanos) / 1_000_000)
    }
}
