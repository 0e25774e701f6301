//! Checks of fleet files: one check reports every error with its position.

use oleanderpost_config::{Check, FleetFile, MAX_FILE_LEN, MAX_FINDINGS, ServiceKind};
use oleanderpost_types::{Generation, Millis, Tokens};

const VALID: &str = r#"
format: 1
generation: 7
services:
  - name: drafting
    kind: engines
    model: {name: letters, version: 3}
    time_limit_ms: 60000
    classes:
      - {name: short, up_to: 4000}
      - {name: long, up_to: 1000000}
    upstreams:
      - {id: e1, vm: vm-1, address: "127.0.0.1:8001", data_centre: north, memory: 500000}
  - name: booking
    kind: plain
    time_limit_ms: 5000
    upstreams:
      - {id: b1, vm: vm-2, address: "127.0.0.1:8002", data_centre: north}
    calls:
      - {method: POST, path: /book, repeatable: false}
accounts:
  - name: desk
    token_sha256: "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
    services: [drafting, booking]
    share: 3
rollouts:
  - {service: drafting, to: {name: letters, version: 4}, percent: 10}
"#;

/// `line:column field` of each finding.
fn finding_positions(text: &str) -> Vec<String> {
    let check = Check::new(text.as_bytes());
    assert!(check.file().is_none());
    let format_position =
        |f: &oleanderpost_config::Finding| format!("{}:{} {}", f.line, f.column, f.field);
    check.findings().iter().map(format_position).collect()
}

#[test]
fn a_valid_file_is_parsed() {
    let file = FleetFile::from_yaml(VALID.as_bytes()).expect("no findings");
    assert_eq!(file.generation, Generation::new(7));
    assert_eq!(file.services[0].classes[1].up_to, Tokens::new(1_000_000));
    assert_eq!(file.services[1].kind, ServiceKind::Plain);
    assert_eq!(file.services[1].time_limit_ms, Millis::new(5000));
    assert_eq!(file.accounts[0].share, 3);
    assert_eq!(file.rollouts[0].percent, 10);
}

#[test]
fn the_validating_parser_agrees_with_the_derived_deserializer() {
    let parsed = FleetFile::from_yaml(VALID.as_bytes()).expect("no findings");
    let derived: FleetFile = serde_saphyr::from_str(VALID).expect("derived form");
    assert_eq!(parsed, derived);
}

#[test]
fn all_errors_are_reported_in_one_check() {
    let text = r#"generation: 0
extra: 1
services:
  - name: Drafting
    kind: engine
    time_limit_ms: 0
    upstreams:
      - {id: e1, vm: vm-1, address: "localhost:1", data_centre: north, memory: -1}
    classes:
      - {name: a, up_to: 10}
      - {name: a, up_to: 10}
accounts:
  - name: desk
    token_sha256: "abc"
    services: [drafting]
    share: 0
"#;
    let expected = [
        "1:13 generation",
        "2:1 extra",
        "4:11 services[0].name",
        "5:11 services[0].kind",
        "6:20 services[0].time_limit_ms",
        "8:37 services[0].upstreams[0].address",
        "8:80 services[0].upstreams[0].memory",
        "11:16 services[0].classes[1].name",
        "11:26 services[0].classes[1].up_to",
        "14:19 accounts[0].token_sha256",
        "15:16 accounts[0].services[0]",
        "16:12 accounts[0].share",
    ];
    assert_eq!(finding_positions(text), expected);
}

#[test]
fn a_finding_lists_the_allowed_values() {
    let check = Check::new(b"generation: 1\nservices:\n  - kind: engine\n");
    let text = check.findings().to_string();
    assert!(
        text.contains("3:11: services[0].kind: found \"engine\"; allowed: engines, plain"),
        "{text}"
    );
}

#[test]
fn duplicate_fields_and_names_are_found() {
    let text = VALID
        .replace("generation: 7", "generation: 7\ngeneration: 8")
        .replace("name: booking", "name: drafting");
    let expected = [
        "4:1 generation",
        "15:11 services[1].name",
        "25:26 accounts[0].services[1]",
        "28:15 rollouts[0].service",
    ];
    assert_eq!(finding_positions(&text), expected);
}

