//! [`LightBacklog`].

use std::collections::BTreeMap;

/// Most returns remembered; the times stated beyond it are too short.
const MAX_RETURNS: usize = 4_096;

/// Light requests that were rejected because other light requests need all slots, for the times at which their callers
/// are told to come back. Times in milliseconds on the scheduler's clock.
///
/// Callers that were told to come back are part of the backlog for the next one: otherwise all would be told the same
/// time. How long requests go on to arrive at such a rate is unknown, so an overload is expected to last as long again
/// as it has lasted. Attempts that arrive are treated alike, whether they return or not.
#[derive(Debug, Default)]
pub(crate) struct LightBacklog {
    /// Number of callers by the time at which they are told to be back.
    due: BTreeMap<u64, usize>,
    returns: usize,
    /// First and latest rejection of the present overload.
    rejected_at: Option<(f64, f64)>,
}

impl LightBacklog {
    /// Number of callers that have not been told to be back by `now`.
    pub(crate) fn returns(&mut self, now: f64) -> usize {
        let later = self.due.split_off(&(now.max(0.0) as u64));
        self.returns -= self.due.values().sum::<usize>();
        self.due = later;
        self.returns
    }

    /// Records a rejection, and returns the time for which the overload has lasted. It ends if all requests are served
    /// for `service_ms`, the time in which all slots are taken anew.
    pub(crate) fn note_rejection(&mut self, now: f64, service_ms: f64) -> f64 {
        let since = match self.rejected_at {
            Some((first, latest)) if now - latest <= service_ms => first,
            _ => now,
        };
        self.rejected_at = Some((since, now));
        now - since
    }

    /// Records that a caller was told to come back at `at`.
    pub(crate) fn note_return(&mut self, at: f64) {
        if self.returns < MAX_RETURNS {
            *self.due.entry(at.max(0.0) as u64).or_default() += 1;
            self.returns += 1;
        }
    }
}
