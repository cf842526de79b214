//! The state of one endpoint as known to this host.

use std::net::SocketAddr;
use std::time::Duration;

use derives::value;
use xxhash_rust::xxh3::xxh3_64;

use super::load_sample::{GOOD_SLOWDOWN, LoadSample};
use super::outcome::PassiveHealth;
use crate::{DataCentreKey, EndpointKey, Moment, ServiceKey, VersionKey};

/// One instance of a backend server, as registered in the store.
#[value]
pub struct Endpoint {
    /// The name of this instance; another server at the same address rejects requests for
    /// it.
    pub instance: String,
    /// The start time in milliseconds since the Unix epoch; 0 if unknown.
    pub started_ms: u64,
    /// The service that the server runs.
    pub service: ServiceKey,
    /// The address the server listens on.
    pub address: SocketAddr,
    /// The server's data centre.
    pub centre: DataCentreKey,
    /// The version of its software; none if unknown.
    pub version: Option<VersionKey>,
    /// The number of requests that the server runs at once.
    pub slots: u32,
    /// Whether the server has announced its shutdown.
    pub draining: bool,
    /// How much longer the server is cold.
    pub cold: Duration,
}

/// What a host knows about one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointState {
    /// The endpoint's registration.
    pub endpoint: Endpoint,
    /// The latest load sample.
    pub sample: Option<LoadSample>,
    /// The number of requests sent there since that load sample.
    pub sent: u32,
    /// The number of this host's requests running there.
    pub running: u32,
    /// The end of the endpoint's cold phase, if it is cold.
    pub cold_until: Option<Moment>,
    /// When the endpoint joined; none if it was there when this host started.
    pub joined: Option<Moment>,
    /// The outcomes of this host's requests there.
    pub health: PassiveHealth,
    /// Until when the endpoint wants nothing from this host, if it asked for rest.
    pub rest_until: Option<Moment>,
    /// Whether the endpoint said with an answer that it leaves; its record may say so later.
    pub leaving: bool,
}

/// How long an endpoint counts as new.
///
/// Longer than any cold phase, so that the endpoint is still preferred once it is warm.
pub(super) const NEW_PERIOD: Duration = Duration::from_secs(15);

/// Renewals that differ by less about the end of a cold phase say the same.
const COLD_TOLERANCE: Duration = Duration::from_millis(250);

impl Endpoint {
    /// Returns the key of this instance; a restarted server is another endpoint.
    pub fn key(&self) -> EndpointKey {
        EndpointKey(xxh3_64(
            format!("{}/{}", self.instance, self.started_ms).as_bytes(),
        ))
    }

    /// Returns whether `later` is a renewal of this entry: it says the same, but for a cold
    /// phase that has become shorter.
    pub fn is_renewed_by(&self, later: &Endpoint) -> bool {
        let same_cold = Endpoint {
            cold: self.cold,
            ..later.clone()
        };
        same_cold == *self && later.cold <= self.cold
    }
}
impl EndpointState {
    /// Returns the state of an endpoint that has just become known.
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
            rest_until: None,
            leaving: false,
        }
    }

    /// Stores a load sample.
    pub fn set_sample(&mut self, sample: LoadSample) {
        self.sample = Some(sample);
        self.sent = 0;
    }

    /// Notes that the endpoint wants nothing from this host for this time.
    ///
    /// A shorter rest that it asks for meanwhile, in answer to a request that was under way,
    /// doesn't end a longer one.
    pub fn note_rest(&mut self, rest: Duration, now: Moment) {
        self.rest_until = self.rest_until.max(Some(now + rest));
    }

    /// Returns whether the endpoint has asked this host for rest that isn't over.
    pub fn is_resting(&self, now: Moment) -> bool {
        self.rest_until.is_some_and(|until| now < until)
    }

    /// Returns whether the endpoint leaves, as its record or its answers say.
    pub fn is_leaving(&self) -> bool {
        self.endpoint.draining || self.leaving
    }

    /// Returns whether the endpoint takes requests and probes from this host at present.
    pub fn accepts(&self, now: Moment) -> bool {
        !self.is_leaving() && !self.is_resting(now)
    }

    /// Sets the remaining time of the cold phase; zero if the endpoint is warm.
    pub fn note_cold(&mut self, left: Duration, now: Moment) {
        self.cold_until = (!left.is_zero()).then(|| now + left);
    }

    /// Returns whether an endpoint that is cold for this long is so for longer than known.
    pub(super) fn would_prolong_cold(&self, left: Duration, now: Moment) -> bool {
        let known = self
            .cold_until
            .map_or(Duration::ZERO, |until| now.until(until));
        left > known + COLD_TOLERANCE
    }

    /// Returns whether the endpoint is cold.
    pub fn is_cold(&self, now: Moment) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Counts a request sent to the endpoint.
    pub fn start(&mut self) {
        self.sent += 1;
        self.running += 1;
    }

    /// Counts the end of a request sent to the endpoint.
    pub fn finish(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Returns whether the endpoint joined recently and has not been probed by this host
    /// yet.
    pub fn is_new(&self, now: Moment) -> bool {
        let recently = self.joined.is_some_and(|at| now.since(at) < NEW_PERIOD);
        recently && self.sample.is_none()
    }

    /// Returns whether a fresh load sample predicts about the usual service time.
    pub fn is_good(&self, now: Moment) -> bool {
        self.slowdown(now).is_some_and(|p| p <= GOOD_SLOWDOWN)
    }

    /// Returns whether a fresh load sample shows a free slot on an undisturbed machine, or
    /// `None` without one.
    pub fn has_room(&self, now: Moment) -> Option<bool> {
        let sample = self.sample.filter(|l| l.is_fresh(now))?;
        Some(sample.has_room(self.sent))
    }

    /// Returns the slowdown predicted by a fresh load sample, or `None` without one.
    pub fn slowdown(&self, now: Moment) -> Option<f64> {
        let sample = self.sample.filter(|l| l.is_fresh(now))?;
        Some(sample.slowdown(self.sent))
    }
}
