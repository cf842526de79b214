//! Finds out whether a whole data centre has stopped responding, and ends the wait of
//! requests there.

use std::collections::BTreeSet;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use protocol::neighbour::NeighbourMessage;
use protocol::observation_report::ObservationReport;
use state::fleet::centre_loss::{CentreLosses, Evidence, Verdict};
use state::{DataCentreKey, EndpointKey};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::Gateway;
use crate::clock;

/// The time between two looks at a suspicion.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// The shortest time between two checks of data centres in which endpoints fail.
const CHECK_PAUSE: Duration = Duration::from_millis(10);

/// The rounds in which hosts of a suspected data centre are queried.
const QUERY_ROUNDS: u32 = 2;

/// The number of hosts that are queried in each round.
///
/// Some of the known hosts may have stopped, and datagrams may be lost.
const QUERIED_HOSTS: usize = 3;

/// The endpoints of a suspected data centre that this host probes if none has failed here.
const PROBED_ENDPOINTS: usize = 2;

/// The data centres that may be lost, and what waits for that.
#[derive(Default)]
pub(super) struct LossWatch {
    losses: CentreLosses,
    /// Data centres in which endpoints have failed since the last check.
    failing: BTreeSet<DataCentreKey>,
    /// Wakes the requests at endpoints when a data centre is lost.
    lost: Rc<Notify>,
}

impl Gateway {
    /// Notes that an endpoint doesn't answer this or another host, which may be due to the
    /// loss of its data centre.
    pub(super) fn note_unanswered(&self, key: EndpointKey) {
        let registry = self.registry.borrow();
        let centre = registry.get(key).map(|s| s.endpoint.centre);
        drop(registry);
        let other = centre.filter(|c| *c != self.home);
        if let Some(centre) = other.filter(|_| self.shares_observations()) {
            self.loss_watch.borrow_mut().failing.insert(centre);
            self.centres_failing.notify_one();
        }
    }

    /// Checks data centres in which endpoints fail; never returns.
    pub(super) async fn watch_centres(self: Rc<Self>) {
        loop {
            self.centres_failing.notified().await;
            let failing = std::mem::take(&mut self.loss_watch.borrow_mut().failing);
            for centre in failing {
                let evidence = self.evidence(centre);
                let now = clock::now();
                let mut watch = self.loss_watch.borrow_mut();
                let suspected = watch.losses.suspect(centre, evidence, now);
                drop(watch);
                if suspected && evidence.own == 0 {
                    self.probe_centre(centre);
                }
                if suspected {
                    spawn_local(Rc::clone(&self).confirm_loss(centre));
                }
            }
            // Endpoints that fail one after the other must not keep this loop busy.
            sleep(CHECK_PAUSE).await;
        }
    }

    /// Notes a message of another host, which shows that its data centre responds.
    pub(super) fn note_host_contact(&self, from: SocketAddr) {
        let now = clock::now();
        if !self.loss_watch.borrow().losses.has_suspicion(now) {
            return;
        }
        let hosts = self.neighbours.borrow_mut().remote_hosts(now);
        if let Some(host) = hosts.iter().find(|c| c.address == from) {
            let centre = DataCentreKey::named(&host.centre);
            self.loss_watch.borrow_mut().losses.note_contact(centre);
        }
    }

    /// Runs `exchange` with an endpoint; notifies `waiting` if the endpoint's data centre is
    /// lost meanwhile, and goes on.
    pub(super) async fn watch_loss<T>(
        &self,
        key: EndpointKey,
        waiting: Option<&Notify>,
        exchange: impl Future<Output = T>,
    ) -> T {
        let Some(waiting) = waiting else {
            return exchange.await;
        };
        let mut exchange = pin!(exchange);
        let lost = Rc::clone(&self.loss_watch.borrow().lost);
        loop {
            tokio::select! {
                biased;
                ended = &mut exchange => return ended,
                () = lost.notified() => {
                    if self.is_at_lost_centre(key) {
                        waiting.notify_one();
                    }
                }
            }
        }
    }

