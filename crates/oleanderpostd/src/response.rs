//! Rendering of problems and stream events for callers.

use oleanderpost::types::{Problem, StreamEvent};
use salvo::{
    Response,
    http::{HeaderValue, StatusCode, header},
    sse::SseEvent,
};

const PROBLEM_CONTENT_TYPE: HeaderValue = HeaderValue::from_static("application/problem+json");
const MILLIS_PER_SECOND: u64 = 1_000;

/// Renders a problem as `application/problem+json`, with `Retry-After` if the problem has a delay.
pub(crate) fn render_problem(res: &mut Response, problem: &Problem) {
    let status = StatusCode::from_u16(problem.status);
    res.status_code(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    res.headers_mut()
        .insert(header::CONTENT_TYPE, PROBLEM_CONTENT_TYPE);
    if let Some(wait) = problem.retry_after_ms {
        // Retry-After is in whole seconds, rounded up so that callers do not retry too early.
        let seconds = wait.get().div_ceil(MILLIS_PER_SECOND).max(1);
        res.headers_mut()
            .insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    match serde_json::to_vec(problem) {
        Ok(body) => {
            res.body(body);
        }
        Err(e) => spdlog::error!("failed to encode a problem", kv: { error: = e }),
    }
}

/// Encodes a stream event as a server-sent event.
pub(crate) fn sse_event(event: &StreamEvent) -> Result<SseEvent, std::convert::Infallible> {
    let name = event.name();
    Ok(SseEvent::default()
        .name(name)
        .json(event)
        .unwrap_or_else(|e| {
            spdlog::error!("failed to encode a stream event", kv: { event = name, error: = e });
            SseEvent::default().name("error")
        }))
}
