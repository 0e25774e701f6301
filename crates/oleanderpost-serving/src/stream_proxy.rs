//! [`StreamProxy`].

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Response, StatusCode, response::Parts};
use tokio::{
    sync::mpsc,
    time::{Instant, timeout},
};

use crate::{
    AttemptError, AttemptHeaders, Attempts, EntryContext, Event, Rejection, ResponseAborted,
    ResponseBody, ResponseHead, RunStatus, UpstreamId, WorkEnd,
    admitted_request::AdmittedRequest,
    engine_finder::{DEFAULT_RETRY_AFTER, EngineFinder, PlacementError},
    event_reader::{EventError, EventReader, NextEvent},
    in_progress_guard::InProgressGuard,
    placement::Placement,
    upstream_pool::UpstreamConnection,
    upstream_response::{UpstreamResponse, response},
};

/// Events that wait for a caller who reads slowly; beyond it the engine's connection is not read.
const EVENTS_AHEAD: usize = 32;
/// First event: multiple of the expected time after which the engine counts as silent.
const FIRST_EVENT_FACTOR: f64 = 2.0;
/// First event: added to that, in milliseconds.
const FIRST_EVENT_EXTRA_MS: f64 = 700.0;
/// Silence between events after which the engine counts as lost, as a multiple of the expected pause.
const PAUSE_FACTOR: f64 = 2.5;
/// Least silence between events after which the engine counts as lost.
const PAUSE_LEAST: Duration = Duration::from_millis(900);

/// The open stream of one attempt.
struct OpenStream {
    place: Placement,
    source: EventReader,
    connection: UpstreamConnection,
    head: ResponseHead,
}

/// Takes the parts of an answer.
type PartSender = mpsc::Sender<Result<Option<Bytes>, ResponseAborted>>;

/// What an attempt came to before its first event was passed on.
enum Opened {
    /// A stream and its first event.
    Stream(Parts, Box<OpenStream>, NextEvent),
    /// Another answer of the upstream: a failure of its own.
    Other(Parts, Bytes),
}

/// Serves one request whose answer is a stream of events.
pub(crate) struct StreamProxy {
    entry: Arc<EntryContext>,
    call: Arc<AdmittedRequest>,
    _progress: InProgressGuard,
    attempts: Attempts,
    finder: EngineFinder,
    /// Engine of the latest attempt.
    engine: Option<UpstreamId>,
    /// Last event passed on.
    last_event_id: Option<u64>,
    events: u64,
    /// Whether all events so far had numbers, so that the stream can go on elsewhere.
    numbered: bool,
}

impl StreamProxy {
    pub(crate) fn new(
        entry: Arc<EntryContext>,
        call: AdmittedRequest,
        progress: InProgressGuard,
    ) -> Self {
        let last_event_id = call.head.last_event_id;
        let call = Arc::new(call);
        let finder = EngineFinder::new(Arc::clone(&entry), Arc::clone(&call));
        Self {
            entry,
            call,
            _progress: progress,
            attempts: Attempts::default(),
            finder,
            engine: None,
            last_event_id,
            events: 0,
            numbered: true,
        }
    }

    /// Serves the request up to its first event, and the rest in the background.
    pub(crate) async fn run(mut self) -> Response<ResponseBody> {
        let mut failure = None;
        let rejection = loop {
            let opened = match self.open().await {
                Ok(opened) => opened,
                Err(rejection) => break rejection,
            };
            match opened {
                Opened::Stream(parts, stream, first) => return self.answer(&parts, *stream, first),
                Opened::Other(parts, body)
                    if parts.status.is_server_error() && self.may_retry() =>
                {
                    failure = Some((parts, body));
                }
                Opened::Other(parts, body) => {
                    self.log("upstream's answer passed on", parts.status.as_u16());
                    return response(&parts, ResponseBody::new(body));
                }
            }
        };
        if let Some((parts, body)) = failure {
            self.log("upstream's failure passed on", parts.status.as_u16());
            return response(&parts, ResponseBody::new(body));
        }
        self.entry.metrics.rejected(rejection);
        self.log(rejection.name(), rejection.status().as_u16());
        rejection.response()
    }

