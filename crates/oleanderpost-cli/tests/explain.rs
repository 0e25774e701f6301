//! Runs `oleanderpost explain` on logs of several nodes.

use std::{
    io::Write,
    process::{Command, Stdio},
};

const NODE_A: &str = r#"{"level":"info","timestamp":1005,"payload":"placed","kv":{"request":"r-1","work":"a-7","upstream":"e-1","ms":3}}
{"level":"info","timestamp":1010,"payload":"placed","kv":{"request":"r-2","work":"a-8","upstream":"e-2"}}
{"level":"info","timestamp":2000,"payload":"request ended","kv":{"request":"r-1","outcome":"broken off","status":200,"upstream":"e-1"}}
not a line of ours {
"#;

const NODE_B: &str = r#"  12.5 node-b {"level":"info","timestamp":1002,"payload":"work waits","kv":{"work":"a-7","waiting":3}}
  12.6 node-b {"level":"info","timestamp":1003,"payload":"work waits","kv":{"work":"a-9","waiting":4}}
"#;

fn run_explain(args: &[&str], stdin: &str) -> (Option<i32>, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_oleanderpost"))
        .arg("explain")
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    child
        .stdin
        .take()
        .unwrap()
        .write_all(stdin.as_bytes())
        .unwrap();
    let output = child.wait_with_output().unwrap();
    (
        output.status.code(),
        String::from_utf8(output.stdout).unwrap(),
    )
}

#[test]
fn records_of_several_nodes_are_merged_in_order_of_time() {
    let dir = tempfile::tempdir().unwrap();
    let (a, b) = (dir.path().join("a.log"), dir.path().join("b.log"));
    std::fs::write(&a, NODE_A).unwrap();
    std::fs::write(&b, NODE_B).unwrap();
    let (code, text) = run_explain(&["r-1", a.to_str().unwrap(), b.to_str().unwrap()], "");
    let lines: Vec<_> = text.lines().collect();
    assert_eq!((code, lines.len()), (Some(0), 3), "{text}");
    assert!(
        lines[0].contains("node-b") && lines[0].contains("work waits"),
        "{text}"
    );
    assert!(
        lines[1].contains("placed") && lines[1].contains("3 ms"),
        "{text}"
    );
    assert!(
        lines[2].contains("outcome=broken off  status=200  upstream=e-1"),
        "{text}"
    );
}

#[test]
fn logs_are_read_from_standard_input_without_files() {
    let (code, text) = run_explain(&["r-2"], NODE_A);
    assert_eq!((code, text.lines().count()), (Some(0), 1), "{text}");
}

#[test]
fn unknown_request_gives_exit_code_1() {
    assert_eq!(run_explain(&["r-3"], NODE_A), (Some(1), String::new()));
}
