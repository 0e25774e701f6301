//! [`RetryBudget`].

use std::{collections::VecDeque, time::Duration};

use crate::BootTime;

/// Share of the allowance that a node uses, so that the total stays within the budget when nodes disagree
/// on the number of members.
const USED_SHARE: f64 = 0.8;
/// Retries from the fixed number while the number of members is unknown: one request that meets a failed upstream right
/// after the start of its node goes elsewhere, and the sum over a fleet that has restarted stays small.
const UNKNOWN_FLEET_RETRIES: f64 = 1.0;

/// Limits the retries of one node to one service over a sliding window.
///
/// All nodes together may retry a share of the requests, plus a fixed number. Each node gets that share of
/// its own requests and an equal part of the fixed number.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    window: Duration,
    requests: VecDeque<BootTime>,
    retries: VecDeque<BootTime>,
}

impl RetryBudget {
    /// Creates a budget of `ratio` x requests + `slack` retries within `window` for all nodes together.
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

    /// Takes one retry from the budget of a fleet with `nodes` members; returns `false` if none is left. While the
    /// number of members is unknown (`None`), the node has one retry of the fixed number.
    pub fn try_retry(&mut self, now: BootTime, nodes: Option<usize>) -> bool {
        self.drop_expired(now);
        let unknown_part = (UNKNOWN_FLEET_RETRIES / USED_SHARE).min(self.slack);
        let fixed_part = nodes.map_or(unknown_part, |nodes| self.slack / nodes.max(1) as f64);
        let allowance = self.ratio * self.requests.len() as f64 + fixed_part;
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
