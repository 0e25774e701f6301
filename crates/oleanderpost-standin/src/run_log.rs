//! [`RunLog`].

use tokio::time::Instant;

use oleanderpost_types::{Millis, Tokens};

use crate::{Run, RunEnd, Submission};

/// All runs of an engine, in order of arrival.
#[derive(Debug)]
pub(crate) struct RunLog {
    runs: Vec<Run>,
    started_at: Instant,
}

impl RunLog {
    pub(crate) fn new() -> Self {
        Self {
            runs: Vec::new(),
            started_at: Instant::now(),
        }
    }

    /// Records the arrival of a request and returns the index of its run.
    pub(crate) fn record_arrival(&mut self, submission: &Submission, memory: Tokens) -> usize {
        self.runs.push(Run {
            key: submission.key,
            attempt: submission.attempt,
            holder: submission.holder.clone(),
            arrived: self.elapsed(),
            started: None,
            ended: None,
            end: None,
            prompt: submission.prompt,
            generated: 0,
            memory,
        });
        self.runs.len() - 1
    }

    pub(crate) fn record_start(&mut self, run: usize) {
        self.runs[run].started = Some(self.elapsed());
    }

    pub(crate) fn set_generated(&mut self, run: usize, generated: u64) {
        self.runs[run].generated = generated;
    }

    pub(crate) fn record_end(&mut self, run: usize, end: RunEnd) {
        self.runs[run].ended = Some(self.elapsed());
        self.runs[run].end = Some(end);
    }

    pub(crate) fn runs(&self) -> &[Run] {
        &self.runs
    }

    fn elapsed(&self) -> Millis {
        self.started_at.elapsed().into()
    }
}
