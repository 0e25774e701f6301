//! [`RejectedRequests`].

use std::collections::HashMap;

use crate::{PartId, Work};

/// Share of the time that a caller has left for which it honours `Retry-After`, as the users' protocol states.
pub(crate) const HONOURED_WAIT_SHARE: f64 = 1.0 / 3.0;
/// Time for which a rejected request is remembered beyond the longest wait, in milliseconds: connecting anew and reading
/// the request take the rest.
const RETURN_SLACK_MS: f64 = 1_000.0;
/// Most rejected requests remembered.
const MAX_RETURNS: usize = 4_096;

/// Requests that were rejected a short time ago, to recognize those that return when told.
///
/// Built for bursts, in which callers that return would otherwise wait behind new requests and be rejected again.
/// Requests are told apart by the last part of the prompt, which belongs to the request or its session.
#[derive(Debug, Default)]
pub(crate) struct RejectedRequests {
    /// Last parts of the prompts, and the times until which a return is expected.
    expected_until: HashMap<PartId, f64>,
}

impl RejectedRequests {
    /// Whether a request that arrives returns after a rejection.
    pub(crate) fn take_return(&mut self, now: f64, work: &Work) -> bool {
        let last = work.parts.last();
        last.and_then(|part| self.expected_until.remove(part))
            .is_some_and(|until| now <= until)
    }

    /// Records that a request was rejected.
    pub(crate) fn note_rejection(&mut self, now: f64, work: &Work) {
        let Some(part) = work.parts.last() else {
            return;
        };
        if self.expected_until.len() >= MAX_RETURNS {
            self.expected_until.retain(|_, until| now <= *until);
        }
        if self.expected_until.len() < MAX_RETURNS {
            let until = now + work.deadline_ms.max(0.0) * HONOURED_WAIT_SHARE + RETURN_SLACK_MS;
            self.expected_until.insert(part.clone(), until);
        }
    }
}
