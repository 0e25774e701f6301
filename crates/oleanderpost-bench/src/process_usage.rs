//! [`ProcessUsage`].

use std::{fs, time::Duration};

/// Clock ticks per second of the CPU times in `/proc`.
const TICKS_PER_SECOND: u64 = 100;

/// CPU time and memory of this process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessUsage {
    /// CPU time of all threads since process start, in user and kernel mode.
    pub cpu: Duration,
    /// Resident memory, in bytes.
    pub resident: u64,
}

impl ProcessUsage {
    /// Reads the current values from `/proc`.
    ///
    /// # Panics
    ///
    /// Panics if the files in `/proc` have an unexpected format.
    #[must_use]
    pub fn now() -> Self {
        let stat = fs::read_to_string("/proc/self/stat").expect("/proc/self/stat");
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .expect("fields")
            .split_whitespace()
            .collect();
        let ticks: u64 = fields[11..13]
            .iter()
            .map(|f| f.parse::<u64>().expect("ticks"))
            .sum();
        let status = fs::read_to_string("/proc/self/status").expect("/proc/self/status");
        let line = status
            .lines()
            .find(|line| line.starts_with("VmRSS:"))
            .expect("VmRSS");
        let kib: u64 = line
            .split_whitespace()
            .nth(1)
            .expect("size")
            .parse()
            .expect("a number");
        Self {
            cpu: Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND),
            resident: kib * 1024,
        }
    }
}
