//! Runs the commands of the `oleanderpost` binary and checks exit codes and output.

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::{Command, Output},
};

use serde_json::Value;
use tempfile::TempDir;

use oleanderpost::types::{DataCentre, FileName, Incarnation, Vm, VmId, VmRole, VmState};
use oleanderpost_standin::{PlatformServer, PlatformSettings};
use oleanderpostd::{Daemon, Settings, SettingsFile};

const ACCOUNT: &str = "accounts:
  - name: desk
    token_sha256: e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855
    services: []
";

/// Runs the binary and returns its exit code, standard output and standard error.
async fn run(args: &[&str]) -> (i32, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_oleanderpost"));
    command.args(args);
    let output = tokio::task::spawn_blocking(move || command.output());
    let Output {
        status,
        stdout,
        stderr,
    } = output.await.unwrap().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (status.code().unwrap(), text(stdout), text(stderr))
}

fn parse_json(text: &str) -> Value {
    serde_json::from_str(text).unwrap()
}

struct TestDir(TempDir);

impl TestDir {
    fn new() -> Self {
        Self(TempDir::new().unwrap())
    }

    fn path(&self, name: &str) -> PathBuf {
        self.0.path().join(name)
    }

    fn write(&self, name: &str, content: &str) -> String {
        let path = self.path(name);
        std::fs::write(&path, content).unwrap();
        path.to_str().unwrap().to_owned()
    }
}

/// A platform and one node in the test process.
struct Fleet {
    platform: PlatformServer,
    node: Daemon,
}

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

impl Fleet {
    async fn new() -> Self {
        let platform = PlatformServer::new(PlatformSettings::default(), any_port())
            .await
            .unwrap();
        let any_address_text = || Some(any_port().to_string());
        let file = SettingsFile {
            vm: Some("entry-0".to_owned()),
            data_centre: Some("north".to_owned()),
            callers_listen: any_address_text(),
            links_listen: any_address_text(),
            admin_listen: any_address_text(),
            platform: Some(platform.address().to_string()),
            link_key: Some("link key of the tests".to_owned()),
            drain_grace_ms: Some(0),
            ..SettingsFile::default()
        };
        let node = Daemon::start(Settings::from_file(&file).unwrap())
            .await
            .unwrap();
        platform.platform().put_vm(Vm {
            id: VmId::new("entry-0").unwrap(),
            role: VmRole::Entry,
            state: VmState::Live,
            data_centre: DataCentre::new("north").unwrap(),
            address: node.links_address(),
            incarnation: Incarnation::new(1),
        });
        Self { platform, node }
    }

    async fn wait_until_ready(&self) {
        while !self.node.is_ready() {
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        }
    }

    fn put_fleet_file(&self, content: &str) {
        let name = FileName::new("fleet").unwrap();
        self.platform
            .platform()
            .put_file(name, content.to_owned())
            .unwrap();
    }

    fn admin(&self) -> String {
        self.node.admin_address().to_string()
    }

    async fn close(self) {
        self.node.close().await;
        self.platform.close().await;
    }
}

#[tokio::test]
async fn check_reports_each_finding_with_its_position() {
    let dir = TestDir::new();
    let good = dir.write("good.yaml", "generation: 1\n");
    let bad = dir.write("bad.yaml", "generation: x\nunknown: 1\n");
    let (code, out, _) = run(&["check", &good]).await;
    assert_eq!((code, out), (0, format!("{good}: valid, generation 1\n")));
    let (code, out, _) = run(&["check", &good, &bad]).await;
    assert_eq!(code, 1);
    assert!(out.contains(&format!("{bad}:1:13: generation: ")), "{out}");
    assert!(out.contains(&format!("{bad}:2:")), "{out}");
    assert!(out.contains("allowed: "), "{out}");
    let (code, out, _) = run(&["check", "--output", "json", &bad]).await;
    assert_eq!(code, 1);
    let checks = parse_json(&out);
    assert_eq!(checks[0]["valid"], false);
    assert_eq!(checks[0]["findings"].as_array().unwrap().len(), 2);
}

#[tokio::test]
async fn missing_file_gives_exit_code_2() {
    let dir = TestDir::new();
    let path = dir.path("absent.yaml");
    let (code, out, err) = run(&["check", path.to_str().unwrap()]).await;
    assert_eq!((code, out.as_str()), (2, ""));
    assert!(err.starts_with("error: read "), "{err}");
}

#[tokio::test]
async fn plan_shows_changes_and_whether_they_apply() {
    let dir = TestDir::new();
    let old = dir.write("old.yaml", "generation: 2\n");
    let cases = [
        ("generation: 3\n", 1, "applies"),
        ("generation: 2\n", 0, "nothing"),
        ("generation: 1\n", 1, "stays"),
    ];
    for (header, code, effect) in cases {
        let body = if code == 0 { "" } else { ACCOUNT };
        let new = dir.write("new.yaml", &format!("{header}{body}"));
        let plan = run(&["plan", &new, "--against", &old, "--output", "json"]).await;
        assert_eq!(plan.0, code, "{plan:?}");
        assert_eq!(parse_json(&plan.1)["effect"], effect);
    }
    let new = dir.write("new.yaml", &format!("generation: 2\n{ACCOUNT}"));
    let (code, out, _) = run(&["plan", &new, "--against", &old]).await;
    assert_eq!(code, 1);
    assert!(out.contains("use a greater one"), "{out}");
    assert!(out.contains("added account desk"), "{out}");
    let bad = dir.write("bad.yaml", "generation: x\n");
    let (code, _, err) = run(&["plan", &bad, "--against", &old]).await;
    assert_eq!(code, 2);
    assert!(err.contains("bad.yaml is not valid"), "{err}");
}

