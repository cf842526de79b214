//! Measures how soon a configuration change is in force, and the cost of following the log.
//!
//! `cargo bench --bench config_in_force` prints the time until a change is in
//! force on all hosts, the cost of the fold and of snapshots by size, and the bytes
//! that one host's reads take. The arguments `in-force`, `fold` and `reading` after
//! `--` select among them.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use coordination::config::{Applied, Change, Command, CommandId, Fold, Record, parse_preset};
use protocol::config_record::{decode_record, encode_command, encode_snapshot};
use stand_ins::store::{Behaviour, Outage, StoreStandIn};
use transport::log::{
    BlockingStoreClient, CommandRequest, Follower, FollowerOptions, Outcome, STORE_TIMEOUT,
    Submission,
};

const ORDINARY_PRESET: &str = include_str!("../examples/hr-central.toml");
const PEAK_PRESET: &str = include_str!("../examples/hr-central-peak.toml");
const CHANGES: usize = 200;
const OUTAGES: usize = 10;
const OUTAGE_DURATION: Duration = Duration::from_secs(3);

fn main() {
    let tables: [(&str, fn()); 3] = [
        ("in-force", in_force),
        ("fold", fold_cost),
        ("reading", read_cost),
    ];
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let is_selected = |name: &str| arguments.iter().any(|a| a == name);
    let any_selected = tables.iter().any(|(name, _)| is_selected(name));
    for (name, table) in tables {
        if !any_selected || is_selected(name) {
            table();
        }
    }
}

/// A store, hosts that follow its log of configuration changes, and an operator.
struct Site {
    store: StoreStandIn,
    hosts: Vec<Arc<Follower>>,
    operator: Submission,
}

impl Site {
    fn start(hosts: usize) -> Site {
        let store = StoreStandIn::on_loopback(Behaviour::default())
            .expect("the store stand-in can be started");
        let address = store.address();
        let client = || BlockingStoreClient::new(address, STORE_TIMEOUT);
        let follow = || Arc::new(Follower::start(client(), FollowerOptions::default()));
        let hosts: Vec<Arc<Follower>> = (0..hosts).map(|_| follow()).collect();
        let operator = Submission::new(client(), follow(), Duration::from_secs(20));
        let site = Site {
            store,
            hosts,
            operator,
        };
        site.submit(put_preset(ORDINARY_PRESET));
        site.submit(put_preset(PEAK_PRESET));
        site
    }

    /// Submits a change and returns the revision that it is in force since.
    fn submit(&self, change: Change) -> u64 {
        let request = CommandRequest {
            id: None,
            decided_on: None,
            change,
        };
        match self.operator.submit(&request) {
            Outcome::Accepted { revision } => revision,
            other => panic!("{other:?}"),
        }
    }

    /// Waits until `revision` is in force on every host, and returns when the last host had it.
    fn wait_in_force(&self, revision: u64) -> Instant {
        let shows = |h: &Arc<Follower>| h.config().borrow().revision >= revision;
        while !self.hosts.iter().all(shows) {
            std::thread::sleep(Duration::from_micros(50));
        }
        Instant::now()
    }
}

fn put_preset(text: &str) -> Change {
    Change::PutPreset {
        text: text.to_owned(),
    }
}

fn choose_example(n: usize) -> Change {
    let name = ["ordinary", "peak"][n % 2].to_owned();
    Change::ChoosePreset { name }
}

fn in_force() {
    println!("Change in force, milliseconds from the operator's command ({CHANGES} changes)");
    println!("| hosts | store | accepted p50 / p99 | last host p50 / p99 / max |");
    println!("|---|---|---|---|");
    for hosts in [4, 8, 17, 34, 68] {
        for slow_ms in [0, 100] {
            let site = Site::start(hosts);
            site.store.change(|b| b.slow_ms = slow_ms);
            let count = if slow_ms == 0 { CHANGES } else { CHANGES / 10 };
            let mut accepted = Vec::new();
            let mut last = Vec::new();
            for n in 0..count {
                let start = Instant::now();
                let revision = site.submit(choose_example(n));
                accepted.push(start.elapsed());
                last.push(site.wait_in_force(revision) - start);
            }
            let store = match slow_ms {
                0 => "ordinary".to_owned(),
                _ => format!("{slow_ms} ms delay, {count} changes"),
            };
            print_row(hosts, &store, accepted, last);
        }
        after_outage(hosts);
    }
}

