//! [`PlainClient`].

use std::time::Duration;

use http_body_util::Full;
use hyper::{Request, header::HOST};
use oleanderpost::types::{Attempt, Problem, header};
use oleanderpost_serving::{is_final_status, read_body};

use crate::{
    Call, Connection, Error, PlainRequest, PlainResponse, Result, UpstreamAddress,
    forwarded_headers,
};

const STEP: &str = "plain call";

/// Maximum size of a plain service's response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// HTTP client for plain services. Each exchange uses a new connection.
#[derive(Clone, Debug)]
pub(crate) struct PlainClient {
    connect_timeout: Duration,
}

impl PlainClient {
    pub(crate) fn new(connect_timeout: Duration) -> Self {
        Self { connect_timeout }
    }

    /// Opens a connection without sending anything of a request.
    pub(crate) async fn open(&self, to: &UpstreamAddress) -> Result<Connection> {
        Connection::open(to.id.as_str(), to.address, self.connect_timeout).await
    }

    /// Sends the request and reads the whole response.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] when the upstream states that it did not run the request,
    /// [`Error::Exchange`] when the exchange fails.
    pub(crate) async fn send(
        &self,
        conn: Connection,
        to: &UpstreamAddress,
        call: &Call,
        attempt: Attempt,
        req: &PlainRequest,
    ) -> Result<PlainResponse> {
        let request = build_request(to, call, attempt, req)?;
        let (res, _conn) = conn.send(STEP, request).await?;
        let (parts, body) = res.into_parts();
        if !is_final_status(parts.status) {
            return Err(exchange_error(to, &"not the status of an answer"));
        }
        let body = read_body(body, MAX_RESPONSE_BYTES).await;
        let response = PlainResponse {
            status: parts.status,
            headers: forwarded_headers::to_caller(&parts.headers),
            body: body.map_err(|e| exchange_error(to, &e))?,
        };
        match not_run_problem(&response) {
            Some(problem) => Err(Error::Refused {
                step: STEP,
                peer: to.id.to_string(),
                problem: Box::new(problem),
            }),
            None => Ok(response),
        }
    }
}

fn build_request(
    to: &UpstreamAddress,
    call: &Call,
    attempt: Attempt,
    req: &PlainRequest,
) -> Result<Request<Full<bytes::Bytes>>> {
    let mut request = Request::builder()
        .method(req.method.clone())
        .uri(&req.path)
        .header(HOST, to.address.to_string())
        .header(header::REQUEST_ID, call.id.to_string())
        .header(header::REQUEST_KEY, call.key.to_string())
        .header(header::ATTEMPT, attempt.to_string())
        .body(Full::new(req.body.clone()))
        .map_err(|e| exchange_error(to, &e))?;
    request.headers_mut().extend(req.headers.clone());
    Ok(request)
}

/// The upstream's problem, if the response states that the upstream did not run the request.
fn not_run_problem(response: &PlainResponse) -> Option<Problem> {
    if response.status != hyper::StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let problem: Problem = serde_json::from_slice(&response.body).ok()?;
    (problem.outcome == oleanderpost::types::Outcome::NotRun).then_some(problem)
}

fn exchange_error(to: &UpstreamAddress, e: &dyn std::fmt::Display) -> Error {
    Error::Exchange {
        step: STEP,
        peer: to.id.to_string(),
        detail: e.to_string(),
    }
}
