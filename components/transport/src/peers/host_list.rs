//! The platform's list of hosts, which lags.

use std::time::Duration;

use derives::{tag, value};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use ureq::Agent;

/// How long the list may take.
const LIMIT: Duration = Duration::from_secs(2);

/// One line of the list.
#[value]
#[derive(Serialize, Deserialize)]
pub struct HostEntry {
    /// The host's name.
    pub name: String,
    /// Its IP number.
    pub address: String,
    /// Whether it is to stay.
    pub state: HostState,
}

/// What the platform says of a host.
#[tag]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// It runs.
    Live,
    /// It is about to go.
    Leaving,
}

/// Why there is no list.
#[derive(Debug, Error)]
pub enum ListError {
    /// It could not be asked for.
    #[error("the list of hosts can't be had: {0}")]
    Call(#[from] ureq::Error),
    /// It can't be understood.
    #[error("the list of hosts can't be read: {0}")]
    Format(#[from] serde_json::Error),
}

#[derive(Deserialize)]
struct Hosts {
    hosts: Vec<HostEntry>,
}

/// Returns the list that the platform gives at `address` (`IP:port`). Blocks.
///
/// # Errors
///
/// Says why there is no list; that is no sign that any host has gone.
pub fn read(address: &str) -> Result<Vec<HostEntry>, ListError> {
    let config = Agent::config_builder()
        .max_redirects(0)
        .proxy(None)
        .timeout_global(Some(LIMIT))
        .build();
    let mut response = Agent::new_with_config(config)
        .get(format!("http://{address}/hosts"))
        .call()?;
    let bytes = response.body_mut().read_to_vec()?;
    let list: Hosts = serde_json::from_slice(&bytes)?;
    Ok(list.hosts)
}
