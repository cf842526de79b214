//! The operators' commands as processes: their output and exit codes.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use rstest::rstest;
use stand_ins::store::{Behaviour, Loss, StoreStandIn};

const BINARY: &str = env!("CARGO_BIN_EXE_cardamomvale");
const ORDINARY: &str = "examples/midlands.toml";
const PEAK: &str = "examples/midlands-peak.toml";

/// The exit code and output of a command.
struct CommandResult {
    code: i32,
    out: String,
    err: String,
}

fn run_command(arguments: &[&str]) -> CommandResult {
    let output: Output = Command::new(BINARY)
        .args(arguments)
        .env_remove("CARDAMOMVALE_LOG_ADDRESS")
        .output()
        .unwrap();
    CommandResult {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Runs a command against a store and returns the exit code and the whole output.
fn run_with_store(store: &StoreStandIn, arguments: &[&str]) -> (i32, String) {
    let address = store.address().to_string();
    let ended = run_command(&[arguments, &["--log-address", &address]].concat());
    (ended.code, ended.out + &ended.err)
}

fn start_store() -> StoreStandIn {
    StoreStandIn::on_loopback(Behaviour::default()).unwrap()
}

/// Starts a store that holds both presets, with the ordinary one in force.
fn store_with_presets() -> StoreStandIn {
    let store = start_store();
    for arguments in [
        ["preset", "put", ORDINARY],
        ["preset", "put", PEAK],
        ["preset", "choose", "ordinary"],
    ] {
        assert_eq!(run_with_store(&store, &arguments).0, 0);
    }
    store
}

#[test]
fn first_commands() {
    let store = start_store();
    let (code, text) = run_with_store(&store, &["preset", "put", ORDINARY]);
    assert_eq!(
        (code, text.as_str()),
        (0, "accepted, revision 1: preset ordinary is put\n")
    );
    let (code, text) = run_with_store(&store, &["preset", "choose", "ordinary"]);
    assert_eq!(
        (code, text.as_str()),
        (0, "accepted, revision 2: preset ordinary is in force\n")
    );
    let (code, text) = run_with_store(&store, &["data-centre", "leave", "soar"]);
    assert_eq!(
        (code, text.as_str()),
        (
            0,
            "accepted, revision 3: data centre soar gets no new work\n"
        )
    );
    let (code, text) = run_with_store(&store, &["host", "leave", "127.1.1.1"]);
    assert_eq!(
        (code, text.as_str()),
        (0, "accepted, revision 4: host 127.1.1.1 gets no new work\n")
    );
    let (code, text) = run_with_store(&store, &["preset", "list"]);
    assert_eq!(code, 0);
    for line in [
        "revision 4",
        "25 endpoints  in force",
        "data centre soar is leaving",
        "host 127.1.1.1 is leaving",
    ] {
        assert!(text.contains(line), "{text}");
    }
    let (code, text) = run_with_store(&store, &["preset", "show", "--json"]);
    assert!(code == 0 && text.contains("\"hallboard\""), "{text}");
}

// A preset file with two errors must be rejected as a whole, with one message that names both.
#[test]
fn invalid_file() {
    let path = std::env::temp_dir().join(format!("faulty-{}.toml", std::process::id()));
    let text = std::fs::read_to_string(ORDINARY).unwrap();
    let text = text.replacen("slots = 6", "slot = 6", 1) + "\n[extra]\n";
    std::fs::File::create(&path)
        .unwrap()
        .write_all(text.as_bytes())
        .unwrap();
    let file = path.to_str().unwrap();
    let store = start_store();
    let checked = run_command(&["preset", "check", file]);
    let (code, put) = run_with_store(&store, &["preset", "put", file]);
    std::fs::remove_file(&path).unwrap();
    assert_eq!((checked.code, code), (2, 2));
    assert_eq!(checked.err, put);
    for part in [
        "2 faults, nothing is taken",
        "unknown key \"slot\"",
        "unknown key \"extra\"",
    ] {
        assert!(put.contains(part), "{put}");
    }
    assert_eq!(store.counts().appends, 0);
    assert_eq!(run_command(&["preset", "check", ORDINARY]).code, 0);
}

#[rstest]
#[case(&["preset", "choose", "summer"], 1, "no preset is named summer: put it first")]
#[case(&["preset", "choose", "peak", "--revision", "2"], 1, "the preset in force was changed first, at revision 3")]
#[case(&["preset", "choose", "peak", "--revision", "99"], 1, "revision or offset 99, which this log has not reached")]
#[case(&["data-centre", "leave", "sour"], 1, "no preset names a data centre sour")]
#[case(&["host", "leave", "10.9.9.9"], 1, "no entry host is named 10.9.9.9")]
#[case(&["data-centre", "pause", "soar"], 2, "say leave or return")]
#[case(&["preset", "choose", "peak", "--id", "yes"], 2, "--id is no id")]
#[case(&["preset", "show", "summer"], 2, "see `preset list`")]
#[case(&["preset", "put", "no-such-file.toml"], 2, "no-such-file.toml")]
fn refusal_reasons(#[case] arguments: &[&str], #[case] code: i32, #[case] message: &str) {
    let store = store_with_presets();
    let (ended, text) = run_with_store(&store, arguments);
    assert!(ended == code && text.contains(message), "{ended} {text}");
    assert_eq!(store.counts().appends, 3, "the command wrote to the store");
}

// The store accepts an operator's command and fails before it answers. The command must report
// that it may have been applied and how to retry it. The retry with the same ID must return the
// first outcome and must not apply the command again.
#[test]
fn lost_answer() {
    let store = store_with_presets();
    store.change(|b| {
        (b.loss, b.losses, b.down_after_loss) = (Some(Loss::Gateway), 1, true);
    });
    let (code, text) = run_with_store(&store, &["preset", "choose", "peak"]);
    assert!(
        code == 3 && text.contains("ask again with --id "),
        "{code} {text}"
    );
    let id = text.trim().rsplit(' ').next().unwrap();
    store.change(|b| b.outage = None);
    assert_eq!(
        run_with_store(&store, &["preset", "choose", "ordinary"]).0,
        0
    );
    let (code, text) = run_with_store(&store, &["preset", "choose", "peak", "--id", id]);
    assert_eq!(
        (code, text.as_str()),
        (0, "accepted, revision 4: preset peak is in force\n")
    );
    assert!(
        run_with_store(&store, &["preset", "list"])
            .1
            .contains("revision 5")
    );
}

// The store has trimmed records while no entry host was running to write a snapshot. `preset put`
// must fail with a clear message, and `preset begin` must work, so that a new entry host is ready
// with its preset. `preset begin` is refused while the store still holds all records.
#[test]
fn trimmed_records() {
    let store = store_with_presets();
    let (code, text) = run_with_store(&store, &["preset", "begin", PEAK]);
    assert!(
        code == 1 && text.contains("use put and choose"),
        "{code} {text}"
    );
    store.change(|b| b.keep_records = Some(1));
    for _ in 0..2 {
        store.append("config", "noise".into());
    }
    let (code, text) = run_with_store(&store, &["preset", "put", PEAK]);
    assert!(
        code == 4 && text.contains("no snapshot has come yet"),
        "{code} {text}"
    );
    let (code, text) = run_with_store(&store, &["preset", "begin", PEAK]);
    assert_eq!(
        (code, text.as_str()),
        (
            0,
            "accepted, revision 6: all begins anew with preset peak in force\n"
        )
    );
    let host = EntryHost::start(&store);
    let start = Instant::now();
    let listed = || run_command(&["preset", "list", "--entry", &host.admin]).out;
    while !listed().contains("endpoints  in force") {
        assert!(start.elapsed() < Duration::from_secs(20), "{}", listed());
    }
}

#[test]
fn unreachable_address() {
    let free = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = free.local_addr().unwrap().to_string();
    drop(free);
    for flag in ["--log-address", "--entry"] {
        let ended = run_command(&["preset", "choose", "peak", flag, &address]);
        assert_eq!(ended.code, 4, "{}", ended.err);
        assert!(
            ended.err.starts_with("unreachable, nothing was done: "),
            "{}",
            ended.err
        );
    }
    let ended = run_command(&["preset", "list"]);
    assert!(ended.code == 2 && ended.err.contains("--log-address IP:port, --entry IP:port"));
}

/// An entry host as a process, killed when dropped.
struct EntryHost {
    child: Child,
    admin: String,
}

impl EntryHost {
    fn start(store: &StoreStandIn) -> EntryHost {
        let address = store.address().to_string();
        let mut child = Command::new(BINARY)
            .args(["entry", "--name", "trent-1", "--data-centre", "trent"])
            .args([
                "--caller-address",
                "127.0.0.1:0",
                "--peer-address",
                "127.0.0.1:0",
            ])
            .args(["--admin-address", "127.0.0.1:0", "--log-address", &address])
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let out = BufReader::new(child.stdout.take().unwrap());
        let ports = out
            .lines()
            .map_while(Result::ok)
            .find(|l| l.starts_with('{'));
        let ports: serde_json::Value = serde_json::from_str(&ports.unwrap()).unwrap();
        let admin = ports["admin"].as_str().unwrap().to_owned();
        EntryHost { child, admin }
    }
}

impl Drop for EntryHost {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn through_host() {
    let store = store_with_presets();
    let host = EntryHost::start(&store);
    let entry = |arguments: &[&str]| run_command(&[arguments, &["--entry", &host.admin]].concat());
    let chosen = entry(&["preset", "choose", "peak"]);
    // The host's own joining also takes a revision, before or after the command's.
    let revision = match chosen.out.as_str() {
        "accepted, revision 4: preset peak is in force\n" => 4,
        "accepted, revision 5: preset peak is in force\n" => 5,
        other => panic!("{other} {}", chosen.err),
    };
    let listed = entry(&["preset", "list", "--json"]);
    let list: serde_json::Value = serde_json::from_str(&listed.out).unwrap();
    assert_eq!(list["in-force"], "peak");
    assert!(list["revision"].as_u64().unwrap() >= revision);
    let refused = entry(&["data-centre", "leave", "sour"]);
    assert_eq!(refused.code, 1, "{}", refused.err);
}
