//! The follower and the commands against the log stand-in, and what fails there.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coordination::config::Change;
use stand_ins::log::{Behaviour, LogStandIn, Loss, Outage};
use state::Config;
use transport::log::{
    AppendError, CommandRequest, Follower, FollowerOptions, LogClient, Outcome, Submission,
    Timeouts,
};

const ORDINARY: &str = include_str!("../../../examples/midlands.toml");
const PEAK: &str = include_str!("../../../examples/midlands-peak.toml");
const LIMIT: Duration = Duration::from_secs(20);

fn client(log: &LogStandIn) -> LogClient {
    let timeouts = Timeouts {
        connect: Duration::from_millis(500),
        answer: Duration::from_millis(400),
    };
    LogClient::new(&log.address().to_string(), timeouts)
}

fn operator(log: &LogStandIn) -> Submission {
    let options = FollowerOptions {
        wait: Duration::from_millis(100),
        longest_pause: Duration::from_millis(100),
        ..FollowerOptions::default()
    };
    let follower = Arc::new(Follower::start(client(log), options));
    Submission::new(client(log), follower, LIMIT)
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
    let log = LogStandIn::on_loopback(Behaviour::default()).unwrap();
    let operator = operator(&log);
    let host = Follower::start(client(&log), FollowerOptions::default());
    assert_eq!(accepted(&operator.submit(&put(ORDINARY))), 1);
    assert_eq!(accepted(&operator.submit(&choose("ordinary"))), 2);
    let config = wait_config(&host, |c| c.revision == 2);
    assert_eq!(config.preset().unwrap().name, "ordinary");
    assert!(matches!(
        operator.submit(&choose("summer")),
        Outcome::Refused { .. }
    ));
    assert_eq!(
        log.counts().appends,
        2,
        "a refusal known beforehand costs no append"
    );
}

// Something between host and log gives up on an append, or goes silent, after
// the record has landed. The operator still learns the true answer, and the
// change is made once.
#[rstest::rstest]
#[case(Loss::Gateway)]
#[case(Loss::Silence)]
fn answer_lost(#[case] loss: Loss) {
    let log = LogStandIn::on_loopback(Behaviour::default()).unwrap();
    let operator = operator(&log);
    log.change(|b| (b.loss, b.losses) = (Some(loss), 3));
    assert_eq!(accepted(&operator.submit(&put(ORDINARY))), 1);
    assert_eq!(accepted(&operator.submit(&choose("ordinary"))), 2);
    let raw = client(&log).append("other", &"x".into());
    assert!(matches!(raw, Err(AppendError::Unanswered(_))), "{raw:?}");
}

// The log is down for a while when an operator chooses a preset. Hosts go on
// with what they have, the operator is told that nothing was done, and once
// the log is back the command goes through.
#[test]
fn log_down() {
    let log = LogStandIn::on_loopback(Behaviour::default()).unwrap();
    let patient = operator(&log);
    accepted(&patient.submit(&put(ORDINARY)));
    accepted(&patient.submit(&choose("ordinary")));
    let host = Arc::new(Follower::start(client(&log), FollowerOptions::default()));
    wait_config(&host, |c| c.revision == 2);
    log.change(|b| b.outage = Some(Outage::Refusing));
    let hasty = Submission::new(client(&log), Arc::clone(&host), Duration::from_millis(300));
    let outcome = hasty.submit(&put(PEAK));
    assert!(
        matches!(outcome, Outcome::Unreachable { .. }),
        "{outcome:?}"
    );
    assert_eq!(host.config().borrow().revision, 2);
    log.change(|b| b.outage = None);
    host.resume();
    assert_eq!(accepted(&patient.submit(&put(PEAK))), 3);
    wait_config(&host, |c| c.revision == 3);
}
