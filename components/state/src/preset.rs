//! Presets: the configurations that operators prepare for normal load, peaks and
//! maintenance.

use std::net::SocketAddr;
use std::time::Duration;

use derives::value;
use serde::{Deserialize, Serialize};

use crate::keys::{DataCentreKey, EndpointKey, ServiceKey};

/// One preset, as written in its TOML file.
#[value]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Preset {
    /// The preset's name, by which operators choose it.
    pub name: String,
    /// The data centres of the endpoints.
    #[serde(rename = "data-centre")]
    pub data_centres: Vec<DataCentre>,
    /// The services that callers may use.
    #[serde(rename = "service")]
    pub services: Vec<Service>,
}

/// One data centre.
#[value]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct DataCentre {
    /// The data centre's name.
    pub name: String,
    /// The data centre's region. Slots move within a region first.
    pub region: String,
}

/// One service with its endpoints and limits.
#[value]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Service {
    /// The service's name, the first segment of a call's path.
    pub name: String,
    /// The backend servers of the service.
    pub endpoints: Vec<Endpoint>,
    /// The number of calls that one endpoint runs at once.
    #[serde(default = "Service::default_slots")]
    pub slots: u32,
    /// The number of calls that one endpoint runs at once while it is cold.
    #[serde(default = "Service::default_cold_slots")]
    pub cold_slots: u32,
    /// The maximum number of connections to one endpoint, over all entry hosts together.
    #[serde(default = "Service::default_connections")]
    pub connections: u32,
    /// The longest time a call may take, in milliseconds.
    #[serde(default = "Service::default_deadline_ms")]
    pub deadline_ms: u64,
    /// The maximum number of calls waiting at one entry host.
    #[serde(default = "Service::default_queue")]
    pub queue: u32,
    /// The largest request body, in bytes.
    #[serde(default = "Service::default_body_limit")]
    pub body_limit: u64,
    /// The maximum number of retries, in percent of the calls.
    #[serde(default = "Service::default_retry_percent")]
    pub retry_percent: u32,
    /// The cost of one probe for the endpoint, in milliseconds of one slot.
    #[serde(default = "Service::default_probe_cost_ms")]
    pub probe_cost_ms: u64,
    /// How long an idempotency key is remembered, in seconds.
    #[serde(default = "Service::default_key_seconds")]
    pub key_seconds: u64,
}

/// One backend server of a service.
#[value]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Endpoint {
    /// The address the server listens on.
    pub address: SocketAddr,
    /// The name of the server's data centre.
    pub data_centre: String,
}

impl Service {
    /// Returns the service's key.
    pub fn key(&self) -> ServiceKey {
        ServiceKey::named(&self.name)
    }

    /// Returns the longest time a call may take.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    fn default_slots() -> u32 {
        6
    }

    fn default_cold_slots() -> u32 {
        1
    }

    fn default_connections() -> u32 {
        200
    }

    fn default_deadline_ms() -> u64 {
        10_000
    }

    fn default_queue() -> u32 {
        400
    }

    fn default_body_limit() -> u64 {
        128 * 1024 * 1024
    }

    fn default_retry_percent() -> u32 {
        10
    }

    fn default_probe_cost_ms() -> u64 {
        6
    }

    fn default_key_seconds() -> u64 {
        7_200
    }
}

impl Endpoint {
    /// Returns the endpoint's key within `service`.
    pub fn key(&self, service: &Service) -> EndpointKey {
        EndpointKey::of(&service.name, self.address)
    }

    /// Returns the key of the endpoint's data centre.
    pub fn centre(&self) -> DataCentreKey {
        DataCentreKey::named(&self.data_centre)
    }
}
