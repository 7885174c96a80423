//! Validation of settings files without a running daemon.

use std::process::{Command, Output};

use serde_json::Value;
use tempfile::TempDir;

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_comfreyramp"))
        .env_clear()
        .args(arguments)
        .output()
        .expect("the tool runs")
}

fn check(arguments: &[&str], text: &str) -> Output {
    let folder = TempDir::new().expect("a folder");
    let path = folder.path().join("settings.json");
    std::fs::write(&path, text).expect("the file can be written");
    let path = path.to_str().expect("a path in UTF-8");
    run(&[arguments, &[path]].concat())
}

const TEAM: &[&str] = &["settings", "check"];
const TEAM_JSON: &[&str] = &["--json", "settings", "check"];
const DAEMON_JSON: &[&str] = &["--json", "settings", "check", "--daemon"];

const DAEMON_FILE: &str = r#"{
    "name": "entry-1", "region": "south", "zone": "zone-1",
    "callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0",
    "platform": { "store": "http://127.0.0.1:1", "vm_list": "http://127.0.0.1:1" },
    "operators_token": "sixteen-or-more-"
}"#;

fn places(output: &Output) -> Vec<String> {
    let printed: Value = serde_json::from_slice(&output.stdout).expect("JSON on stdout");
    let findings = printed["findings"].as_array().expect("a list of findings");
    findings
        .iter()
        .filter_map(|it| it["place"].as_str().map(str::to_owned))
        .collect()
}

fn stderr_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn good_files_are_accepted() {
    let output = check(TEAM, r#"{"customers": []}"#);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let output = check(DAEMON_JSON, DAEMON_FILE);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert!(places(&output).is_empty());
}

/// Scripts that validate files before a change rely on the exit code and on the
/// place of each finding.
#[test]
fn findings_have_their_own_exit_code() {
    let text = r#"{"customers": [{"name": "press", "rate": -1, "burst": 0}]}"#;
    let output = check(TEAM, text);
    assert_eq!(output.status.code(), Some(3), "{output:?}");
    let shown = stderr_text(&output);
    assert!(
        shown.contains("customers[0].rate: -1 is out of bounds"),
        "{shown}"
    );
    assert!(shown.contains("customers[0].burst"), "{shown}");
    let output = check(TEAM_JSON, text);
    assert_eq!(output.status.code(), Some(3));
    assert_eq!(places(&output), ["customers[0].rate", "customers[0].burst"]);
    let output = check(DAEMON_JSON, r#"{"operators_token": "secret-word"}"#);
    assert_eq!(output.status.code(), Some(3));
    assert!(places(&output).contains(&"operators_token".to_owned()));
    assert!(!format!("{output:?}").contains("secret-word"), "{output:?}");
}

#[test]
fn a_file_that_cant_be_read_is_a_finding() {
    let output = run(&["settings", "check", "/nowhere/at/all.json"]);
    assert_eq!(output.status.code(), Some(3), "{output:?}");
    assert!(
        stderr_text(&output).contains("/nowhere/at/all.json"),
        "{output:?}"
    );
}

/// Runs the tool without daemon addresses, with an unreachable daemon and with
/// an unknown command.
#[test]
fn other_commands_fail_without_a_daemon() {
    let output = run(&["settings", "teams"]);
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    assert!(
        stderr_text(&output).contains("COMFREYRAMP_OPERATORS"),
        "{output:?}"
    );
    let output = run(&["--operators", "http://127.0.0.1:1", "settings", "teams"]);
    assert_eq!(output.status.code(), Some(5), "{output:?}");
    let output = run(&["settings", "paint"]);
    assert_eq!(output.status.code(), Some(1), "{output:?}");
}
