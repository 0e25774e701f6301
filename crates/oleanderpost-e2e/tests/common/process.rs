//! [`Process`].

use std::{
    io::{BufRead, BufReader, Read},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::mpsc,
    time::Duration,
};

use serde_json::Value;

/// Longest wait for the readiness line of a process; far above the usual start time.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// A process started by a test; it is killed when the value is dropped.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
}

impl Process {
    /// Starts a stand-in, waits for its readiness line on standard output and returns that line.
    pub(crate) fn stand_in(args: &[&str]) -> (Self, Value) {
        let mut command = Command::new(program_path("oleanderpost"));
        command.arg("stand-in").args(args).stdout(Stdio::piped());
        let mut child = command.spawn().expect("the stand-in must start");
        let out = child.stdout.take().expect("standard output must be a pipe");
        let ready = first_line(out, |_| true);
        (Self { child }, ready)
    }

    /// Starts a daemon, waits for the log record with its listener addresses and returns the record's fields.
    pub(crate) fn daemon(args: &[&str]) -> (Self, Value) {
        let mut command = Command::new(program_path("oleanderpostd"));
        command.args(args).stderr(Stdio::piped());
        let mut child = command.spawn().expect("the daemon must start");
        let out = child.stderr.take().expect("standard error must be a pipe");
        let ready = first_line(out, |line| line["payload"] == "started");
        (Self { child }, ready["kv"].clone())
    }

    /// Sends a signal by name, such as `TERM`, `KILL`, `STOP` or `CONT`.
    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status();
        assert!(status.expect("the kill command must run").success());
    }

    /// Waits for the process to exit; returns whether it exited with success.
    pub(crate) fn wait(&mut self) -> bool {
        self.child
            .wait()
            .expect("the process must be a child")
            .success()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn program_path(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("the test binary must have a path");
    let target_dir = test.parent().and_then(|deps| deps.parent());
    target_dir
        .expect("the test binary must be below the target directory")
        .join(name)
}

/// Returns the first JSON line that `accept` accepts. A thread reads the later lines too, so that the pipe
/// never fills.
fn first_line(out: impl Read + Send + 'static, accept: fn(&Value) -> bool) -> Value {
    let (tx, rx) = mpsc::channel();
    std::thread::spawn(move || {
        for line in BufReader::new(out).lines().map_while(Result::ok) {
            if std::env::var_os("OLEANDERPOST_E2E_LOGS").is_some() {
                eprintln!("{line}");
            }
            let Ok(value) = serde_json::from_str::<Value>(&line) else {
                continue;
            };
            if accept(&value) {
                let _ = tx.send(value);
            }
        }
    });
    rx.recv_timeout(READY_TIMEOUT)
        .expect("the process must become ready before the timeout")
}
