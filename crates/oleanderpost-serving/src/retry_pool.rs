//! [`RetryPool`].

use std::collections::VecDeque;

use crate::{BootTime, RetryTotals, share_history::ShareHistory};

/// Part of the budget that is earned with requests and time. The rest is at the disposal of a scheduler that has served for
/// a whole window and thus knows all retries in it.
const EARNED_PART: f64 = 0.7;
/// Time for which what was earned can be used, as a share of the window.
const EARNED_LIFETIME: f64 = 0.3;
/// Share of the budget that is used. A window may contain retries that were earned up to a lifetime before it, that is, 1 +
/// 0.7 x 0.3 of the budget; nodes report requests half a second late.
const USED_SHARE: f64 = 0.8;
/// Requests reported within this share of the window are counted as one report.
const MERGE_TIME: f64 = 0.005;

/// Grants retries of requests to one service, to all nodes that a scheduler serves.
///
/// A scheduler that has just started does not know what was granted before it. So whatever other schedulers have granted,
/// it grants only what is earned from then on, and one that knows the whole window leaves that much unused in any part of
/// the window up to now.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryPool {
    grants: VecDeque<BootTime>,
    /// Reported requests.
    requests: VecDeque<(BootTime, f64)>,
}

impl RetryPool {
    /// Records reported requests.
    pub(crate) fn note_requests(&mut self, requests: f64, totals: &RetryTotals, now: BootTime) {
        let merge_time = totals.window.mul_f64(MERGE_TIME);
        match self.requests.back_mut() {
            Some((at, count)) if now.since(*at) <= merge_time => *count += requests,
            _ => self.requests.push_back((now, requests)),
        }
    }

    /// Takes one retry; returns `false` if none is left. `is_settled` is set if the scheduler has served for a whole window.
    pub(crate) fn take(
        &mut self,
        totals: &RetryTotals,
        shares: &ShareHistory,
        is_settled: bool,
        now: BootTime,
    ) -> bool {
        let window = totals.window;
        let lifetime = window.mul_f64(EARNED_LIFETIME);
        self.drop_before(now.before(window), now.before(window + lifetime));
        let mut standing = totals.slack * shares.lowest(now.before(window), now);
        if is_settled {
            standing += totals.ratio * self.requests_since(now.before(window));
        }
        let earned_since = |from: BootTime| {
            let time = shares.sum_since(from) / window.as_secs_f64();
            totals.slack * time + totals.ratio * self.requests_since(from)
        };
        let is_allowed = |(later, at): (usize, &BootTime)| {
            let earned = earned_since(at.before(lifetime));
            let allowance = (1.0 - EARNED_PART) * standing + EARNED_PART * earned;
            (later + 1) as f64 <= USED_SHARE * allowance
        };
        let times = std::iter::once(&now).chain(self.grants.iter().rev());
        if !times.enumerate().all(is_allowed) {
            return false;
        }
        self.grants.push_back(now);
        true
    }

    fn requests_since(&self, from: BootTime) -> f64 {
        let recent = self.requests.iter().rev().take_while(|(at, _)| *at >= from);
        recent.map(|(_, count)| count).sum()
    }

    fn drop_before(&mut self, grants: BootTime, requests: BootTime) {
        while self.grants.front().is_some_and(|at| *at < grants) {
            self.grants.pop_front();
        }
        while self.requests.front().is_some_and(|(at, _)| *at < requests) {
            self.requests.pop_front();
        }
    }
}
