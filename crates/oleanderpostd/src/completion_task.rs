//! [`CompletionTask`].

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use oleanderpost::{
    admission::{Completion, Permit},
    dispatch::ResumingStream,
    types::{CompletionRequest, StreamEvent, Tokens},
};
use prometheus_client::metrics::histogram::Histogram;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until, timeout},
};

use crate::{
    Call, CallDispatcher, CallState, EngineRequest, EngineStreams, EventReader, Failure, Node,
    SentAttempt, UpstreamAddress, prefix,
};

/// Timeout for passing the last event to a caller that reads slowly.
const LAST_EVENT_TIMEOUT: Duration = Duration::from_secs(1);

/// Task that serves one completion, from the claim on its key to the last event.
pub(crate) struct CompletionTask {
    dispatcher: CallDispatcher,
    req: CompletionRequest,
    tx: mpsc::Sender<StreamEvent>,
    current: Option<SentAttempt>,
    delivered: u64,
    between_tokens: Histogram,
    last_token_at: Instant,
}

impl CompletionTask {
    pub(crate) fn new(
        node: Arc<Node>,
        call: Call,
        req: CompletionRequest,
        tx: mpsc::Sender<StreamEvent>,
    ) -> Self {
        let between_tokens = node.metrics.between_tokens_histogram(&call.class_labels());
        Self {
            last_token_at: call.arrived,
            dispatcher: CallDispatcher::new(node, call),
            req,
            tx,
            current: None,
            delivered: 0,
            between_tokens,
        }
    }

    /// Runs the request until it has ended, and sends exactly one last event to the caller.
    pub(crate) async fn run(mut self) {
        let tx = self.tx.clone();
        let deadline = self.dispatcher.call.deadline();
        let result = tokio::select! {
            result = self.serve() => result,
            () = tx.closed() => Err(Failure::CallerGone),
            () = sleep_until(deadline) => Err(self.dispatcher.timeout_failure(self.may_have_run())),
        };
        match result {
            Ok(last) => self.finish(last).await,
            Err(failure) => self.give_up(failure).await,
        }
    }

    async fn serve(&mut self) -> Result<StreamEvent, Failure> {
        self.dispatcher.claim().await?;
        loop {
            let failure = match self.attempt().await {
                Ok(last) => return Ok(last),
                Err(failure) => failure,
            };
            self.record_failure(&failure);
            if self.delivered > 0 {
                return Err(failure);
            }
            self.abandon_attempt();
            if !self.dispatcher.wait_for_retry(&failure).await {
                return Err(failure);
            }
        }
    }

    fn record_failure(&mut self, failure: &Failure) {
        let Some(sent) = &mut self.current else {
            return;
        };
        if let Failure::NotRun(_) | Failure::Leaving(_) = failure {
            sent.written = false;
        }
        self.dispatcher
            .record_failure(failure, &sent.upstream.id, sent.written);
    }

    fn may_have_run(&self) -> bool {
        self.dispatcher.may_have_run() || self.current.as_ref().is_some_and(|sent| sent.written)
    }

    async fn attempt(&mut self) -> Result<StreamEvent, Failure> {
        let prefix = prefix::fingerprints(&self.req.prompt);
        let permit = self.dispatcher.admit(prefix).await?;
        let to = self.dispatcher.node.leader_address(&permit)?;
        let req = self.engine_request(&permit)?;
        self.send(permit, to, &req).await
    }

    async fn send(
        &mut self,
        permit: Permit,
        to: UpstreamAddress,
        req: &EngineRequest,
    ) -> Result<StreamEvent, Failure> {
        self.dispatcher.begin_attempt(&to);
        let sent = self.current.insert(SentAttempt {
            permit,
            upstream: to.clone(),
            attempt: self.dispatcher.attempt(),
            written: false,
        });
        let client = &self.dispatcher.node.engine_client;
        let opened = client.open(&to).await;
        let conn = opened.map_err(|e| Failure::from_error(&e))?;
        self.dispatcher.check_may_send(&sent.permit)?;
        sent.written = true;
        let started = client.send_completion(conn, &to, req);
        let reader = started.map_err(|e| Failure::from_error(&e))?;
        self.relay(to, reader).await
    }

