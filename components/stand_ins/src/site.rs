//! A whole site except its entry hosts: the store, backend servers and operators.

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

const COMMAND_TIMEOUT: Duration = Duration::from_secs(20);
/// Name of the preset that is chosen when the site starts.
pub const DEFAULT_PRESET: &str = "ordinary";

/// The reason why a site could not start or an operator's command failed.
#[derive(Debug, thiserror::Error)]
pub enum SiteError {
    /// The command was refused, or its outcome is not known.
    #[error("the command was not accepted: {0:?}")]
    NotAccepted(Outcome),
    /// A port could not be opened.
    #[error("can't start the site: {0}")]
    Start(#[from] io::Error),
}

/// The store and the backend servers of a deployment, and the commands of its operators.
pub struct Site {
    /// The deployment that was started.
    pub deployment: Deployment,
    /// The history that backend servers and operators write.
    pub history: History,
    /// The stand-in for the platform's store.
    pub store: StoreStandIn,
    backends: BTreeMap<String, Vec<Backend>>,
    /// One proxy before each backend server, in the same order; empty without `proxied`.
    proxies: BTreeMap<String, Vec<Proxy>>,
}

/// Options for starting a site.
#[value]
#[derive(Default)]
pub struct SiteOptions {
    /// The configuration of each backend server.
    pub backend: Options,
    /// Whether there is a proxy before each backend server.
    pub proxied: bool,
}

impl Site {
    /// Starts the store and all backend servers, and chooses a preset with all of them.
    ///
    /// # Errors
    ///
    /// Fails if a port can't be opened or a command is not accepted.
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
        site.put_preset(DEFAULT_PRESET).await?;
        site.order(Order::Choose, DEFAULT_PRESET).await?;
        Ok(site)
    }

    /// Returns the text of a preset with all backend servers of the site.
    pub fn preset(&self, name: &str) -> String {
        let mut text = format!("name = \"{name}\"\n");
        let mut line =
            |line: String| writeln!(text, "{line}").expect("writing to a String never fails");
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

    /// Returns the backend servers of a service, or none if there is no such service.
    pub fn backends(&self, service: &str) -> &[Backend] {
        self.backends.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the proxies before a service's backend servers, or none if it has none.
    pub fn proxies(&self, service: &str) -> &[Proxy] {
        self.proxies.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the addresses at which entry hosts reach a service's backend servers.
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

    /// Stores a preset with all backend servers of the site under this name.
    ///
    /// # Errors
    ///
    /// Fails if the command is refused or its outcome isn't known.
    pub async fn put_preset(&self, name: &str) -> Result<u64, SiteError> {
        let text = self.preset(name);
        self.command(None, Change::PutPreset { text }).await
    }

    /// Submits an operator's command to the store and records its acceptance in the history.
    ///
    /// # Errors
    ///
    /// Fails if the command is refused or its outcome isn't known.
    pub async fn order(&self, order: Order, name: &str) -> Result<u64, SiteError> {
        self.order_at_revision(None, order, name).await
    }

    /// Submits a command like [`Site::order`], by an operator who decided on the basis of
    /// `seen_revision`.
    ///
    /// # Errors
    ///
    /// Fails if the command is refused or its outcome isn't known.
    pub async fn order_at_revision(
        &self,
        seen_revision: Option<u64>,
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
        let revision = self.command(seen_revision, change).await?;
        self.history.add(Event::Ordered {
            order,
            name: name.to_owned(),
            revision,
        });
        Ok(revision)
    }

    /// Performs the action of an experiment's event.
    ///
    /// # Errors
    ///
    /// Fails if an operator's command fails.
    pub async fn perform(&self, action: &Action) -> Result<(), SiteError> {
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

    async fn command(&self, seen_revision: Option<u64>, change: Change) -> Result<u64, SiteError> {
        let address = self.store.address();
        let request = CommandRequest {
            id: None,
            decided_on: seen_revision,
            change,
        };
        let submitted = tokio::task::spawn_blocking(move || {
            submit_to_store(address, &request, COMMAND_TIMEOUT)
        })
        .await;
        match submitted.map_err(io::Error::other)? {
            Outcome::Accepted { revision } => Ok(revision),
            other => Err(SiteError::NotAccepted(other)),
        }
    }
}
