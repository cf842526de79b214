//! The experiment file.

use std::collections::BTreeSet;
use std::time::Duration;

use derives::value;
use serde::{Deserialize, Serialize};

use crate::backend::Knobs;

/// Why an experiment file is of no use.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// It is not the TOML that is expected.
    #[error("{0}")]
    Syntax(#[from] toml::de::Error),
    /// It contradicts itself; each line names one fault.
    #[error("{}", .0.join("\n"))]
    Faults(Vec<String>),
}

/// What to do to a deployment, and for how long.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Experiment {
    /// Its name, used for the files it writes.
    pub name: String,
    /// Arrivals and work are drawn from it, the same each run.
    pub seed: u64,
    /// How long calls are sent.
    pub seconds: u64,
    /// Seconds at the start that count for nothing.
    #[serde(default)]
    pub warm_up: u64,
    /// What is started for it where no addresses are given.
    pub deployment: Deployment,
    /// The load.
    #[serde(rename = "flow")]
    pub flows: Vec<Flow>,
    /// What happens meanwhile.
    #[serde(rename = "event", default)]
    pub events: Vec<Happening>,
}

/// Entry hosts and services.
#[value]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Deployment {
    /// How many entry hosts.
    pub entry_hosts: u32,
    /// The region's name.
    pub region: String,
    /// The data centres, over which entry hosts and endpoints are spread in turn.
    pub data_centres: Vec<String>,
    /// The services.
    #[serde(rename = "service")]
    pub services: Vec<Service>,
}

/// One service of a deployment.
#[value]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Service {
    /// Its name.
    pub name: String,
    /// How many endpoints.
    pub endpoints: u32,
    /// Calls each bears at once.
    #[serde(default = "Service::default_slots")]
    pub slots: u32,
    /// The longest time of a call, in milliseconds.
    #[serde(default = "Service::default_deadline")]
    pub deadline_ms: u64,
    /// Calls that may wait at one entry host.
    #[serde(default = "Service::default_queue")]
    pub queue: u32,
}

/// Calls of one kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Flow {
    /// The service called.
    pub service: String,
    /// The HTTP method.
    #[serde(default = "Flow::default_method")]
    pub method: String,
    /// How much: calls a second, or a share of the service's capacity.
    pub arrivals: Arrivals,
    /// The time that the work takes.
    pub work: Work,
    /// Bytes of each answer.
    #[serde(default = "Flow::default_size")]
    pub size: u64,
    /// Whether each call carries an `Idempotency-Key`.
    #[serde(default)]
    pub keyed: bool,
    /// The share of keyed calls that repeat an earlier one, at any entry host.
    #[serde(default)]
    pub repeats: f64,
    /// The share of calls that go to the first entry host, beside its even share of the rest.
    #[serde(default)]
    pub skew: f64,
    /// Times at which more or fewer calls come.
    #[serde(rename = "burst", default)]
    pub bursts: Vec<Burst>,
}

/// How many calls come; they come at random (Poisson).
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Arrivals {
    /// Calls a second.
    Rate(f64),
    /// The share of what all slots of the service can do.
    Load(f64),
}

/// The time that the work of a call takes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", rename_all_fields = "kebab-case")]
pub enum Work {
    /// Always the same, in milliseconds.
    Fixed(f64),
    /// Exponential with this mean, in milliseconds.
    Exponential(f64),
    /// Short, and a share of it long.
    Mixed {
        /// Milliseconds of short work.
        short_ms: f64,
        /// Milliseconds of long work.
        long_ms: f64,
        /// The share of long work.
        long_share: f64,
    },
}

/// A time of another load.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Burst {
    /// When it starts, in milliseconds.
    pub at_ms: u64,
    /// How long it lasts, in milliseconds.
    pub for_ms: u64,
    /// How many times as many calls come.
    pub factor: f64,
}

/// Something that happens at a given time.
#[value]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Happening {
    /// When, in milliseconds.
    pub at_ms: u64,
    /// What.
    #[serde(rename = "do")]
    pub action: Action,
}

/// What may happen.
#[value]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Operators take a data centre out.
    Leave(String),
    /// Operators bring a data centre back.
    Return(String),
    /// A backend server gets a fault.
    Backend {
        /// The service.
        service: String,
        /// The endpoint, counted from 0.
        endpoint: u32,
        /// The fault.
        set: Knobs,
    },
    /// The log answers nothing for so many milliseconds.
    LogDown(u64),
}

