//! What a case writes to `record.txt`.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

use crate::http::Answer;

/// A file of lines with the time since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("a writable record");
        Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Records a request that was sent at `sent`, and what its client saw of the answer.
    pub fn answer(&self, id: &str, answer: &Answer, sent: Instant) {
        let ms = sent.elapsed().as_millis();
        let (end, status) = (answer.end, answer.status);
        self.line(&format!(
            "client of {id}, sent {ms} ms ago: {end:?}, status {status}"
        ));
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.now());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
