//! How many requests of an account all hosts together let run.

mod quota_site;

use std::time::Duration;

use quota_site::{Policy, STEP, Site};
use rstest::rstest;
use state::AccountKey;
use state::accounts::QuotaLimit;

const ACCOUNT: AccountKey = AccountKey(7);
const WINDOW: Duration = Duration::from_secs(5);

/// Where an account's callers come in.
#[derive(Clone, Copy, Debug)]
enum Callers {
    Everywhere,
    OneHost,
    OneCentre,
    /// A fifth of all hosts.
    Some,
}

fn site(hosts: usize, limit: QuotaLimit, seed: u64) -> Site {
    let mut site = Site::new(Policy::Home, 3, hosts, seed);
    site.limits.insert(ACCOUNT, limit);
    site
}

/// Sends `rate` requests a second for this long, and returns the fraction that was granted.
fn load(site: &mut Site, rate: f64, callers: Callers, time: Duration) -> f64 {
    let before = site.totals.clone();
    let hosts = site.hosts() / 3;
    let steps = time.as_millis() / STEP.as_millis();
    let mut due = 0.0;
    for _ in 0..steps {
        site.step();
        due += rate * STEP.as_secs_f64() * 2.0 * site.draw();
        while due >= 1.0 {
            due -= 1.0;
            let centre = (site.draw() * 3.0) as usize;
            let host = (site.draw() * hosts as f64) as usize;
            let (centre, host) = match callers {
                Callers::Everywhere => (centre, host),
                Callers::OneHost => (1, 0),
                Callers::OneCentre => (2, host),
                Callers::Some => (centre, host / 5 * 5),
            };
            site.request(centre, host, ACCOUNT);
        }
    }
    let asked = site.totals.asked - before.asked;
    (site.totals.granted - before.granted) as f64 / asked as f64
}

const LARGE: QuotaLimit = QuotaLimit {
    rate: 300.0,
    burst: 300.0,
};
const SMALL: QuotaLimit = QuotaLimit {
    rate: 6.0,
    burst: 6.0,
};

/// Requests within the quota are granted wherever the account's callers come in.
#[rstest]
fn whole_quota(
    #[values(
        Callers::Everywhere,
        Callers::OneHost,
        Callers::OneCentre,
        Callers::Some
    )]
    callers: Callers,
    #[values(LARGE, SMALL)] limit: QuotaLimit,
    #[values(4, 32, 200)] hosts: usize,
) {
    let mut site = site(hosts, limit, 3);
    load(&mut site, limit.rate * 0.6, callers, Duration::from_secs(3));
    let granted = load(
        &mut site,
        limit.rate * 0.6,
        callers,
        Duration::from_secs(20),
    );
    assert!(granted >= 0.985, "{granted} of the requests were granted");
}

/// An account that sends many times its quota gets the quota, and no more, in each window.
#[rstest]
fn hot_account(
    #[values(Callers::Everywhere, Callers::OneHost, Callers::Some)] callers: Callers,
    #[values(LARGE, SMALL)] limit: QuotaLimit,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut site = site(32, limit, seed);
    load(&mut site, limit.rate * 0.5, callers, Duration::from_secs(6));
    let granted = load(&mut site, limit.rate * 8.0, callers, Duration::from_secs(8));
    let worst = site.worst_window(ACCOUNT, WINDOW);
    assert!(worst <= 1.0, "{worst} of the bound");
    assert!(
        granted >= 0.95 / 8.0,
        "{granted} of the requests were granted"
    );
}

/// Hosts that are killed, cut off and started again, and lost messages, neither multiply
/// the quota nor the burst. Cut-off hosts still have callers.
#[rstest]
fn kills_and_cuts(
    #[values(0.16, 0.35, 0.55, 1.0)] fraction: f64,
    #[values(false, true)] is_cut: bool,
    #[values(0.0, 0.02)] loss: f64,
    #[values(LARGE, SMALL)] limit: QuotaLimit,
    #[values(1, 2)] seed: u64,
) {
    let mut site = site(32, limit, seed);
    site.loss = loss;
    load(
        &mut site,
        limit.rate * 0.5,
        Callers::Everywhere,
        Duration::from_secs(5),
    );
    for _ in 0..2 {
        load(
            &mut site,
            limit.rate * 6.0,
            Callers::Some,
            Duration::from_secs(2),
        );
        site.remove(fraction, is_cut);
        load(
            &mut site,
            limit.rate * 6.0,
            Callers::Everywhere,
            Duration::from_secs(4),
        );
        site.restore();
        load(
            &mut site,
            limit.rate * 6.0,
            Callers::Some,
            Duration::from_secs(3),
        );
    }
    let worst = site.worst_window(ACCOUNT, WINDOW);
    assert!(worst <= 1.0, "{worst} of the bound");
}

