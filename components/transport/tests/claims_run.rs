//! Idempotency keys claimed at several entry hosts, with the log at its worst.

mod entry_hosts;

use std::time::Duration;

use bytes::Bytes;
use coordination::claims::ClaimKey;
use entry_hosts::{Host, Site, request, until};
use stand_ins::store::{Loss, Outage};
use transport::claims::{CachedAnswer, ClaimEnding, ClaimTicket, Verdict, WorkerOptions};

const PATIENCE: Duration = Duration::from_secs(15);

fn answer() -> CachedAnswer {
    CachedAnswer {
        status: 201,
        fields: vec![("content-type".into(), Bytes::from_static(b"text/plain"))],
        body: Bytes::from_static(b"deposit taken"),
    }
}

async fn claim(host: &Host, key: &str) -> Verdict {
    host.claims.claim(request(key, 0, PATIENCE)).await
}

/// Claims until the verdict is not "not run", as a caller that comes again does.
async fn claim_at_last(host: &Host, key: &str) -> Verdict {
    for _ in 0..200 {
        match claim(host, key).await {
            Verdict::NotRun(_) => tokio::time::sleep(Duration::from_millis(50)).await,
            verdict => return verdict,
        }
    }
    panic!("the key could not be claimed");
}

fn ticket(verdict: &Verdict) -> ClaimTicket {
    match verdict {
        Verdict::Granted(ticket) => *ticket,
        other => panic!("no go: {other:?}"),
    }
}

// One deposit comes to three entry hosts at once: a client library that sends
// again without waiting. One of them runs it, the others pass its answer on.
#[tokio::test(flavor = "multi_thread")]
async fn same_moment() {
    let site = Site::start(3, WorkerOptions::default()).await;
    for round in 0..10 {
        let key = format!("deposit-{round}");
        let [a, b, c] = [0, 1, 2].map(|i| claim_and_run(&site.hosts[i], &key));
        let ran = tokio::join!(a, b, c);
        let ran = [ran.0, ran.1, ran.2];
        assert_eq!(ran.iter().filter(|r| **r).count(), 1, "round {round}");
    }
}

async fn claim_and_run(host: &Host, key: &str) -> bool {
    let mut verdict = claim(host, key).await;
    // On a busy machine the first call may run for longer than a repeat waits.
    while verdict == Verdict::Started {
        verdict = claim(host, key).await;
    }
    match verdict {
        Verdict::Granted(ticket) => {
            tokio::time::sleep(Duration::from_millis(5)).await;
            host.claims.end(ticket, ClaimEnding::Answered(answer()));
            true
        }
        Verdict::Known(kept) => {
            assert_eq!(kept, answer());
            false
        }
        other => panic!("{other:?}"),
    }
}

// An hour later a clerk sends the form again, at another host; and somebody
// uses the key for another deposit.
#[tokio::test(flavor = "multi_thread")]
async fn repeat_and_mismatch() {
    let site = Site::start(3, WorkerOptions::default()).await;
    let ran = ticket(&claim(&site.hosts[0], "deposit").await);
    site.hosts[0]
        .claims
        .end(ran, ClaimEnding::Answered(answer()));
    for host in &site.hosts {
        assert_eq!(claim(host, "deposit").await, Verdict::Known(answer()));
        let other = host.claims.claim(request("deposit", 1, PATIENCE)).await;
        assert_eq!(other, Verdict::Mismatch);
    }
}

// The first deposit hangs at its backend server, and the clerk sends the form again
// with ten minutes of patience. The final word is that it was started; it used to
// be held back until nearly the end of those ten minutes.
#[tokio::test(flavor = "multi_thread")]
async fn hung_first_call() {
    let site = Site::start(2, WorkerOptions::default()).await;
    ticket(&claim(&site.hosts[0], "deposit").await);
    let patience = Duration::from_secs(600);
    let repeat = site.hosts[1].claims.claim(request("deposit", 0, patience));
    let verdict = tokio::time::timeout(Duration::from_secs(30), repeat).await;
    assert_eq!(verdict.expect("the word comes at once"), Verdict::Started);
}

// The backend server shed the call: nothing ran, and the caller comes again.
#[tokio::test(flavor = "multi_thread")]
async fn shed_and_again() {
    let site = Site::start(2, WorkerOptions::default()).await;
    let shed = ticket(&claim(&site.hosts[0], "deposit").await);
    site.hosts[0].claims.end(shed, ClaimEnding::NotRun);
    ticket(&claim_at_last(&site.hosts[0], "deposit").await);
    let repeat = site.hosts[1]
        .claims
        .claim(request("deposit", 0, Duration::from_millis(500)));
    assert_eq!(repeat.await, Verdict::Started);
}

