//! [`Evidence`].

use std::time::Duration;

use crate::BootTime;

/// Evidence that the applied configuration was current at some point in time.
///
/// Its age is measured from the time at which the request that the store answered was sent, on a clock that
/// includes suspensions of the VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    requested_at: Option<BootTime>,
}

impl Evidence {
    /// Records a response to a request that was sent at `requested_at`. An older one than the latest has no
    /// effect.
    pub fn confirm(&mut self, requested_at: BootTime) {
        self.requested_at = self.requested_at.max(Some(requested_at));
    }

    /// Age at `now`; `None` if there is no evidence yet.
    #[must_use]
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.requested_at.map(|at| now.since(at))
    }

    /// Whether the evidence is at most `limit` old at `now`.
    #[must_use]
    pub fn is_fresh(&self, now: BootTime, limit: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= limit)
    }
}
