//! [`Caller`], [`Call`] and [`CallResult`].

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http_body_util::{BodyExt, BodyStream, Full};
use hyper::{
    Request, Response,
    body::Incoming,
    header::{AUTHORIZATION, CONTENT_TYPE},
};
use tokio::time::{Instant, timeout_at};

use oleanderpost::types::{Millis, Outcome, Problem, RequestKey, StreamEvent, header};

use crate::{
    answer_check::AnswerCheck,
    ending::Ending,
    http_client::{HttpClient, error_with_causes},
};

/// Time after a request's time limit at which the caller closes the connection.
const DISCONNECT_DELAY: Duration = Duration::from_secs(5);

/// Result of one request as the caller saw it.
#[derive(Debug)]
pub(crate) struct CallResult {
    pub(crate) ending: Ending,
    /// Reason why the answer was not whole.
    pub(crate) detail: Option<String>,
    /// Time from the intended arrival to the first token.
    pub(crate) first_token: Option<Duration>,
    /// For each token event after the first: mean time between its tokens, and its number of tokens.
    pub(crate) between_tokens: Vec<(Duration, u64)>,
    pub(crate) tokens: u64,
}

/// A request with its body, ready to send.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) key: RequestKey,
    pub(crate) token: Option<String>,
    pub(crate) body: Bytes,
    pub(crate) requested_tokens: u64,
    pub(crate) intended_arrival: Instant,
}

/// Distributes requests over the targets round-robin, like a load balancer.
#[derive(Debug)]
pub(crate) struct Caller {
    client: HttpClient,
    targets: Vec<SocketAddr>,
    next_target: AtomicUsize,
    time_limit: Duration,
    repeatable: Option<bool>,
}

impl Caller {
    pub(crate) fn new(
        targets: Vec<SocketAddr>,
        time_limit: Duration,
        repeatable: Option<bool>,
    ) -> Self {
        Self {
            client: HttpClient::new(),
            targets,
            next_target: AtomicUsize::new(0),
            time_limit,
            repeatable,
        }
    }

    /// Sends a request and reads the complete answer.
    pub(crate) async fn call(&self, call: Call) -> CallResult {
        let mut reader = AnswerReader::new(&call);
        let deadline = call.intended_arrival + self.time_limit + DISCONNECT_DELAY;
        let result = timeout_at(deadline, self.send_and_read(&call, &mut reader)).await;
        let timed_out = || {
            (
                Ending::Broken,
                Some("no end long after the time limit".to_owned()),
            )
        };
        let (mut ending, detail) = result.unwrap_or_else(|_| timed_out());
        if ending == Ending::Whole && call.intended_arrival.elapsed() > self.time_limit {
            ending = Ending::Late;
        }
        CallResult {
            ending,
            detail,
            first_token: reader.first_token,
            between_tokens: reader.between_tokens,
            tokens: reader.check.received_tokens(),
        }
    }

    async fn send_and_read(
        &self,
        call: &Call,
        reader: &mut AnswerReader,
    ) -> (Ending, Option<String>) {
        let res = match self.send(call).await {
            Ok(res) => res,
            Err(result) => return result,
        };
        if !res.status().is_success() {
            return read_problem(res).await;
        }
        let mut events = BodyStream::new(res.into_body())
            .map(|frame| frame.map(|frame| frame.into_data().unwrap_or_default()))
            .eventsource();
        while let Some(event) = events.next().await {
            let event = match event {
                Ok(event) => event,
                Err(error) => return (Ending::Broken, Some(error.to_string())),
            };
            match serde_json::from_str(&event.data) {
                Ok(event) => {
                    if let Some(result) = reader.handle_event(&event) {
                        return result;
                    }
                }
                Err(error) => return (Ending::Broken, Some(format!("event: {error}"))),
            }
        }
        (
            Ending::Broken,
            Some("the answer stopped without an end".to_owned()),
        )
    }

