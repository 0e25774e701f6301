//! [`StreamProxy`].

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Response, StatusCode, response::Parts};
use tokio::time::{Instant, timeout};

use crate::{
    AttemptError, AttemptHeaders, Attempts, EntryContext, Event, Rejection, ResponseBody,
    ResponseHead, RunStatus, UpstreamId, WorkEnd,
    admitted_request::AdmittedRequest,
    engine_finder::{DEFAULT_RETRY_AFTER, EngineFinder, PlacementError},
    event_queue::EventQueue,
    event_reader::{EventError, EventReader, StreamItem},
    in_progress_guard::InProgressGuard,
    peer_relay::PeerRelay,
    placement::Placement,
    upstream_client::{EVACUATED_STEP, MISDIRECTED_STEP, NO_PATH_STEP, REFUSED_STEP},
    upstream_pool::UpstreamConnection,
    upstream_response::{CLOSED_AFTER_HEAD, UpstreamResponse, caller_response},
};

/// Timeout for the first event, as a multiple of the expected time to the first event.
const FIRST_EVENT_TIMEOUT_FACTOR: f64 = 2.0;
/// Time added to that timeout, in milliseconds.
const FIRST_EVENT_TIMEOUT_EXTRA_MS: f64 = 700.0;
/// Timeout for further events, as a multiple of the longest gap that the caller expects.
const EVENT_GAP_FACTOR: f64 = 2.5;
/// Shortest timeout for further events.
const MIN_EVENT_TIMEOUT: Duration = Duration::from_millis(900);

/// Open event stream of one attempt.
struct UpstreamStream {
    placement: Placement,
    reader: EventReader,
    connection: UpstreamConnection,
    head: ResponseHead,
}

/// Result of an attempt before its first event is forwarded.
enum AttemptOutcome {
    /// An open stream and its first event.
    Stream(Parts, Box<UpstreamStream>, StreamItem),
    /// A response of the upstream that is not a stream, such as an error, with its complete body.
    Response(Parts, Bytes),
}

/// Forwards one request whose response is an event stream. If the route allows, a stream that fails or stalls
/// is resumed at another engine.
pub(crate) struct StreamProxy {
    entry: Arc<EntryContext>,
    request: Arc<AdmittedRequest>,
    _in_progress: InProgressGuard,
    attempts: Attempts,
    finder: EngineFinder,
    /// Engine of the latest attempt.
    current_engine: Option<UpstreamId>,
    /// Identifier of the last event that the caller has received.
    last_event_id: Option<u64>,
    forwarded_events: u64,
    /// Time from the arrival of the request to the first event that was forwarded.
    first_event_after: Option<Duration>,
    /// Time from the arrival of the request to the latest forwarded event.
    last_event_after: Duration,
    /// Longest gap between two forwarded events.
    longest_gap: Duration,
    /// Whether all events so far had numeric identifiers, without which the stream can't be resumed.
    all_events_numbered: bool,
}

impl StreamProxy {
    pub(crate) fn new(
        entry: Arc<EntryContext>,
        request: AdmittedRequest,
        in_progress: InProgressGuard,
    ) -> Self {
        let last_event_id = request.head.last_event_id;
        let request = Arc::new(request);
        let finder = EngineFinder::new(Arc::clone(&entry), Arc::clone(&request));
        Self {
            entry,
            request,
            _in_progress: in_progress,
            attempts: Attempts::default(),
            finder,
            current_engine: None,
            last_event_id,
            forwarded_events: 0,
            first_event_after: None,
            last_event_after: Duration::ZERO,
            longest_gap: Duration::ZERO,
            all_events_numbered: true,
        }
    }

