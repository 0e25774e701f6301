//! [`AdmittedRequest`].

use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};

use bytes::Bytes;
use http::request::Parts;

use crate::{
    Account, AttemptError, BootTime, RequestFingerprint, RequestHead, Route, ServiceName,
    dispatch_status::DispatchStatus,
};

/// Longest gap between events of a stream that callers expect, if the route does not state one.
const DEFAULT_MAX_EVENT_GAP: Duration = Duration::from_millis(1_000);

/// A caller's request that has passed the checks and may be sent to upstreams.
#[derive(Debug)]
pub(crate) struct AdmittedRequest {
    pub(crate) head: RequestHead,
    pub(crate) parts: Arc<Parts>,
    /// Counts towards the node's memory for request bodies until it is dropped.
    pub(crate) body: Bytes,
    pub(crate) route: Arc<Route>,
    pub(crate) account: Option<Arc<Account>>,
    pub(crate) service: ServiceName,
    /// Version of the configuration under which the request was admitted.
    pub(crate) config_version: u64,
    pub(crate) arrived_at: BootTime,
    /// Whether the request may have run.
    pub(crate) dispatch: Arc<DispatchStatus>,
    /// Set by [`fingerprint`](Self::fingerprint).
    pub(crate) fingerprint: OnceLock<RequestFingerprint>,
}

impl AdmittedRequest {
    /// Time limit, counted from the arrival: the shorter of the caller's deadline and the route's timeout.
    pub(crate) fn time_limit(&self) -> Duration {
        let timeout = self.route.timeout;
        self.head
            .deadline
            .map_or(timeout, |deadline| deadline.min(timeout))
    }

    /// Time since the request arrived.
    pub(crate) fn elapsed(&self) -> Duration {
        BootTime::now().since(self.arrived_at)
    }

    /// Time left until the limit.
    pub(crate) fn time_left(&self) -> Duration {
        self.time_limit().saturating_sub(self.elapsed())
    }

    /// Longest gap between events of a stream that the caller expects.
    pub(crate) fn max_event_gap(&self) -> Duration {
        self.route.max_event_gap.unwrap_or(DEFAULT_MAX_EVENT_GAP)
    }

    /// Time left until the caller of a stream gives up unless an event arrives, or until the limit. The caller has waited
    /// for an event since `since`.
    pub(crate) fn patience_left(&self, since: BootTime) -> Duration {
        let left = self.time_left();
        let waited = BootTime::now().since(since);
        self.route
            .patience
            .map_or(left, |patience| left.min(patience.saturating_sub(waited)))
    }

    /// Whether the request was admitted with the key of a client account.
    pub(crate) fn has_account(&self) -> bool {
        self.account.is_some()
    }

    /// Hash of the method, host, path, account, prompt and body. Computed when it is first needed, since a body may have
    /// megabytes.
    pub(crate) fn fingerprint(&self) -> RequestFingerprint {
        *self.fingerprint.get_or_init(|| {
            let path = self.parts.uri.path_and_query();
            let account = self.account.as_ref();
            let prompt = self.head.prompt_parts_text();
            RequestFingerprint::from_fields([
                self.parts.method.as_str().as_bytes(),
                self.head.host.as_bytes(),
                path.map_or("", |path| path.as_str()).as_bytes(),
                account
                    .map_or("", |account| account.name.as_str())
                    .as_bytes(),
                prompt.as_bytes(),
                &self.body,
            ])
        })
    }

    /// The fingerprint for the log line about a failed attempt; empty unless the upstream broke off the request.
    pub(crate) fn fingerprint_text(&self, e: &AttemptError) -> String {
        if e.disconnected {
            self.fingerprint().to_string()
        } else {
            String::new()
        }
    }

    /// Scheduling priority; 0 is the highest.
    pub(crate) fn priority(&self) -> u8 {
        let account_priority = self.account.as_ref().and_then(|account| account.priority);
        account_priority.unwrap_or(self.route.priority)
    }
}
