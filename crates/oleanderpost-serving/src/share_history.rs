//! [`ShareHistory`].

use std::{collections::VecDeque, time::Duration};

use crate::BootTime;

/// Span of time in which the share did not change.
#[derive(Clone, Copy, Debug)]
struct Span {
    from: BootTime,
    to: BootTime,
    share: f64,
}

/// Share of the fleet that a scheduler has had over the last time.
#[derive(Debug)]
pub(crate) struct ShareHistory {
    spans: VecDeque<Span>,
    /// Time of the last record, and the share then.
    last: Option<(BootTime, f64)>,
    /// Age up to which spans are kept.
    max_age: Duration,
}

impl ShareHistory {
    pub(crate) fn new(max_age: Duration) -> Self {
        Self {
            spans: VecDeque::new(),
            last: None,
            max_age,
        }
    }

    /// Records the share at `now`. Since the last record, the lower one of the two counts.
    pub(crate) fn note(&mut self, share: f64, now: BootTime) {
        if let Some((from, earlier)) = self.last.replace((now, share)) {
            self.push(from, now, share.min(earlier));
        }
        let max_age = self.max_age;
        self.spans.retain(|span| now.since(span.to) <= max_age);
    }

    /// Records the share between two times.
    pub(crate) fn push(&mut self, from: BootTime, to: BootTime, share: f64) {
        match self.spans.back_mut() {
            Some(span) if span.to == from && span.share == share => span.to = to,
            _ => self.spans.push_back(Span { from, to, share }),
        }
    }

    /// The lowest share between two times; 0 if it is not known for all of the time.
    pub(crate) fn lowest(&self, from: BootTime, to: BootTime) -> f64 {
        let mut covered_to = from;
        let mut lowest = f64::INFINITY;
        for span in self.spans.iter().filter(|span| span.to > from) {
            if span.from > covered_to {
                return 0.0;
            }
            covered_to = span.to;
            lowest = lowest.min(span.share);
        }
        if covered_to >= to && lowest.is_finite() {
            lowest
        } else {
            0.0
        }
    }

    /// Sum of share x time from `from` on, in seconds.
    pub(crate) fn sum_since(&self, from: BootTime) -> f64 {
        let spans = self.spans.iter().filter(|span| span.to > from);
        spans
            .map(|span| span.share * span.to.since(span.from.max(from)).as_secs_f64())
            .sum()
    }
}