    /// Handles the request up to its first event; further events are forwarded by a background task.
    pub(crate) async fn run(mut self) -> Response<ResponseBody> {
        let mut upstream_failure = None;
        let rejection = loop {
            let outcome = match self.open_stream().await {
                Ok(outcome) => outcome,
                Err(rejection) => break rejection,
            };
            match outcome {
                AttemptOutcome::Stream(parts, stream, first_item) => {
                    return self.respond(&parts, *stream, first_item);
                }
                AttemptOutcome::Response(parts, body) => {
                    if parts.status.is_server_error() && self.may_retry().await {
                        upstream_failure = Some((parts, body));
                        continue;
                    }
                    self.log_end("upstream's answer passed on", parts.status.as_u16());
                    return caller_response(&parts, ResponseBody::new(body));
                }
            }
        };
        if let Some((parts, body)) = upstream_failure {
            self.log_end("upstream's failure passed on", parts.status.as_u16());
            return caller_response(&parts, ResponseBody::new(body));
        }
        if self.attempts.may_have_run == 0
            && rejection != Rejection::Evacuated
            && let Some(response) = PeerRelay::new(&self.entry)
                .forward(&self.request, self.attempts)
                .await
        {
            return response;
        }
        self.entry.metrics.count_rejection(rejection);
        self.log_end(rejection.name(), rejection.status().as_u16());
        rejection.response()
    }

    /// Makes attempts until one gives a response.
    async fn open_stream(&mut self) -> Result<AttemptOutcome, Rejection> {
        loop {
            let placement = match self.finder.place().await {
                Ok(placement) => placement,
                Err(e) => return Err(self.rejection(&e)),
            };
            let upstream = Arc::clone(&placement.upstream);
            self.current_engine = Some(upstream.id.clone());
            match self.attempt(placement).await {
                Ok(AttemptOutcome::Response(parts, body)) => {
                    self.entry.note_sound(&self.request);
                    self.attempts.note_failure(RunStatus::MayHaveRun);
                    self.finder.exclude(upstream.id.clone());
                    return Ok(AttemptOutcome::Response(parts, body));
                }
                Ok(outcome) => return Ok(outcome),
                Err(e) => {
                    self.record_failed_attempt(&e);
                    if self.entry.may_replace(&self.request, &e) {
                        continue;
                    }
                    if e.disconnected {
                        self.entry.note_disconnected(&self.request, &upstream).await;
                    }
                    if !self.may_retry().await {
                        return Err(self.rejection(&PlacementError::Refused(DEFAULT_RETRY_AFTER)));
                    }
                }
            }
        }
    }

    fn rejection(&self, error: &PlacementError) -> Rejection {
        match error {
            _ if self.attempts.may_have_run > 0 && self.request.time_left().is_zero() => {
                Rejection::TimedOut
            }
            _ if self.attempts.may_have_run > 0 => Rejection::UpstreamFailed,
            _ if self.entry.must_not_dispatch(&self.request) => Rejection::NotReady,
            _ if let Some(left) = self.entry.quarantine_left(&self.request) => {
                Rejection::Quarantined(left)
            }
            _ if self.entry.state.is_service_evacuated(&self.request.service) => {
                Rejection::Evacuated
            }
            PlacementError::Refused(retry_after) => Rejection::Busy(*retry_after),
            PlacementError::DeadlineExceeded => Rejection::Busy(DEFAULT_RETRY_AFTER),
        }
    }

    async fn may_retry(&self) -> bool {
        self.entry.may_retry(&self.request, self.attempts).await
    }

