//! The experiment file.

use std::collections::BTreeSet;
use std::time::Duration;

use derives::value;
use serde::{Deserialize, Serialize};

use crate::backend::Knobs;

/// The reason why an experiment file is invalid.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The file is not valid TOML, or doesn't match the expected structure.
    #[error("{0}")]
    Syntax(#[from] toml::de::Error),
    /// The values contradict each other; one message for each error.
    #[error("{}", .0.join("\n"))]
    Invalid(Vec<String>),
}

/// An experiment: a deployment, the load on it and events during the run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Experiment {
    /// The name, also used for the output files.
    pub name: String,
    /// The seed of arrivals and work, which makes them the same in each run.
    pub seed: u64,
    /// How long calls are sent, in seconds.
    pub seconds: u64,
    /// Seconds at the start that are excluded from the figures.
    #[serde(default)]
    pub warm_up: u64,
    /// The entry hosts and services to start.
    pub deployment: Deployment,
    /// The flows of calls that make up the load.
    #[serde(rename = "flow")]
    pub flows: Vec<Flow>,
    /// The events during the run.
    #[serde(rename = "event", default)]
    pub events: Vec<TimedAction>,
}

/// Entry hosts and services.
#[value]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Deployment {
    /// The number of entry hosts.
    pub entry_hosts: u32,
    /// The region's name.
    pub region: String,
    /// The data centres, to which entry hosts and endpoints are assigned in turn.
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
    /// The service's name.
    pub name: String,
    /// The number of endpoints.
    pub endpoints: u32,
    /// Calls that each endpoint can run at once.
    #[serde(default = "Service::default_slots")]
    pub slots: u32,
    /// The deadline of a call, in milliseconds.
    #[serde(default = "Service::default_deadline")]
    pub deadline_ms: u64,
    /// The most calls that may wait at one entry host.
    #[serde(default = "Service::default_queue")]
    pub queue: u32,
}

/// Calls of one kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Flow {
    /// The name of the service that is called.
    pub service: String,
    /// The HTTP method.
    #[serde(default = "Flow::default_method")]
    pub method: String,
    /// The arrival rate.
    pub arrivals: Arrivals,
    /// The duration of the work.
    pub work: Work,
    /// The size of each answer, in bytes.
    #[serde(default = "Flow::default_size")]
    pub size: u64,
    /// Whether each call carries an `Idempotency-Key`.
    #[serde(default)]
    pub keyed: bool,
    /// The fraction of keyed calls that repeat an earlier call, at any entry host.
    #[serde(default)]
    pub repeats: f64,
    /// The fraction of calls that go to the first entry host; the rest is spread evenly over
    /// all of them.
    #[serde(default)]
    pub skew: f64,
    /// Times with a higher or lower rate.
    #[serde(rename = "burst", default)]
    pub bursts: Vec<Burst>,
}

/// The rate of a Poisson process of arrivals.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Arrivals {
    /// Calls per second.
    Rate(f64),
    /// A fraction of the capacity of all slots of the service.
    Load(f64),
}

/// The distribution of the duration of a call's work.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", rename_all_fields = "kebab-case")]
pub enum Work {
    /// A constant duration, in milliseconds.
    Fixed(f64),
    /// Exponentially distributed with this mean, in milliseconds.
    Exponential(f64),
    /// Short, or long for a fraction of the calls.
    Mixed {
        /// The duration of short work, in milliseconds.
        short_ms: f64,
        /// The duration of long work, in milliseconds.
        long_ms: f64,
        /// The fraction of calls with long work, from 0 to 1.
        long_share: f64,
    },
}

/// A time with a different rate of calls.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Burst {
    /// The start, in milliseconds from the start of the run.
    pub at_ms: u64,
    /// The duration, in milliseconds.
    pub for_ms: u64,
    /// The factor on the rate of the flow.
    pub factor: f64,
}

/// An action at a given time of the run.
#[value]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct TimedAction {
    /// The time, in milliseconds from the start of the run.
    pub at_ms: u64,
    /// The action.
    #[serde(rename = "do")]
    pub action: Action,
}

/// An action of operators, or a fault.
#[value]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Operators order a data centre to leave.
    Leave(String),
    /// Operators order a data centre to return.
    Return(String),
    /// A fault is injected into a backend server.
    Backend {
        /// The name of the service.
        service: String,
        /// The index of the endpoint, from 0.
        endpoint: u32,
        /// The faults to set.
        set: Knobs,
    },
    /// The store sends no answers for this many milliseconds.
    LogDown(u64),
}

impl Experiment {
    /// Parses the text of an experiment file.
    ///
    /// # Errors
    ///
    /// Fails on invalid TOML, or with all errors in the values, each with its place.
    pub fn parse(text: &str) -> Result<Experiment, ExperimentError> {
        let experiment: Experiment = toml::from_str(text)?;
        match experiment.errors() {
            errors if errors.is_empty() => Ok(experiment),
            errors => Err(ExperimentError::Invalid(errors)),
        }
    }

    /// Returns the mean rate of `flow` outside bursts, in calls per second.
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

    /// Sets the duration to `seconds`, if given, and scales the times of events to it.
    pub fn stretch(&mut self, seconds: Option<u64>) {
        let Some(seconds) = seconds.filter(|s| *s > 0) else {
            return;
        };
        for event in &mut self.events {
            event.at_ms = event.at_ms * seconds / self.seconds.max(1);
        }
        self.seconds = seconds;
    }

    fn errors(&self) -> Vec<String> {
        let mut errors = Vec::new();
        let services: BTreeSet<_> = self.deployment.services.iter().map(|s| &s.name).collect();
        if self.deployment.entry_hosts == 0 {
            errors.push("deployment: entry-hosts is 0; give at least 1".to_owned());
        }
        if self.deployment.data_centres.is_empty() {
            errors.push("deployment: data-centres is empty; give at least one".to_owned());
        }
        if self.flows.is_empty() {
            errors.push("no [[flow]]; give at least one".to_owned());
        }
        for (number, flow) in self.flows.iter().enumerate() {
            let mut error = |what: &str| errors.push(format!("flow {number}: {what}"));
            if !services.contains(&flow.service) {
                error("the service is not in the deployment");
            }
            if !(0.0..=1.0).contains(&flow.skew) || !(0.0..=1.0).contains(&flow.repeats) {
                error("skew and repeats are fractions from 0 to 1");
            }
            if flow.work.mean().is_zero() && matches!(flow.arrivals, Arrivals::Load(_)) {
                error("work of zero duration needs arrivals as a rate, not as a load");
            }
            if flow.method.parse::<hyper::Method>().is_err() {
                error("the method is not an HTTP method");
            }
        }
        for (number, event) in self.events.iter().enumerate() {
            let known = match &event.action {
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
                errors.push(format!(
                    "event {number}: the data centre, service or endpoint is not in the deployment"
                ));
            }
        }
        errors
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
    /// Returns whether the flow's method is idempotent (RFC 9110, section 9.2.2).
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
    /// Returns the mean duration.
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
