//! Settings: checked at the start, all faults at once, flags before the file.

use std::process::Command;

use oleanderpostd::{Error, Settings, SettingsFile};

const WHOLE: &str = "
vm: n1
data_centre: dc1
callers_listen: 127.0.0.1:8000
links_listen: 127.0.0.1:8001
admin_listen: 127.0.0.1:8002
platform: 127.0.0.1:9000
link_key: 0123456789abcdef
";

#[test]
fn every_fault_is_named_at_once() {
    let file = SettingsFile::parse("vm: N1\nsilence_ms: 1\nlink_key: short\n").unwrap();
    let Err(Error::Settings(faults)) = Settings::from_file(&file) else {
        panic!("the settings are not valid");
    };
    let names: Vec<_> = faults.iter().map(|fault| fault.name).collect();
    let expected = [
        "vm",
        "data_centre",
        "callers_listen",
        "links_listen",
        "admin_listen",
        "platform",
        "link_key",
        "silence_ms",
    ];
    assert_eq!(names, expected);
}

#[test]
fn an_unknown_setting_is_a_fault_with_its_place() {
    let e = SettingsFile::parse("vm: n1\nverbose: true\n").unwrap_err();
    assert!(e.to_string().contains("verbose"), "{e}");
}

#[test]
fn upper_settings_go_before_lower_ones() {
    let lower = SettingsFile::parse(WHOLE).unwrap();
    let upper = SettingsFile {
        vm: Some("n2".to_owned()),
        ..SettingsFile::default()
    };
    let settings = Settings::from_file(&upper.over(lower)).unwrap();
    assert_eq!(settings.vm.as_str(), "n2");
    assert_eq!(settings.data_centre.as_str(), "dc1");
}

#[test]
fn the_key_is_never_printed() {
    let settings = Settings::from_file(&SettingsFile::parse(WHOLE).unwrap()).unwrap();
    assert!(!format!("{settings:?}").contains("0123456789abcdef"));
}

#[test]
fn the_daemon_refuses_wrong_settings_with_exit_code_1() {
    let out = Command::new(env!("CARGO_BIN_EXE_oleanderpostd"))
        .args(["--vm", "n1"])
        .output()
        .unwrap();
    assert_eq!(out.status.code(), Some(1));
    let message = String::from_utf8(out.stderr).unwrap();
    assert!(message.contains("data_centre: is missing"), "{message}");
}
