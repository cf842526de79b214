//! A host's own membership: when it joins, rejoins after a removal, and leaves.

use std::time::Duration;

use derives::tag;
use state::Moment;

/// The delay before a host rejoins. It doubles each time the host is removed soon after.
const MIN_REJOIN_DELAY: Duration = Duration::from_secs(1);

/// The maximum delay.
const MAX_REJOIN_DELAY: Duration = Duration::from_secs(300);

/// How long a membership must last to reset the delay to the minimum.
const STABLE_AFTER: Duration = Duration::from_secs(60);

/// How long to wait for a command to take effect before writing it again.
const COMMAND_RETRY: Duration = Duration::from_secs(2);

/// The next action for a host's own membership.
#[tag]
pub enum Step {
    /// Nothing to do for now.
    Wait,
    /// Write a command that the host joins.
    Join,
    /// The host was removed: take a new incarnation and drop all state of the old one.
    Renew,
    /// Write a command that the host leaves.
    Leave,
}

/// The state of a host's own membership.
pub struct Membership {
    joined: Option<Moment>,
    leaving: bool,
    delay: Duration,
    not_before: Moment,
}

impl Membership {
    /// Returns the state of a host that is not a member yet.
    pub fn new(now: Moment) -> Membership {
        Membership {
            joined: None,
            leaving: false,
            delay: MIN_REJOIN_DELAY,
            not_before: now,
        }
    }

    /// Starts to leave, after the host has drained.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Records that a configuration contains this incarnation as a member.
    ///
    /// A membership may last only a moment. If it went unnoticed, the host would join
    /// again under the removed incarnation, which other hosts consider ended.
    pub fn joined(&mut self, now: Moment) {
        self.joined.get_or_insert(now);
    }

    /// Decides on the next action.
    ///
    /// `member` is whether the configuration contains this incarnation, and `current`
    /// whether the end of the log was read recently. A host that no other host can
    /// reach, but that reads the log, would join and be removed again and again, and
    /// each time slots would change their owner. The growing delay limits this.
    pub fn step(&mut self, member: bool, current: bool, now: Moment) -> Step {
        match (member, self.joined) {
            (true, _) if self.leaving => self.write(Step::Leave, current, now),
            (false, _) if self.leaving => Step::Wait,
            (true, _) => {
                self.joined(now);
                Step::Wait
            }
            (false, Some(since)) => {
                self.joined = None;
                self.delay = match now.since(since) {
                    lasted if lasted >= STABLE_AFTER => MIN_REJOIN_DELAY,
                    _ => (self.delay * 2).min(MAX_REJOIN_DELAY),
                };
                self.not_before = now + self.delay;
                Step::Renew
            }
            (false, None) => self.write(Step::Join, current, now),
        }
    }

    fn write(&mut self, step: Step, current: bool, now: Moment) -> Step {
        if !current || now < self.not_before {
            return Step::Wait;
        }
        self.not_before = now + COMMAND_RETRY;
        step
    }
}