    /// Sends the request to the next target that accepts a connection.
    async fn send(&self, call: &Call) -> Result<Response<Incoming>, (Ending, Option<String>)> {
        let mut last_error = None;
        for _ in &self.targets {
            let index = self.next_target.fetch_add(1, Ordering::Relaxed);
            let target = self.targets[index % self.targets.len()];
            match self.client.send(self.request(target, call)).await {
                Ok(res) => return Ok(res),
                Err(error) if error.is_connect() => {
                    last_error = Some(describe_error(target, &error))
                }
                Err(error) => {
                    return Err((Ending::Broken, Some(describe_error(target, &error))));
                }
            }
        }
        Err((Ending::Unreachable, last_error))
    }

    fn request(&self, target: SocketAddr, call: &Call) -> Request<Full<Bytes>> {
        let time_limit = Millis::from(self.time_limit).to_string();
        let mut req = Request::post(format!("http://{target}/v1/completions"))
            .header(CONTENT_TYPE, "application/json")
            .header(header::IDEMPOTENCY_KEY, call.key.to_string())
            .header(header::REQUEST_KEY, call.key.to_string())
            .header(header::TIME_LIMIT_MS, time_limit);
        if let Some(token) = &call.token {
            req = req.header(AUTHORIZATION, format!("Bearer {token}"));
        }
        if let Some(repeatable) = self.repeatable {
            req = req.header(header::REPEATABLE, repeatable.to_string());
        }
        let req = req.body(Full::new(call.body.clone()));
        req.expect("the parts of the request are valid")
    }
}

fn describe_error(target: SocketAddr, error: &dyn std::error::Error) -> String {
    format!("{target}: {}", error_with_causes(error))
}

async fn read_problem(res: Response<Incoming>) -> (Ending, Option<String>) {
    let status = res.status();
    let Ok(body) = res.into_body().collect().await else {
        return (
            Ending::Broken,
            Some(format!("{status}: the body broke off")),
        );
    };
    match serde_json::from_slice::<Problem>(&body.to_bytes()) {
        Ok(problem) => problem_ending(&problem),
        Err(error) => (Ending::Broken, Some(format!("{status}: {error}"))),
    }
}

fn problem_ending(problem: &Problem) -> (Ending, Option<String>) {
    (Ending::Problem(problem.outcome), Some(problem.kind.clone()))
}

/// Reads the events of one answer and records their times.
struct AnswerReader {
    check: AnswerCheck,
    intended_arrival: Instant,
    first_token: Option<Duration>,
    last_tokens_at: Instant,
    between_tokens: Vec<(Duration, u64)>,
}

impl AnswerReader {
    fn new(call: &Call) -> Self {
        Self {
            check: AnswerCheck::new(call.key, call.requested_tokens),
            intended_arrival: call.intended_arrival,
            first_token: None,
            last_tokens_at: call.intended_arrival,
            between_tokens: Vec::new(),
        }
    }

    /// Processes one event. Returns the ending, with its reason, if the answer is over.
    fn handle_event(&mut self, event: &StreamEvent) -> Option<(Ending, Option<String>)> {
        if let Err(detail) = self.check.check(event) {
            return Some((Ending::Broken, Some(detail)));
        }
        match event {
            StreamEvent::Token { count, .. } => {
                self.record_tokens(*count);
                None
            }
            StreamEvent::End { .. } => Some((Ending::Whole, None)),
            // `not_run` contradicts the tokens that were already received.
            StreamEvent::Error(problem)
                if problem.outcome == Outcome::NotRun && self.first_token.is_some() =>
            {
                Some((
                    Ending::Broken,
                    Some("not_run after the first token".to_owned()),
                ))
            }
            StreamEvent::Error(problem) => Some(problem_ending(problem)),
        }
    }

    fn record_tokens(&mut self, count: u64) {
        let now = Instant::now();
        if self.first_token.is_none() {
            self.first_token = Some(now - self.intended_arrival);
        } else if let Ok(divisor) = u32::try_from(count.max(1)) {
            self.between_tokens
                .push(((now - self.last_tokens_at) / divisor, count));
        }
        self.last_tokens_at = now;
    }
}
