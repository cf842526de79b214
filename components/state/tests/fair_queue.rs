//! Requests of competing accounts that wait for a service, and which of them is placed next.

use std::time::Duration;

use state::fleet::placement::Request;
use state::fleet::{FairQueue, FairTicket, retry_after};
use state::{AccountKey, DataCentreKey, FlowKey, Moment, ServiceKey};

const START: Moment = Moment::from_millis(10_000);
const HOT: AccountKey = AccountKey(1);
const LIGHT: AccountKey = AccountKey(2);

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// Returns a request that arrives at `START` after its caller has used `used` of its time.
fn request(account: AccountKey, used: u64) -> Request {
    Request {
        service: ServiceKey::named("svc"),
        centre: DataCentreKey::named("near"),
        objective: START + millis(300) - millis(used),
        deadline: START + millis(1_000) - millis(used),
        service_time: millis(100),
        priority: 1,
        account: Some(account),
        route: 7,
        draw: 0.5,
    }
}

fn first(queue: &FairQueue) -> Option<FairTicket> {
    queue.first(&|_, _| false)
}

/// Removes requests in order, and returns them.
fn drain(queue: &mut FairQueue) -> Vec<FairTicket> {
    let mut order = Vec::new();
    while let Some(ticket) = first(queue) {
        queue.remove(ticket, true);
        order.push(ticket);
    }
    order
}

/// Callers refused in a burst come back when they can no longer be in time. If they went
/// before fresh requests, whose objective is later, those would be late too.
#[test]
fn returning_yield() {
    let mut queue = FairQueue::default();
    let returning: Vec<_> = (0..20)
        .map(|n| queue.push(&request(AccountKey(n), 400), START))
        .collect();
    let fresh = queue.push(&request(HOT, 0), START);
    assert_eq!(first(&queue), Some(fresh));
    assert!(queue.yields_for(returning[0], false, START).is_some());
    assert_eq!(queue.yields_for(fresh, true, START), None);
    queue.remove(fresh, true);
    // Nobody in time waits: what is free goes to the late ones.
    assert_eq!(queue.yields_for(returning[0], false, START), None);
    assert_eq!(drain(&mut queue).len(), 20);
}

/// A late request must not be held until its deadline while fresh ones keep coming: its
/// caller could not come back.
#[test]
fn bounded_yield() {
    let mut queue = FairQueue::default();
    let late = queue.push(&request(HOT, 400), START);
    queue.push(&request(LIGHT, 0), START);
    let wait = queue.yields_for(late, false, START).expect("it yields");
    assert!(wait <= millis(600).mul_f64(0.3), "waits {wait:?}");
    assert_eq!(queue.yields_for(late, false, START + wait), None);
}

/// Requests in time may wait at other hosts only; a late one yields to those as well.
#[test]
fn contended_elsewhere() {
    let mut queue = FairQueue::default();
    let late = queue.push(&request(HOT, 400), START);
    assert_eq!(queue.yields_for(late, false, START), None);
    assert!(queue.yields_for(late, true, START).is_some());
}

/// A request that has waited too long to be in time must give way to those that can be.
#[test]
fn late_in_queue() {
    let mut queue = FairQueue::default();
    let old = queue.push(&request(HOT, 100), START);
    let young = queue.push(&request(LIGHT, 0), START);
    queue.advance(START);
    assert_eq!(first(&queue), Some(old));
    queue.advance(START + millis(60));
    assert_eq!(drain(&mut queue), [young, old]);
}

/// Priority goes before everything: an urgent request that is late goes before others.
#[test]
fn urgent_late() {
    let mut queue = FairQueue::default();
    let fresh = queue.push(&request(LIGHT, 0), START);
    let mut urgent = request(HOT, 400);
    urgent.priority = 0;
    let urgent = queue.push(&urgent, START);
    assert_eq!(drain(&mut queue), [urgent, fresh]);
}

/// An account whose backlog fills the queue gets no more turns than others, in each class.
#[test]
fn turns_by_class() {
    let mut queue = FairQueue::default();
    for used in [0, 400] {
        (0..40).for_each(|_| {
            queue.push(&request(HOT, used), START);
        });
    }
    let light: Vec<_> = (0..3)
        .map(|_| queue.push(&request(LIGHT, 0), START))
        .collect();
    let order = drain(&mut queue);
    let last = order.iter().position(|t| *t == light[2]);
    assert!(last.is_some_and(|at| at < 6), "served as {last:?}");
}

/// The late backlog of an account must not delay its own requests that are in time.
#[test]
fn own_backlog() {
    let mut queue = FairQueue::default();
    (0..40).for_each(|_| {
        queue.push(&request(HOT, 400), START);
    });
    let fresh: Vec<_> = (0..2)
        .map(|_| queue.push(&request(HOT, 0), START))
        .collect();
    assert_eq!(drain(&mut queue)[..2], fresh);
}

/// A flow that has used up its share waits; the queue must not stand still behind it.
#[test]
fn held_flow() {
    let mut queue = FairQueue::default();
    let hot = queue.push(&request(HOT, 0), START);
    let light = queue.push(&request(LIGHT, 0), START);
    let is_held = |_, flow| flow == FlowKey::from(HOT);
    assert_eq!(first(&queue), Some(hot));
    assert_eq!(queue.first(&is_held), Some(light));
    queue.remove(light, true);
    assert_eq!(queue.first(&is_held), None);
    // It waits for its credit, but no longer than it can be in time.
    assert_eq!(queue.holds_for(hot, millis(20), START), Some(millis(20)));
    assert_eq!(queue.holds_for(hot, millis(900), START), Some(millis(110)));
    assert_eq!(queue.holds_for(hot, millis(20), START + millis(120)), None);
}

/// Requests without an account share by route; all of them as one flow would starve routes.
#[test]
fn routes_as_flows() {
    let mut one = request(HOT, 0);
    one.account = None;
    let mut other = one;
    other.route = 8;
    assert_ne!(one.flow(), other.flow());
    assert_eq!(request(HOT, 0).flow(), FlowKey::from(HOT));
}

/// A caller whose request can't complete in its remaining time must not be asked back
/// within that time, to be refused once more.
#[test]
fn truthful_retry() {
    let request = request(HOT, 970);
    let delay = retry_after::after_deadline(&request, START);
    assert!(START + delay >= request.deadline);
}
