//! The lease of a slot at its owner and at its holder.

use std::time::Duration;

use coordination::slots::holder::{Freed, Holder};
use coordination::slots::ledger::{Ledger, Renewal};
use coordination::slots::message::{Handed, LeaseKey};
use coordination::slots::terms::{FENCE, TERM};
use state::{EndpointKey, HostKey, Moment, ServiceKey};

const ENDPOINT: EndpointKey = EndpointKey(1);
const SERVICE: ServiceKey = ServiceKey(2);
const A: HostKey = HostKey(10);
const B: HostKey = HostKey(11);

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

/// Returns a ledger of one slot behind its fence, and the moment that is over.
fn open() -> (Ledger, Moment) {
    let ledger = Ledger::fenced(ENDPOINT, 1, at(0));
    (ledger, at(0) + FENCE)
}

fn handed(lease: LeaseKey, left: Duration) -> Handed {
    Handed {
        lease,
        left,
        once: false,
    }
}

#[test]
fn fence_first() {
    let (mut ledger, opens) = open();
    assert_eq!(ledger.grant(A, 1, opens - Duration::from_millis(1)), None);
    assert!(ledger.grant(A, 1, opens).is_some());
    assert_eq!(ledger.grant(B, 2, opens), None);
}

#[test]
fn free_after_term() {
    let (mut ledger, opens) = open();
    ledger.grant(A, 1, opens).unwrap();
    ledger.expire(opens + TERM - Duration::from_millis(1));
    assert_eq!(ledger.out(), 1);
    ledger.expire(opens + TERM);
    assert_eq!(ledger.out(), 0);
}

// A holder hands its lease on, and its own renewal of it comes late. The owner
// must not give the slot back to the host that no longer has it.
#[test]
fn late_renewal() {
    let (mut ledger, opens) = open();
    let first = ledger.grant(A, 1, opens).unwrap();
    let second = LeaseKey { hop: 1, ..first };
    let now = opens + Duration::from_millis(500);
    assert_eq!(ledger.renew(second, B, now), Renewal::Kept);
    assert_eq!(ledger.renew(first, A, now), Renewal::Ended);
    assert!(!ledger.give_back(first));
    assert!(ledger.give_back(second));
}

// A lease ends unrenewed and the slot is leased anew; then a renewal of the
// old lease arrives, held up on a silent link.
#[test]
fn old_serial() {
    let (mut ledger, opens) = open();
    let old = ledger.grant(A, 1, opens).unwrap();
    let later = opens + TERM;
    ledger.expire(later);
    let new = ledger.grant(B, 2, later).unwrap();
    assert_eq!(ledger.renew(old, A, later), Renewal::Ended);
    assert_eq!(ledger.renew(new, B, later), Renewal::Kept);
}

// An owner dies. The next one knows nothing, and live holders report what they
// have: it keeps those leases once the earlier owner has surely stopped.
#[test]
fn adopted_behind_fence() {
    let lease = LeaseKey {
        slot: coordination::slots::message::SlotKey {
            endpoint: ENDPOINT,
            number: 0,
        },
        serial: 77,
        hop: 3,
    };
    let (mut ledger, opens) = open();
    assert_eq!(ledger.renew(lease, A, at(10)), Renewal::Pending);
    let stopped = opens - TERM;
    assert_eq!(ledger.renew(lease, A, stopped), Renewal::Kept);
    let other = LeaseKey {
        serial: 78,
        ..lease
    };
    assert_eq!(ledger.renew(other, B, stopped), Renewal::Ended);
}

#[test]
fn estate_opens_at_once() {
    let (mut before, opens) = open();
    before.resize(2);
    let lease = before.grant(A, 1, opens).unwrap();
    let estate = before.estate(2, 1, opens);
    let mut after = Ledger::inherited(&estate, 2, opens);
    assert_eq!(after.out(), 1);
    assert_eq!(after.renew(lease, A, opens), Renewal::Kept);
    let granted = after.grant(B, 2, opens).unwrap();
    assert_ne!(granted.slot, lease.slot);
}

// A host is paused past its lease with a call in hand, then goes on. The owner
// has leased the slot to another host meanwhile, so the call must not be sent.
#[test]
fn paused_holder() {
    let (mut ledger, opens) = open();
    let lease = ledger.grant(A, 1, opens).unwrap();
    let mut holder = Holder::default();
    assert!(holder.accept(&handed(lease, TERM), SERVICE, opens, opens));
    holder.start(lease.slot, opens).unwrap();
    assert!(holder.may_send(lease, opens + TERM - Duration::from_millis(1)));
    let resumed = opens + TERM;
    ledger.expire(resumed);
    assert!(ledger.grant(B, 2, resumed).is_some());
    assert!(!holder.may_send(lease, resumed));
    assert_eq!(holder.free(lease, resumed), Freed::Lapsed);
}

// The answer to a renewal comes after the lease has ended. The holder must not
// revive it: the owner may have leased the slot anew.
#[test]
fn no_revival() {
    let (mut ledger, opens) = open();
    let lease = ledger.grant(A, 1, opens).unwrap();
    let mut holder = Holder::default();
    holder.accept(&handed(lease, TERM), SERVICE, opens, opens);
    let asked = opens + Duration::from_millis(2_900);
    holder.ask(lease.slot, asked);
    holder.renewed(asked, &[], opens + TERM);
    assert!(!holder.may_send(lease, opens + TERM));
}

#[test]
fn handover_keeps_end() {
    let (mut ledger, opens) = open();
    let lease = ledger.grant(A, 1, opens).unwrap();
    let mut giver = Holder::default();
    giver.accept(&handed(lease, TERM), SERVICE, opens, opens);
    let now = opens + Duration::from_millis(1_000);
    let given = giver.hand(lease.slot, now).unwrap();
    assert_eq!(given.left, Duration::from_millis(2_000));
    assert!(!giver.may_send(lease, now));
    let mut taker = Holder::default();
    let asked = now - Duration::from_millis(5);
    assert!(taker.accept(&given, SERVICE, asked, now));
    let end = taker.get(lease.slot).unwrap().end;
    assert!(end <= opens + TERM);
}
