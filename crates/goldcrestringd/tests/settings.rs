//! Invalid settings give one error message with file, line and field, and exit code 2.

use expect_test::{Expect, expect};
use std::path::Path;
use std::process::{Command, Output};
use tempfile::TempDir;

const DAEMON: &str = env!("CARGO_BIN_EXE_goldcrestringd");

const VALID: &str = "\
cluster: test
node: entry-1
data_folder: data
peer_token_file: token
operator_token_file: token
backend_token_file: token
peers:
  - {node: entry-1, address: \"127.0.0.1:7401\", data_centre: dc-1, role: voter}
  - {node: entry-2, address: \"127.0.0.1:7402\", data_centre: dc-2}
";

fn folder() -> TempDir {
    let folder = TempDir::new().expect("a temporary folder");
    std::fs::create_dir(folder.path().join("data")).expect("a new folder");
    std::fs::write(folder.path().join("token"), "a-token-of-twenty-six-bytes")
        .expect("a written file");
    folder
}

fn check(folder: &Path, settings: &str) -> Output {
    std::fs::write(folder.join("settings.yaml"), settings).expect("a written file");
    let mut command = Command::new(DAEMON);
    command.current_dir(folder).args(["--settings", "settings.yaml", "--check"]);
    command.output().expect("the daemon runs")
}

/// Replaces `from` by `to` in the valid settings and checks that the daemon exits with code 2 and the
/// expected error.
fn check_error(from: &str, to: &str, expected: &Expect) {
    let folder = folder();
    assert!(VALID.contains(from), "{from}");
    let output = check(folder.path(), &VALID.replace(from, to));
    assert_eq!(output.status.code(), Some(2), "{to}");
    expected.assert_eq(&String::from_utf8_lossy(&output.stderr));
}

#[test]
fn valid_settings_pass_the_check() {
    let output = check(folder().path(), VALID);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
}

#[test]
fn invalid_settings_are_reported_with_field_and_line() {
    let cases = [
        (
            "cluster: test",
            "cluster: test\nclutser: x",
            expect![[r#"
            goldcrestringd: settings.yaml:2: clutser: unknown field `clutser`, expected one of cluster, node, data_folder, peers, peer_token_file, operator_token_file, backend_token_file, limits, timing
        "#]],
        ),
        (
            "peers:",
            "timing:\n  stop_timeout_ms: 2s\npeers:",
            expect![[r#"
            goldcrestringd: settings.yaml:8: stop_timeout_ms: invalid u64
        "#]],
        ),
        (
            "127.0.0.1:7402",
            "127.0.0.1:7401",
            expect![[r#"
            goldcrestringd: settings.yaml:9: address: is already used by another peer
        "#]],
        ),
        (
            "node: entry-2",
            "node: entry-1",
            expect![[r#"
            goldcrestringd: settings.yaml:9: node: is already used by another peer
        "#]],
        ),
        (
            "data_folder: data",
            "data_folder: missing",
            expect![[r#"
            goldcrestringd: settings.yaml:3: data_folder: does not exist or is not a directory
        "#]],
        ),
        (
            "data_folder: data\n",
            "",
            expect![[r#"
            goldcrestringd: settings.yaml:2: data_folder: is required: a voter or spare stores its replica there
        "#]],
        ),
        (
            "peer_token_file: token",
            "peer_token_file: none",
            expect![[r#"
            goldcrestringd: settings.yaml:4: peer_token_file: No such file or directory (os error 2)
        "#]],
        ),
        (
            "node: entry-1\ndata",
            "node: entry-7\ndata",
            expect![[r#"
            goldcrestringd: settings.yaml:2: node: is not listed in peers
        "#]],
        ),
        (
            "cluster: test",
            "cluster: Not A Name",
            expect![[r#"
            goldcrestringd: settings.yaml:1: cluster: must consist of a-z, 0-9, '-', '_' and '.'
        "#]],
        ),
        (
            "peers:",
            "limits:\n  threads: 0\npeers:",
            expect![[r#"
            goldcrestringd: settings.yaml:8: threads: must be from 1 to 64
        "#]],
        ),
    ];
    for (from, to, expected) in cases {
        check_error(from, to, &expected);
    }
}

#[test]
fn version_and_help_are_printed_and_sample_settings_are_valid() {
    let version = Command::new(DAEMON).arg("--version").output().unwrap();
    assert!(String::from_utf8_lossy(&version.stdout).starts_with("goldcrestringd "));
    let help = Command::new(DAEMON).arg("--help").output().unwrap();
    assert!(String::from_utf8_lossy(&help.stdout).contains("--check"));
    let folder = folder();
    for token in ["peer", "operator", "backend"] {
        let path = folder.path().join(format!("{token}.token"));
        std::fs::write(path, "a-token-of-twenty-six-bytes").unwrap();
    }
    let sample = include_str!("../../../examples/settings/goldcrestringd.yaml");
    let output = check(folder.path(), sample);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
}
