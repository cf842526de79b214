//! When a host joins, joins again, and leaves.

use std::time::Duration;

use coordination::members::membership::{Membership, Step};
use state::Moment;

fn second(seconds: u64) -> Moment {
    Moment::from_millis(seconds * 1_000)
}

// A host that has not read the log's end knows too little to own anything.
#[test]
fn caught_up_first() {
    let mut membership = Membership::new(second(0));
    assert_eq!(membership.step(false, false, second(1)), Step::Wait);
    assert_eq!(membership.step(false, true, second(2)), Step::Join);
    assert_eq!(membership.step(false, true, second(3)), Step::Wait);
    assert_eq!(membership.step(false, true, second(5)), Step::Join);
    assert_eq!(membership.step(true, true, second(6)), Step::Wait);
}

// The host joins and is removed before it has looked at its membership once.
// Under the same incarnation it would come back as one whom all hold for ended.
#[test]
fn removed_unseen() {
    let mut membership = Membership::new(second(0));
    assert_eq!(membership.step(false, true, second(1)), Step::Join);
    membership.joined(second(2));
    assert_eq!(membership.step(false, true, second(2)), Step::Renew);
}

// Nobody reaches the host, but it reads the log: it joins and is removed over
// and over. Each time slots change their owner, so it must come ever less often.
#[test]
fn flapping() {
    let mut membership = Membership::new(second(0));
    let mut joins = 0;
    let mut member = None;
    for tenth in 0..36_000 {
        let now = Moment::from_millis(tenth * 100);
        member = member.filter(|at| now.since(*at) < Duration::from_secs(4));
        if membership.step(member.is_some(), true, now) == Step::Join {
            joins += 1;
            member = Some(now);
        }
    }
    assert!(joins < 25, "{joins} joins in an hour");
}

#[test]
fn leaving() {
    let mut membership = Membership::new(second(0));
    membership.joined(second(0));
    membership.leave();
    assert_eq!(membership.step(true, true, second(1)), Step::Leave);
    assert_eq!(membership.step(true, true, second(2)), Step::Wait);
    assert_eq!(membership.step(true, true, second(4)), Step::Leave);
    assert_eq!(membership.step(false, true, second(5)), Step::Wait);
}
