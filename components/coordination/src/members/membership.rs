//! When a host joins, and when it joins again after it was removed.

use std::time::Duration;

use derives::tag;
use state::Moment;

/// The pause before a host joins again, doubled each time it is removed soon after.
const MIN_REJOIN_DELAY: Duration = Duration::from_secs(1);

/// The longest pause.
const MAX_REJOIN_DELAY: Duration = Duration::from_secs(300);

/// Membership that lasted this long sets the pause back to the first.
const STABLE_AFTER: Duration = Duration::from_secs(60);

/// How long a command's effect is waited for before it is written again.
const COMMAND_RETRY: Duration = Duration::from_secs(2);

/// What a host does about its own membership.
#[tag]
pub enum Step {
    /// Nothing for now.
    Wait,
    /// Write that it joins.
    Join,
    /// It was removed: take a new incarnation, and let go of all that the old one had.
    Renew,
    /// Write that it leaves.
    Leave,
}

/// A host's own membership.
pub struct Membership {
    joined: Option<Moment>,
    leaving: bool,
    delay: Duration,
    not_before: Moment,
}

impl Membership {
    /// Returns one for a host that is no member yet.
    pub fn new(now: Moment) -> Membership {
        Membership {
            joined: None,
            leaving: false,
            delay: MIN_REJOIN_DELAY,
            not_before: now,
        }
    }

    /// Starts to leave: the host has drained.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Notes that a configuration names this incarnation as a member.
    ///
    /// Membership may last a moment only. Unnoticed, the host would join again
    /// under the incarnation that was removed, which others hold for ended.
    pub fn joined(&mut self, now: Moment) {
        self.joined.get_or_insert(now);
    }

    /// Decides what to do.
    ///
    /// `member` is whether the configuration names this incarnation, and
    /// `current` whether the log's end has been read lately. A host that can be
    /// reached by nobody but reads the log would join and be removed over and
    /// over, and each time slots would change their owner: hence the pause.
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
