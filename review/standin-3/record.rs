//! [`Record`].

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// What was sent, answered and run, one line each, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            file: Arc::new(Mutex::new(
                File::create(path).expect("the record is created"),
            )),
            started: Instant::now(),
        }
    }

    pub fn ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).expect("a short run")
    }

    pub fn note(&self, text: &str) {
        let mut file = self.file.lock().expect("no panic");
        writeln!(file, "{:>6} {text}", self.ms()).expect("the record is written");
    }
}
