//! Placement policies: the default one and the baselines that it is measured against.

use derives::tag;

use crate::keys::EndpointKey;

/// How an entry host places its calls on endpoints.
#[tag]
pub enum Policy {
    /// Slots leased by each endpoint's owner and moved between hosts on demand.
    Shared,
    /// A random endpoint.
    Random,
    /// Each endpoint in turn.
    RoundRobin,
    /// The endpoint with the fewest calls in flight from this entry host.
    LeastInFlight,
    /// The less busy of two random endpoints.
    TwoChoices,
    /// A fixed share of each endpoint's slots for each entry host.
    FixedShare,
}

/// An endpoint as seen by a baseline policy.
#[tag]
pub struct Choice {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// The number of calls in flight there, as known to this entry host.
    pub running: u32,
}

impl Policy {
    /// All policies, the default one first.
    pub const ALL: [Policy; 6] = [
        Policy::Shared,
        Policy::Random,
        Policy::RoundRobin,
        Policy::LeastInFlight,
        Policy::TwoChoices,
        Policy::FixedShare,
    ];

    /// Returns the policy's name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Policy::Shared => "shared",
            Policy::Random => "random",
            Policy::RoundRobin => "round-robin",
            Policy::LeastInFlight => "least-in-flight",
            Policy::TwoChoices => "two-choices",
            Policy::FixedShare => "fixed-share",
        }
    }

    /// Chooses an endpoint by a baseline policy; `draw` is a random number and `turn`
    /// counts calls.
    ///
    /// Returns `None` if there is no endpoint. [`Policy::Shared`] and
    /// [`Policy::FixedShare`] choose among their free slots elsewhere, and use the
    /// endpoint with the fewest calls in flight here as a fallback.
    pub fn choose(self, choices: &[Choice], turn: u64, draw: u64) -> Option<EndpointKey> {
        let count = choices.len() as u64;
        if count == 0 {
            return None;
        }
        let at = |n: u64| choices[(n % count) as usize];
        let found = match self {
            Policy::Random => at(draw),
            Policy::RoundRobin => at(turn),
            Policy::TwoChoices => less_busy(at(draw & 0xffff_ffff), at(draw >> 32)),
            Policy::Shared | Policy::LeastInFlight | Policy::FixedShare => (0..count)
                .map(|n| at(n + draw))
                .reduce(less_busy)
                .unwrap_or(at(0)),
        };
        Some(found.endpoint)
    }
}

impl std::str::FromStr for Policy {
    type Err = UnknownPolicy;

    fn from_str(text: &str) -> Result<Policy, UnknownPolicy> {
        Policy::ALL
            .into_iter()
            .find(|p| p.name() == text)
            .ok_or(UnknownPolicy)
    }
}

/// The error for an unknown policy name.
#[tag]
pub struct UnknownPolicy;

impl std::fmt::Display for UnknownPolicy {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let names = Policy::ALL.map(Policy::name).join(", ");
        write!(f, "no such policy; choose one of {names}")
    }
}

impl std::error::Error for UnknownPolicy {}

fn less_busy(a: Choice, b: Choice) -> Choice {
    if b.running < a.running { b } else { a }
}
