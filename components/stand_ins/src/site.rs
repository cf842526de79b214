//! A whole site but for its entry hosts: the log, backend servers and operators.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use coordination::config::Change;
use derives::value;
use transport::log::{CommandRequest, Outcome, submit_to_store};

use crate::backend::{Backend, Knobs, Options};
use crate::history::{Event, History, Order};
use crate::load::experiment::{Action, Deployment};
use crate::proxy::Proxy;
use crate::store::{Behaviour, Outage, StoreStandIn};

const COMMAND_LIMIT: Duration = Duration::from_secs(20);
/// The preset that is chosen when the site starts.
pub const ORDINARY: &str = "ordinary";

/// Why an operator's command came to nothing.
#[derive(Debug, thiserror::Error)]
pub enum SiteError {
    /// It was refused, or its outcome is not known.
    #[error("the command was not accepted: {0:?}")]
    NotAccepted(Outcome),
    /// A port could not be had.
    #[error("can't start the site: {0}")]
    Start(#[from] io::Error),
}

/// The log, the backend servers of a deployment, and its operators' hands.
pub struct Site {
    /// What is started.
    pub deployment: Deployment,
    /// Where backend servers and operators write.
    pub history: History,
    /// The platform's log.
    pub store: StoreStandIn,
    backends: BTreeMap<String, Vec<Backend>>,
    /// One before each backend server, in the same order; empty where none were asked for.
    proxies: BTreeMap<String, Vec<Proxy>>,
}

/// How a site is started.
#[value]
#[derive(Default)]
pub struct SiteOptions {
    /// What each backend server is like.
    pub backend: Options,
    /// Whether a proxy stands before each backend server.
    pub proxied: bool,
}

impl Site {
    /// Starts the log and all backend servers, and chooses a preset of them all.
    ///
    /// # Errors
    ///
    /// Fails where a port can't be had or the log takes no commands.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub async fn start(
        deployment: Deployment,
        options: &SiteOptions,
        history: History,
    ) -> Result<Site, SiteError> {
        let store = StoreStandIn::on_loopback(Behaviour::default())?;
        let mut backends: BTreeMap<String, Vec<Backend>> = BTreeMap::new();
        let mut proxies: BTreeMap<String, Vec<Proxy>> = BTreeMap::new();
        for service in &deployment.services {
            for index in 0..service.endpoints {
                let backend = Options {
                    data_centre: deployment.centre(index).to_owned(),
                    slots: service.slots,
                    ..options.backend.clone()
                };
                let listener = TcpListener::bind("127.0.0.1:0")?;
                let backend = Backend::start(listener, backend, history.clone())?;
                if options.proxied {
                    let before = proxies.entry(service.name.clone()).or_default();
                    before.push(Proxy::start(backend.address())?);
                }
                backends
                    .entry(service.name.clone())
                    .or_default()
                    .push(backend);
            }
        }
        let site = Site {
            deployment,
            history,
            store,
            backends,
            proxies,
        };
        site.put_preset(ORDINARY).await?;
        site.order(Order::Choose, ORDINARY).await?;
        Ok(site)
    }

    /// Returns the text of a preset with all backend servers of the site.
    pub fn preset(&self, name: &str) -> String {
        let mut text = format!("name = \"{name}\"\n");
        let mut line = |line: String| writeln!(text, "{line}").expect("a string takes all");
        for centre in &self.deployment.data_centres {
            let region = &self.deployment.region;
            line(format!(
                "\n[[data-centre]]\nname = \"{centre}\"\nregion = \"{region}\""
            ));
        }
        for service in &self.deployment.services {
            line(format!("\n[[service]]\nname = \"{}\"", service.name));
            line(format!("slots = {}", service.slots));
            line(format!("deadline-ms = {}", service.deadline_ms));
            line(format!("queue = {}", service.queue));
            for (index, address) in (0..).zip(self.addresses(&service.name)) {
                let centre = self.deployment.centre(index);
                line(format!(
                    "[[service.endpoints]]\naddress = \"{address}\"\ndata-centre = \"{centre}\""
                ));
            }
        }
        text
    }