/// After a calm time the whole burst is used at once, and hosts are killed again and again: a home
/// that starts anew doesn't know what was granted. Together they must not grant the burst once
/// more.
#[rstest]
fn killed_repeatedly(
    #[values(0.2, 0.55, 1.0)] fraction: f64,
    #[values(600, 1_100, 1_700)] pause: u64,
    #[values(LARGE, SMALL)] limit: QuotaLimit,
    #[values(1, 2)] seed: u64,
) {
    let mut site = site(32, limit, seed);
    let calm = Duration::from_secs(5);
    load(&mut site, limit.rate * 0.1, Callers::Everywhere, calm);
    for _ in 0..6 {
        let down = Duration::from_millis(300);
        let up = Duration::from_millis(pause);
        load(&mut site, limit.rate * 6.0, Callers::Everywhere, up);
        site.remove(fraction, false);
        load(&mut site, limit.rate * 6.0, Callers::Everywhere, down);
        site.restore();
    }
    let worst = site.worst_window(ACCOUNT, WINDOW);
    assert!(worst <= 1.0, "{worst} of the bound");
}

/// An account uses its burst at once, and its homes are killed before its next requests come. The
/// hosts that become its homes, and have granted nothing, must not grant the burst once more.
#[rstest]
fn home_killed_in_calm(
    #[values(0.35, 0.45)] fraction: f64,
    #[values(300, 2_700)] down: u64,
    #[values(false, true)] is_back: bool,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let limit = QuotaLimit {
        rate: 60.0,
        burst: 600.0,
    };
    let mut site = site(32, limit, seed);
    let calm = Duration::from_secs(12);
    load(&mut site, limit.rate * 0.1, Callers::Everywhere, calm);
    let burst = Duration::from_millis(800);
    load(&mut site, 1_200.0, Callers::Everywhere, burst);
    site.remove(fraction, false);
    let silence = Duration::from_millis(down);
    load(&mut site, 0.0, Callers::Everywhere, silence);
    if is_back {
        site.restore();
    }
    load(&mut site, 1_200.0, Callers::Everywhere, burst);
    let worst = site.worst_window(ACCOUNT, WINDOW);
    assert!(worst <= 1.0, "{worst} of the bound");
}

/// A host's messages don't grow with the number of hosts: a site of four times the hosts and
/// requests sends four times the messages.
#[test]
fn messages_per_request() {
    let per_request = |hosts: usize| {
        let limit = QuotaLimit {
            rate: hosts as f64 * 10.0,
            burst: hosts as f64 * 10.0,
        };
        let mut site = site(hosts, limit, 5);
        load(
            &mut site,
            limit.rate * 0.5,
            Callers::Everywhere,
            Duration::from_secs(5),
        );
        site.totals.messages as f64 / site.totals.asked as f64
    };
    let [small, middle, large] = [60, 250, 1_000].map(|all| per_request(all / 3));
    assert!(
        middle <= small * 1.1 && large <= small * 1.1,
        "{small} {middle} {large}"
    );
}

/// A lowered quota binds at once; a raised one is used within a second.
#[test]
fn limits_change() {
    let mut site = site(32, LARGE, 9);
    load(
        &mut site,
        600.0,
        Callers::Everywhere,
        Duration::from_secs(6),
    );
    let low = QuotaLimit {
        rate: 30.0,
        burst: 30.0,
    };
    site.limits.insert(ACCOUNT, low);
    // Tokens taken in advance run out.
    load(
        &mut site,
        600.0,
        Callers::Everywhere,
        Duration::from_secs(1),
    );
    let granted = load(
        &mut site,
        600.0,
        Callers::Everywhere,
        Duration::from_secs(5),
    );
    assert!(
        granted * 600.0 <= 33.0 + 1e-9,
        "{} a second",
        granted * 600.0
    );
    site.limits.insert(ACCOUNT, LARGE);
    load(
        &mut site,
        250.0,
        Callers::Everywhere,
        Duration::from_secs(1),
    );
    let granted = load(
        &mut site,
        250.0,
        Callers::Everywhere,
        Duration::from_secs(5),
    );
    assert!(granted >= 0.99, "{granted} of the requests were granted");
}
