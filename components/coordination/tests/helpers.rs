//! Hosts that reach no endpoint choose others that do.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use coordination::helpers::{Candidate, Failure, Helpers, MAX_TRIES};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use state::Moment;
use state::topology::Distance;

const START: Moment = Moment::from_millis(10_000);

/// The time between two requests at one host.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);

/// Requests that each host that is cut off forwards.
const REQUESTS: usize = 40;

/// The most requests at one helper, as a multiple of the mean.
const MAX_SKEW: f64 = 2.0;

/// A site of hosts in several data centres, some of which reach no endpoint.
struct Site {
    centres: usize,
    hosts: usize,
    is_cut: fn(usize, usize) -> bool,
}

/// What became of all forwarded requests.
#[derive(Default)]
struct Result {
    served: usize,
    rejected: usize,
    tries: usize,
    by_helper: BTreeMap<usize, usize>,
}

impl Site {
    fn address(host: usize) -> SocketAddr {
        let host = u16::try_from(host).expect("few hosts");
        SocketAddr::from(([10, 0, 0, 1], 1_000 + host))
    }

    fn candidates(&self, me: usize) -> Vec<Candidate> {
        let others = (0..self.hosts).filter(|host| *host != me);
        let candidate = |host: usize| Candidate {
            address: Site::address(host),
            distance: match host % self.centres == me % self.centres {
                true => Distance::SameCentre,
                false => Distance::SameRegion,
            },
        };
        others.map(candidate).collect()
    }

    /// Forwards the requests of all hosts that are cut off.
    fn run(&self, seed: u64) -> Result {
        let mut random = StdRng::seed_from_u64(seed);
        let mut result = Result::default();
        for me in (0..self.hosts).filter(|host| (self.is_cut)(*host, self.centres)) {
            let candidates = self.candidates(me);
            let mut helpers = Helpers::default();
            let mut now = START;
            for _ in 0..REQUESTS {
                now = now + REQUEST_INTERVAL;
                self.forward(&mut helpers, &candidates, now, &mut random, &mut result);
            }
        }
        result
    }

    fn forward(
        &self,
        helpers: &mut Helpers,
        candidates: &[Candidate],
        now: Moment,
        random: &mut StdRng,
        result: &mut Result,
    ) {
        let mut tried = BTreeSet::new();
        for _ in 0..MAX_TRIES {
            let Some(helper) = helpers.choose(candidates, &tried, now, random.random()) else {
                break;
            };
            result.tries += 1;
            tried.insert(helper.address);
            let host = usize::from(helper.address.port()) - 1_000;
            if !(self.is_cut)(host, self.centres) {
                helpers.note_answer(helper, now);
                result.served += 1;
                *result.by_helper.entry(host).or_default() += 1;
                return;
            }
            helpers.note_failure(helper, Failure::Unavailable, now);
        }
        result.rejected += 1;
    }
}

/// Half of the hosts are cut off. Their requests must be served after few tries, and no helper
/// may get much more than the others.
#[rstest]
#[case(13, 3)]
#[case(106, 3)]
#[case(984, 5)]
fn half_cut(#[case] hosts: usize, #[case] centres: usize) {
    let site = Site {
        centres,
        hosts,
        is_cut: |host, centres| (host / centres).is_multiple_of(2),
    };
    let result = site.run(7);
    let sent = result.served + result.rejected;
    assert!(
        result.rejected * 50 <= sent,
        "{} of {sent}",
        result.rejected
    );
    assert!(result.tries <= sent * 2, "{} tries of {sent}", result.tries);
    let most = result.by_helper.values().max().copied().unwrap_or_default();
    let mean = result.served as f64 / result.by_helper.len() as f64;
    assert!(most as f64 <= mean * MAX_SKEW, "{most}, mean {mean}");
}

/// All hosts of one data centre are cut off. None of them may try all its neighbours first.
#[rstest]
#[case(13, 3)]
#[case(106, 3)]
#[case(984, 5)]
fn centre_cut(#[case] hosts: usize, #[case] centres: usize) {
    let site = Site {
        centres,
        hosts,
        is_cut: |host, centres| host.is_multiple_of(centres),
    };
    let result = site.run(8);
    let sent = result.served + result.rejected;
    assert!(
        result.rejected * 50 <= sent,
        "{} of {sent}",
        result.rejected
    );
    assert!(
        result.tries * 10 <= sent * 12,
        "{} tries of {sent}",
        result.tries
    );
}

/// All hosts are cut off. Requests must be rejected after few tries, and after that without any
/// until hosts are asked again.
#[test]
fn all_cut() {
    let site = Site {
        centres: 3,
        hosts: 13,
        is_cut: |_, _| true,
    };
    let result = site.run(9);
    assert_eq!(result.served, 0);
    assert!(result.tries <= result.rejected, "{}", result.tries);
}

/// A host that doesn't answer must not cost each request a timeout.
#[test]
fn unreachable_helper() {
    let near = |port| Candidate {
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        distance: Distance::SameCentre,
    };
    let mut helpers = Helpers::default();
    helpers.note_failure(near(1), Failure::Unreachable, START);
    let chosen = |helpers: &Helpers, now| helpers.choose(&[near(1)], &BTreeSet::new(), now, 0);
    assert_eq!(chosen(&helpers, START + Duration::from_secs(3)), None);
    let later = START + Duration::from_secs(5);
    assert_eq!(chosen(&helpers, later), Some(near(1)));
}
