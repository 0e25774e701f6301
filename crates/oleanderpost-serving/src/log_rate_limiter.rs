//! [`LogRateLimiter`].

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use crate::BootTime;

/// Lines a second that requests may write, well above the usual load of a node: some 20.
const LINES_PER_S: f64 = 150.0;
/// Lines that may be written at once.
const BURST: f64 = 300.0;
/// Pause between two notes of what was left out.
const NOTE_EVERY: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Bucket {
    lines: f64,
    filled_at: BootTime,
    left_out: u64,
    noted_at: BootTime,
}

/// Bounds the log lines about requests, so that a flood of requests is no flood of lines.
#[derive(Debug)]
pub struct LogRateLimiter(Mutex<Bucket>);

impl LogRateLimiter {
    /// A full budget.
    #[must_use]
    pub fn new(now: BootTime) -> Self {
        let bucket = Bucket {
            lines: BURST,
            filled_at: now,
            left_out: 0,
            noted_at: now,
        };
        Self(Mutex::new(bucket))
    }

    /// Whether a line may be written.
    pub fn try_take(&self, now: BootTime) -> bool {
        let mut bucket = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let passed = now.since(bucket.filled_at).as_secs_f64();
        bucket.lines = (bucket.lines + passed * LINES_PER_S).min(BURST);
        bucket.filled_at = now;
        if bucket.lines < 1.0 {
            bucket.left_out += 1;
            return false;
        }
        bucket.lines -= 1.0;
        true
    }

    /// Number of lines that were left out, once in a while.
    pub fn take_suppressed(&self, now: BootTime) -> Option<u64> {
        let mut bucket = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if bucket.left_out == 0 || now.since(bucket.noted_at) < NOTE_EVERY {
            return None;
        }
        bucket.noted_at = now;
        Some(std::mem::take(&mut bucket.left_out))
    }
}
