//! The platform's list of hosts, which may be out of date.

use std::time::Duration;

use derives::{tag, value};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use ureq::Agent;

/// Time-out of a request for the list.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// One entry of the list.
#[value]
#[derive(Serialize, Deserialize)]
pub struct HostEntry {
    /// The host's name.
    pub name: String,
    /// The host's IP address.
    pub address: String,
    /// Whether the host is to keep running.
    pub state: HostState,
}

/// The state of a host as the platform reports it.
#[tag]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// The host runs.
    Live,
    /// The host is about to be shut down.
    Leaving,
}

/// Why the list of hosts could not be read.
#[derive(Debug, Error)]
pub enum ListError {
    /// The request failed.
    #[error("the request for the list of hosts failed: {0}")]
    Call(#[from] ureq::Error),
    /// The answer is not valid JSON of the expected shape.
    #[error("the list of hosts can't be parsed: {0}")]
    Format(#[from] serde_json::Error),
}

#[derive(Deserialize)]
struct Hosts {
    hosts: Vec<HostEntry>,
}

/// Returns the list of hosts that the platform serves at `address` (`IP:port`). Blocks.
///
/// # Errors
///
/// Returns why the list could not be read. A failed read is no sign that a host is gone.
pub fn read(address: &str) -> Result<Vec<HostEntry>, ListError> {
    let config = Agent::config_builder()
        .max_redirects(0)
        .proxy(None)
        .timeout_global(Some(REQUEST_TIMEOUT))
        .build();
    let mut response = Agent::new_with_config(config)
        .get(format!("http://{address}/hosts"))
        .call()?;
    let bytes = response.body_mut().read_to_vec()?;
    let list: Hosts = serde_json::from_slice(&bytes)?;
    Ok(list.hosts)
}
