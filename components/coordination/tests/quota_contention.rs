//! Which requests of an account over its quota get tokens, and how often hosts ask.

mod quota_site;

use std::time::Duration;

use coordination::quota::contention::TokenRequest;
use quota_site::callers::{HotCallers, Outcome};
use quota_site::{Order, Policy, STEP, Site};
use rstest::rstest;
use state::AccountKey;
use state::accounts::QuotaLimit;

const ACCOUNT: AccountKey = AccountKey(7);
const WINDOW: Duration = Duration::from_secs(5);
const HOT_TIME: Duration = Duration::from_millis(6_500);
const LIMIT: QuotaLimit = QuotaLimit {
    rate: 490.0,
    burst: 490.0,
};

fn site(limit: QuotaLimit, seed: u64) -> (Site, HotCallers) {
    let mut site = Site::new(Policy::Home, 3, 32, seed);
    site.limits.insert(ACCOUNT, limit);
    let mut callers = HotCallers::new(ACCOUNT, limit.rate * 0.5);
    load(&mut site, &mut callers, Duration::from_secs(4));
    callers.rate = limit.rate * 4.5;
    callers.outcome = Outcome::default();
    (site, callers)
}

fn load(site: &mut Site, callers: &mut HotCallers, time: Duration) {
    for _ in 0..time.as_millis() / STEP.as_millis() {
        site.step();
        callers.step(site);
    }
}

/// Guards against retries that are already late taking the tokens of first attempts, and
/// against tokens that nobody uses while hosts don't ask.
#[rstest]
fn tokens_in_time(#[values(1, 2, 3)] seed: u64) {
    let (mut site, mut callers) = site(LIMIT, seed);
    load(&mut site, &mut callers, HOT_TIME);
    let seen = callers.outcome;
    let quota = LIMIT.rate * HOT_TIME.as_secs_f64();
    assert!(seen.granted as f64 >= quota, "{seen:?}");
    assert!(
        seen.in_time as f64 >= 0.93 * seen.granted as f64,
        "{seen:?}"
    );
    let worst = site.worst_window(ACCOUNT, WINDOW);
    assert!(worst <= 1.0, "{worst} of the bound");
}

/// Guards against a claim for each refused request.
#[rstest]
fn few_claims(#[values(1, 2, 3)] seed: u64) {
    let (mut site, mut callers) = site(LIMIT, seed);
    load(&mut site, &mut callers, HOT_TIME);
    let seen = callers.outcome;
    let per_request = seen.messages as f64 / seen.asked as f64;
    assert!(per_request <= 0.6, "{per_request} messages a request");
}

/// Guards against late requests that never get a token: hosts with only late ones get what
/// the others leave, and a part in any case.
#[rstest]
fn late_requests(#[values(1, 2, 3)] seed: u64, #[values(0.5, 6.0)] factor: f64) {
    let (mut site, _) = site(LIMIT, seed);
    let mut granted = 0;
    let mut due = 0.0;
    for _ in 0..HOT_TIME.as_millis() / STEP.as_millis() {
        site.step();
        due += LIMIT.rate * factor * STEP.as_secs_f64();
        while due >= 1.0 {
            due -= 1.0;
            let (centre, host) = site.draw_host();
            let _granted = site.request(centre, host, ACCOUNT);
        }
        for _ in 0..2 {
            let (centre, host) = site.draw_host();
            granted += u32::from(
                site.request_for(centre, host, ACCOUNT, TokenRequest::LATE)
                    .is_ok(),
            );
        }
    }
    let rate = f64::from(granted) / HOT_TIME.as_secs_f64();
    let least = if factor < 1.0 {
        190.0
    } else {
        0.015 * LIMIT.rate
    };
    assert!(rate >= least, "{rate} late requests a second");
}

/// Guards against a host with few requests that gets none because others have many.
#[rstest]
fn few_requests(#[values(1, 2, 3)] seed: u64) {
    let (mut site, _) = site(LIMIT, seed);
    let mut few = (0, 0);
    let mut all = (0, 0);
    for step in 0..2_000 {
        site.step();
        for _ in 0..22 {
            // Three in four of the requests come to a quarter of the hosts.
            let (centre, host) = site.draw_host();
            let host = if site.draw() < 0.75 { host % 8 } else { host };
            if host == 31 {
                continue;
            }
            let is_granted = site.request(centre, host, ACCOUNT);
            all = (all.0 + 1, all.1 + u32::from(is_granted));
        }
        if step % 50 == 0 {
            let is_granted = site.request(step % 3, 31, ACCOUNT);
            few = (few.0 + 1, few.1 + u32::from(is_granted));
        }
    }
    let fraction = |(asked, granted): (u32, u32)| f64::from(granted) / f64::from(asked);
    assert!(
        fraction(few) >= fraction(all),
        "{few:?} of few, {all:?} of all"
    );
}

/// Guards against more runs than the bound, and against tokens that stay unused, while hosts
/// of a hot account are killed or cut off and come back.
#[rstest]
fn hosts_lost(
    #[values(0.16, 0.35, 0.55, 1.0)] fraction: f64,
    #[values(false, true)] is_cut: bool,
    #[values(0.0, 0.02)] loss: f64,
    #[values(1, 2)] seed: u64,
) {
    let (mut site, mut callers) = site(LIMIT, seed);
    site.loss = loss;
    load(&mut site, &mut callers, Duration::from_secs(2));
    site.remove(fraction, is_cut);
    load(&mut site, &mut callers, Duration::from_secs(4));
    site.restore();
    let before = callers.outcome.granted;
    load(&mut site, &mut callers, Duration::from_secs(6));
    let granted = callers.outcome.granted - before;
    let worst = site.worst_window(ACCOUNT, WINDOW);
    assert!(worst <= 1.0, "{worst} of the bound");
    assert!(granted as f64 >= 0.9 * LIMIT.rate * 6.0, "{granted}");
}

/// Guards against a new way that is worse than first come, first served.
#[test]
fn first_come() {
    let outcome = |order| {
        let (mut site, mut callers) = site(LIMIT, 4);
        site.order = order;
        load(&mut site, &mut callers, HOT_TIME);
        callers.outcome
    };
    let [before, after] = [Order::Arrival, Order::YieldLocally].map(outcome);
    assert!(after.in_time > before.in_time, "{before:?} {after:?}");
    assert!(after.messages * 3 < before.messages, "{before:?} {after:?}");
}