impl Experiment {
    /// Reads an experiment file's text.
    ///
    /// # Errors
    ///
    /// Names every fault, each with what it is about.
    pub fn parse(text: &str) -> Result<Experiment, ExperimentError> {
        let experiment: Experiment = toml::from_str(text)?;
        match experiment.faults() {
            faults if faults.is_empty() => Ok(experiment),
            faults => Err(ExperimentError::Faults(faults)),
        }
    }

    /// Returns the mean rate of `flow`, in calls a second.
    pub fn rate(&self, flow: &Flow) -> f64 {
        match flow.arrivals {
            Arrivals::Rate(rate) => rate,
            Arrivals::Load(load) => {
                let slots = self
                    .deployment
                    .service(&flow.service)
                    .map_or(0, |s| s.endpoints * s.slots);
                load * f64::from(slots) / flow.work.mean().as_secs_f64()
            }
        }
    }

    /// Makes it last `seconds`, with its events spread as before.
    pub fn stretch(&mut self, seconds: Option<u64>) {
        let Some(seconds) = seconds.filter(|s| *s > 0) else {
            return;
        };
        for happening in &mut self.events {
            happening.at_ms = happening.at_ms * seconds / self.seconds.max(1);
        }
        self.seconds = seconds;
    }

    fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let services: BTreeSet<_> = self.deployment.services.iter().map(|s| &s.name).collect();
        if self.deployment.entry_hosts == 0 {
            faults.push("deployment: entry-hosts is 0; give at least 1".to_owned());
        }
        if self.deployment.data_centres.is_empty() {
            faults.push("deployment: data-centres is empty; give at least one".to_owned());
        }
        if self.flows.is_empty() {
            faults.push("no [[flow]]; give at least one".to_owned());
        }
        for (number, flow) in self.flows.iter().enumerate() {
            let mut fault = |what: &str| faults.push(format!("flow {number}: {what}"));
            if !services.contains(&flow.service) {
                fault("its service is not in the deployment");
            }
            if !(0.0..=1.0).contains(&flow.skew) || !(0.0..=1.0).contains(&flow.repeats) {
                fault("skew and repeats are shares from 0 to 1");
            }
            if flow.work.mean().is_zero() && matches!(flow.arrivals, Arrivals::Load(_)) {
                fault("work of no time has no load; give arrivals as a rate");
            }
            if flow.method.parse::<hyper::Method>().is_err() {
                fault("method is not an HTTP method");
            }
        }
        for (number, happening) in self.events.iter().enumerate() {
            let known = match &happening.action {
                Action::Leave(centre) | Action::Return(centre) => {
                    self.deployment.data_centres.contains(centre)
                }
                Action::Backend {
                    service, endpoint, ..
                } => self
                    .deployment
                    .service(service)
                    .is_some_and(|s| *endpoint < s.endpoints),
                Action::LogDown(_) => true,
            };
            if !known {
                faults.push(format!(
                    "event {number}: what it names is not in the deployment"
                ));
            }
        }
        faults
    }
}

impl Deployment {
    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.name == name)
    }

    /// Returns the data centre of the `index`th entry host or endpoint.
    pub fn centre(&self, index: u32) -> &str {
        let count = u32::try_from(self.data_centres.len()).unwrap_or(1).max(1);
        self.data_centres
            .get((index % count) as usize)
            .map_or("", String::as_str)
    }
}

impl Flow {
    /// Returns whether its method is idempotent (RFC 9110, section 9.2.2).
    pub fn is_idempotent(&self) -> bool {
        self.method
            .parse::<hyper::Method>()
            .is_ok_and(|m| m.is_idempotent())
    }

    fn default_method() -> String {
        "GET".to_owned()
    }

    fn default_size() -> u64 {
        64
    }
}

impl Service {
    fn default_slots() -> u32 {
        6
    }

    fn default_deadline() -> u64 {
        10_000
    }

    fn default_queue() -> u32 {
        400
    }
}

impl Work {
    /// Returns the mean time.
    pub fn mean(self) -> Duration {
        let ms = match self {
            Work::Fixed(ms) | Work::Exponential(ms) => ms,
            Work::Mixed {
                short_ms,
                long_ms,
                long_share,
            } => short_ms * (1.0 - long_share) + long_ms * long_share,
        };
        Duration::try_from_secs_f64(ms / 1_000.0).unwrap_or_default()
    }
}