// The entry host that ran a deposit dies between "sent" and "answered". The
// clerk asks elsewhere and must hear that it was started, not see it run again.
#[tokio::test(flavor = "multi_thread")]
async fn runner_killed() {
    let mut site = Site::start(4, WorkerOptions::default()).await;
    let runner = (0..4)
        .find(|i| home(&site, "deposit") != site.hosts[*i].key)
        .unwrap();
    ticket(&claim(&site.hosts[runner], "deposit").await);
    let dead = site.kill(runner);
    for host in &site.hosts {
        until(|| !host.links.view().borrow().is_alive(dead)).await;
        assert_eq!(claim_at_last(host, "deposit").await, Verdict::Started);
    }
}

// The key's home dies. Another host takes its place, reads the stream, and
// knows what was started.
#[tokio::test(flavor = "multi_thread")]
async fn home_killed() {
    let mut site = Site::start(4, WorkerOptions::default()).await;
    let home = home(&site, "deposit");
    let index = site.hosts.iter().position(|h| h.key == home).unwrap();
    let runner = (index + 1) % 4;
    ticket(&claim(&site.hosts[runner], "deposit").await);
    site.kill(index);
    for host in &site.hosts {
        assert_eq!(claim_at_last(host, "deposit").await, Verdict::Started);
    }
    ticket(&claim_at_last(&site.hosts[0], "another").await);
}

fn home(site: &Site, key: &str) -> state::HostKey {
    let view = site.hosts[0].links.view().borrow().clone();
    let key: ClaimKey = transport::claims::claim_key(&request(key, 0, PATIENCE));
    transport::claims::home_of(key.stream(), &view).unwrap()
}

// The log takes the claim and its answer is lost. Reading it tells that the
// claim landed; the caller notices nothing but a longer wait.
#[tokio::test(flavor = "multi_thread")]
async fn answer_lost() {
    let site = Site::start(2, WorkerOptions::default()).await;
    ticket(&claim_at_last(&site.hosts[0], "before").await);
    site.log.change(|b| {
        b.loss = Some(Loss::Gateway);
        b.losses = 1;
    });
    ticket(&claim(&site.hosts[0], "deposit").await);
    let repeat = site.hosts[1]
        .claims
        .claim(request("deposit", 0, Duration::from_secs(1)));
    assert_eq!(repeat.await, Verdict::Started);
}

// The log is down for a while. Deposits are refused at once, and it is true
// that they did not run: afterwards the same key runs once.
#[tokio::test(flavor = "multi_thread")]
async fn log_down() {
    let site = Site::start(2, WorkerOptions::default()).await;
    site.log.change(|b| b.outage = Some(Outage::Refusing));
    for host in &site.hosts {
        assert!(matches!(claim(host, "deposit").await, Verdict::NotRun(_)));
    }
    site.log.change(|b| b.outage = None);
    let ran = ticket(&claim_at_last(&site.hosts[0], "deposit").await);
    site.hosts[0].claims.end(ran, ClaimEnding::Unknown);
    assert_eq!(
        claim_at_last(&site.hosts[1], "deposit").await,
        Verdict::Started
    );
}

// The log says nothing for a while, and lands what it got when it is back.
// Callers gave up meanwhile; what lands late runs nowhere and blocks no repeat.
#[tokio::test(flavor = "multi_thread")]
async fn log_silent() {
    let site = Site::start(2, WorkerOptions::default()).await;
    site.log.change(|b| b.outage = Some(Outage::Silent));
    let refused = site.hosts[0]
        .claims
        .claim(request("deposit", 0, Duration::from_millis(300)));
    assert!(matches!(refused.await, Verdict::NotRun(_)));
    site.log.change(|b| b.outage = None);
    ticket(&claim_at_last(&site.hosts[1], "deposit").await);
}

// The log is slower than a home waits for it, so that appends land unanswered.
#[tokio::test(flavor = "multi_thread")]
async fn log_slow() {
    let site = Site::start(2, WorkerOptions::default()).await;
    site.log.change(|b| b.slow_ms = 5_000);
    let refused = site.hosts[0]
        .claims
        .claim(request("deposit", 0, Duration::from_secs(4)));
    assert!(matches!(refused.await, Verdict::NotRun(_)));
    site.log.change(|b| b.slow_ms = 0);
    ticket(&claim_at_last(&site.hosts[1], "deposit").await);
}

// The caller hangs up while its key is being claimed: the claim is given up,
// and the caller's next try runs.
#[tokio::test(flavor = "multi_thread")]
async fn hung_up() {
    let site = Site::start(2, WorkerOptions::default()).await;
    for round in 0..20 {
        let key = format!("deposit-{round}");
        let hurried = claim(&site.hosts[0], &key);
        let hurried = tokio::time::timeout(Duration::from_micros(300 * round), hurried).await;
        match hurried {
            Ok(verdict) => {
                ticket(&verdict);
            }
            Err(_) => {
                ticket(&claim_at_last(&site.hosts[1], &key).await);
            }
        }
    }
}
