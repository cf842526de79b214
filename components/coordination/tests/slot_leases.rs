//! The lease of a slot at its owner and at its holder.

use std::time::Duration;

use coordination::slots::held::{Freed, HeldLeases};
use coordination::slots::lease_table::{LeaseTable, Renewal};
use coordination::slots::message::{LeaseKey, TransferredLease};
use coordination::slots::timing::{FENCE_DURATION, LEASE_TERM};
use state::{EndpointKey, HostKey, Moment, ServiceKey};

const ENDPOINT: EndpointKey = EndpointKey(1);
const SERVICE: ServiceKey = ServiceKey(2);
const A: HostKey = HostKey(10);
const B: HostKey = HostKey(11);

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

/// Returns a table of one slot behind its fence, and the time when the fence is over.
fn open() -> (LeaseTable, Moment) {
    let table = LeaseTable::with_fence(ENDPOINT, 1, at(0));
    (table, at(0) + FENCE_DURATION)
}

fn transferred(lease: LeaseKey, left: Duration) -> TransferredLease {
    TransferredLease {
        lease,
        left,
        single_use: false,
    }
}

#[test]
fn fence_first() {
    let (mut table, opens) = open();
    assert_eq!(table.grant(A, 1, opens - Duration::from_millis(1)), None);
    assert!(table.grant(A, 1, opens).is_some());
    assert_eq!(table.grant(B, 2, opens), None);
}

#[test]
fn free_after_term() {
    let (mut table, opens) = open();
    table.grant(A, 1, opens).unwrap();
    table.expire(opens + LEASE_TERM - Duration::from_millis(1));
    assert_eq!(table.leased(), 1);
    table.expire(opens + LEASE_TERM);
    assert_eq!(table.leased(), 0);
}

// A holder transfers its lease, and its own renewal arrives late. The owner must
// not return the slot to the host that no longer holds it.
#[test]
fn late_renewal() {
    let (mut table, opens) = open();
    let first = table.grant(A, 1, opens).unwrap();
    let second = LeaseKey { hop: 1, ..first };
    let now = opens + Duration::from_millis(500);
    assert_eq!(table.renew(second, B, now), Renewal::Extended);
    assert_eq!(table.renew(first, A, now), Renewal::Ended);
    assert!(!table.return_lease(first));
    assert!(table.return_lease(second));
}

// A lease ends without renewal and the slot is leased again. Then a delayed
// renewal of the old lease arrives.
#[test]
fn old_serial() {
    let (mut table, opens) = open();
    let old = table.grant(A, 1, opens).unwrap();
    let later = opens + LEASE_TERM;
    table.expire(later);
    let new = table.grant(B, 2, later).unwrap();
    assert_eq!(table.renew(old, A, later), Renewal::Ended);
    assert_eq!(table.renew(new, B, later), Renewal::Extended);
}

// An owner dies. The next one knows no leases, and live holders report theirs: it
// keeps those leases once the earlier owner has certainly stopped.
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
    let (mut table, opens) = open();
    assert_eq!(table.renew(lease, A, at(10)), Renewal::Pending);
    let stopped = opens - LEASE_TERM;
    assert_eq!(table.renew(lease, A, stopped), Renewal::Extended);
    let other = LeaseKey {
        serial: 78,
        ..lease
    };
    assert_eq!(table.renew(other, B, stopped), Renewal::Ended);
}

#[test]
fn handoff_opens_at_once() {
    let (mut before, opens) = open();
    before.resize(2);
    let lease = before.grant(A, 1, opens).unwrap();
    let handoff = before.handoff(2, 1, opens);
    let mut after = LeaseTable::from_handoff(&handoff, 2, opens);
    assert_eq!(after.leased(), 1);
    assert_eq!(after.renew(lease, A, opens), Renewal::Extended);
    let granted = after.grant(B, 2, opens).unwrap();
    assert_ne!(granted.slot, lease.slot);
}

// A host is paused before it sends a call, for longer than its lease. The owner has
// leased the slot to another host meanwhile, so the call must not be sent.
#[test]
fn paused_holder() {
    let (mut table, opens) = open();
    let lease = table.grant(A, 1, opens).unwrap();
    let mut holder = HeldLeases::default();
    assert!(holder.accept(&transferred(lease, LEASE_TERM), SERVICE, opens, opens));
    holder.start(lease.slot, opens).unwrap();
    assert!(holder.may_send(lease, opens + LEASE_TERM - Duration::from_millis(1)));
    let resumed = opens + LEASE_TERM;
    table.expire(resumed);
    assert!(table.grant(B, 2, resumed).is_some());
    assert!(!holder.may_send(lease, resumed));
    assert_eq!(holder.free(lease, resumed), Freed::Expired);
}

// The answer to a renewal arrives after the lease has ended. The holder must not
// extend it: the owner may have leased the slot to another host.
#[test]
fn no_late_extension() {
    let (mut table, opens) = open();
    let lease = table.grant(A, 1, opens).unwrap();
    let mut holder = HeldLeases::default();
    holder.accept(&transferred(lease, LEASE_TERM), SERVICE, opens, opens);
    let asked = opens + Duration::from_millis(2_900);
    holder.note_renewal(lease.slot, asked);
    holder.renewed(asked, &[], opens + LEASE_TERM);
    assert!(!holder.may_send(lease, opens + LEASE_TERM));
}

#[test]
fn handover_keeps_end() {
    let (mut table, opens) = open();
    let lease = table.grant(A, 1, opens).unwrap();
    let mut sender = HeldLeases::default();
    sender.accept(&transferred(lease, LEASE_TERM), SERVICE, opens, opens);
    let now = opens + Duration::from_millis(1_000);
    let sent = sender.transfer(lease.slot, now).unwrap();
    assert_eq!(sent.left, Duration::from_millis(2_000));
    assert!(!sender.may_send(lease, now));
    let mut receiver = HeldLeases::default();
    let asked = now - Duration::from_millis(5);
    assert!(receiver.accept(&sent, SERVICE, asked, now));
    let end = receiver.get(lease.slot).unwrap().end;
    assert!(end <= opens + LEASE_TERM);
}
