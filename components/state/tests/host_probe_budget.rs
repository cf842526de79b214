//! How often endpoints are asked, over all hosts together.

use std::time::Duration;

use state::Moment;
use state::fleet::HostProbeBudget;

const RATE: f64 = 60.0;
const ENDPOINTS: usize = 37;

/// Returns how often `hosts` hosts ask in `seconds`, each of which would ask 2,000
/// times a second.
fn asked(hosts: usize, seconds: u64) -> f64 {
    let start = Moment::from_millis(1_000);
    let share = 1.0 / hosts as f64;
    let mut budget = HostProbeBudget::new(start);
    let mut asked = 0;
    for millis in 0..seconds * 1_000 {
        let now = start + Duration::from_millis(millis);
        budget.refill(RATE, ENDPOINTS, share, now);
        for _ in 0..2 {
            if budget.is_available() {
                budget.spend();
                asked += 1;
            }
        }
    }
    (asked * hosts) as f64 / seconds as f64 / ENDPOINTS as f64
}

/// Twice as much load as all endpoints bear, for minutes: every host asks whenever
/// it may. Asked more often than is granted, endpoints spend on questions what
/// callers need, and operators see the bound that they set broken.
#[test]
fn flood_held() {
    for hosts in [1, 18, 100] {
        let rate = asked(hosts, 600);
        assert!(rate <= RATE, "{rate} a second with {hosts} hosts");
        let least = if hosts == 1 { 30.0 } else { 45.0 };
        assert!(rate >= least, "{rate} a second with {hosts} hosts");
    }
}

/// A site starts into a flood, and its day lasts less than a minute. A host may ask a
/// thousand times before it knows its share, and keeps that: with 13 hosts, 25 endpoints
/// are asked more often in 58 seconds than is granted in the 50 in which callers come.
#[test]
fn short_flood() {
    for (hosts, endpoints) in [(13, 25), (18, 37), (133, 240), (1_000, 280)] {
        let start = Moment::from_millis(1_000);
        let mut budget = HostProbeBudget::new(start);
        let mut asked = 0;
        for millis in 0..58_000 {
            let now = start + Duration::from_millis(millis);
            budget.refill(RATE, endpoints, 1.0 / f64::from(hosts), now);
            if budget.is_available() {
                budget.spend();
                asked += 1;
            }
        }
        // Callers come eight seconds after the start.
        let granted = RATE * endpoints as f64 * 50.0;
        let all = f64::from(asked * hosts);
        assert!(
            all <= granted,
            "{hosts} hosts asked {all} times of {granted}"
        );
    }
}

/// A burst after a quiet while: the host may ask what it has saved, not more than
/// a minute's worth.
#[test]
fn burst_granted() {
    let start = Moment::from_millis(1_000);
    let mut budget = HostProbeBudget::new(start);
    budget.refill(RATE, ENDPOINTS, 0.05, start + Duration::from_secs(600));
    let mut asked = 0;
    while budget.is_available() {
        budget.spend();
        asked += 1;
    }
    // 111 a second of this host, eight tenths of which are saved, for a minute.
    assert!(
        (5_000..=6_660).contains(&asked),
        "{asked} questions at once"
    );
}

/// A host that has just started doesn't know its share, and has callers already.
#[test]
fn share_unknown() {
    let start = Moment::from_millis(1_000);
    let mut budget = HostProbeBudget::new(start);
    budget.refill(RATE, ENDPOINTS, 0.0, start + Duration::from_secs(1));
    assert!(budget.is_available());
}

/// A host whose callers ask for more than its share, and one that has some to spare: what
/// is borrowed is gone from the lender, so that the sum stays within the bound.
#[test]
fn lent_once() {
    let start = Moment::from_millis(1_000);
    let [mut busy, mut calm] = [HostProbeBudget::new(start), HostProbeBudget::new(start)];
    let now = start + Duration::from_secs(30);
    for budget in [&mut busy, &mut calm] {
        budget.refill(RATE, ENDPOINTS, 0.05, now);
    }
    assert_eq!(busy.borrow(now), None, "it has enough");
    let own = left(&mut busy);
    let number = busy.borrow(now).expect("it has none left");
    assert_eq!(busy.borrow(now), None, "it asks again at once");
    let lent = calm.lend();
    assert!(lent > 500, "{lent} lent of what was saved in half a minute");
    busy.receive_loan(number, lent);
    busy.receive_loan(number, lent);
    assert_eq!(
        left(&mut busy),
        lent as usize,
        "a datagram that comes twice counts once"
    );
    let all = own + lent as usize + left(&mut calm);
    let granted = RATE * ENDPOINTS as f64 * 0.05 * 34.0 * 2.0;
    assert!(all as f64 <= granted, "{all} of {granted}");
}

/// A host that lent away what it needs itself would place its own requests unasked.
#[test]
fn reserve_kept() {
    let start = Moment::from_millis(1_000);
    let mut budget = HostProbeBudget::new(start);
    let now = start + Duration::from_secs(1);
    budget.refill(RATE, ENDPOINTS, 0.05, now);
    for _ in 0..20 {
        budget.lend();
    }
    assert!(left(&mut budget) > 300);
}

/// Returns how many questions may still be asked, and asks them.
fn left(budget: &mut HostProbeBudget) -> usize {
    let mut asked = 0;
    while budget.is_available() {
        budget.spend();
        asked += 1;
    }
    asked
}