    /// Sends the request and waits for the first event.
    async fn attempt(&self, placement: Placement) -> Result<AttemptOutcome, AttemptError> {
        let upstream = Arc::clone(&placement.upstream);
        let started = Instant::now();
        let time_limit = self.first_event_timeout(&placement);
        let headers = AttemptHeaders {
            upstream: &upstream.id,
            deadline: self.entry.time_left(&self.request),
            account: self.request.account.as_ref().map(|account| &account.name),
            priority: Some(self.request.priority().min(9)),
            helpers: placement.helpers.clone(),
            last_event_id: self.last_event_id,
        };
        let sent = tokio::select! {
            sent = self.entry.client.send(&self.request, &upstream, headers, time_limit) => sent,
            () = placement.reservation_lost() => Err(engine_lost(&upstream.id)),
        };
        let response = match sent {
            Ok(response) => response,
            Err(e) => {
                placement.close(work_end(&e));
                return Err(e);
            }
        };
        if response.parts.status != StatusCode::OK {
            let time_left = time_limit.saturating_sub(started.elapsed());
            let collected = response.collect(&self.entry.client, time_left).await;
            placement.close(WorkEnd::Failed);
            let (parts, body) = collected.map_err(|e| e.into_attempt_error(&upstream.id))?;
            return Ok(AttemptOutcome::Response(parts, body));
        }
        let is_close_delimited = response.is_close_delimited();
        let UpstreamResponse {
            parts,
            head,
            body,
            connection,
        } = response;
        let memory = self.entry.client.response_memory.allocation(&upstream.id);
        let mut reader = EventReader::new(body, memory);
        let first_item = tokio::select! {
            first_item = reader.next_event(time_limit.saturating_sub(started.elapsed())) => first_item,
            () = placement.reservation_lost() => Err(EventError::EngineLost),
        };
        let first_item = match first_item {
            Ok(StreamItem::End) if is_close_delimited => {
                Err(EventError::Disconnected(CLOSED_AFTER_HEAD.to_owned()))
            }
            first_item => first_item,
        };
        let first_item = match first_item {
            Ok(first_item) => first_item,
            Err(cause) => {
                placement.close(cause.work_end());
                return Err(cause.into_attempt_error("await first event", &upstream.id));
            }
        };
        placement.note_first_event();
        let stream = UpstreamStream {
            placement,
            reader,
            connection,
            head,
        };
        Ok(AttemptOutcome::Stream(parts, Box::new(stream), first_item))
    }

    /// Timeout for the first event: all the time that is left if no other attempt may follow.
    fn first_event_timeout(&self, placement: &Placement) -> Duration {
        let time_left = self.request.time_left();
        let route = &self.request.route;
        let is_last =
            !route.kind.is_repeatable() || self.attempts.may_have_run + 1 >= route.max_attempts;
        match placement.first_event_ms {
            Some(expected) if !is_last => {
                let ms = expected * FIRST_EVENT_TIMEOUT_FACTOR + FIRST_EVENT_TIMEOUT_EXTRA_MS;
                // Another node's estimate may be out of range.
                let estimated = Duration::try_from_secs_f64(ms / 1e3);
                time_left.min(estimated.unwrap_or(time_left))
            }
            _ => time_left,
        }
    }

    fn record_failed_attempt(&mut self, e: &AttemptError) {
        self.entry.metrics.count_failed_attempt(e);
        if e.step == EVACUATED_STEP {
            self.finder.exclude_evacuated();
        } else {
            self.attempts.note_error(e);
            self.finder.exclude(e.upstream.clone());
        }
        if e.ran == RunStatus::InstanceGone {
            self.entry.state.directory().mark_leaving(&e.upstream);
        }
        if !self.entry.may_log() {
            return;
        }
        spdlog::info!("attempt failed", kv: {
            request: = self.request.head.id, upstream: = e.upstream, step = e.step, may_have_run = e.ran.may_have_run(),
            arrived = e.may_have_arrived(), cause = e.cause.as_str(), events = self.forwarded_events,
            prompt_parts = self.request.head.prompt_parts_text().as_str(),
            fingerprint = self.request.fingerprint_text(e).as_str()
        });
    }

    /// Responds with the head of the first engine's response, and starts the task that forwards events.
    fn respond(
        self,
        parts: &Parts,
        stream: UpstreamStream,
        first_item: StreamItem,
    ) -> Response<ResponseBody> {
        self.entry.metrics.observe_first_event(
            &self.request.route.name,
            self.request.head.prompt_tokens,
            self.request.elapsed(),
        );
        let (queue, body_receiver) = EventQueue::new(&self.entry.client.response_memory);
        tokio::spawn(self.relay(stream, first_item, queue));
        caller_response(parts, ResponseBody::Streamed(body_receiver))
    }

    async fn relay(mut self, stream: UpstreamStream, first_item: StreamItem, queue: EventQueue) {
        let mut stream = stream;
        let mut next = Ok(first_item);
        loop {
            let (end, cause) = match next {
                Ok(StreamItem::Event(event)) => {
                    match self.forward_event(event, &stream, &queue).await {
                        ForwardResult::Forwarded => {
                            next = tokio::select! {
                                biased;
                                next = self.next_event(&mut stream) => next,
                                () = queue.closed() => return self.cancel(stream),
                            };
                            continue;
                        }
                        ForwardResult::CallerGone => return self.cancel(stream),
                        ForwardResult::OutOfOrder => {
                            (WorkEnd::Failed, "an event is missing".to_owned())
                        }
                    }
                }
                Ok(StreamItem::End) => return self.finish(stream, queue).await,
                Err(e) => (e.work_end(), e.to_string()),
            };
            let resumed = tokio::select! {
                resumed = self.resume(stream, end, cause) => resumed,
                () = queue.closed() => return,
            };
            let Some((resumed_stream, first_item)) = resumed else {
                return queue.abort().await;
            };
            stream = resumed_stream;
            next = Ok(first_item);
        }
    }

