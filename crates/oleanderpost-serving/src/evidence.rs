//! [`Evidence`].

use std::time::Duration;

use crate::BootTime;

/// Proof that the configuration in force was current at some time.
///
/// Its age counts from the sending of the question that the store answered, on a clock that also runs
/// while the VM is suspended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    asked_at: Option<BootTime>,
}

impl Evidence {
    /// Notes an answer to a question that was sent at `asked_at`.
    pub fn confirm(&mut self, asked_at: BootTime) {
        self.asked_at = self.asked_at.max(Some(asked_at));
    }

    /// Age at `now`; `None` without any evidence.
    #[must_use]
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.asked_at.map(|at| now.since(at))
    }

    /// Whether the evidence is at most `limit` old at `now`.
    #[must_use]
    pub fn is_fresh(&self, now: BootTime, limit: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= limit)
    }
}
