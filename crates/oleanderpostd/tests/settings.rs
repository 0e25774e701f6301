//! Validation of the settings: all faults are reported together, and flags override the settings file.

use std::process::Command;

use oleanderpostd::{Error, Settings, SettingsFile};

const VALID_SETTINGS: &str = "
vm: n1
data_centre: dc1
callers_listen: 127.0.0.1:8000
links_listen: 127.0.0.1:8001
admin_listen: 127.0.0.1:8002
platform: 127.0.0.1:9000
link_key: 0123456789abcdef
";

#[test]
fn all_faults_are_reported_together() {
    let file = SettingsFile::parse("vm: N1\nsilence_ms: 1\nlink_key: short\n").unwrap();
    let Err(Error::Settings(faults)) = Settings::from_file(&file) else {
        panic!("the settings must be rejected");
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
fn an_unknown_setting_is_reported_by_name() {
    let e = SettingsFile::parse("vm: n1\nverbose: true\n").unwrap_err();
    assert!(e.to_string().contains("verbose"), "{e}");
}

#[test]
fn flags_override_the_settings_file() {
    let file = SettingsFile::parse(VALID_SETTINGS).unwrap();
    let flags = SettingsFile {
        vm: Some("n2".to_owned()),
        ..SettingsFile::default()
    };
    let settings = Settings::from_file(&flags.with_fallback(file)).unwrap();
    assert_eq!(settings.vm.as_str(), "n2");
    assert_eq!(settings.data_centre.as_str(), "dc1");
}

#[test]
fn debug_output_hides_the_link_key() {
    let settings = Settings::from_file(&SettingsFile::parse(VALID_SETTINGS).unwrap()).unwrap();
    assert!(!format!("{settings:?}").contains("0123456789abcdef"));
}

#[test]
fn the_daemon_exits_with_code_1_on_invalid_settings() {
    let out = Command::new(env!("CARGO_BIN_EXE_oleanderpostd"))
        .args(["--vm", "n1"])
        .output()
        .unwrap();
    assert_eq!(out.status.code(), Some(1));
    let message = String::from_utf8(out.stderr).unwrap();
    assert!(message.contains("data_centre: is missing"), "{message}");
}
