//! Claims of idempotency keys at several entry hosts, with failures of hosts and of the store.

mod entry_hosts;

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use coordination::claims::ClaimKey;
use entry_hosts::{Host, Site, request, until};
use stand_ins::store::{Behaviour, Loss, Outage};
use transport::claims::{CachedAnswer, ClaimEnding, ClaimTicket, Verdict, WorkerOptions};

const CALL_TIMEOUT: Duration = Duration::from_secs(15);

fn answer() -> CachedAnswer {
    CachedAnswer {
        status: 201,
        fields: vec![("content-type".into(), Bytes::from_static(b"text/plain"))],
        body: Bytes::from_static(b"deposit taken"),
    }
}

async fn claim(host: &Host, key: &str) -> Verdict {
    host.claims.claim(request(key, 0, CALL_TIMEOUT)).await
}

/// Claims until the verdict is not "not run", like a caller that retries.
async fn claim_with_retries(host: &Host, key: &str) -> Verdict {
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
        other => panic!("the claim was not granted: {other:?}"),
    }
}

// A client library sends one deposit to three entry hosts at once. Exactly one
// of them may run it; the others must return its answer.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_claims() {
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
    // On a busy machine, the first call may run for longer than a repeated call waits.
    while verdict == Verdict::Started {
        verdict = claim(host, key).await;
    }
    match verdict {
        Verdict::Granted(ticket) => {
            tokio::time::sleep(Duration::from_millis(5)).await;
            host.claims.end(ticket, ClaimEnding::Answered(answer()));
            true
        }
        Verdict::Known(cached) => {
            assert_eq!(cached, answer());
            false
        }
        other => panic!("{other:?}"),
    }
}

// A completed deposit is sent again at every host and must get the first answer.
// A different deposit with the same key must be refused as a mismatch.
#[tokio::test(flavor = "multi_thread")]
async fn repeat_and_mismatch() {
    let site = Site::start(3, WorkerOptions::default()).await;
    let ran = ticket(&claim(&site.hosts[0], "deposit").await);
    site.hosts[0]
        .claims
        .end(ran, ClaimEnding::Answered(answer()));
    for host in &site.hosts {
        assert_eq!(claim(host, "deposit").await, Verdict::Known(answer()));
        let other = host.claims.claim(request("deposit", 1, CALL_TIMEOUT)).await;
        assert_eq!(other, Verdict::Mismatch);
    }
}

// The first deposit hangs at its backend server, and a repeated call has a
// deadline of ten minutes. The verdict that the first call was started must be
// returned soon; it used to be delayed until shortly before that deadline.
#[tokio::test(flavor = "multi_thread")]
async fn hung_first_call() {
    let site = Site::start(2, WorkerOptions::default()).await;
    ticket(&claim(&site.hosts[0], "deposit").await);
    let timeout = Duration::from_secs(600);
    let repeat = site.hosts[1].claims.claim(request("deposit", 0, timeout));
    let verdict = tokio::time::timeout(Duration::from_secs(30), repeat).await;
    assert_eq!(
        verdict.expect("the verdict is returned before the deadline"),
        Verdict::Started
    );
}

// The backend server shed the call, so nothing ran and a retry must be granted.
#[tokio::test(flavor = "multi_thread")]
async fn retry_after_shed() {
    let site = Site::start(2, WorkerOptions::default()).await;
    let shed = ticket(&claim(&site.hosts[0], "deposit").await);
    site.hosts[0].claims.end(shed, ClaimEnding::NotRun);
    ticket(&claim_with_retries(&site.hosts[0], "deposit").await);
    let repeat = site.hosts[1]
        .claims
        .claim(request("deposit", 0, Duration::from_millis(500)));
    assert_eq!(repeat.await, Verdict::Started);
}

// The entry host that sent a deposit crashes before the answer arrives. A retry
// at another host must get the verdict that it was started, and must not run it again.
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
        assert_eq!(claim_with_retries(host, "deposit").await, Verdict::Started);
    }
}