    /// Attempts until one gives an answer.
    async fn open(&mut self) -> Result<Opened, Rejection> {
        loop {
            let place = match self.finder.place().await {
                Ok(place) => place,
                Err(unplaced) => return Err(self.rejection(&unplaced)),
            };
            let upstream = place.upstream.id.clone();
            self.engine = Some(upstream.clone());
            match self.attempt(place).await {
                Ok(Opened::Other(parts, body)) => {
                    self.attempts.note_failure(RunStatus::MayHaveRun);
                    self.finder.exclude(upstream);
                    return Ok(Opened::Other(parts, body));
                }
                Ok(opened) => return Ok(opened),
                Err(e) => {
                    self.note_error(&e);
                    if !self.may_retry() {
                        return Err(self.rejection(&PlacementError::Refused(DEFAULT_RETRY_AFTER)));
                    }
                }
            }
        }
    }

    fn rejection(&self, unplaced: &PlacementError) -> Rejection {
        match unplaced {
            _ if self.attempts.may_have_run > 0 && self.call.time_left().is_zero() => {
                Rejection::TimedOut
            }
            _ if self.attempts.may_have_run > 0 => Rejection::UpstreamFailed,
            _ if self.entry.must_not_dispatch(&self.call) => Rejection::NotReady,
            PlacementError::Refused(wait) => Rejection::Busy(*wait),
            PlacementError::DeadlineExceeded => Rejection::Busy(DEFAULT_RETRY_AFTER),
        }
    }

    fn may_retry(&self) -> bool {
        self.entry.may_retry(&self.call, self.attempts)
    }

    /// Sends the request and waits for the first event.
    async fn attempt(&self, place: Placement) -> Result<Opened, AttemptError> {
        let upstream = Arc::clone(&place.upstream);
        let started = Instant::now();
        let wait = self.first_event_limit(&place);
        let head = AttemptHeaders {
            upstream: &upstream.id,
            deadline: self.call.time_left(),
            account: self.call.account.as_ref().map(|account| &account.name),
            priority: Some(self.call.priority().min(9)),
            helpers: place.helpers.clone(),
            last_event_id: self.last_event_id,
        };
        let sent = tokio::select! {
            sent = self.entry.client.send(&self.call, &upstream, head, wait) => sent,
            () = place.reservation_lost() => Err(group_lost(&upstream.id)),
        };
        let answer = match sent {
            Ok(answer) => answer,
            Err(e) => {
                place.close(end_of(&e));
                return Err(e);
            }
        };
        let failed =
            |step, cause| AttemptError::new(step, &upstream.id, RunStatus::MayHaveRun, cause);
        if answer.parts.status != StatusCode::OK {
            let collected = answer
                .collect(&self.entry.client.pool, self.call.time_left())
                .await;
            place.close(WorkEnd::Failed);
            let (parts, body) = collected.map_err(|cause| failed("read answer", cause))?;
            return Ok(Opened::Other(parts, body));
        }
        let UpstreamResponse {
            parts,
            head,
            body,
            connection,
        } = answer;
        let mut source = EventReader::new(body);
        let first = tokio::select! {
            first = source.next(wait.saturating_sub(started.elapsed())) => first,
            () = place.reservation_lost() => Err(EventError::GroupLost),
        };
        let first = match first {
            Ok(first) => first,
            Err(cause) => {
                place.close(WorkEnd::Failed);
                return Err(failed("await first event", cause.to_string()));
            }
        };
        place.note_first_event();
        let stream = OpenStream {
            place,
            source,
            connection,
            head,
        };
        Ok(Opened::Stream(parts, Box::new(stream), first))
    }

    /// Time for the first event: all that is left if no other attempt may follow.
    fn first_event_limit(&self, place: &Placement) -> Duration {
        let left = self.call.time_left();
        let route = &self.call.route;
        let last =
            !route.kind.is_repeatable() || self.attempts.may_have_run + 1 >= route.max_attempts;
        match place.first_event_ms {
            Some(expected) if !last => {
                let ms = expected * FIRST_EVENT_FACTOR + FIRST_EVENT_EXTRA_MS;
                left.min(Duration::from_secs_f64(ms / 1e3))
            }
            _ => left,
        }
    }

