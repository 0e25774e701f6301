//! [`LoadHistory`].

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

use oleanderpost_types::LoadReport;

/// Time for which samples are kept, and thereby the longest supported lag.
const RETENTION: Duration = Duration::from_secs(120);

/// Recent load samples of an engine, from which delayed reports are made.
#[derive(Debug, Default)]
pub(crate) struct LoadHistory {
    samples: VecDeque<(Instant, LoadReport)>,
}

impl LoadHistory {
    /// Adds a sample, unless it equals the last one.
    pub(crate) fn record(&mut self, now: Instant, report: LoadReport) {
        if self.samples.back().is_some_and(|(_, last)| *last == report) {
            return;
        }
        self.samples.push_back((now, report));
        while self.samples.len() > 1 && now - self.samples[1].0 > RETENTION {
            self.samples.pop_front();
        }
    }

    /// Returns the load as of `lag` ago, or the oldest known sample.
    pub(crate) fn report(&self, now: Instant, lag: Duration) -> LoadReport {
        let old_enough = |(at, _): &&(Instant, LoadReport)| *at + lag <= now;
        let sample = self.samples.iter().rev().find(old_enough);
        let Some((at, report)) = sample.or(self.samples.front()) else {
            return LoadReport::default();
        };
        let mut report = report.clone();
        let age = if sample.is_some() { lag } else { now - *at };
        report.age = age.into();
        report
    }
}
