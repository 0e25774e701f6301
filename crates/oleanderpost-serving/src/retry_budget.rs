//! [`RetryBudget`].

use std::{collections::VecDeque, time::Duration};

use crate::BootTime;

/// Share of the allowance that is used. Retries and the requests that pay for them are counted in the window before each
/// retry; other windows of the same length may contain fewer of these requests.
const USED_SHARE: f64 = 0.8;

/// Limits the retries of one node to one service over a sliding window.
///
/// It may retry a share of its requests, plus a fixed number.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    window: Duration,
    requests: VecDeque<BootTime>,
    retries: VecDeque<BootTime>,
}

impl RetryBudget {
    /// Creates a budget of `ratio` x requests + `slack` retries within `window`.
    #[must_use]
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self {
            ratio,
            slack,
            window,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Counts a request.
    pub fn note_request(&mut self, now: BootTime) {
        self.drop_expired(now);
        self.requests.push_back(now);
    }

    /// Takes one retry; returns `false` if none is left.
    pub fn try_retry(&mut self, now: BootTime) -> bool {
        self.drop_expired(now);
        let allowance = self.ratio * self.requests.len() as f64 + self.slack;
        if (self.retries.len() + 1) as f64 > allowance * USED_SHARE {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn drop_expired(&mut self, now: BootTime) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now.since(*at) > self.window) {
                times.pop_front();
            }
        }
    }
}