    fn engine_request(&self, permit: &Permit) -> Result<EngineRequest, Failure> {
        let call = &self.dispatcher.call;
        let model = call.service.model.as_ref();
        let message = CompletionRequest {
            model: model.map_or_else(|| self.req.model.clone(), |m| m.name.to_string()),
            prompt: self.req.prompt.clone(),
            max_tokens: self.req.max_tokens,
            stream: true,
        };
        let body = serde_json::to_vec(&message).map_err(|e| Failure::NotRun(e.to_string()))?;
        Ok(EngineRequest {
            id: call.id,
            key: call.key,
            attempt: self.dispatcher.attempt(),
            priority: permit.priority(),
            time_left: call.time_left(),
            group_size: permit.upstreams().len(),
            reservation: permit.reservation(),
            body: Bytes::from(body),
        })
    }

    async fn relay(
        &mut self,
        to: UpstreamAddress,
        reader: EventReader,
    ) -> Result<StreamEvent, Failure> {
        let node = self.dispatcher.node.clone();
        let source = EngineStreams::new(node.engine_client.clone(), to.clone());
        let key = self.dispatcher.call.key;
        let stream = ResumingStream::new(Arc::new(source), to.id, key, Box::new(reader));
        let mut stream = stream.with_idle_timeout(node.settings.silence_timeout);
        loop {
            let event = stream.next().await;
            node.metrics.resumes.inc_by(stream.take_resumes());
            let event = event.map_err(|e| Failure::from_stream_error(&e))?;
            if let StreamEvent::End { .. } = event {
                return Ok(event);
            }
            self.record_tokens(stream.delivered());
            if self.tx.send(event).await.is_err() {
                return Err(Failure::CallerGone);
            }
        }
    }

    fn record_tokens(&mut self, delivered: u64) {
        let now = Instant::now();
        let span = now.saturating_duration_since(self.last_token_at);
        if self.delivered == 0 {
            self.record_first_token(span);
        } else {
            self.between_tokens.observe(span.as_secs_f64());
        }
        self.last_token_at = now;
        self.delivered = delivered;
    }

    fn record_first_token(&self, span: Duration) {
        let Some(sent) = &self.current else {
            return;
        };
        let labels = self.dispatcher.call.class_labels();
        self.dispatcher
            .node
            .metrics
            .observe_first_token(&labels, span);
        sent.permit.record_first_token();
        self.dispatcher.set_state(CallState::Answering {
            upstream: sent.upstream.id.clone(),
            attempt: sent.attempt,
        });
    }

    async fn finish(mut self, last: StreamEvent) {
        if let Some(sent) = self.current.take() {
            let tokens = Tokens::new(self.delivered);
            sent.permit.close(Completion::Finished { tokens });
        }
        self.dispatcher.finish();
        self.send_last_event(last).await;
    }

    async fn give_up(mut self, failure: Failure) {
        let may_have_run = self.may_have_run();
        let problem = self.dispatcher.give_up(failure, may_have_run).await;
        self.abandon_attempt();
        self.send_last_event(StreamEvent::Error(problem)).await;
    }

    async fn send_last_event(&self, event: StreamEvent) {
        // If the caller does not read in time, the event is dropped and the connection is closed.
        let _ = timeout(LAST_EVENT_TIMEOUT, self.tx.send(event)).await;
    }

    /// Abandons the current attempt in a background task, so that neither the caller nor the next attempt
    /// waits for the cancellation.
    fn abandon_attempt(&mut self) {
        if let Some(sent) = self.current.take() {
            let node = self.dispatcher.node.clone();
            let clean_up = sent.abandon(node.clone(), self.dispatcher.call.key);
            node.tasks.spawn(clean_up);
        }
    }
}
