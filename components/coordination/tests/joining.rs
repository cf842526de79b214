//! When a host joins, rejoins and leaves.

use std::time::Duration;

use coordination::members::membership::{Membership, Step};
use state::Moment;

fn second(seconds: u64) -> Moment {
    Moment::from_millis(seconds * 1_000)
}

// A host that has not read the log to its end knows too little to own endpoints.
#[test]
fn caught_up_first() {
    let mut membership = Membership::new(second(0));
    assert_eq!(membership.step(false, false, second(1)), Step::Wait);
    assert_eq!(membership.step(false, true, second(2)), Step::Join);
    assert_eq!(membership.step(false, true, second(3)), Step::Wait);
    assert_eq!(membership.step(false, true, second(5)), Step::Join);
    assert_eq!(membership.step(true, true, second(6)), Step::Wait);
}

// A host is removed before it has checked its membership once. Under the same
// incarnation it would rejoin as a member that all others consider ended.
#[test]
fn removed_unseen() {
    let mut membership = Membership::new(second(0));
    assert_eq!(membership.step(false, true, second(1)), Step::Join);
    membership.joined(second(2));
    assert_eq!(membership.step(false, true, second(2)), Step::Renew);
}

// A host that no other host reaches still reads the log, so it joins and is
// removed again and again. Slots change their owner each time, so it must rejoin
// less and less often.
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