/// Measures commands that wait for the end of a store outage; the time counts from that end.
fn after_outage(hosts: usize) {
    for kind in [Outage::Refusing, Outage::Silent] {
        let site = Site::start(hosts);
        site.submit(choose_example(0));
        let mut accepted = Vec::new();
        let mut last = Vec::new();
        for n in 1..=OUTAGES {
            site.store.change(|b| b.outage = Some(kind));
            let (end, revision, answered) = std::thread::scope(|scope| {
                let giving = scope.spawn(|| (site.submit(choose_example(n)), Instant::now()));
                std::thread::sleep(OUTAGE_DURATION);
                site.store.change(|b| b.outage = None);
                let end = Instant::now();
                let (revision, answered) = giving.join().expect("the command is accepted");
                (end, revision, answered)
            });
            accepted.push(answered - end);
            last.push(site.wait_in_force(revision) - end);
        }
        let store = format!("after {OUTAGES} outages of {OUTAGE_DURATION:?}, {kind:?}");
        print_row(hosts, &store, accepted, last);
    }
}

/// Prints a row: times until the operator's answer, and until the last host had the change.
fn print_row(hosts: usize, store: &str, mut accepted: Vec<Duration>, mut last: Vec<Duration>) {
    accepted.sort();
    last.sort();
    let millis_at = |times: &[Duration], percent: usize| {
        let index = (times.len() * percent).div_ceil(100).max(1) - 1;
        times[index].as_secs_f64() * 1e3
    };
    println!(
        "| {hosts} | {store} | {:.1} / {:.1} | {:.1} / {:.1} / {:.1} |",
        millis_at(&accepted, 50),
        millis_at(&accepted, 99),
        millis_at(&last, 50),
        millis_at(&last, 99),
        millis_at(&last, 100)
    );
}

/// Returns a preset with `endpoints` endpoints, ten for each service, over eight data centres.
fn preset(name: &str, endpoints: usize) -> String {
    let mut text = format!("name = \"{name}\"\n");
    for centre in 0..8 {
        text += &format!(
            "[[data-centre]]\nname = \"dc-{centre}\"\nregion = \"r-{}\"\n",
            centre % 3
        );
    }
    for endpoint in 0..endpoints {
        if endpoint % 10 == 0 {
            let close = if endpoint > 0 { "]\n" } else { "" };
            text += &format!("{close}[[service]]\nname = \"service-{endpoint}\"\nendpoints = [\n");
        }
        let (centre, host, port) = (endpoint % 8, endpoint / 8, 7_000 + endpoint);
        text += &format!(
            "{{ address = \"10.{centre}.0.{host}:{port}\", data-centre = \"dc-{centre}\" }},\n"
        );
    }
    text + "]\n"
}

fn join_host(n: u64) -> Change {
    Change::Join {
        name: format!("host-{}", n % 300),
        incarnation: n,
        peer: ([10, 0, 0, 1], 9_000).into(),
        data_centre: format!("dc-{}", n % 8),
    }
}

fn fold_change(fold: &mut Fold, change: Change) {
    let offset = fold.position().next;
    let command = Command {
        id: CommandId::new(offset, offset),
        decided_on: fold.position().revision,
        change,
    };
    let step = fold.apply(offset, Ok(Record::Command(command)));
    assert!(matches!(step, Applied::Decided(..)));
}

fn fold_cost() {
    println!(
        "\nFold of joins and choices, with decoding, while the previous configuration is still referenced"
    );
    println!("| endpoints a preset | records | ns a record |");
    println!("|---|---|---|");
    for endpoints in [33, 158, 315, 630] {
        let (fold, first) = filled_fold(endpoints);
        for count in [1_000_u64, 4_000] {
            let spent = fold_all(&mut fold.clone(), first, count);
            let each = spent.as_nanos() as f64 / count as f64;
            println!("| {endpoints} | {count} | {each:.0} |");
        }
    }
    println!(
        "\nPresets and snapshots (3 presets, 300 members, 1,024 recent commands), medians of 20"
    );
    println!(
        "| endpoints | preset record, bytes | check and fold, µs | snapshot, bytes | encode, µs | decode, µs |"
    );
    println!("|---|---|---|---|---|---|");
    for endpoints in [33, 158, 315, 630] {
        print_sizes(endpoints);
    }
}

fn choose_generated(n: u64) -> Change {
    let name = ["p-0", "p-1"][(n / 10) as usize % 2].to_owned();
    Change::ChoosePreset { name }
}

/// Folds encoded commands, each based on the newest revision.
///
/// Returns the time that decoding and folding took.
fn fold_all(fold: &mut Fold, first: u64, count: u64) -> Duration {
    let mut spent = Duration::ZERO;
    for n in 0..count {
        let change = match n % 10 {
            0 => choose_generated(n),
            _ => join_host(n),
        };
        let command = Command {
            id: CommandId::new(first + n, n),
            decided_on: fold.position().revision,
            change,
        };
        let data = encode_command(&command);
        // A host's readers hold the configuration, so that the fold has to copy it.
        let _config = Arc::clone(fold.config());
        let start = Instant::now();
        let step = fold.apply(first + n, decode_record(&data));
        spent += start.elapsed();
        assert!(matches!(step, Applied::Decided(..)));
    }
    spent
}

