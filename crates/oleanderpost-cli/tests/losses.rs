//! Runs `oleanderpost losses` on logs of several nodes.

use std::{
    io::Write,
    process::{Command, Stdio},
};

const LOG: &str = r#"{"level":"info","timestamp":1000,"payload":"placed","kv":{"request":"in-time","ms":3,"first_event_ms":200}}
{"level":"info","timestamp":1000,"payload":"placed","kv":{"request":"waited","ms":180,"first_event_ms":200}}
{"level":"info","timestamp":1000,"payload":"placed","kv":{"request":"slow","ms":3,"first_event_ms":200}}
{"level":"info","timestamp":1000,"payload":"placed","kv":{"request":"hopeless","ms":3,"first_event_ms":900}}
{"level":"info","timestamp":1000,"payload":"placed","kv":{"request":"again","ms":3,"first_event_ms":200}}
{"level":"info","timestamp":1400,"payload":"placed","kv":{"request":"again","ms":3,"first_event_ms":200}}
{"level":"info","timestamp":1500,"payload":"request ended","kv":{"request":"in-time","route":"r","outcome":"answered","prompt":5000.0,"first_event_ms":210,"objective_ms":300,"longest_gap_ms":60,"gap_limit_ms":250}}
{"level":"info","timestamp":1500,"payload":"request ended","kv":{"request":"waited","route":"r","outcome":"answered","prompt":5000.0,"first_event_ms":390,"objective_ms":300,"longest_gap_ms":60,"gap_limit_ms":250}}
{"level":"info","timestamp":1500,"payload":"request ended","kv":{"request":"slow","route":"r","outcome":"answered","prompt":5000.0,"first_event_ms":500,"objective_ms":300,"longest_gap_ms":60,"gap_limit_ms":250}}
{"level":"info","timestamp":1500,"payload":"request ended","kv":{"request":"hopeless","route":"r","outcome":"answered","prompt":90000.0,"first_event_ms":900,"objective_ms":300,"longest_gap_ms":60,"gap_limit_ms":250}}
{"level":"info","timestamp":9500,"payload":"request ended","kv":{"request":"again","route":"r","outcome":"answered","prompt":5000.0,"first_event_ms":600,"objective_ms":300,"longest_gap_ms":60,"gap_limit_ms":250}}
{"level":"info","timestamp":9500,"payload":"request ended","kv":{"request":"gap","route":"r","outcome":"answered","prompt":5000.0,"first_event_ms":100,"objective_ms":300,"longest_gap_ms":600,"gap_limit_ms":250}}
{"level":"info","timestamp":9500,"payload":"request ended","kv":{"request":"busy","route":"r","outcome":"busy","prompt":5000.0}}
{"level":"info","timestamp":9600,"payload":"request ended","kv":{"request":"plain","route":"p","outcome":"answered","status":200}}
{"level":"info","timestamp":9700,"payload":"request not admitted","kv":{"request":"x","reason":"draining","status":503}}
"#;

fn run_losses(stdin: &str) -> (Option<i32>, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_oleanderpost"))
        .arg("losses")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut input = child.stdin.take().unwrap();
    input.write_all(stdin.as_bytes()).unwrap();
    drop(input);
    let output = child.wait_with_output().unwrap();
    (
        output.status.code(),
        String::from_utf8(output.stdout).unwrap(),
    )
}

/// Guards against losses that no cause accounts for, or that are counted twice.
#[test]
fn each_lost_request_is_counted_once_with_its_cause() {
    let (code, text) = run_losses(LOG);
    assert_eq!(code, Some(0), "{text}");
    for line in [
        "r, up to 16384 tokens: 6 requests, 5 lost",
        "r, up to 262144 tokens: 1 requests, 1 lost",
        "p: 1 requests, 0 lost",
        "not admitted: 1 requests, 1 lost",
        "from second 0: 4 requests, 3 lost",
        "from second 8: 5 requests, 4 lost",
    ] {
        assert!(text.lines().any(|other| other == line), "{line} in {text}");
    }
    for cause in [
        "late: waited for engines",
        "late: engine slower than expected",
        "late: no placement in time",
        "late: placed again",
        "gap between events too long",
        "not served: busy",
        "not served: draining",
    ] {
        let counted = text.matches(cause).count();
        assert_eq!(counted, 2, "{cause} by kind and by time in {text}");
    }
}

#[test]
fn logs_without_requests_give_exit_code_1() {
    assert_eq!(run_losses("no record\n"), (Some(1), String::new()));
}