    /// Returns the backend servers of a service, none where there is no such service.
    pub fn backends(&self, service: &str) -> &[Backend] {
        self.backends.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the proxies before a service's backend servers, none where it has none.
    pub fn proxies(&self, service: &str) -> &[Proxy] {
        self.proxies.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns where entry hosts reach a service's backend servers.
    pub fn addresses(&self, service: &str) -> Vec<SocketAddr> {
        match self.proxies(service) {
            [] => self
                .backends(service)
                .iter()
                .map(Backend::address)
                .collect(),
            proxies => proxies.iter().map(Proxy::address).collect(),
        }
    }

    /// Returns the backend servers of all services.
    pub fn all_backends(&self) -> impl Iterator<Item = &Backend> {
        self.backends.values().flatten()
    }

    /// Puts a preset with all backend servers of the site under this name.
    ///
    /// # Errors
    ///
    /// Fails where it is refused or its outcome isn't known.
    pub async fn put_preset(&self, name: &str) -> Result<u64, SiteError> {
        let text = self.preset(name);
        self.command(None, Change::PutPreset { text }).await
    }

    /// Gives an operator's command to the log and writes its acceptance into the history.
    ///
    /// # Errors
    ///
    /// Fails where it is refused or its outcome isn't known.
    pub async fn order(&self, order: Order, name: &str) -> Result<u64, SiteError> {
        self.order_at_revision(None, order, name).await
    }

    /// The same by an operator who has looked at the revision `looked`.
    ///
    /// # Errors
    ///
    /// Fails where it is refused or its outcome isn't known.
    pub async fn order_at_revision(
        &self,
        looked: Option<u64>,
        order: Order,
        name: &str,
    ) -> Result<u64, SiteError> {
        let owned = name.to_owned();
        let change = match order {
            Order::CentreLeaves => Change::LeaveCentre { name: owned },
            Order::CentreReturns => Change::ReturnCentre { name: owned },
            Order::HostLeaves => Change::LeaveHost { name: owned },
            Order::HostReturns => Change::ReturnHost { name: owned },
            Order::Choose => Change::ChoosePreset { name: owned },
        };
        self.history.add(Event::Asked {
            order,
            name: name.to_owned(),
        });
        let revision = self.command(looked, change).await?;
        self.history.add(Event::Ordered {
            order,
            name: name.to_owned(),
            revision,
        });
        Ok(revision)
    }

    /// Does what an experiment's event says.
    ///
    /// # Errors
    ///
    /// Fails where an operator's command does.
    pub async fn act(&self, action: &Action) -> Result<(), SiteError> {
        match action {
            Action::Leave(centre) => {
                self.order(Order::CentreLeaves, centre).await?;
            }
            Action::Return(centre) => {
                self.order(Order::CentreReturns, centre).await?;
            }
            Action::Backend {
                service,
                endpoint,
                set,
            } => self.set(service, *endpoint, set),
            Action::LogDown(ms) => {
                self.store.change(|b| b.outage = Some(Outage::Silent));
                tokio::time::sleep(Duration::from_millis(*ms)).await;
                self.store.change(|b| b.outage = None);
            }
        }
        Ok(())
    }

    fn set(&self, service: &str, endpoint: u32, knobs: &Knobs) {
        if let Some(backend) = self.backends(service).get(endpoint as usize) {
            backend.set(knobs);
        }
    }

    async fn command(&self, looked: Option<u64>, change: Change) -> Result<u64, SiteError> {
        let address = self.store.address();
        let request = CommandRequest {
            id: None,
            decided_on: looked,
            change,
        };
        let submitted =
            tokio::task::spawn_blocking(move || submit_to_store(address, &request, COMMAND_LIMIT))
                .await;
        match submitted.map_err(io::Error::other)? {
            Outcome::Accepted { revision } => Ok(revision),
            other => Err(SiteError::NotAccepted(other)),
        }
    }
}
