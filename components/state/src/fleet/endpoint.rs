//! One endpoint as this host knows it.

use std::net::SocketAddr;
use std::time::Duration;

use derives::value;
use xxhash_rust::xxh3::xxh3_64;

use super::load_sample::{GOOD, LoadSample};
use super::outcome::PassiveHealth;
use crate::{DataCentreKey, EndpointKey, Moment, ServiceKey};

/// One life of a backend server, as it registered itself.
#[value]
pub struct Endpoint {
    /// The name of this life; another server at its address rejects it.
    pub instance: String,
    /// When it started, in milliseconds of the time of day; 0 where not told.
    pub started_ms: u64,
    /// The service it serves.
    pub service: ServiceKey,
    /// Where it listens.
    pub address: SocketAddr,
    /// The data centre it stands in.
    pub centre: DataCentreKey,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it has said that it is leaving.
    pub draining: bool,
    /// How much longer it is cold.
    pub cold: Duration,
}

/// What a host knows of one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointState {
    /// Who it is.
    pub endpoint: Endpoint,
    /// The newest look at it.
    pub sample: Option<LoadSample>,
    /// Requests sent there since that look.
    pub sent: u32,
    /// Requests of this host running there.
    pub running: u32,
    /// Until when it is cold.
    pub cold_until: Option<Moment>,
    /// When it joined, none where it was there before this host knew any.
    pub joined: Option<Moment>,
    /// What this host's requests met there.
    pub health: PassiveHealth,
}

/// How long an endpoint counts as new.
///
/// Longer than any is cold, so that it is still tried when it is warm.
const NEWCOMER: Duration = Duration::from_secs(15);

impl Endpoint {
    /// Returns the key of this life: one that starts again is another endpoint.
    pub fn key(&self) -> EndpointKey {
        EndpointKey(xxh3_64(
            format!("{}/{}", self.instance, self.started_ms).as_bytes(),
        ))
    }
}

impl EndpointState {
    /// Returns the state of an endpoint heard of for the first time.
    pub fn new(endpoint: Endpoint, now: Moment) -> EndpointState {
        let cold_until = (!endpoint.cold.is_zero()).then(|| now + endpoint.cold);
        EndpointState {
            endpoint,
            sample: None,
            sent: 0,
            running: 0,
            cold_until,
            joined: Some(now),
            health: PassiveHealth::default(),
        }
    }

    /// Takes in a look.
    pub fn set_sample(&mut self, sample: LoadSample) {
        self.sample = Some(sample);
        self.sent = 0;
    }

    /// Takes in how much longer it says it is cold; zero where it says that it is warm.
    pub fn note_cold(&mut self, left: Duration, now: Moment) {
        self.cold_until = (!left.is_zero()).then(|| now + left);
    }

    /// Returns whether it is cold.
    pub fn is_cold(&self, now: Moment) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Counts a request sent there.
    pub fn start(&mut self) {
        self.sent += 1;
        self.running += 1;
    }

    /// Counts the end of a request sent there.
    pub fn finish(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Returns whether it joined lately and this host hasn't asked it yet.
    pub fn is_newcomer(&self, now: Moment) -> bool {
        let lately = self.joined.is_some_and(|at| now.since(at) < NEWCOMER);
        lately && self.sample.is_none()
    }

    /// Returns whether a fresh look says that work takes about as long as usual here.
    pub fn is_good(&self, now: Moment) -> bool {
        self.slowdown(now).is_some_and(|p| p <= GOOD)
    }

    /// Returns the pace that a look fresh enough promises.
    pub fn slowdown(&self, now: Moment) -> Option<f64> {
        let sample = self.sample.filter(|l| l.is_fresh(now))?;
        Some(sample.slowdown(self.sent))
    }
}
