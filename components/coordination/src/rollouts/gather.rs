//! Adds up the evidence of all hosts.
//!
//! Three hosts of each data centre gather the counters of its hosts, and tell the sums to
//! the other data centres. The sum of one gathering host may lack what another one has,
//! and both only grow, so the larger number of two sums is closer to the truth. That
//! holds also when a gathering host is lost and its successor begins from nothing.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use state::Moment;
use state::fleet::rollout::evidence::Evidence;

use super::message::{CentreSummary, HostReport};

/// The largest number of lives of hosts that are remembered.
///
/// Hosts that restart again and again would fill the memory of those that gather.
const MAX_LIVES: usize = 4_096;

/// The counters of one life of a host.
#[derive(Clone, Copy, Debug)]
struct HostCounters {
    evidence: Evidence,
    stopped: bool,
    at: Moment,
}

/// The counters of another data centre.
#[derive(Clone, Copy, Debug)]
struct CentreCounters {
    evidence: Evidence,
    pending: u32,
    at: Moment,
}

/// The evidence that one host knows.
#[derive(Clone, Debug, Default)]
pub(super) struct Gather {
    hosts: BTreeMap<(SocketAddr, u64), HostCounters>,
    centres: BTreeMap<String, CentreCounters>,
}

impl Gather {
    /// Takes in the counters of a host of this data centre.
    pub fn note_host(&mut self, from: SocketAddr, report: &HostReport, now: Moment) {
        let life = (from, report.incarnation);
        if self.hosts.len() >= MAX_LIVES && !self.hosts.contains_key(&life) {
            return;
        }
        let known = self.hosts.get(&life).map(|c| c.evidence);
        let counters = HostCounters {
            evidence: report.evidence.max(&known.unwrap_or_default()),
            stopped: report.stopped,
            at: now,
        };
        self.hosts.insert(life, counters);
    }

    /// Takes in the counters of another data centre.
    pub fn note_centre(&mut self, summary: &CentreSummary, now: Moment) {
        let known = self.centres.get(&summary.centre).map(|c| c.evidence);
        let counters = CentreCounters {
            evidence: summary.evidence.max(&known.unwrap_or_default()),
            pending: summary.pending,
            at: now,
        };
        self.centres.insert(summary.centre.clone(), counters);
    }

    /// Returns the sum over the hosts of this data centre.
    pub fn centre_evidence(&self) -> Evidence {
        let hosts = self.hosts.values().map(|h| h.evidence);
        hosts.fold(Evidence::default(), |sum, e| sum.plus(&e))
    }

    /// Returns the sum over all hosts.
    pub fn evidence(&self) -> Evidence {
        let centres = self.centres.values().map(|c| c.evidence);
        centres.fold(self.centre_evidence(), |sum, e| sum.plus(&e))
    }

    /// Returns how many of `hosts` have not said since `since` that they stopped sending
    /// to the old version.
    pub fn pending(&self, hosts: &[SocketAddr], since: Moment) -> u32 {
        let stopped = |host: &SocketAddr| {
            let lives = self.hosts.range((*host, 0)..=(*host, u64::MAX));
            let last = lives.map(|(_, c)| c).max_by_key(|c| c.at);
            last.is_some_and(|c| c.stopped && c.at >= since)
        };
        let pending = hosts.iter().filter(|host| !stopped(host)).count();
        u32::try_from(pending).unwrap_or(u32::MAX)
    }

    /// Returns whether each of the other data centres was heard from since `since`.
    pub fn hears_from(&self, centres: &[String], since: Moment) -> bool {
        let heard = |centre: &String| self.centres.get(centre).is_some_and(|c| c.at >= since);
        centres.iter().all(heard)
    }

    /// Returns whether each of the other data centres has said since `since` that all of
    /// its hosts stopped sending to the old version.
    pub fn others_stopped(&self, centres: &[String], since: Moment) -> bool {
        centres.iter().all(|centre| {
            let counters = self.centres.get(centre);
            counters.is_some_and(|c| c.pending == 0 && c.at >= since)
        })
    }
}
