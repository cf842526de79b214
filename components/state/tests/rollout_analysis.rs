//! The verdict on a new version: how many answers it takes, and how often it is wrong.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use state::Moment;
use state::fleet::rollout::analysis::{Analysis, Assessment};
use state::fleet::rollout::evidence::{Answer, Evidence, Side};

/// Answers of the old version for each answer of the new one.
const OLD_PER_NEW: usize = 19;

/// Answers of the new version per second.
const RATE: u64 = 18;

/// A canary whose answers are drawn from a seed.
struct Canary {
    random: SmallRng,
    evidence: Evidence,
    analysis: Analysis,
    now: Moment,
    /// The share of bad answers of the old version.
    old: f64,
}

impl Canary {
    fn new(seed: u64, old: f64) -> Canary {
        Canary {
            random: SmallRng::seed_from_u64(seed),
            evidence: Evidence::default(),
            analysis: Analysis::default(),
            now: Moment(0),
            old,
        }
    }

    fn answer(&mut self, side: Side, route: u64, share: f64) {
        let answer = match self.random.random_bool(share) {
            true => Answer::Bad,
            false => Answer::Good,
        };
        self.evidence.note(side, route, answer);
    }

    /// Takes in one answer of the new version and those of the old one of the same time.
    fn step(&mut self, route: u64, share: f64) -> Assessment {
        for _ in 0..OLD_PER_NEW {
            let old = self.old;
            self.answer(Side::Old, route, old);
        }
        self.answer(Side::New, route, share);
        self.now = self.now + Duration::from_micros(1_000_000 / RATE);
        self.analysis.update(&self.evidence, self.now);
        self.assessment()
    }

    fn assessment(&self) -> Assessment {
        self.analysis.assessment(0.05, Duration::ZERO, self.now)
    }

    /// Returns after how many answers of the new version it was found bad, `None` if not
    /// within `limit`.
    fn found_after(&mut self, share: f64, limit: usize) -> Option<usize> {
        (1..=limit).find(|_| self.step(0, share) == Assessment::Bad)
    }
}

/// Returns the number of answers after which a share of versions is found bad.
fn quantile(share: f64, old: f64, of: f64) -> usize {
    let mut found: Vec<usize> = (0..400)
        .map(|seed| {
            Canary::new(seed, old)
                .found_after(share, 2_000)
                .unwrap_or(usize::MAX)
        })
        .collect();
    found.sort_unstable();
    found[(found.len() as f64 * of) as usize]
}

/// A canary brings some 200 answers in 12 seconds at 370 requests a second. A version with a
/// quarter of bad answers must be found within half of them, 97 times of 100.
#[test]
fn answers_needed() {
    assert!(quantile(0.5, 0.005, 0.5) <= 14);
    assert!(quantile(0.5, 0.005, 0.97) <= 25);
    assert!(quantile(0.25, 0.005, 0.5) <= 35);
    assert!(quantile(0.25, 0.005, 0.97) <= 100);
}

/// A good version must not go back: fewer than one in a hundred may, over 250 answers, also
/// if one answer in twenty of both versions is bad.
#[test]
fn false_alarms() {
    for noise in [0.001, 0.01, 0.03, 0.05] {
        let alarms = (0..1_000)
            .filter(|seed| Canary::new(*seed, noise).found_after(noise, 250).is_some())
            .count();
        assert!(alarms < 10, "{alarms} of 1,000 at {noise}");
    }
}

/// Noise that hits both versions for seconds, as when the network loses answers, says nothing
/// about the new one.
#[test]
fn burst_on_both() {
    let mut alarms = 0;
    for seed in 0..200 {
        let mut canary = Canary::new(seed, 0.005);
        canary.found_after(0.005, 60);
        canary.old = 0.25;
        alarms += usize::from(canary.found_after(0.25, 72).is_some());
    }
    assert!(alarms <= 4, "{alarms} of 200");
}

/// Good answers of the first seconds must not hide that the version has turned bad.
#[test]
fn late_fault() {
    for seed in 0..100 {
        let mut canary = Canary::new(seed, 0.005);
        assert_eq!(canary.found_after(0.005, 150), None, "seed {seed}");
        let found = canary.found_after(0.4, 150);
        assert!(found.is_some_and(|n| n <= 60), "seed {seed}: {found:?}");
    }
}

/// A route that brings a tenth of the answers fails half of them: over all routes that is no
/// more than is tolerated, so the route's own answers must tell.
#[test]
fn rare_route() {
    for seed in 0..50 {
        let mut canary = Canary::new(seed, 0.001);
        let found = (1..400).find(|n| {
            let (route, share) = if n % 10 == 0 { (1, 0.5) } else { (0, 0.001) };
            canary.step(route, share) == Assessment::Bad
        });
        assert!(found.is_some(), "seed {seed}");
    }
}

/// A dozen answers are too few, and so are far fewer than the canary should have brought.
#[test]
fn too_little_evidence() {
    let mut canary = Canary::new(1, 0.0);
    for _ in 0..11 {
        assert_eq!(canary.step(0, 0.0), Assessment::Unknown);
    }
    assert_eq!(canary.step(0, 0.0), Assessment::Good);
    for _ in 0..2_000 {
        canary.answer(Side::Old, 0, 0.0);
    }
    canary.analysis.update(&canary.evidence, canary.now);
    assert_eq!(canary.assessment(), Assessment::Unknown);
    let observation = Duration::from_secs(3_600);
    let early = canary.analysis.assessment(0.0, observation, canary.now);
    assert_eq!(early, Assessment::Unknown);
}

/// Sums of several hosts arrive in any order, some of them twice or out of date.
#[test]
fn counters_only_grow() {
    let mut canary = Canary::new(3, 0.005);
    assert_eq!(canary.found_after(0.005, 80), None);
    let before = *canary.analysis.evidence();
    canary.analysis.update(&Evidence::default(), canary.now);
    assert_eq!(*canary.analysis.evidence(), before);
    let mut newer = before;
    newer.note(Side::New, 0, Answer::Good);
    assert_eq!(before.max(&newer), newer);
    assert_eq!(newer.max(&before), newer);
}