    /// Forwards an event, unless the caller has received it already.
    async fn forward_event(
        &mut self,
        event: Event,
        stream: &UpstreamStream,
        queue: &EventQueue,
    ) -> ForwardResult {
        match (event.id, self.last_event_id) {
            (Some(id), Some(last)) if id <= last => return ForwardResult::Forwarded,
            (Some(id), Some(last)) if id > last + 1 => return ForwardResult::OutOfOrder,
            (None, _) => self.all_events_numbered = false,
            _ => {}
        }
        let upstream = &stream.placement.upstream.id;
        let queued = queue.push(event.bytes, upstream);
        match timeout(self.request.time_left(), queued).await {
            Ok(Ok(())) => {
                self.entry.reach.note_response();
                self.last_event_id = event.id.or(self.last_event_id);
                self.forwarded_events += 1;
                self.note_forwarded();
                self.finder.note_event();
                ForwardResult::Forwarded
            }
            _ => ForwardResult::CallerGone,
        }
    }

    fn note_forwarded(&mut self) {
        let elapsed = self.request.elapsed();
        if self.first_event_after.is_none() {
            self.first_event_after = Some(elapsed);
        } else {
            let gap = elapsed.saturating_sub(self.last_event_after);
            self.longest_gap = self.longest_gap.max(gap);
        }
        self.last_event_after = elapsed;
    }

    /// Time without an event after which the stream counts as stalled.
    fn event_timeout(&self) -> Duration {
        let max_gap = self.request.max_event_gap();
        let time_left = self.request.time_left();
        if self.can_resume() {
            time_left.min(max_gap.mul_f64(EVENT_GAP_FACTOR).max(MIN_EVENT_TIMEOUT))
        } else {
            time_left
        }
    }

    /// Whether another engine could resume the stream.
    fn can_resume(&self) -> bool {
        let route = &self.request.route;
        route.kind.is_repeatable()
            && self.all_events_numbered
            && self.attempts.may_have_run + 1 < route.max_attempts
    }

    /// Reads the next event. A stalled engine is replaced only when another engine has resumed the stream;
    /// until then its events are still accepted.
    async fn next_event(&mut self, stream: &mut UpstreamStream) -> Result<StreamItem, EventError> {
        let next = tokio::select! {
            biased;
            next = stream.reader.next_event(self.event_timeout()) => next,
            () = stream.placement.reservation_lost() => Err(EventError::EngineLost),
        };
        match next {
            Err(EventError::TimedOut) if self.can_resume() => {}
            next => return next,
        }
        let stalled = stream.placement.upstream.id.clone();
        self.record_failed_attempt(&AttemptError::new(
            "read event",
            &stalled,
            RunStatus::MayHaveRun,
            EventError::TimedOut,
        ));
        let time_left = self.request.time_left();
        if !self.may_retry().await {
            return stream.reader.next_event(time_left).await;
        }
        let outcome = tokio::select! {
            biased;
            next = stream.reader.next_event(time_left) => return next,
            outcome = self.open_stream() => outcome,
        };
        if let Ok(AttemptOutcome::Stream(_, resumed_stream, first_item)) = outcome {
            self.entry.metrics.count_resumed_stream();
            let stalled_stream = std::mem::replace(stream, *resumed_stream);
            stalled_stream.placement.close(WorkEnd::Failed);
            return Ok(first_item);
        }
        spdlog::info!("no other engine can resume the stream; waiting for the stalled engine", kv: {
            request: = self.request.head.id, upstream: = stalled, events = self.forwarded_events
        });
        stream.reader.next_event(self.request.time_left()).await
    }