#[tokio::test]
async fn plan_compares_with_the_configuration_service() {
    let platform = PlatformServer::new(PlatformSettings::default(), any_port())
        .await
        .unwrap();
    let against = platform.address().to_string();
    let dir = TestDir::new();
    let file = dir.write("fleet.yaml", "generation: 1\n");
    let plan = run(&["plan", &file, "--against", &against, "--output", "json"]).await;
    assert_eq!((plan.0, &parse_json(&plan.1)["current"]), (1, &Value::Null));
    let name = FileName::new("fleet").unwrap();
    platform
        .platform()
        .put_file(name, "generation: 1\n".to_owned())
        .unwrap();
    let plan = run(&["plan", &file, "--against", &against]).await;
    assert_eq!(
        (plan.0, plan.1.as_str()),
        (0, "fleet: generation 1 is there already\n")
    );
    platform.close().await;
    let (code, _, err) = run(&["plan", &file, "--against", &against]).await;
    assert_eq!(code, 3, "{err}");
}

#[tokio::test]
async fn wait_and_status_follow_a_change() {
    let fleet = Fleet::new().await;
    let admin = fleet.admin();
    fleet.put_fleet_file("generation: 1\n");
    let wait = [
        "wait", "--admin", &admin, "--file", "fleet", "--output", "json",
    ];
    let (code, out, _) = run(&[&wait[..], &["--generation", "1"]].concat()).await;
    assert_eq!(
        (code, &parse_json(&out)["holds_everywhere"]),
        (0, &Value::Bool(true))
    );
    fleet.wait_until_ready().await;
    let (code, out, _) = run(&["status", "--admin", &admin]).await;
    assert_eq!(code, 0, "{out}");
    assert!(out.contains("fleet: generation 1 "), "{out}");
    assert!(out.contains("  generation 1 on 1 of 1 nodes"), "{out}");
    let (code, out, _) = run(&[&wait[..], &["--generation", "9", "--timeout", "0"]].concat()).await;
    assert_eq!(
        (code, &parse_json(&out)["holds_everywhere"]),
        (1, &Value::Bool(false))
    );
    fleet.close().await;
}

#[tokio::test]
async fn wait_ends_at_once_when_the_file_is_refused() {
    let fleet = Fleet::new().await;
    let admin = fleet.admin();
    fleet.put_fleet_file("generation: 2\nunknown: 1\n");
    let wait = [
        "wait",
        "--admin",
        &admin,
        "--file",
        "fleet",
        "--generation",
        "2",
    ];
    let (code, out, _) = run(&[&wait[..], &["--timeout", "600"]].concat()).await;
    assert_eq!(code, 1);
    assert!(out.contains("generation 2 is refused"), "{out}");
    assert!(out.contains("unknown"), "{out}");
    let (code, out, _) = run(&["status", "--admin", &admin]).await;
    assert_eq!(code, 1);
    assert!(out.contains("the newest content is refused"), "{out}");
    fleet.close().await;
}

#[tokio::test]
async fn dump_prints_everything_or_one_part() {
    let fleet = Fleet::new().await;
    let admin = fleet.admin();
    let (code, out, _) = run(&["dump", "--admin", &admin]).await;
    assert_eq!(
        (code, &parse_json(&out)["vm"]),
        (0, &Value::from("entry-0"))
    );
    let (code, out, _) = run(&["dump", "--admin", &admin, "vm"]).await;
    assert_eq!((code, out.as_str()), (0, "\"entry-0\"\n"));
    let (code, _, _) = run(&["dump", "--admin", &admin, "absent"]).await;
    assert_eq!(code, 1);
    fleet.close().await;
    let (code, _, err) = run(&["dump", "--admin", &admin]).await;
    assert_eq!(code, 3);
    assert!(err.starts_with(&format!("error: {admin}/dump: ")), "{err}");
}

#[tokio::test]
async fn demo_answers_each_request_whole() {
    let args = ["demo", "--seconds", "1", "--rate", "15", "--output", "json"];
    let (code, out, err) = run(&args).await;
    assert_eq!(code, 0, "{out} {err}");
    let report = parse_json(&out);
    assert_eq!(report["nodes"], 2);
    let load = &report["load"];
    assert!(load["phases"][0]["endings"]["whole"].as_u64().unwrap() > 0);
    assert_eq!(load["audit"]["held"], 0);
    assert!(report["plain_ms"].as_f64().unwrap() > 0.0);
}

#[tokio::test]
async fn help_lists_exit_codes_and_completions_list_commands() {
    let (code, out, _) = run(&["--help"]).await;
    assert_eq!(code, 0);
    assert!(out.contains("Exit codes:"), "{out}");
    let (code, _, _) = run(&["no-such-command"]).await;
    assert_eq!(code, 2);
    let (code, out, _) = run(&["completions", "bash"]).await;
    assert_eq!(code, 0);
    for command in [
        "check", "plan", "status", "wait", "dump", "load", "stand-in", "demo",
    ] {
        assert!(out.contains(command), "{command}");
    }
}