// The key's home crashes. Another host must become home, read the stream, and
// return the verdict that the call was started.
#[tokio::test(flavor = "multi_thread")]
async fn home_killed() {
    let mut site = Site::start(4, WorkerOptions::default()).await;
    let home = home(&site, "deposit");
    let index = site.hosts.iter().position(|h| h.key == home).unwrap();
    let runner = (index + 1) % 4;
    ticket(&claim(&site.hosts[runner], "deposit").await);
    site.kill(index);
    for host in &site.hosts {
        assert_eq!(claim_with_retries(host, "deposit").await, Verdict::Started);
    }
    ticket(&claim_with_retries(&site.hosts[0], "another").await);
}

fn home(site: &Site, key: &str) -> state::HostKey {
    let view = site.hosts[0].links.view().borrow().clone();
    let key: ClaimKey = transport::claims::claim_key(&request(key, 0, CALL_TIMEOUT));
    transport::claims::home_of(key.stream(), &view).unwrap()
}

// The store appends the claim, but the answer to the append is lost. The home
// must read the stream and find the claim; the caller only waits longer.
#[tokio::test(flavor = "multi_thread")]
async fn answer_lost() {
    let site = Site::start(2, WorkerOptions::default()).await;
    ticket(&claim_with_retries(&site.hosts[0], "before").await);
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

// The store is down for a while. Deposits must be refused at once as not run,
// and afterwards the same key must run exactly once.
#[tokio::test(flavor = "multi_thread")]
async fn store_down() {
    let site = Site::start(2, WorkerOptions::default()).await;
    site.log.change(|b| b.outage = Some(Outage::Refusing));
    for host in &site.hosts {
        assert!(matches!(claim(host, "deposit").await, Verdict::NotRun(_)));
    }
    site.log.change(|b| b.outage = None);
    let ran = ticket(&claim_with_retries(&site.hosts[0], "deposit").await);
    site.hosts[0].claims.end(ran, ClaimEnding::Unknown);
    assert_eq!(
        claim_with_retries(&site.hosts[1], "deposit").await,
        Verdict::Started
    );
}

// The store does not answer for a while, and appends what it received once it
// is back. The caller has given up meanwhile, so the late claim must neither run
// a call nor block a retry.
#[tokio::test(flavor = "multi_thread")]
async fn silent_store() {
    let site = Site::start(2, WorkerOptions::default()).await;
    site.log.change(|b| b.outage = Some(Outage::Silent));
    let refused = site.hosts[0]
        .claims
        .claim(request("deposit", 0, Duration::from_millis(300)));
    assert!(matches!(refused.await, Verdict::NotRun(_)));
    site.log.change(|b| b.outage = None);
    ticket(&claim_with_retries(&site.hosts[1], "deposit").await);
}

// The store is slower than the home's time-out, so claims are appended without
// an answer. They must be refused as not run and must not block a retry.
#[tokio::test(flavor = "multi_thread")]
async fn slow_store() {
    let site = Site::start(2, WorkerOptions::default()).await;
    site.log.change(|b| b.slow_ms = 5_000);
    let refused = site.hosts[0]
        .claims
        .claim(request("deposit", 0, Duration::from_secs(4)));
    assert!(matches!(refused.await, Verdict::NotRun(_)));
    site.log.change(|b| b.slow_ms = 0);
    ticket(&claim_with_retries(&site.hosts[1], "deposit").await);
}

// One connection to the store goes silent as the home first reads its stream, while new ones
// work. The home must read again on another connection: the call must be granted, not refused.
#[tokio::test(flavor = "multi_thread")]
async fn unanswered_read() {
    let stream = transport::claims::claim_key(&request("deposit", 0, CALL_TIMEOUT)).stream();
    let behaviour = Behaviour {
        lost_reads: BTreeSet::from([format!("claims-{stream}")]),
        ..Behaviour::default()
    };
    let site = Site::start_with(behaviour, 1, WorkerOptions::default()).await;
    ticket(&claim(&site.hosts[0], "deposit").await);
}

// The caller closes its connection while its key is being claimed. The claim
// must be given up, so that the caller's retry is granted.
#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnects() {
    let site = Site::start(2, WorkerOptions::default()).await;
    for round in 0..20 {
        let key = format!("deposit-{round}");
        let outcome = claim(&site.hosts[0], &key);
        let outcome = tokio::time::timeout(Duration::from_micros(300 * round), outcome).await;
        match outcome {
            Ok(verdict) => {
                ticket(&verdict);
            }
            Err(_) => {
                ticket(&claim_with_retries(&site.hosts[1], &key).await);
            }
        }
    }
}
