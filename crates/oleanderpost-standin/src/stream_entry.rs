//! [`StreamEntry`] and the [`Progress`] that its readers observe.

use std::cmp::Reverse;

use tokio::{sync::watch, time::Instant};

use oleanderpost_types::{FinishReason, Priority, Problem, StreamStatus};

use crate::{GeneratedText, RunEnd, Submission};

/// Processing phase of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waits for memory or a slot in the batch.
    Waiting,
    /// The prompt is being processed.
    Prefill,
    /// Tokens are being generated.
    Decode,
    /// The answer is complete.
    Finished,
    /// The stream ended before its answer was complete.
    Aborted,
}

/// How a stream ended, as seen by its readers.
#[derive(Clone, Debug)]
pub(crate) enum StreamEnd {
    /// The answer is complete.
    Complete(FinishReason),
    /// The engine ended the stream and reports the reason.
    Failed(Problem),
    /// The engine died; readers get no final event.
    Disconnected,
}

/// Progress of a stream, as observed by its readers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Progress {
    pub(crate) generated: u64,
    pub(crate) end: Option<StreamEnd>,
}

/// Sort key of the scheduling order: higher priority first, then earlier arrival.
pub(crate) type SchedulingKey = (Reverse<Priority>, u64);

/// State of one attempt of a request.
#[derive(Debug)]
pub(crate) struct StreamEntry {
    pub(crate) submission: Submission,
    pub(crate) phase: Phase,
    pub(crate) arrived: Instant,
    pub(crate) sequence: u64,
    pub(crate) deadline: Option<Instant>,
    /// Number of prompt tokens that this engine processes.
    pub(crate) prompt: u64,
    /// Number of prompt tokens processed so far, including cached tokens.
    pub(crate) prefilled: u64,
    pub(crate) generated: u64,
    /// Number of blocks that the stream needs. It holds them in the phases `Prefill` and `Decode`.
    pub(crate) blocks: u64,
    pub(crate) readers: usize,
    /// Since when the stream has had no reader; `None` while it has one.
    pub(crate) unread_since: Option<Instant>,
    pub(crate) ended: Option<Instant>,
    /// Index of the stream's run in the evidence.
    pub(crate) run: usize,
    pub(crate) tx: watch::Sender<Progress>,
}

impl StreamEntry {
    pub(crate) fn generated_text(&self) -> GeneratedText {
        GeneratedText::new(self.submission.key, self.submission.attempt)
    }

    /// Whether the stream waits or runs.
    pub(crate) fn is_live(&self) -> bool {
        !matches!(self.phase, Phase::Finished | Phase::Aborted)
    }

    /// Whether the stream holds memory.
    pub(crate) fn holds_memory(&self) -> bool {
        matches!(self.phase, Phase::Prefill | Phase::Decode)
    }

    /// Whether the stream waits for its first step and none of its prompt came from the cache.
    pub(crate) fn is_unstarted(&self) -> bool {
        self.is_live() && self.phase != Phase::Decode && self.prefilled == 0
    }

    /// Number of prompt tokens still to be prefilled; 0 once the stream has ended.
    pub(crate) fn prefill_backlog(&self) -> u64 {
        if self.is_live() {
            self.prompt - self.prefilled
        } else {
            0
        }
    }

    /// Number of context tokens on this engine.
    pub(crate) fn context(&self) -> u64 {
        self.prefilled + self.generated / self.submission.group_size
    }

    pub(crate) fn scheduling_key(&self) -> SchedulingKey {
        (Reverse(self.submission.priority), self.sequence)
    }

    pub(crate) fn status(&self) -> StreamStatus {
        let tokens = self.generated;
        match self.phase {
            Phase::Finished => StreamStatus::Finished { tokens },
            Phase::Aborted => StreamStatus::Ended,
            _ => StreamStatus::Running { tokens },
        }
    }

    /// Prefills `chunk` tokens. The step that completes the prompt also generates the first token.
    pub(crate) fn prefill(&mut self, chunk: u64) {
        self.prefilled = (self.prefilled + chunk).min(self.prompt);
        if self.prefilled == self.prompt {
            self.phase = Phase::Decode;
            self.decode();
        }
    }

    /// Generates one token, unless the answer is already complete.
    pub(crate) fn decode(&mut self) {
        self.generated = (self.generated + 1).min(self.submission.max_tokens);
        if self.generated == self.submission.max_tokens {
            self.phase = Phase::Finished;
        }
        self.tx.send_replace(Progress {
            generated: self.generated,
            end: (self.phase == Phase::Finished)
                .then_some(StreamEnd::Complete(FinishReason::Length)),
        });
    }

    /// Ends the stream before its answer is complete.
    pub(crate) fn abort(&mut self, end: RunEnd) {
        self.phase = Phase::Aborted;
        let end = end
            .problem()
            .map_or(StreamEnd::Disconnected, StreamEnd::Failed);
        self.tx.send_modify(|progress| progress.end = Some(end));
    }
}
