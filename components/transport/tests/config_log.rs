//! The follower and commands against the store stand-in, with failures of the store and its links.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use coordination::config::{Change, CommandId, SnapshotPolicy};
use protocol::config_record::encode_command;
use stand_ins::proxy::{Fault, Proxy};
use stand_ins::store::{Behaviour, Loss, Outage, StoreStandIn};
use state::Config;
use transport::log::{
    AppendError, BlockingStoreClient, CONFIG_STREAM, CommandRequest, Follower, FollowerOptions,
    Outcome, STORE_TIMEOUT, Submission,
};

const ORDINARY: &str = include_str!("../../../examples/midlands.toml");
const PEAK: &str = include_str!("../../../examples/midlands-peak.toml");
const LIMIT: Duration = Duration::from_secs(20);

fn client(store: &StoreStandIn) -> BlockingStoreClient {
    BlockingStoreClient::new(store.address(), Duration::from_millis(400))
}

fn operator(store: &StoreStandIn) -> Submission {
    let options = FollowerOptions {
        wait: Duration::from_millis(100),
        max_retry_delay: Duration::from_millis(100),
        ..FollowerOptions::default()
    };
    let follower = Arc::new(Follower::start(client(store), options));
    Submission::new(client(store), follower, LIMIT)
}

fn request(change: Change) -> CommandRequest {
    CommandRequest {
        id: None,
        decided_on: None,
        change,
    }
}

fn put(text: &str) -> CommandRequest {
    request(Change::PutPreset {
        text: text.to_owned(),
    })
}

fn choose(name: &str) -> CommandRequest {
    request(Change::ChoosePreset {
        name: name.to_owned(),
    })
}

fn accepted(outcome: &Outcome) -> u64 {
    match outcome {
        Outcome::Accepted { revision } => *revision,
        other => panic!("{other:?}"),
    }
}

/// Starts a host that appends a snapshot every 8 records, for the few records of a test.
fn host_at(address: std::net::SocketAddr) -> Follower {
    let options = FollowerOptions {
        wait: Duration::from_millis(100),
        hedge_delay: Duration::from_millis(100),
        snapshots: Some(SnapshotPolicy {
            max_age: Duration::from_secs(60),
            max_records: 8,
            jitter: Duration::from_millis(20),
        }),
        ..FollowerOptions::default()
    };
    let client = BlockingStoreClient::new(address, STORE_TIMEOUT);
    Follower::start(client, options)
}

fn join(name: &str) -> CommandRequest {
    request(Change::Join {
        name: name.to_owned(),
        incarnation: 1,
        peer: ([127, 0, 0, 1], 9_000).into(),
        data_centre: "trent".to_owned(),
    })
}

/// Submits the ordinary preset and puts it in force.
fn choose_ordinary(operator: &Submission) {
    accepted(&operator.submit(&put(ORDINARY)));
    accepted(&operator.submit(&choose("ordinary")));
}

