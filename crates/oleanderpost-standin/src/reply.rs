//! [`Reply`] and helpers that parse requests.

use std::{convert::Infallible, time::Duration};

use bytes::Bytes;
use futures_util::StreamExt;
use salvo::{
    Request, Response,
    http::{
        HeaderValue, StatusCode,
        header::{CACHE_CONTROL, CONTENT_TYPE, RETRY_AFTER},
    },
};
use serde::{Serialize, de::DeserializeOwned};

use oleanderpost_types::{Millis, Outcome, Problem, StreamEvent};

use crate::{Error, EventStream, Result};

/// Maximum size of a request body, in bytes.
const MAX_BODY_LEN: usize = 64 << 20;

/// HTTP response of a stand-in.
#[derive(Debug)]
pub(crate) enum Reply {
    /// A value as JSON.
    Json(Vec<u8>),
    /// Binary data.
    Bytes(Bytes),
    /// Server-sent events.
    Events(EventStream),
    /// No content (status 204).
    Empty,
}

impl Reply {
    pub(crate) fn json(value: &impl Serialize) -> Self {
        Self::Json(serde_json::to_vec(value).expect("wire types serialise to JSON"))
    }

    fn render(self, res: &mut Response) {
        match self {
            Self::Json(body) => set_body(res, "application/json", body),
            Self::Bytes(body) => set_body(res, "application/octet-stream", body),
            Self::Events(events) => set_events(res, events),
            Self::Empty => {
                res.status_code(StatusCode::NO_CONTENT);
            }
        }
    }
}

/// Writes a reply or an error to the response.
pub(crate) fn render(reply: Result<Reply>, res: &mut Response) {
    match reply {
        Ok(reply) => reply.render(res),
        Err(Error::Refused(problem)) => render_problem(&problem, res),
        Err(error) => render_problem(&internal_problem(&error), res),
    }
}

fn render_problem(problem: &Problem, res: &mut Response) {
    let status = StatusCode::from_u16(problem.status);
    res.status_code(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    if let Some(after) = problem.retry_after_ms {
        let seconds = Duration::from(after).as_secs_f64().ceil() as u64;
        res.headers_mut().insert(RETRY_AFTER, seconds.into());
    }
    let body = serde_json::to_vec(problem).expect("wire types serialise to JSON");
    set_body(res, "application/problem+json", body);
}

fn internal_problem(error: &Error) -> Problem {
    Problem {
        kind: "internal".to_owned(),
        status: 500,
        detail: error.to_string(),
        outcome: Outcome::Unknown,
        retry_after_ms: None,
    }
}

fn set_body(res: &mut Response, content_type: &'static str, body: impl Into<Bytes>) {
    let content_type = HeaderValue::from_static(content_type);
    res.headers_mut().insert(CONTENT_TYPE, content_type);
    if res.write_body(body).is_err() {
        res.status_code(StatusCode::INTERNAL_SERVER_ERROR);
    }
}

fn set_events(res: &mut Response, events: EventStream) {
    let headers = res.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    let frames = events
        .into_stream()
        .map(|event| Ok::<_, Infallible>(sse_frame(&event)));
    res.stream(frames);
}

fn sse_frame(event: &StreamEvent) -> Bytes {
    let data = serde_json::to_string(event).expect("wire types serialise to JSON");
    format!("event: {}\ndata: {data}\n\n", event.name()).into()
}

/// Parses the request body as JSON.
pub(crate) async fn json_body<T: DeserializeOwned>(req: &mut Request) -> Result<T> {
    let bytes = raw_body(req).await?;
    serde_json::from_slice(&bytes).map_err(|error| bad_request(&format!("body: {error}")))
}

/// Reads the request body.
pub(crate) async fn raw_body(req: &mut Request) -> Result<Bytes> {
    let bytes = req.payload_with_max_size(MAX_BODY_LEN).await;
    bytes
        .cloned()
        .map_err(|error| bad_request(&format!("body: {error}")))
}

/// Parses a path parameter.
pub(crate) fn path_param<T: std::str::FromStr>(req: &Request, name: &str) -> Result<T> {
    let text: Option<&str> = req.params().get(name).map(String::as_str);
    let value = text.and_then(|text| text.parse().ok());
    value.ok_or_else(|| bad_request(&format!("path: {name} does not parse")))
}

/// Parses a query parameter; `None` if it is missing.
pub(crate) fn query_param<T: std::str::FromStr>(req: &Request, name: &str) -> Result<Option<T>> {
    let text = req.queries().get(name);
    text.map(|text| parse(&format!("query {name}"), text))
        .transpose()
}

/// Parses a header; `None` if it is missing.
pub(crate) fn header_value<T: std::str::FromStr>(req: &Request, name: &str) -> Result<Option<T>> {
    let Some(value) = req.headers().get(name) else {
        return Ok(None);
    };
    let source = format!("header {name}");
    let text = value.to_str().map_err(|_| bad_request(&source))?;
    parse(&source, text).map(Some)
}

/// Parses the parameters of a long poll: the last seen revision and the maximum waiting time.
pub(crate) fn long_poll<R: std::str::FromStr + Default>(req: &Request) -> Result<(R, Duration)> {
    let after = query_param(req, "after")?.unwrap_or_default();
    let wait: Millis = query_param(req, "wait_ms")?.unwrap_or_default();
    Ok((after, wait.into()))
}

fn parse<T: std::str::FromStr>(source: &str, text: &str) -> Result<T> {
    let value = text.parse().ok();
    value.ok_or_else(|| bad_request(&format!("{source}: {text:?} does not parse")))
}

/// Creates the error for an invalid request.
pub(crate) fn bad_request(detail: &str) -> Error {
    Error::refused("bad-request", 400, Outcome::NotRun, detail.to_owned())
}
