//! Differences between configurations.

use oleanderpost_config::{FleetFile, Plan, Snapshot};

const BEFORE: &str = r#"
generation: 1
services:
  - name: booking
    kind: plain
    time_limit_ms: 5000
    upstreams:
      - {id: b1, vm: vm-1, address: "127.0.0.1:8001", data_centre: north}
      - {id: b2, vm: vm-2, address: "127.0.0.1:8002", data_centre: north}
accounts:
  - name: desk
    token_sha256: "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
    services: [booking]
"#;

fn snapshot(text: &str) -> Snapshot {
    let file = FleetFile::from_yaml(text.as_bytes()).expect("no findings");
    Snapshot::from_files([&file])
}

#[test]
fn equal_configurations_have_an_empty_plan() {
    assert!(Plan::new(&snapshot(BEFORE), &snapshot(BEFORE)).is_empty());
}

#[test]
fn a_plan_lists_added_removed_and_changed_objects() {
    let after = BEFORE
        .replace("5000", "6000")
        .replace("{id: b2, vm: vm-2", "{id: b3, vm: vm-2")
        .replace(
            "services: [booking]",
            "services: [booking]\n    requests_per_second: 9",
        );
    let plan = Plan::new(&snapshot(BEFORE), &snapshot(&after));
    let expected = "changed service booking\n  time_limit_ms: 5000 -> 6000\n\
                removed upstream booking/b2\nadded upstream booking/b3\n\
                changed account desk\n  requests_per_second: none -> 9";
    assert_eq!(plan.to_string(), expected);
}

#[test]
fn a_plan_from_an_empty_configuration_adds_everything() {
    let plan = Plan::new(&Snapshot::default(), &snapshot(BEFORE));
    let expected = "added service booking\nadded upstream booking/b1\nadded upstream booking/b2\nadded account desk";
    assert_eq!(plan.to_string(), expected);
}
