//! [`EncodedHandler`]: handles encoded messages, so that connections do not depend on the message type.

use std::sync::Arc;

use bytes::Bytes;
use oleanderpost_types::VmId;

use crate::{
    Handler, Message,
    frame::{decode, encode},
    link_counters::{Counter, SharedCounters},
};

/// Result of handling a message.
pub(crate) enum HandleOutcome {
    /// It was handled; the answer and its kind.
    Answer(&'static str, Bytes),
    /// It was handled; there is no answer.
    NoAnswer,
    /// It could not be decoded and was not handled.
    NotUnderstood,
}

/// Handles encoded messages.
#[async_trait::async_trait]
pub(crate) trait EncodedHandler: Send + Sync {
    async fn handle_encoded(&self, from: &VmId, body: Bytes) -> HandleOutcome;
}

/// Decodes messages of type `M` and passes them to a [`Handler`].
pub(crate) struct DecodingHandler<M> {
    pub(crate) handler: Arc<dyn Handler<M>>,
    pub(crate) counters: Arc<SharedCounters>,
}

#[async_trait::async_trait]
impl<M: Message> EncodedHandler for DecodingHandler<M> {
    async fn handle_encoded(&self, from: &VmId, body: Bytes) -> HandleOutcome {
        let Ok(msg) = decode::<M>(&body) else {
            self.counters.increment(Counter::NotUnderstood);
            return HandleOutcome::NotUnderstood;
        };
        self.counters.record_received(msg.kind(), body.len());
        drop(body);
        let Some(answer) = self.handler.handle(from, msg).await else {
            return HandleOutcome::NoAnswer;
        };
        match encode(&answer) {
            Ok(buf) => HandleOutcome::Answer(answer.kind(), buf),
            Err(_) => HandleOutcome::NoAnswer,
        }
    }
}