    /// Resumes a failed stream at another engine, after the last event that was forwarded.
    async fn resume(
        &mut self,
        stream: UpstreamStream,
        end: WorkEnd,
        cause: String,
    ) -> Option<(UpstreamStream, StreamItem)> {
        let upstream = Arc::clone(&stream.placement.upstream);
        let in_time = !self.request.time_left().is_zero();
        let e = if end == WorkEnd::Disconnected && in_time {
            AttemptError::new_disconnected("read event", &upstream.id, cause)
        } else {
            AttemptError::new("read event", &upstream.id, RunStatus::MayHaveRun, cause)
        };
        stream
            .placement
            .close(if in_time { end } else { WorkEnd::Cancelled });
        self.record_failed_attempt(&e);
        if e.disconnected {
            self.entry.note_disconnected(&self.request, &upstream).await;
        }
        if !self.all_events_numbered || !self.may_retry().await {
            self.entry.metrics.count_aborted_stream();
            self.log_end("broken off", 200);
            return None;
        }
        match self.open_stream().await {
            Ok(AttemptOutcome::Stream(_, stream, first_item)) => {
                self.entry.metrics.count_resumed_stream();
                Some((*stream, first_item))
            }
            Ok(AttemptOutcome::Response(parts, _)) => {
                self.log_end("broken off", parts.status.as_u16());
                None
            }
            Err(rejection) => {
                self.log_end("broken off", rejection.status().as_u16());
                None
            }
        }
    }

    async fn finish(self, stream: UpstreamStream, queue: EventQueue) {
        self.entry.note_sound(&self.request);
        let UpstreamStream {
            placement,
            connection,
            head,
            ..
        } = stream;
        placement.close(WorkEnd::Finished);
        if head.allows_reuse() {
            self.entry.client.release(connection, head.keep_alive);
        }
        self.entry
            .metrics
            .observe_response(&self.request.route.name, self.request.elapsed());
        self.log_end("answered", 200);
        // Fails only if the caller has disconnected or does not read.
        let _ = timeout(self.request.time_left(), queue.finish()).await;
    }

    fn cancel(self, stream: UpstreamStream) {
        stream.placement.close(WorkEnd::Cancelled);
        self.log_end("caller left or stopped reading", 200);
    }

    fn log_end(&self, outcome: &str, status: u16) {
        if !self.entry.may_log() {
            return;
        }
        let route = &self.request.route;
        let gap_limit = route.max_event_gap.unwrap_or(Duration::ZERO);
        // 0 if no event was forwarded.
        let first_event = self.first_event_after.unwrap_or(Duration::ZERO);
        spdlog::info!("request ended", kv: {
            request: = self.request.head.id, route: = route.name, outcome = outcome, status,
            prompt = self.request.head.prompt_tokens.unwrap_or(0.0), first_event_ms = first_event.as_millis() as u64,
            objective_ms = route.objective.as_millis() as u64, longest_gap_ms = self.longest_gap.as_millis() as u64,
            gap_limit_ms = gap_limit.as_millis() as u64,
            upstream = self.current_engine.as_ref().map_or("", UpstreamId::as_str), events = self.forwarded_events,
            attempts = self.attempts.may_have_run, refusals = self.attempts.not_run,
            ms = self.request.elapsed().as_millis() as u64, version = self.request.config_version
        });
    }
}

/// Result of forwarding an event.
enum ForwardResult {
    Forwarded,
    CallerGone,
    OutOfOrder,
}

fn engine_lost(upstream: &UpstreamId) -> AttemptError {
    AttemptError::new(
        "await answer",
        upstream,
        RunStatus::MayHaveRun,
        EventError::EngineLost,
    )
}

/// How the scheduler is to count a failed attempt.
fn work_end(e: &AttemptError) -> WorkEnd {
    match e.ran {
        _ if matches!(
            e.step,
            "check" | EVACUATED_STEP | NO_PATH_STEP | MISDIRECTED_STEP
        ) =>
        {
            WorkEnd::Cancelled
        }
        RunStatus::NotRun if e.step == REFUSED_STEP => WorkEnd::Shed,
        RunStatus::MayHaveRun if e.step == "send" => WorkEnd::Disconnected,
        _ => WorkEnd::Failed,
    }
}