    fn note_error(&mut self, e: &AttemptError) {
        self.attempts.note_failure(e.ran);
        self.entry.metrics.attempt_failed(e);
        self.finder.exclude(e.upstream.clone());
        if e.ran == RunStatus::InstanceGone {
            self.entry.state.directory().mark_leaving(&e.upstream);
        }
        if !self.entry.may_log() {
            return;
        }
        spdlog::info!("attempt failed", kv: {
            request: = self.call.head.id, upstream: = e.upstream, step = e.step, may_have_run = e.ran.may_have_run(),
            cause = e.cause.as_str(), events = self.events
        });
    }

    /// Answers with the head of the first engine, and passes on events in the background.
    fn answer(self, parts: &Parts, stream: OpenStream, first: NextEvent) -> Response<ResponseBody> {
        self.entry.metrics.first_event(
            &self.call.route.name,
            self.call.head.prompt_tokens,
            self.call.elapsed(),
        );
        let (tx, rx) = mpsc::channel(EVENTS_AHEAD);
        tokio::spawn(self.relay(stream, first, tx));
        response(parts, ResponseBody::Parts(rx))
    }

    async fn relay(mut self, stream: OpenStream, first: NextEvent, tx: PartSender) {
        let mut stream = stream;
        let mut next = Ok(first);
        loop {
            let cause = match next {
                Ok(NextEvent::Event(event)) => match self.pass_on(event, &tx).await {
                    Passed::Yes => {
                        next = tokio::select! {
                            biased;
                            next = self.next_event(&mut stream) => next,
                            () = tx.closed() => return self.cancel(stream),
                        };
                        continue;
                    }
                    Passed::CallerGone => return self.cancel(stream),
                    Passed::OutOfOrder => "an event is missing".to_owned(),
                },
                Ok(NextEvent::End) => return self.finish(stream, &tx).await,
                Err(e) => e.to_string(),
            };
            let resumed = tokio::select! {
                resumed = self.resume(stream, cause) => resumed,
                () = tx.closed() => return,
            };
            let Some((again, first)) = resumed else {
                // A caller that is gone needs no end.
                let _ = tx.send(Err(ResponseAborted)).await;
                return;
            };
            stream = again;
            next = Ok(first);
        }
    }

    /// Passes an event on, unless the caller has it already.
    async fn pass_on(&mut self, event: Event, tx: &PartSender) -> Passed {
        match (event.id, self.last_event_id) {
            (Some(id), Some(last)) if id <= last => return Passed::Yes,
            (Some(id), Some(last)) if id > last + 1 => return Passed::OutOfOrder,
            (None, _) => self.numbered = false,
            _ => {}
        }
        match timeout(self.call.time_left(), tx.send(Ok(Some(event.bytes)))).await {
            Ok(Ok(())) => {
                self.last_event_id = event.id.or(self.last_event_id);
                self.events += 1;
                Passed::Yes
            }
            _ => Passed::CallerGone,
        }
    }

    /// Silence after which the engine counts as lost.
    fn event_limit(&self) -> Duration {
        let pause = self.call.max_event_gap();
        let left = self.call.time_left();
        if self.may_go_on() {
            left.min(pause.mul_f64(PAUSE_FACTOR).max(PAUSE_LEAST))
        } else {
            left
        }
    }

    /// Whether another engine could go on with the stream.
    fn may_go_on(&self) -> bool {
        let route = &self.call.route;
        route.kind.is_repeatable()
            && self.numbered
            && self.attempts.may_have_run + 1 < route.max_attempts
    }

