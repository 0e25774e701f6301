//! [`StreamEntry`] and what its readers see of it.

use std::cmp::Reverse;

use tokio::{sync::watch, time::Instant};

use oleanderpost_types::{FinishReason, Priority, Problem, StreamStatus};

use crate::{GeneratedText, RunEnd, Submission};

/// Where a stream stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waits for memory or a place in the batch.
    Waiting,
    /// Its prompt is processed.
    Prefill,
    /// It generates.
    Decode,
    /// The answer is whole.
    Finished,
    /// It was broken off.
    Aborted,
}

/// How a stream ended, to its readers.
#[derive(Clone, Debug)]
pub(crate) enum StreamEnd {
    /// The answer is whole.
    Complete(FinishReason),
    /// The engine broke it off and says so.
    Failed(Problem),
    /// The engine died.
    Disconnected,
}

/// What a reader sees.
#[derive(Clone, Debug, Default)]
pub(crate) struct Progress {
    pub(crate) generated: u64,
    pub(crate) end: Option<StreamEnd>,
}

/// Scheduling order: the greater priority first, then the earlier arrival.
pub(crate) type SchedulingKey = (Reverse<Priority>, u64);

/// One attempt at one request.
#[derive(Debug)]
pub(crate) struct StreamEntry {
    pub(crate) submission: Submission,
    pub(crate) phase: Phase,
    pub(crate) arrived: Instant,
    pub(crate) sequence: u64,
    pub(crate) deadline: Option<Instant>,
    /// Prompt tokens that this engine processes.
    pub(crate) prompt: u64,
    /// Prompt tokens processed so far, cached ones included.
    pub(crate) prefilled: u64,
    pub(crate) generated: u64,
    /// Blocks that it needs; it holds them in the phases `Prefill` and `Decode`.
    pub(crate) blocks: u64,
    pub(crate) readers: usize,
    pub(crate) unread_since: Option<Instant>,
    pub(crate) ended: Option<Instant>,
    /// Index of its run in the evidence.
    pub(crate) run: usize,
    pub(crate) tx: watch::Sender<Progress>,
}

impl StreamEntry {
    pub(crate) fn generated_text(&self) -> GeneratedText {
        GeneratedText::new(self.submission.key, self.submission.attempt)
    }

    /// Whether it waits or runs.
    pub(crate) fn is_live(&self) -> bool {
        !matches!(self.phase, Phase::Finished | Phase::Aborted)
    }

    /// Whether it holds memory.
    pub(crate) fn holds_memory(&self) -> bool {
        matches!(self.phase, Phase::Prefill | Phase::Decode)
    }

    /// Whether it waits for its first step.
    pub(crate) fn is_unstarted(&self) -> bool {
        self.is_live() && self.phase != Phase::Decode && self.prefilled == 0
    }

    /// Prompt tokens that wait for prefill.
    pub(crate) fn prefill_backlog(&self) -> u64 {
        if self.is_live() {
            self.prompt - self.prefilled
        } else {
            0
        }
    }

    /// Context on this engine.
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

    /// Takes `chunk` tokens of prefill; the step that completes the prompt gives the first token.
    pub(crate) fn prefill(&mut self, chunk: u64) {
        self.prefilled = (self.prefilled + chunk).min(self.prompt);
        if self.prefilled == self.prompt {
            self.phase = Phase::Decode;
            self.decode();
        }
    }

    /// Generates one token, unless the answer is whole already.
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

    /// Breaks the stream off.
    pub(crate) fn abort(&mut self, end: RunEnd) {
        self.phase = Phase::Aborted;
        let end = end
            .problem()
            .map_or(StreamEnd::Disconnected, StreamEnd::Failed);
        self.tx.send_modify(|progress| progress.end = Some(end));
    }
}
