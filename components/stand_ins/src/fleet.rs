//! Entry hosts in this process, behind a stand-in for the platform's balancer.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use state::policy::Policy;
use transport::entry::{EntryHost, Settings, StartError};

use crate::balancer::{Balancer, is_converged};
use crate::history::{Event, History};
use crate::load::Target;
use crate::load::warm_up::warm_up;
use crate::site::Site;

const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const DRAIN_TIMEOUT: Duration = Duration::from_secs(20);
const BASELINE_WARM_UP: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The reason why entry hosts could not be started.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// An entry host could not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// A backend server stayed cold.
    #[error("a backend server is still considered cold after {READY_TIMEOUT:?}: see `status`")]
    NotWarm,
    /// An entry host did not become ready.
    #[error("entry host {0} is not ready after {READY_TIMEOUT:?}: see its log lines")]
    NotReady(String),
}

/// The running entry hosts of a site.
pub struct Fleet {
    /// The targets of calls, in the order of the entry hosts.
    pub targets: Arc<Vec<Target>>,
    /// The entry hosts.
    pub entries: Vec<EntryHost>,
    history: History,
    balancer: Balancer,
    policy: Policy,
}

impl Fleet {
    /// Starts the entry hosts of `site` and waits until all are ready.
    ///
    /// # Errors
    ///
    /// Fails if an entry host doesn't start or doesn't become ready.
    pub async fn start(site: &Site, policy: Policy) -> Result<Fleet, FleetError> {
        let mut entries = Vec::new();
        let mut targets = Vec::new();
        for index in 0..site.deployment.entry_hosts {
            let name = format!("entry-{}", index + 1);
            let settings = Settings {
                name: name.clone(),
                data_centre: site.deployment.centre(index).to_owned(),
                callers: ANY_PORT,
                peers: ANY_PORT,
                admin: ANY_PORT,
                log: site.store.address(),
                policy,
                drain: DRAIN_TIMEOUT,
                trace_every: 0,
            };
            let entry = EntryHost::start(settings).await?;
            let target = Target::new(&name, entry.ports().callers);
            target.set_up(false);
            site.history.add(Event::Up { host: name });
            targets.push(target);
            entries.push(entry);
        }
        let targets = Arc::new(targets);
        let admins: Vec<_> = entries.iter().map(|e| e.ports().admin).collect();
        let balancer = Balancer::start(&targets, &admins, &site.history);
        let fleet = Fleet {
            targets,
            entries,
            history: site.history.clone(),
            balancer,
            policy,
        };
        fleet.wait_ready().await?;
        // Baseline policies don't track which endpoints are warm: they get a fixed warm-up time.
        let limit = match policy {
            Policy::Shared => READY_TIMEOUT,
            _ => BASELINE_WARM_UP,
        };
        let warm = warm_up(&site.deployment, &fleet.targets, &admins, limit).await;
        if !warm && policy == Policy::Shared {
            return Err(FleetError::NotWarm);
        }
        Ok(fleet)
    }

    /// Shuts all entry hosts down gracefully, in parallel.
    pub async fn stop(self) {
        drop(self.balancer);
        let mut stopping = tokio::task::JoinSet::new();
        for (entry, target) in self.entries.into_iter().zip(self.targets.iter()) {
            self.history.add(Event::Stopping {
                host: target.name.clone(),
            });
            stopping.spawn(entry.drain());
        }
        while stopping.join_next().await.is_some() {}
    }

    async fn wait_ready(&self) -> Result<(), FleetError> {
        let end = Instant::now() + READY_TIMEOUT;
        while let Some(target) = self.targets.iter().find(|t| !t.is_up()) {
            if Instant::now() > end {
                return Err(FleetError::NotReady(target.name.clone()));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        // A new site serves calls once its entry hosts are linked to each other.
        while self.policy == Policy::Shared && !self.is_converged().await {
            if Instant::now() > end {
                return Err(FleetError::NotReady("any".to_owned()));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn is_converged(&self) -> bool {
        let admins: Vec<_> = self.entries.iter().map(|e| e.ports().admin).collect();
        let checked = tokio::task::spawn_blocking(move || is_converged(&admins));
        checked.await.unwrap_or(false)
    }
}
