//! The settings file of `serve`, validated as a whole before anything starts.

use std::path::PathBuf;
use std::process::{Command, Output};

const VALID: &str = r#"
name = "edge-1"
data_centre = "here"
caller_address = "127.0.0.1:8000"
readiness_address = "127.0.0.1:8001"
peer_address = "127.0.0.1:8002"
log_address = "127.0.0.1:8003"
something_new = true
"#;

fn check(name: &str, text: &str) -> Output {
    let path: PathBuf =
        std::env::temp_dir().join(format!("settings-{name}-{}.toml", std::process::id()));
    std::fs::write(&path, text).expect("the settings file is written");
    let output = Command::new(env!("CARGO_BIN_EXE_cardamomvale"))
        .arg("check-settings")
        .arg(&path)
        .output()
        .expect("the command runs");
    std::fs::remove_file(&path).expect("the settings file is removed");
    output
}

/// The platform may add fields, so an unknown key is no error.
#[test]
fn valid_file() {
    let output = check("whole", VALID);
    assert!(output.status.success());
}

/// All errors of a file must be reported at once, each with its key.
#[test]
fn all_errors() {
    let text = VALID
        .replace("edge-1", "")
        .replace("127.0.0.1:8000", "somewhere")
        .replace(
            "something_new = true",
            "repeat_ratio = -1\nprobes_per_second = -1\ngrace_seconds = 0",
        );
    let output = check("faults", &text);
    assert_eq!(output.status.code(), Some(2));
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    for key in [
        "name:",
        "caller_address:",
        "repeat_ratio:",
        "probes_per_second:",
        "grace_seconds:",
    ] {
        assert!(
            stderr.contains(key),
            "{key} is missing in the output: {stderr}"
        );
    }
}

/// Seeds have the host's own peer port, so a host with any free port could reach none of them.
#[test]
fn seeds_without_port() {
    let text = VALID.replace(
        "127.0.0.1:8002\"",
        "127.0.0.1:0\"\nseeds = [\"127.0.0.2:8002\"]",
    );
    let output = check("seeds", &text);
    assert_eq!(output.status.code(), Some(2));
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(stderr.contains("peer_address:"), "{stderr}");
}

#[test]
fn missing_file() {
    let output = Command::new(env!("CARGO_BIN_EXE_cardamomvale"))
        .args(["serve", "--settings", "/nowhere/host.toml"])
        .output()
        .expect("the command runs");
    assert_eq!(output.status.code(), Some(2));
}
