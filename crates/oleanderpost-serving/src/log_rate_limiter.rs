//! [`LogRateLimiter`].

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use crate::BootTime;

/// Log lines per second that requests may write. The usual rate of a node is about 20.
const LINES_PER_S: f64 = 150.0;
/// Log lines that may be written in a burst.
const BURST: f64 = 300.0;
/// Minimum time between two reports of suppressed lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct TokenBucket {
    lines: f64,
    refilled_at: BootTime,
    suppressed: u64,
    reported_at: BootTime,
}

/// Limits the rate of log lines about requests, so that a flood of requests does not flood the log.
#[derive(Debug)]
pub struct LogRateLimiter(Mutex<TokenBucket>);

impl LogRateLimiter {
    /// Creates a limiter that allows a full burst.
    #[must_use]
    pub fn new(now: BootTime) -> Self {
        let bucket = TokenBucket {
            lines: BURST,
            refilled_at: now,
            suppressed: 0,
            reported_at: now,
        };
        Self(Mutex::new(bucket))
    }

    /// Takes one line from the limit; returns whether it may be written.
    pub fn try_take(&self, now: BootTime) -> bool {
        let mut bucket = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let elapsed = now.since(bucket.refilled_at).as_secs_f64();
        bucket.lines = (bucket.lines + elapsed * LINES_PER_S).min(BURST);
        bucket.refilled_at = now;
        if bucket.lines < 1.0 {
            bucket.suppressed += 1;
            return false;
        }
        bucket.lines -= 1.0;
        true
    }

    /// Returns and resets the number of suppressed lines; at most one report per second.
    pub fn take_suppressed(&self, now: BootTime) -> Option<u64> {
        let mut bucket = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if bucket.suppressed == 0 || now.since(bucket.reported_at) < REPORT_INTERVAL {
            return None;
        }
        bucket.reported_at = now;
        Some(std::mem::take(&mut bucket.suppressed))
    }
}
