//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::{self, Write},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), start: Instant::now() })
    }

    /// Time since the start of the script.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn line(&self, text: &str) {
        let now = self.now().as_secs_f64();
        let line = format!("{now:9.3} {text}\n");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
        if !text.starts_with("  ") {
            print!("{line}");
        }
    }

    /// Waits until `secs` after the start of the script.
    pub fn sleep_until(&self, secs: f64) {
        let left = Duration::from_secs_f64(secs).saturating_sub(self.now());
        std::thread::sleep(left);
    }
}
