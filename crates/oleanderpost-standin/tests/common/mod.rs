//! Helpers shared by the tests.
#![allow(dead_code)]

use oleanderpost_standin::{EngineSettings, EventStream, StepModel};
use oleanderpost_types::{RequestKey, StreamEvent, Tokens};

/// Returns a deterministic request key.
pub(crate) fn key(number: u128) -> RequestKey {
    RequestKey::from_uuid(uuid::Uuid::from_u128(number))
}

/// Settings of a small engine with 100 blocks of 10 tokens.
pub(crate) fn small_engine_settings() -> EngineSettings {
    EngineSettings {
        memory: Tokens::new(1_000),
        block: Tokens::new(10),
        chunk: Tokens::new(100),
        max_batch: 8,
        queue_bound: 4,
        step: StepModel {
            base_us: 10_000.0,
            decode_us: 1_000.0,
            prefill_us: 100.0,
            decode_attention_ns: 0.0,
            prefill_attention_ns: 0.0,
        },
        ..EngineSettings::default()
    }
}

/// Reads an answer from offset `from` to its end and checks that the tokens are contiguous. Returns the text
/// and the final event, if there is one.
pub(crate) async fn read_to_end(
    events: &mut EventStream,
    from: u64,
) -> (String, Option<StreamEvent>) {
    let mut answer = String::new();
    let mut next = from;
    while let Some(event) = events.next().await {
        let StreamEvent::Token {
            offset,
            count,
            text,
        } = event
        else {
            return (answer, Some(event));
        };
        assert_eq!(offset, next, "tokens are contiguous");
        next += count;
        answer.push_str(&text);
    }
    (answer, None)
}
