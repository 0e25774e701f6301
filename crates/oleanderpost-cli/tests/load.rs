//! Runs `oleanderpost load` against engine stand-ins in the test process.

use std::{net::SocketAddr, process::Command};

use serde_json::Value;

use oleanderpost::types::Millis;
use oleanderpost_standin::{CacheChange, EngineFaults, EngineServer, EngineSettings};

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

async fn start_engine() -> EngineServer {
    let settings = EngineSettings {
        time_scale: 20.0,
        cache_lag_ms: Millis::new(0),
        cache_gaps: 0.0,
        ..EngineSettings::default()
    };
    EngineServer::new(settings, any_port(), any_port())
        .await
        .unwrap()
}

/// Runs the binary against `engine` and returns its exit code and report.
async fn run_load(engine: &EngineServer, args: &[&str]) -> (i32, Value) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_oleanderpost"));
    let direct = engine.address().to_string();
    let evidence = engine.control_address().to_string();
    command.args(["load", "--direct", &direct, "--evidence", &evidence]);
    command.args(["--output", "json", "--long-share", "0", "--answer", "5"]);
    if !args.contains(&"--phase") {
        command.args(["--phase", "40x1"]);
    }
    command.args(args);
    let output = tokio::task::spawn_blocking(move || command.output());
    let output = output.await.unwrap().unwrap();
    let report = serde_json::from_slice(&output.stdout);
    let stderr = String::from_utf8_lossy(&output.stderr);
    (output.status.code().unwrap(), report.expect(&stderr))
}

fn ending_count(report: &Value, ending: &str) -> u64 {
    report["phases"][0]["endings"][ending].as_u64().unwrap()
}

#[tokio::test]
async fn whole_answers_are_counted_and_timed() {
    let engine = start_engine().await;
    for form in ["tokens", "text"] {
        let (code, report) = run_load(&engine, &["--service", "base", "--form", form]).await;
        assert_eq!(code, 0, "{report}");
        let whole = ending_count(&report, "whole");
        assert!(whole > 10, "{report}");
        assert_eq!(report["audit"]["runs"], whole);
        let classes = report["phases"][0]["classes"].as_array().unwrap();
        let used = classes
            .iter()
            .filter(|class| class["endings"]["whole"] != 0);
        let mut interval_count = 0;
        for class in used {
            assert!(
                class["first_token"]["p50_ms"].as_f64().unwrap() > 0.0,
                "{class}"
            );
            interval_count += class["between_tokens"]["count"].as_u64().unwrap();
        }
        assert!(
            interval_count > 0 && interval_count <= whole * 4,
            "{report}"
        );
    }
    engine.close().await;
}

#[tokio::test]
async fn same_seed_sends_the_same_prompts() {
    let mut prompts_by_run = Vec::new();
    for seed in ["7", "7", "8"] {
        let engine = start_engine().await;
        let (_, report) = run_load(&engine, &["--service", "base", "--seed", seed]).await;
        let runs = engine.engine().evidence().runs;
        let mut prompts: Vec<u64> = runs.iter().map(|run| run.prompt.get()).collect();
        prompts.sort_unstable();
        assert_eq!(ending_count(&report, "whole"), prompts.len() as u64);
        prompts_by_run.push(prompts);
        engine.close().await;
    }
    assert_eq!(prompts_by_run[0], prompts_by_run[1]);
    assert_ne!(prompts_by_run[0], prompts_by_run[2]);
}

#[tokio::test]
async fn dead_engine_gives_exit_code_1() {
    let engine = start_engine().await;
    let faults = EngineFaults {
        dead: true,
        ..EngineFaults::default()
    };
    engine.set_faults(faults);
    let (code, report) = run_load(&engine, &["--service", "base"]).await;
    assert_eq!(code, 1);
    assert_eq!(ending_count(&report, "whole"), 0);
    assert!(ending_count(&report, "broken") > 10, "{report}");
    engine.close().await;
}

#[tokio::test]
async fn refusals_are_counted_by_outcome() {
    let engine = start_engine().await;
    let (code, report) = run_load(&engine, &["--service", "other"]).await;
    assert_eq!(code, 0);
    assert!(ending_count(&report, "not_run") > 10);
    assert_eq!(
        report["details"]["model-not-loaded"],
        ending_count(&report, "not_run")
    );
    engine.close().await;
}

#[tokio::test]
async fn shared_prefix_is_the_same_in_each_prompt() {
    let mut stored_blocks = Vec::new();
    for shared in ["0", "10240"] {
        let engine = start_engine().await;
        let mut args = vec!["--service", "base", "--shared-prefix", shared];
        args.extend([
            "--shortest",
            "10240",
            "--longest",
            "10300",
            "--phase",
            "20x1",
        ]);
        let (code, report) = run_load(&engine, &args).await;
        assert_eq!(code, 0, "{report}");
        let events = engine.engine().cache_events(0).events;
        let stores = events
            .iter()
            .filter(|event| event.change == CacheChange::Stored);
        stored_blocks.push(stores.count());
        engine.close().await;
    }
    // The shared prefix of 10240 tokens fills 40 blocks of 256 tokens.
    assert_eq!(stored_blocks[1], 40);
    assert!(
        stored_blocks[0] > 10 * stored_blocks[1],
        "{stored_blocks:?}"
    );
}
