//! The limit on probes, over all hosts together.

use std::time::Duration;

use rstest::rstest;
use state::Moment;
use state::fleet::HostProbeBudget;

const RATE: f64 = 60.0;
const ENDPOINTS: usize = 37;

/// Returns the probes per second and endpoint of `hosts` hosts over `seconds` seconds,
/// each of which would send 2,000 probes a second.
fn probe_rate(hosts: usize, seconds: u64) -> f64 {
    let start = Moment::from_millis(1_000);
    let share = 1.0 / hosts as f64;
    let mut budget = HostProbeBudget::new(start);
    let mut sent = 0;
    for millis in 0..seconds * 1_000 {
        let now = start + Duration::from_millis(millis);
        budget.refill(RATE, ENDPOINTS, share, now);
        for _ in 0..2 {
            if budget.is_available() {
                budget.spend();
                sent += 1;
            }
        }
    }
    (sent * hosts) as f64 / seconds as f64 / ENDPOINTS as f64
}

/// Under twice the load that all endpoints can take, every host probes whenever it may,
/// for minutes. If the limit fails, endpoints spend on probes the time that callers need.
#[test]
fn flood_limited() {
    for hosts in [1, 18, 100] {
        let rate = probe_rate(hosts, 600);
        assert!(rate <= RATE, "{rate} a second with {hosts} hosts");
        let least = if hosts == 1 { 30.0 } else { 45.0 };
        assert!(rate >= least, "{rate} a second with {hosts} hosts");
    }
}

/// Fails if `hosts` hosts, each of which would send 1,000 probes a second for 58 seconds, send more
/// than are granted for the 50 seconds with callers.
///
/// With a `lifetime`, in milliseconds, all hosts restart this often while there are callers.
fn check_flood(hosts: u32, endpoints: usize, lifetime: Option<u64>) {
    let start = Moment::from_millis(1_000);
    let mut budget = HostProbeBudget::new(start);
    let mut sent = 0;
    for millis in 0..58_000 {
        let now = start + Duration::from_millis(millis);
        if lifetime.is_some_and(|time| millis > 8_000 && millis % time == 0) {
            budget = HostProbeBudget::restarted(now);
        }
        budget.refill(RATE, endpoints, 1.0 / f64::from(hosts), now);
        if budget.is_available() {
            budget.spend();
            sent += 1;
        }
    }
    // Callers arrive eight seconds after the start.
    let granted = RATE * endpoints as f64 * 50.0;
    let all = f64::from(sent * hosts);
    assert!(
        all <= granted,
        "{hosts} hosts sent {all} probes of {granted}"
    );
}

/// A site starts with a flood of requests, and its whole day lasts less than a minute. If
/// hosts keep the thousand probes that each may send before it knows its share, 13 hosts
/// probe 25 endpoints more often in 58 seconds than is granted for the 50 seconds with
/// callers.
#[test]
fn short_flood() {
    for (hosts, endpoints) in [(13, 25), (18, 37), (133, 240), (1_000, 280)] {
        check_flood(hosts, endpoints, None);
    }
}

/// Hosts are killed again and again under a flood of requests. If each start brings probes that
/// nobody has earned, the hosts together send several times what is granted.
#[rstest]
fn restarted_in_flood(#[values(1_200, 2_500, 5_000)] lifetime: u64) {
    for (hosts, endpoints) in [(13, 25), (18, 37), (133, 240)] {
        check_flood(hosts, endpoints, Some(lifetime));
    }
}

/// In a burst after a quiet period a host may use the probes it has saved, but not more
/// than those of one minute.
#[test]
fn burst_granted() {
    let start = Moment::from_millis(1_000);
    let mut budget = HostProbeBudget::new(start);
    budget.refill(RATE, ENDPOINTS, 0.05, start + Duration::from_secs(600));
    let mut sent = 0;
    while budget.is_available() {
        budget.spend();
        sent += 1;
    }
    // 111 probes per second for this host, eight tenths of which are saved, for a minute.
    assert!((5_000..=6_660).contains(&sent), "{sent} probes at once");
}

/// A host that has just started doesn't know its share but receives requests already, so
/// it must be able to probe.
#[test]
fn share_unknown() {
    let start = Moment::from_millis(1_000);
    let mut budget = HostProbeBudget::new(start);
    budget.refill(RATE, ENDPOINTS, 0.0, start + Duration::from_secs(1));
    assert!(budget.is_available());
}

/// A restarted host that can't learn its share must not probe from an advance: hosts that are
/// killed again and again while the store is down would each get it anew.
#[test]
fn restarted_without_share() {
    let start = Moment::from_millis(1_000);
    let mut budget = HostProbeBudget::restarted(start);
    budget.refill(RATE, ENDPOINTS, 0.0, start + Duration::from_secs(60));
    assert!(!budget.is_available());
}

/// What one host borrows must be gone from the lender's budget, or the total of both
/// hosts exceeds the limit.
#[test]
fn lent_once() {
    let start = Moment::from_millis(1_000);
    let [mut busy, mut calm] = [HostProbeBudget::new(start), HostProbeBudget::new(start)];
    let now = start + Duration::from_secs(30);
    for budget in [&mut busy, &mut calm] {
        budget.refill(RATE, ENDPOINTS, 0.05, now);
    }
    assert_eq!(busy.borrow(now), None, "the budget is not low");
    let own = use_up(&mut busy);
    let request_id = busy.borrow(now).expect("the budget is empty");
    assert_eq!(
        busy.borrow(now),
        None,
        "the next request to borrow comes too early"
    );
    let lent = calm.lend();
    assert!(lent > 500, "{lent} lent of what was saved in half a minute");
    busy.receive_loan(request_id, lent);
    busy.receive_loan(request_id, lent);
    assert_eq!(
        use_up(&mut busy),
        lent as usize,
        "a duplicated datagram counts once"
    );
    let all = own + lent as usize + use_up(&mut calm);
    let granted = RATE * ENDPOINTS as f64 * 0.05 * 34.0 * 2.0;
    assert!(all as f64 <= granted, "{all} of {granted}");
}

/// A host must not lend the probes it needs itself, or it would place its own requests
/// without a probe.
#[test]
fn reserve_kept() {
    let start = Moment::from_millis(1_000);
    let mut budget = HostProbeBudget::new(start);
    let now = start + Duration::from_secs(8);
    budget.refill(RATE, ENDPOINTS, 0.05, now);
    for _ in 0..20 {
        budget.lend();
    }
    assert!(use_up(&mut budget) > 300);
}

/// Returns how many probes are left, and uses them up.
fn use_up(budget: &mut HostProbeBudget) -> usize {
    let mut sent = 0;
    while budget.is_available() {
        budget.spend();
        sent += 1;
    }
    sent
}
