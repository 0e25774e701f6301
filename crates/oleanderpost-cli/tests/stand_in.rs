//! Runs the stand-ins as processes.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
};

use serde_json::Value;
use tempfile::TempDir;

/// A stand-in process that is killed when the value is dropped, also if the test fails.
struct StandInProcess(Child);

impl StandInProcess {
    fn start(args: &[&str]) -> (Self, Value) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_oleanderpost"));
        command.arg("stand-in").args(args).stdout(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let mut line = String::new();
        let out = child.stdout.take().unwrap();
        BufReader::new(out).read_line(&mut line).unwrap();
        (Self(child), serde_json::from_str(&line).unwrap())
    }

    /// Sends SIGTERM with the `kill` command and returns the exit code.
    fn terminate(mut self) -> Option<i32> {
        let id = self.0.id().to_string();
        assert!(Command::new("kill").arg(id).status().unwrap().success());
        self.0.wait().unwrap().code()
    }
}

impl Drop for StandInProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn address(ready: &Value, listener: &str) -> SocketAddr {
    ready[listener].as_str().unwrap().parse().unwrap()
}

#[test]
fn each_stand_in_prints_its_addresses_and_ends_on_sigterm() {
    for (name, has_control) in [("platform", false), ("engine", true), ("plain", true)] {
        let (process, ready) = StandInProcess::start(&[name]);
        assert_eq!(ready["stand_in"], name);
        assert_ne!(address(&ready, "listen").port(), 0);
        assert_eq!(ready.get("control").is_some(), has_control);
        assert_eq!(process.terminate(), Some(0), "{name}");
    }
}

#[test]
fn settings_come_from_yaml_and_flags() {
    let dir = TempDir::new().unwrap();
    let path = dir.path().join("engine.yaml");
    std::fs::write(&path, "id: e-7\nstep: {base_us: 100}\nmemory: 1000\n").unwrap();
    let file = path.to_str().unwrap();
    let (process, ready) =
        StandInProcess::start(&["engine", "--settings", file, "--memory", "2000"]);
    let mut load_command = Command::new(env!("CARGO_BIN_EXE_oleanderpost"));
    let target = address(&ready, "listen").to_string();
    load_command.args([
        "load",
        "--direct",
        &target,
        "--service",
        "base",
        "--phase",
        "20x0.2",
    ]);
    load_command.args([
        "--shortest",
        "1500",
        "--longest",
        "1500",
        "--long-share",
        "0",
    ]);
    assert!(load_command.output().unwrap().status.success());
    assert_eq!(process.terminate(), Some(0));
    let bad = [
        ("memory: 1000\nunknown: 1\n", "unknown"),
        ("time_scale: 0\nblock: 0\n", "time_scale: 0 is outside"),
        ("time_scale: 0\nblock: 0\n", "block: 0 is less than 1"),
    ];
    for (content, expected) in bad {
        std::fs::write(&path, content).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_oleanderpost"));
        command.args(["stand-in", "engine", "--settings", file]);
        let output = command.output().unwrap();
        assert_eq!(output.status.code(), Some(2));
        let err = String::from_utf8(output.stderr).unwrap();
        assert!(err.contains(expected), "{err}");
    }
}