    /// The next event. An engine that falls silent is left only once another one has gone on.
    async fn next_event(&mut self, stream: &mut OpenStream) -> Result<NextEvent, EventError> {
        let next = tokio::select! {
            biased;
            next = stream.source.next(self.event_limit()) => next,
            () = stream.place.reservation_lost() => Err(EventError::GroupLost),
        };
        match next {
            Err(EventError::Silent) if self.may_go_on() => {}
            next => return next,
        }
        let silent = stream.place.upstream.id.clone();
        self.note_error(&AttemptError::new(
            "read event",
            &silent,
            RunStatus::MayHaveRun,
            EventError::Silent,
        ));
        let left = self.call.time_left();
        if !self.may_retry() {
            return stream.source.next(left).await;
        }
        let opened = tokio::select! {
            biased;
            next = stream.source.next(left) => return next,
            opened = self.open() => opened,
        };
        if let Ok(Opened::Stream(_, other, first)) = opened {
            self.entry.metrics.resumed();
            let old = std::mem::replace(stream, *other);
            old.place.close(WorkEnd::Failed);
            return Ok(first);
        }
        spdlog::info!("no other engine goes on, waiting for the silent one", kv: {
            request: = self.call.head.id, upstream: = silent, events = self.events
        });
        stream.source.next(self.call.time_left()).await
    }

    /// Goes on at another engine, behind the last event that was passed on.
    async fn resume(
        &mut self,
        stream: OpenStream,
        cause: String,
    ) -> Option<(OpenStream, NextEvent)> {
        let upstream = stream.place.upstream.id.clone();
        let e = AttemptError::new("read event", &upstream, RunStatus::MayHaveRun, cause);
        let in_time = !self.call.time_left().is_zero();
        stream.place.close(if in_time {
            WorkEnd::Failed
        } else {
            WorkEnd::Cancelled
        });
        self.note_error(&e);
        if !self.numbered || !self.may_retry() {
            self.entry.metrics.broken_off();
            self.log("broken off", 200);
            return None;
        }
        match self.open().await {
            Ok(Opened::Stream(_, stream, first)) => {
                self.entry.metrics.resumed();
                Some((*stream, first))
            }
            Ok(Opened::Other(parts, _)) => {
                self.log("broken off", parts.status.as_u16());
                None
            }
            Err(rejection) => {
                self.log("broken off", rejection.status().as_u16());
                None
            }
        }
    }

    async fn finish(self, stream: OpenStream, tx: &PartSender) {
        let OpenStream {
            place,
            connection,
            head,
            ..
        } = stream;
        place.close(WorkEnd::Finished);
        if !head.closes_connection {
            self.entry.client.keep(connection, head.keep_alive);
        }
        self.entry
            .metrics
            .answered(&self.call.route.name, self.call.elapsed());
        self.log("answered", 200);
        // A caller that is gone needs no end.
        let _ = timeout(self.call.time_left(), tx.send(Ok(None))).await;
    }

    fn cancel(self, stream: OpenStream) {
        stream.place.close(WorkEnd::Cancelled);
        self.log("caller left or stopped reading", 200);
    }

    fn log(&self, outcome: &str, status: u16) {
        if !self.entry.may_log() {
            return;
        }
        spdlog::info!("request ended", kv: {
            request: = self.call.head.id, route: = self.call.route.name, outcome = outcome, status,
            upstream = self.engine.as_ref().map_or("", UpstreamId::as_str), events = self.events,
            attempts = self.attempts.may_have_run, refusals = self.attempts.not_run,
            ms = self.call.elapsed().as_millis() as u64, version = self.call.config_version
        });
    }
}

/// What became of an event.
enum Passed {
    Yes,
    CallerGone,
    OutOfOrder,
}

fn group_lost(upstream: &UpstreamId) -> AttemptError {
    AttemptError::new(
        "await answer",
        upstream,
        RunStatus::MayHaveRun,
        EventError::GroupLost,
    )
}

/// How a failed attempt counts for the engine.
fn end_of(e: &AttemptError) -> WorkEnd {
    match e.ran {
        _ if e.step == "check" => WorkEnd::Cancelled,
        RunStatus::NotRun if e.step == "refused" => WorkEnd::Shed,
        _ => WorkEnd::Failed,
    }
}
