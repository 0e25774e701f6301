//! How long requests wait for upstreams that accept none at present, and when callers should return.

use std::time::Duration;

use rand::RngExt;

use crate::{EntryContext, admitted_request::AdmittedRequest};

/// Share of the route's latency objective for which a request may wait until an upstream accepts requests again.
const MAX_WAIT_SHARE: f64 = 0.5;
/// Largest time added to the delay after which callers should retry, as a share of that delay, so that they do not
/// all return at once.
const RETURN_SPREAD: f64 = 0.25;

/// Longest time for which a request waits until an upstream accepts requests again.
pub(crate) fn max_wait(entry: &EntryContext, request: &AdmittedRequest) -> Duration {
    let share_of_objective = request.route.objective.mul_f64(MAX_WAIT_SHARE);
    share_of_objective.min(entry.time_left(request))
}

/// Delay after which one of several callers should retry if upstreams accept requests again after `wait`.
pub(crate) fn spread_return(wait: Duration) -> Duration {
    wait.mul_f64(1.0 + rand::rng().random_range(0.0..RETURN_SPREAD))
}
