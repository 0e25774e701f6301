//! [`RetryCounters`].

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
};

use crate::ServiceName;

/// Requests of one service and the decisions about retrying them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RetryCounts {
    /// Requests of callers.
    pub(crate) requests: u64,
    /// Retries that were allowed.
    pub(crate) allowed: u64,
    /// Retries that the budget refused.
    pub(crate) refused: u64,
}

/// Counts requests and retries by service, for a periodic log line that can be summed over nodes and restarts.
#[derive(Debug, Default)]
pub(crate) struct RetryCounters {
    counts: Mutex<HashMap<ServiceName, RetryCounts>>,
}

impl RetryCounters {
    pub(crate) fn note_request(&self, service: &ServiceName) {
        self.update(service, |counts| counts.requests += 1);
    }

    pub(crate) fn note_retry(&self, service: &ServiceName, allowed: bool) {
        self.update(service, |counts| {
            counts.allowed += u64::from(allowed);
            counts.refused += u64::from(!allowed);
        });
    }

    /// Takes the counts of services whose requests were retried or refused a retry since the last call. Requests of
    /// other services stay counted.
    pub(crate) fn take(&self) -> Vec<(ServiceName, RetryCounts)> {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let retried = counts.extract_if(|_, counts| counts.allowed + counts.refused > 0);
        retried.collect()
    }

    fn update(&self, service: &ServiceName, f: impl FnOnce(&mut RetryCounts)) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        f(counts.entry(service.clone()).or_default());
    }
}