/// Returns a fold with 3 presets and 1,200 joins of 300 hosts, and the next offset.
fn filled_fold(endpoints: usize) -> (Fold, u64) {
    let mut fold = Fold::default();
    for name in ["p-0", "p-1", "p-2"] {
        fold_change(&mut fold, put_preset(&preset(name, endpoints)));
    }
    for n in 0..1_200 {
        fold_change(&mut fold, join_host(n));
    }
    let next = fold.position().next;
    (fold, next)
}

/// Prints the sizes of a preset's record and of a snapshot, and the times to process them.
fn print_sizes(endpoints: usize) {
    let (fold, next) = filled_fold(endpoints);
    let text = preset("p-3", endpoints);
    parse_preset(&text).expect("the preset is valid");
    let command = Command {
        id: CommandId::new(next, 1),
        decided_on: fold.position().revision,
        change: put_preset(&text),
    };
    let record = encode_command(&command);
    let folded = median(|| {
        let mut fold = fold.clone();
        let start = Instant::now();
        fold.apply(next, decode_record(&record));
        start.elapsed()
    });
    let snapshot = fold.snapshot().expect("no record was skipped");
    let written = encode_snapshot(&snapshot);
    let writing = median(|| {
        let start = Instant::now();
        std::hint::black_box(encode_snapshot(&snapshot));
        start.elapsed()
    });
    let reading = median(|| {
        let start = Instant::now();
        let read = decode_record(&written).expect("the snapshot can be decoded");
        std::hint::black_box(read);
        start.elapsed()
    });
    println!(
        "| {endpoints} | {} | {folded:.0} | {} | {writing:.0} | {reading:.0} |",
        record.len(),
        written.len()
    );
}

/// Returns the median time of 20 runs, in microseconds.
fn median(run: impl Fn() -> Duration) -> f64 {
    let mut times: Vec<Duration> = (0..20).map(|_| run()).collect();
    times.sort();
    times[times.len() / 2].as_secs_f64() * 1e6
}

/// Prints the bytes that one host's reads of the log take, without and with changes.
fn read_cost() {
    const SECONDS: u64 = 10;
    println!("\nReads of one host through a proxy that counts bytes, {SECONDS} s each");
    println!("| wait of a read | changes | bytes/s | of these from the store |");
    println!("|---|---|---|---|");
    for wait_ms in [500, 2_000, 10_000] {
        for changes in [0, 100] {
            let site = Site::start(0);
            let bytes = Arc::new([AtomicU64::new(0), AtomicU64::new(0)]);
            let proxy = start_counting_proxy(site.store.address(), Arc::clone(&bytes));
            let options = FollowerOptions {
                wait: Duration::from_millis(wait_ms),
                ..FollowerOptions::default()
            };
            let client = BlockingStoreClient::new(proxy, STORE_TIMEOUT);
            let host = Follower::start(client, options);
            host.wait_folded(2, Duration::from_secs(5));
            let before = [0, 1].map(|n| bytes[n].load(Ordering::Relaxed));
            let start = Instant::now();
            for n in 0..changes {
                site.submit(choose_example(n));
                std::thread::sleep(Duration::from_millis(SECONDS * 1_000 / changes as u64 - 20));
            }
            std::thread::sleep(Duration::from_secs(SECONDS).saturating_sub(start.elapsed()));
            let after = [0, 1].map(|n| bytes[n].load(Ordering::Relaxed));
            let [up, down] = [0, 1].map(|n| (after[n] - before[n]) as f64);
            let spent = start.elapsed().as_secs_f64();
            println!(
                "| {wait_ms} ms | {changes} | {:.0} | {:.0} |",
                (up + down) / spent,
                down / spent
            );
        }
    }
}

/// Starts a TCP proxy that counts bytes to `target` in `bytes[0]` and from `target` in `bytes[1]`.
fn start_counting_proxy(target: SocketAddr, bytes: Arc<[AtomicU64; 2]>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    std::thread::spawn(move || {
        for client in listener.incoming().map_while(Result::ok) {
            let server = TcpStream::connect(target).expect("the store accepts connections");
            let pairs = [
                (client.try_clone(), server.try_clone()),
                (Ok(server), Ok(client)),
            ];
            for (direction, (from, to)) in pairs.into_iter().enumerate() {
                let bytes = Arc::clone(&bytes);
                let (from, to) = (
                    from.expect("the socket can be cloned"),
                    to.expect("the socket can be cloned"),
                );
                std::thread::spawn(move || copy_and_count(from, to, &bytes[direction]));
            }
        }
    });
    address
}

fn copy_and_count(mut from: TcpStream, mut to: TcpStream, count: &AtomicU64) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(read @ 1..) = from.read(&mut buffer) {
        count.fetch_add(read as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..read]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
