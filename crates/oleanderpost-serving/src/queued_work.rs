//! [`QueuedWork`].

use oleanderpost_types::VmId;

use crate::Work;

/// A request in the scheduler's queue. Times in milliseconds on the scheduler's clock.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct QueuedWork {
    pub(crate) node: VmId,
    pub(crate) work: Work,
    pub(crate) queued_at: f64,
}

impl QueuedWork {
    /// Returns the request with its times relative to `now`.
    pub(crate) fn work_at(&self, now: f64) -> Work {
        self.work.after(now - self.queued_at)
    }

    /// Whether the request has waited in vain for the limits of the engines, if its first event takes `first_event_ms`.
    pub(crate) fn has_missed_limit_wait(&self, first_event_ms: f64, now: f64) -> bool {
        now - self.queued_at > self.work.max_limit_wait_ms(first_event_ms)
    }

    /// Whether the objective can't be met any more, even by a first event that comes `fastest_ms` from now.
    pub(crate) fn is_late(&self, fastest_ms: f64, now: f64) -> bool {
        now - self.queued_at + fastest_ms > self.work.objective_ms
    }

    /// Sort key in the queue: requests that can still meet their objective first, then by priority, then by the time
    /// left.
    pub(crate) fn rank(&self, fastest_ms: f64, now: f64) -> (bool, u8, f64) {
        let late = self.is_late(fastest_ms, now);
        let limit_ms = self.work.first_event_limit_ms();
        let time_left = if late {
            limit_ms
        } else {
            limit_ms.min(self.work.objective_ms)
        };
        let elapsed = now - self.queued_at;
        (late, self.work.priority, time_left - elapsed - fastest_ms)
    }
}
