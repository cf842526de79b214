//! A client of an entry host's admin port, which submits commands and reads the configuration.

use std::io;
use std::time::Duration;

use coordination::config::CommandId;
use rand::Rng;
use state::Config;
use ureq::Agent;

use super::submit::{CommandRequest, Outcome};

/// The largest configuration that is accepted, in bytes.
const MAX_CONFIG_SIZE: u64 = 16 * 1024 * 1024;

/// Returns the configuration in force at the entry host with this admin address. Blocks.
///
/// # Errors
///
/// Returns why the configuration could not be read.
pub fn read_from_host(address: &str, limit: Duration) -> Result<Config, String> {
    let mut response = agent(limit)
        .get(format!("http://{address}/config"))
        .call()
        .map_err(|e| e.to_string())?;
    match response.status().as_u16() {
        200 => {}
        status => return Err(format!("the entry host answers with status {status}")),
    }
    let body = response.body_mut().with_config().limit(MAX_CONFIG_SIZE);
    let bytes = body.read_to_vec().map_err(|e| e.to_string())?;
    serde_json::from_slice(&bytes).map_err(|e| e.to_string())
}

/// Submits a command to the entry host with this admin address. Blocks.
///
/// The command's id is drawn here and not at the entry host. If the host drew it
/// and its answer were lost, the operator could not repeat the command under the
/// same id. The revision is left to the host, which first reads the stream to
/// its end; a host that has just started returns an old configuration here.
pub fn submit_to_host(address: &str, request: &CommandRequest, limit: Duration) -> Outcome {
    let config = match (request.id, read_from_host(address, limit)) {
        (_, Ok(config)) => config,
        (Some(id), Err(_)) => return Outcome::Unknown { id },
        (None, Err(reason)) => return Outcome::Unreachable { reason },
    };
    let id = request
        .id
        .unwrap_or_else(|| CommandId::new(config.offset, rand::rng().random()));
    let with_id = CommandRequest {
        id: Some(id),
        decided_on: request.decided_on,
        change: request.change.clone(),
    };
    let repeated = request.id.is_some();
    let body = serde_json::to_vec(&with_id).unwrap_or_default();
    let posted = agent(limit)
        .post(format!("http://{address}/commands"))
        .send(&body[..]);
    match posted {
        Ok(mut response) => {
            let body = response.body_mut().read_to_vec().unwrap_or_default();
            match serde_json::from_slice(&body) {
                Ok(Outcome::Unreachable { .. }) if repeated => Outcome::Unknown { id },
                Ok(outcome) => outcome,
                Err(_) => Outcome::Unknown { id },
            }
        }
        Err(error) if !repeated && never_sent(&error) => Outcome::Unreachable {
            reason: error.to_string(),
        },
        Err(_) => Outcome::Unknown { id },
    }
}

/// Returns whether the error occurred before any byte was sent.
fn never_sent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Timeout(timeout) => matches!(timeout, ureq::Timeout::Connect),
        ureq::Error::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        ureq::Error::ConnectionFailed | ureq::Error::BadUri(_) => true,
        _ => false,
    }
}

fn agent(limit: Duration) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .timeout_connect(Some(Duration::from_secs(1)))
        .timeout_global(Some(limit))
        .build();
    Agent::new_with_config(config)
}
