//! [`RetryBudget`].

use std::{collections::VecDeque, time::Duration};

use crate::BootTime;

/// Part of the allowance that is used, so that nodes which count members differently stay within it.
const USED_SHARE: f64 = 0.8;

/// Bounds repeats towards one service over a sliding window, for one of several nodes.
///
/// All nodes together may repeat a share of the requests and a fixed number besides. A node's part is the
/// share of its own requests, and an even part of the fixed number.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    window: Duration,
    requests: VecDeque<BootTime>,
    retries: VecDeque<BootTime>,
}

impl RetryBudget {
    /// A budget of `ratio` x requests + `slack` within `window` for all nodes together.
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

    /// Takes one repeat, for a fleet of `nodes`; `false` if none is left.
    pub fn try_retry(&mut self, now: BootTime, nodes: usize) -> bool {
        self.drop_expired(now);
        let allowance = self.ratio * self.requests.len() as f64 + self.slack / nodes.max(1) as f64;
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
