//! [`AdmittedRequest`].

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::request::Parts;

use crate::{Account, BootTime, RequestHead, Route, ServiceName, body_budget::BodyAllocation};

/// Pause between events that callers expect where the route states none.
const PAUSE_DEFAULT: Duration = Duration::from_millis(1_000);

/// A caller's request that may be served.
#[derive(Debug)]
pub(crate) struct AdmittedRequest {
    pub(crate) head: RequestHead,
    pub(crate) parts: Arc<Parts>,
    pub(crate) body: Bytes,
    /// Its share of the memory for bodies.
    pub(crate) _held: BodyAllocation,
    pub(crate) route: Arc<Route>,
    pub(crate) account: Option<Arc<Account>>,
    pub(crate) service: ServiceName,
    /// Version of the configuration that allowed it.
    pub(crate) config_version: u64,
    pub(crate) arrived: BootTime,
}

impl AdmittedRequest {
    /// Time from the arrival to the point at which the caller or the route gives up.
    pub(crate) fn time_limit(&self) -> Duration {
        let timeout = self.route.timeout;
        self.head
            .deadline
            .map_or(timeout, |deadline| deadline.min(timeout))
    }

    /// Time since the arrival.
    pub(crate) fn elapsed(&self) -> Duration {
        BootTime::now().since(self.arrived)
    }

    /// Time left.
    pub(crate) fn time_left(&self) -> Duration {
        self.time_limit().saturating_sub(self.elapsed())
    }

    /// Longest pause between events of a stream that the caller expects.
    pub(crate) fn max_event_gap(&self) -> Duration {
        self.route.max_event_gap.unwrap_or(PAUSE_DEFAULT)
    }

    /// Whether it needs a key.
    pub(crate) fn has_account(&self) -> bool {
        self.account.is_some()
    }

    /// Rank; 0 goes first.
    pub(crate) fn priority(&self) -> u8 {
        let of_account = self.account.as_ref().and_then(|account| account.priority);
        of_account.unwrap_or(self.route.priority)
    }
}
