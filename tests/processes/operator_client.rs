//! The operator's client: exit codes, messages and JSON.

use std::process::{Command, Output};

use laburnumtide::prelude::*;
use tempfile::TempDir;

use crate::notes::sample_note;

fn ctl(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_laburnumctl"))
        .args(args)
        .env_clear()
        .output()
        .unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

/// Guards against a valid note being rejected, and against errors without a location.
#[test]
fn check_note() {
    let dir = TempDir::new().unwrap();
    let path = dir.path().join("note.toml").display().to_string();
    std::fs::write(&path, sample_note()).unwrap();
    assert_eq!(ctl(&["check", &path]).status.code(), Some(0));

    let broken = sample_note().replace("account = \"yard\"", "account = \"yarn\"");
    std::fs::write(&path, broken).unwrap();
    let output = ctl(&["check", &path]);
    assert_eq!(output.status.code(), Some(3));
    let line = text(&output.stderr);
    assert!(line.starts_with(&format!("{path}:16:11: ")), "{line}");
}

/// Guards against a setting error that hides the others.
#[test]
fn all_setting_errors() {
    let output = ctl(&["--controls", "nowhere", "status"]);
    assert_eq!(output.status.code(), Some(2));
    let lines = text(&output.stderr);
    assert!(lines.contains("--controls"), "{lines}");
    assert!(lines.contains("LABURNUM_OPERATOR_SECRET"), "{lines}");
}

/// Guards against a reason that operators can't look up.
#[test]
fn explain_reasons() {
    for reason in Reason::ALL {
        let output = ctl(&["explain", reason.code()]);
        assert_eq!(output.status.code(), Some(0));
        assert!(text(&output.stdout).contains(reason.meaning()));
    }
    assert_eq!(ctl(&["explain", "no-such-reason"]).status.code(), Some(2));
}

/// Guards against a generated key that is printed with the digest of another key.
#[test]
fn generated_key() {
    let output = ctl(&["--json", "key", "yard-2", "yard"]);
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    let key = json["key"].as_str().unwrap();
    let digest = json["digest"].as_str().unwrap();
    assert_eq!(KeyDigest::of(key.as_bytes()).to_string(), digest);
    assert_ne!(
        ctl(&["--json", "key", "yard-2", "yard"]).stdout,
        output.stdout
    );
}

/// Guards against a hang when no control process is reachable.
#[test]
fn unreachable_controls() {
    let dir = TempDir::new().unwrap();
    let path = dir.path().join("note.toml").display().to_string();
    std::fs::write(&path, sample_note()).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_laburnumctl"))
        .args(["submit", &path, "--wait", "1s"])
        .env("LABURNUM_CONTROLS", "127.0.0.1:1")
        .env("LABURNUM_OPERATOR_SECRET", "operator-secret-0123456789")
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stderr).contains("connect to 127.0.0.1:1"));
}
