//! How long requests wait for upstreams that accept none at present, and when callers should return.

use std::time::Duration;

use rand::RngExt;

use crate::{EntryContext, admitted_request::AdmittedRequest};

/// Largest time added to the delay after which callers should retry, as a share of that delay, so that they do not
/// all return at once.
const RETURN_SPREAD: f64 = 0.25;

/// Longest time for which a request waits until an upstream accepts requests again, if its answer then takes `service_time`.
///
/// The wait is known in advance. A request that would miss its objective is told the time instead of taking the place of one
/// that can still meet it.
pub(crate) fn max_wait(
    entry: &EntryContext,
    request: &AdmittedRequest,
    service_time: Duration,
) -> Duration {
    let objective_left = request.route.objective.saturating_sub(request.elapsed());
    let time_left = objective_left.min(entry.time_left(request));
    time_left.saturating_sub(service_time)
}

/// Delay after which one of several callers should retry if upstreams accept requests again after `wait`.
pub(crate) fn spread_return(wait: Duration) -> Duration {
    wait.mul_f64(1.0 + rand::rng().random_range(0.0..RETURN_SPREAD))
}