fn wait_for(what: &str, fits: impl Fn() -> bool) {
    let start = Instant::now();
    while !fits() {
        assert!(start.elapsed() < LIMIT, "{what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

fn wait_config(follower: &Follower, fits: impl Fn(&Config) -> bool) -> Arc<Config> {
    let config = follower.config();
    let start = Instant::now();
    loop {
        let now = Arc::clone(&config.borrow());
        match fits(&now) {
            true => return now,
            false => assert!(start.elapsed() < LIMIT, "{now:?}"),
        }
        std::thread::sleep(Duration::from_millis(2));
    }
}

#[test]
fn put_and_choose() {
    let store = StoreStandIn::on_loopback(Behaviour::default()).unwrap();
    let operator = operator(&store);
    let host = Follower::start(client(&store), FollowerOptions::default());
    assert_eq!(accepted(&operator.submit(&put(ORDINARY))), 1);
    assert_eq!(accepted(&operator.submit(&choose("ordinary"))), 2);
    let config = wait_config(&host, |c| c.revision == 2);
    assert_eq!(config.preset().unwrap().name, "ordinary");
    assert!(matches!(
        operator.submit(&choose("summer")),
        Outcome::Refused { .. }
    ));
    assert_eq!(
        store.counts().appends,
        2,
        "a refusal known beforehand costs no append"
    );
}

// A device between host and store fails an append, or stops delivering, after
// the record was appended. The operator must still get the true outcome, and the
// change must be made only once.
#[rstest::rstest]
#[case(Loss::Gateway)]
#[case(Loss::Silence)]
fn answer_lost(#[case] loss: Loss) {
    let store = StoreStandIn::on_loopback(Behaviour::default()).unwrap();
    let operator = operator(&store);
    store.change(|b| (b.loss, b.losses) = (Some(loss), 3));
    assert_eq!(accepted(&operator.submit(&put(ORDINARY))), 1);
    assert_eq!(accepted(&operator.submit(&choose("ordinary"))), 2);
    let raw = client(&store).append("other", &"x".into());
    assert!(matches!(raw, Err(AppendError::Unanswered(_))), "{raw:?}");
}

// The store is down when an operator submits a preset. Hosts must keep their
// configuration, the command must end as unreachable, and it must be accepted
// once the store is back.
#[test]
fn store_down() {
    let store = StoreStandIn::on_loopback(Behaviour::default()).unwrap();
    let operator = operator(&store);
    accepted(&operator.submit(&put(ORDINARY)));
    accepted(&operator.submit(&choose("ordinary")));
    let host = Arc::new(Follower::start(client(&store), FollowerOptions::default()));
    wait_config(&host, |c| c.revision == 2);
    store.change(|b| b.outage = Some(Outage::Refusing));
    let short_submission = Submission::new(
        client(&store),
        Arc::clone(&host),
        Duration::from_millis(300),
    );
    let outcome = short_submission.submit(&put(PEAK));
    assert!(
        matches!(outcome, Outcome::Unreachable { .. }),
        "{outcome:?}"
    );
    assert_eq!(host.config().borrow().revision, 2);
    store.change(|b| b.outage = None);
    host.resume();
    assert_eq!(accepted(&operator.submit(&put(PEAK))), 3);
    wait_config(&host, |c| c.revision == 3);
}

// The store has trimmed its first records before a host starts, or while a host
// is cut off. With the snapshots that other hosts have appended, both the new
// host and the cut-off one must get the complete configuration in force and
// follow later changes.
#[test]
fn trimmed_records() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let _inside = runtime.enter();
    let store = StoreStandIn::on_loopback(Behaviour {
        keep_records: Some(40),
        ..Behaviour::default()
    })
    .unwrap();
    let proxy = Proxy::start(store.address()).unwrap();
    let (keeper, cut_off) = (host_at(store.address()), host_at(proxy.address()));
    let operator = operator(&store);
    choose_ordinary(&operator);
    wait_config(&cut_off, |c| c.revision == 2);
    proxy.set(Fault::LoseRequests);
    for n in 0..100 {
        accepted(&operator.submit(&join(&format!("trent-{n}"))));
    }
    let config = wait_config(&keeper, |c| c.revision == 102);
    proxy.set(Fault::Pass);
    let new = host_at(store.address());
    for host in [&cut_off, &new] {
        assert_eq!(wait_config(host, |c| c.revision == 102), config);
    }
    accepted(&operator.submit(&join("soar-1")));
    for host in [&cut_off, &new] {
        wait_config(host, |c| c.revision == 103);
    }
}

// A host starts while the store is down. It must not be ready and must state
// why, until a peer's snapshot gives it the configuration in force. An older
// snapshot must change nothing.
#[test]
fn start_without_store() {
    let store = StoreStandIn::on_loopback(Behaviour::default()).unwrap();
    let operator = operator(&store);
    let peer = host_at(store.address());
    choose_ordinary(&operator);
    wait_config(&peer, |c| c.revision == 2);
    let (old_position, old_snapshot) = peer.snapshot_record().unwrap();
    accepted(&operator.submit(&put(PEAK)));
    accepted(&operator.submit(&choose("peak")));
    wait_config(&peer, |c| c.revision == 4);
    let (position, snapshot) = peer.snapshot_record().unwrap();
    assert!((old_position.revision, position.revision) == (2, 4));
    store.change(|b| b.outage = Some(Outage::Refusing));
    let new = host_at(store.address());
    wait_for("no reason given", || {
        new.ready()
            .is_err_and(|reason| reason.contains("status 503"))
    });
    assert!(new.install_record(&snapshot));
    assert!(!new.install_record(&old_snapshot));
    assert!(!new.install_record(&Bytes::from_static(b"noise")));
    assert_eq!(new.ready(), Ok(()));
    assert_eq!(new.config().borrow().chosen.as_deref(), Some("peak"));
    store.change(|b| b.outage = None);
    accepted(&operator.submit(&choose("ordinary")));
    wait_config(&new, |c| c.revision == 5);
}

// A device between host and store has lost the state of the connection, which
// no longer delivers while new ones work. Changes must still come into force.
#[test]
fn silent_link() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let _inside = runtime.enter();
    let store = StoreStandIn::on_loopback(Behaviour::default()).unwrap();
    let proxy = Proxy::start(store.address()).unwrap();
    let host = host_at(proxy.address());
    let operator = operator(&store);
    choose_ordinary(&operator);
    wait_config(&host, |c| c.revision == 2);
    for revision in 3..6 {
        proxy.silence();
        accepted(&operator.submit(&join(&format!("trent-{revision}"))));
        wait_config(&host, |c| c.revision == revision);
    }
}

// The store answers every request many times later than a read should take.
// Hosts must still follow the stream.
#[test]
fn slow_store() {
    let store = StoreStandIn::on_loopback(Behaviour::default()).unwrap();
    let host = host_at(store.address());
    let operator = operator(&store);
    choose_ordinary(&operator);
    store.change(|b| b.slow_ms = 1_000);
    let command = coordination::config::Command {
        id: CommandId::new(2, 1),
        decided_on: 2,
        change: Change::LeaveCentre {
            name: "soar".to_owned(),
        },
    };
    store.append(CONFIG_STREAM, encode_command(&command));
    wait_config(&host, |c| c.leaving_centres.contains("soar"));
}

// A record of the stream is damaged. Hosts must skip it and apply the records after it.
#[test]
fn damaged_record() {
    let store = StoreStandIn::on_loopback(Behaviour::default()).unwrap();
    store.append(CONFIG_STREAM, Bytes::from_static(b"noise"));
    let host = host_at(store.address());
    let operator = operator(&store);
    choose_ordinary(&operator);
    store.append(CONFIG_STREAM, Bytes::new());
    accepted(&operator.submit(&join("trent-1")));
    wait_config(&host, |c| c.revision == 3);
    assert_eq!(host.ready(), Ok(()));
}

// More records are appended in a second than the store accepts. The rest must be
// refused and not be in the stream, and reads must still work.
#[test]
fn append_budget() {
    let store = StoreStandIn::on_loopback(Behaviour {
        appends_second: 5,
        ..Behaviour::default()
    })
    .unwrap();
    store.record_journal();
    let client = client(&store);
    let appended: Vec<_> = (0..12)
        .map(|_| client.append("claims-0", &"x".into()))
        .collect();
    let taken = appended.iter().filter(|a| a.is_ok()).count();
    assert_eq!(taken, store.journal("claims-0").len());
    assert!(
        appended
            .iter()
            .any(|a| matches!(a, Err(AppendError::Refused(_))))
    );
    let page = client.read("claims-0", 0, None, Duration::ZERO).unwrap();
    assert_eq!((page.first, page.end), (0, taken as u64));
}