#[test]
fn a_duplicate_upstream_is_found_across_services() {
    let text = VALID.replace("id: b1", "id: e1").replace(":8002", ":8001");
    let expected = [
        "18:14 services[1].upstreams[0].id",
        "18:37 services[1].upstreams[0].address",
    ];
    assert_eq!(finding_positions(&text), expected);
}

#[test]
fn fields_must_fit_the_kind_of_service() {
    let text = VALID
        .replace("model: {name: letters, version: 3}", "calls: []")
        .replace(
            "kind: plain",
            "kind: plain\n    model: {name: m, version: 1}",
        );
    let expected = [
        "5:5 services[0].model",
        "7:12 services[0].calls",
        "16:12 services[1].model",
    ];
    assert_eq!(finding_positions(&text), expected);
}

#[test]
fn a_rollout_needs_an_engine_service_of_the_file() {
    let unknown = VALID.replace("{service: drafting,", "{service: other,");
    assert_eq!(finding_positions(&unknown), ["27:15 rollouts[0].service"]);
    let plain = VALID.replace("{service: drafting,", "{service: booking,");
    assert_eq!(finding_positions(&plain), ["27:15 rollouts[0].service"]);
    let above_100_percent = VALID.replace("percent: 10", "percent: 101");
    assert_eq!(
        finding_positions(&above_100_percent),
        ["27:67 rollouts[0].percent"]
    );
}

#[test]
fn a_file_with_only_accounts_may_refer_to_other_files() {
    let start = VALID.find("accounts:").expect("accounts");
    let end = VALID.find("rollouts:").expect("rollouts");
    let text = format!("generation: 1\n{}", &VALID[start..end]);
    assert!(FleetFile::from_yaml(text.as_bytes()).is_ok());
}

#[test]
fn a_newer_format_is_refused_but_its_generation_is_read() {
    let text = VALID
        .replace("format: 1", "format: 2")
        .replace("services:", "pools:");
    let check = Check::new(text.as_bytes());
    assert_eq!(check.generation(), Some(Generation::new(7)));
    assert_eq!(finding_positions(&text), ["2:9 format"]);
}

#[test]
fn a_deleted_file_defines_nothing() {
    assert!(FleetFile::from_yaml(b"generation: 9\ndeleted: true\n").is_ok());
    let text = VALID.replace("generation: 7", "generation: 7\ndeleted: true");
    assert_eq!(
        finding_positions(&text),
        ["6:3 services", "23:3 accounts", "28:3 rollouts"]
    );
}

#[test]
fn invalid_yaml_has_one_finding() {
    for text in [
        "generation: [",
        "\t",
        "a: b: c",
        "generation: 1\n---\ngeneration: 2\n",
        "- 1",
        "",
        "&a [*a, *b]",
    ] {
        let check = Check::new(text.as_bytes());
        assert_eq!(check.findings().len(), 1, "{text:?}: {}", check.findings());
    }
    assert_eq!(Check::new(&[0xff, 0xfe, 0xff]).findings().len(), 1);
    assert_eq!(
        Check::new(&vec![b' '; MAX_FILE_LEN + 1]).findings().len(),
        1
    );
}

#[test]
fn nested_aliases_do_not_exhaust_memory() {
    let mut text = "a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n".to_owned();
    for i in 1..12 {
        let inner = vec![format!("*a{}", i - 1); 10].join(", ");
        text.push_str(&format!("a{i}: &a{i} [{inner}]\n"));
    }
    assert_eq!(Check::new(text.as_bytes()).findings().len(), 1);
}

#[test]
fn a_hostile_file_is_refused_with_bounded_work() {
    let keys: String = (0..60_000).map(|i| format!("k{i}: 1\n")).collect();
    let check = Check::new(keys.as_bytes());
    assert_eq!(check.findings().len(), MAX_FINDINGS + 1);
    let last = check.findings().iter().next_back().expect("a finding");
    assert_eq!(last.message, "there are more findings");
}