    fn is_at_lost_centre(&self, key: EndpointKey) -> bool {
        let registry = self.registry.borrow();
        let centre = registry.get(key).map(|s| s.endpoint.centre);
        let watch = self.loss_watch.borrow();
        centre.is_some_and(|centre| watch.losses.is_lost(centre, clock::now()))
    }

    fn evidence(&self, centre: DataCentreKey) -> Evidence {
        let observations = self.observations.borrow();
        Evidence::gather(centre, &self.registry.borrow(), &observations.hints)
    }

    /// Queries hosts of a suspected data centre until it is clear whether it is lost.
    async fn confirm_loss(self: Rc<Self>, centre: DataCentreKey) {
        for round in 0u32.. {
            if round < QUERY_ROUNDS && !self.query_hosts(centre) {
                return;
            }
            sleep(LOOK_INTERVAL).await;
            let now = clock::now();
            let evidence = self.evidence(centre);
            let verdict = self
                .loss_watch
                .borrow_mut()
                .losses
                .judge(centre, evidence, now);
            match verdict {
                Verdict::Open => {}
                Verdict::Unfounded => return,
                Verdict::Lost => return self.act_on_loss(centre, evidence),
            }
        }
    }

    fn act_on_loss(&self, centre: DataCentreKey, evidence: Evidence) {
        let mut registry = self.registry.borrow_mut();
        registry.note_centre_loss(centre, clock::now());
        let services = registry.services();
        drop(registry);
        log::warn!(
            "E0188 centre-lost centre={} failed_here={} failed={} of={} reporters={}",
            self.centre_name(centre),
            evidence.own,
            evidence.endpoints,
            evidence.known,
            evidence.reporters
        );
        self.loss_watch.borrow().lost.notify_waiters();
        services.into_iter().for_each(|s| self.wake_all(s));
    }

    /// Queries a few hosts of a data centre.
    ///
    /// Returns whether any host there is known; without one its silence shows nothing.
    fn query_hosts(&self, centre: DataCentreKey) -> bool {
        let known = self.neighbours.borrow_mut().remote_hosts(clock::now());
        let there = known.into_iter();
        let there = there.filter(|c| DataCentreKey::named(&c.centre) == centre);
        let mut hosts: Vec<SocketAddr> = there.map(|c| c.address).collect();
        let count = hosts.len().max(1);
        hosts.rotate_left((self.random_fraction() * count as f64) as usize % count);
        hosts.truncate(QUERIED_HOSTS);
        let query = NeighbourMessage::Observations(ObservationReport::LivenessQuery);
        self.send_to_all(&hosts, &query);
        !hosts.is_empty()
    }

    /// Probes endpoints of a data centre of which only other hosts have reported failures.
    fn probe_centre(self: &Rc<Self>, centre: DataCentreKey) {
        let registry = self.registry.borrow();
        let now = clock::now();
        let there = registry.iter();
        let there = there.filter(|(_, s)| s.endpoint.centre == centre && s.accepts(now));
        let mut keys: Vec<EndpointKey> = there.map(|(key, _)| key).collect();
        drop(registry);
        let count = keys.len().max(1);
        keys.rotate_left((self.random_fraction() * count as f64) as usize % count);
        for key in keys.into_iter().take(PROBED_ENDPOINTS) {
            if !self.may_probe() {
                return;
            }
            let gateway = Rc::clone(self);
            spawn_local(async move {
                if let Some((connection, headers)) = gateway.probe_anew(key).await {
                    gateway.keep_connection(connection, &headers);
                }
            });
        }
    }

    /// Returns the name of a data centre that hosts are known of.
    fn centre_name(&self, centre: DataCentreKey) -> String {
        let now = clock::now();
        let names = self.neighbours.borrow_mut().remote_centres(now);
        let name = names
            .into_iter()
            .find(|n| DataCentreKey::named(n) == centre);
        name.unwrap_or_else(|| "-".to_owned())
    }
}

/// Waits until `waiting` is notified; never returns without one.
pub(super) async fn notified(waiting: Option<&Notify>) {
    match waiting {
        Some(waiting) => waiting.notified().await,
        None => std::future::pending().await,
    }
}
