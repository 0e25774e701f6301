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
    Call, CallState, Dispatch, EngineRequest, EngineStreams, EventReader, Failure, Node, Sent,
    UpstreamAddress, prefix,
};

/// Time for handing the last event to a caller that reads slowly.
const LAST_EVENT: Duration = Duration::from_secs(1);

/// The task that serves one completion, from the claim on its key to the last event.
pub(crate) struct CompletionTask {
    dispatch: Dispatch,
    req: CompletionRequest,
    tx: mpsc::Sender<StreamEvent>,
    sent: Option<Sent>,
    delivered: u64,
    between_tokens: Histogram,
    last_token: Instant,
}

impl CompletionTask {
    pub(crate) fn new(
        node: Arc<Node>,
        call: Call,
        req: CompletionRequest,
        tx: mpsc::Sender<StreamEvent>,
    ) -> Self {
        let between_tokens = node.metrics.between_tokens(&call.class_labels());
        Self {
            last_token: call.arrived,
            dispatch: Dispatch::new(node, call),
            req,
            tx,
            sent: None,
            delivered: 0,
            between_tokens,
        }
    }

    /// Serves the request to its end. The caller gets exactly one last event.
    pub(crate) async fn run(mut self) {
        let tx = self.tx.clone();
        let deadline = self.dispatch.call.deadline();
        let end = tokio::select! {
            end = self.serve() => end,
            () = tx.closed() => Err(Failure::CallerGone),
            () = sleep_until(deadline) => Err(self.dispatch.timed_out(self.was_sent())),
        };
        match end {
            Ok(last) => self.finish(last).await,
            Err(failure) => self.give_up(failure).await,
        }
    }

    async fn serve(&mut self) -> Result<StreamEvent, Failure> {
        self.dispatch.claim().await?;
        loop {
            let failure = match self.attempt().await {
                Ok(last) => return Ok(last),
                Err(failure) => failure,
            };
            self.note_failure(&failure);
            if self.delivered > 0 {
                return Err(failure);
            }
            self.abandon();
            if !self.dispatch.retry(&failure).await {
                return Err(failure);
            }
        }
    }

    fn note_failure(&mut self, failure: &Failure) {
        let Some(sent) = &mut self.sent else {
            return;
        };
        if let Failure::NotRun(_) | Failure::Leaving(_) = failure {
            sent.written = false;
        }
        self.dispatch
            .note_failure(failure, &sent.to.id, sent.written);
    }

    fn was_sent(&self) -> bool {
        self.dispatch.ever_sent() || self.sent.as_ref().is_some_and(|sent| sent.written)
    }

    async fn attempt(&mut self) -> Result<StreamEvent, Failure> {
        let prefix = prefix::fingerprints(&self.req.prompt);
        let permit = self.dispatch.admit(prefix).await?;
        let to = self.dispatch.node.leader(&permit)?;
        let req = self.engine_request(&permit)?;
        self.send(permit, to, &req).await
    }

    async fn send(
        &mut self,
        permit: Permit,
        to: UpstreamAddress,
        req: &EngineRequest,
    ) -> Result<StreamEvent, Failure> {
        self.dispatch.begin(&to);
        let sent = self.sent.insert(Sent {
            permit,
            to: to.clone(),
            attempt: self.dispatch.attempt(),
            written: false,
        });
        let engines = &self.dispatch.node.engines;
        let opened = engines.open(&to).await;
        let conn = opened.map_err(|e| Failure::with_error(&e))?;
        self.dispatch.check(&sent.permit)?;
        sent.written = true;
        let started = engines.complete(conn, &to, req);
        let reader = started.map_err(|e| Failure::with_error(&e))?;
        self.relay(to, reader).await
    }

    fn engine_request(&self, permit: &Permit) -> Result<EngineRequest, Failure> {
        let call = &self.dispatch.call;
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
            attempt: self.dispatch.attempt(),
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
        let node = self.dispatch.node.clone();
        let source = EngineStreams::new(node.engines.clone(), to.clone());
        let key = self.dispatch.call.key;
        let relay = ResumingStream::new(Arc::new(source), to.id, key, Box::new(reader));
        let mut relay = relay.with_idle_timeout(node.settings.silence);
        loop {
            let event = relay.next().await;
            node.metrics.resumed.inc_by(relay.take_resumes());
            let event = event.map_err(|e| Failure::with_stream(&e))?;
            if let StreamEvent::End { .. } = event {
                return Ok(event);
            }
            self.note_tokens(relay.delivered());
            if self.tx.send(event).await.is_err() {
                return Err(Failure::CallerGone);
            }
        }
    }

    fn note_tokens(&mut self, delivered: u64) {
        let now = Instant::now();
        let span = now.saturating_duration_since(self.last_token);
        if self.delivered == 0 {
            self.note_first_token(span);
        } else {
            self.between_tokens.observe(span.as_secs_f64());
        }
        self.last_token = now;
        self.delivered = delivered;
    }

    fn note_first_token(&self, span: Duration) {
        let Some(sent) = &self.sent else {
            return;
        };
        let labels = self.dispatch.call.class_labels();
        self.dispatch.node.metrics.first_token(&labels, span);
        sent.permit.record_first_token();
        self.dispatch.set(CallState::Answering {
            upstream: sent.to.id.clone(),
            attempt: sent.attempt,
        });
    }

    async fn finish(mut self, last: StreamEvent) {
        if let Some(sent) = self.sent.take() {
            let tokens = Tokens::new(self.delivered);
            sent.permit.close(Completion::Finished { tokens });
        }
        self.dispatch.finish();
        self.send_last(last).await;
    }

    async fn give_up(mut self, failure: Failure) {
        let sent = self.was_sent();
        let problem = self.dispatch.give_up(failure, sent).await;
        self.abandon();
        self.send_last(StreamEvent::Error(problem)).await;
    }

    async fn send_last(&self, event: StreamEvent) {
        // A caller that does not read gets no last event; its connection is closed instead.
        let _ = timeout(LAST_EVENT, self.tx.send(event)).await;
    }

    /// Lets go of the upstream in the background: neither the caller nor another attempt waits for it.
    fn abandon(&mut self) {
        if let Some(sent) = self.sent.take() {
            let node = self.dispatch.node.clone();
            let clean_up = sent.abandon(node.clone(), self.dispatch.call.key);
            node.tasks.spawn(clean_up);
        }
    }
}
