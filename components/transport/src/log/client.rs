//! Speaks HTTP to the platform's log, on blocking threads.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use derives::{tag, value};
use prost::Message;
use protocol::record::Page;
use serde::{Deserialize, Serialize};
use ureq::http::Response;
use ureq::{Agent, Body};

/// The largest page that is read, in bytes: a bound on memory, not on records.
const PAGE_LIMIT: u64 = 64 * 1024 * 1024;

/// Why an append got no offset.
#[value]
#[derive(thiserror::Error)]
pub enum AppendError {
    /// The record surely does not stand on the log.
    #[error("the log did not take the record: {0}")]
    Refused(String),
    /// The record may stand on the log, or may yet come to stand there.
    #[error("the log did not say whether it took the record: {0}")]
    Unanswered(String),
}

/// Why a read got no page.
#[value]
#[derive(thiserror::Error)]
#[error("the log can't be read: {0}")]
pub struct ReadError(pub String);

/// How long the log may take.
#[tag]
pub struct Timeouts {
    /// For a connection. Over it nothing has been sent.
    pub connect: Duration,
    /// For an append's answer, or for a read's beyond its own wait.
    pub answer: Duration,
}

impl Default for Timeouts {
    fn default() -> Timeouts {
        Timeouts {
            connect: Duration::from_millis(500),
            answer: Duration::from_secs(2),
        }
    }
}

/// One line of the platform's lagging list of hosts.
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

#[derive(Deserialize)]
struct Appended {
    offset: u64,
}

#[derive(Deserialize)]
struct Refused {
    refused: String,
}

#[derive(Deserialize)]
struct Hosts {
    hosts: Vec<HostEntry>,
}

/// A client of the log. Clones share their connections.
#[derive(Clone, Debug)]
pub struct LogClient {
    agent: Agent,
    base: String,
    timeouts: Timeouts,
}

impl LogClient {
    /// Returns a client of the log at `address` (`IP:port`).
    pub fn new(address: &str, timeouts: Timeouts) -> LogClient {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_connect(Some(timeouts.connect))
            .build();
        LogClient {
            agent: Agent::new_with_config(config),
            base: format!("http://{address}"),
            timeouts,
        }
    }

    /// Returns the same client with another time-out for answers.
    pub fn waiting(&self, answer: Duration) -> LogClient {
        let mut client = self.clone();
        client.timeouts.answer = answer;
        client
    }

    /// Appends one record and returns its offset. Blocks.
    ///
    /// # Errors
    ///
    /// Keeps what surely did not land apart from what may have.
    pub fn append(&self, stream: &str, record: &Bytes) -> Result<u64, AppendError> {
        metrics::counter!("cardamomvale_log_appends_total", "stream" => stream.to_owned())
            .increment(1);
        let sent = self
            .agent
            .post(format!("{}/streams/{stream}", self.base))
            .config()
            .timeout_global(Some(self.timeouts.answer))
            .build()
            .send(&record[..]);
        match sent {
            Ok(response) => appended(response),
            Err(error) if never_sent(&error) => Err(AppendError::Refused(error.to_string())),
            Err(error) => Err(AppendError::Unanswered(error.to_string())),
        }
    }

    /// Reads up to `max` records from offset `from`. Waits up to `wait` for the
    /// first where there is none yet. Blocks.
    ///
    /// # Errors
    ///
    /// Says why there is no page; reading again does no harm.
    pub fn read(
        &self,
        stream: &str,
        from: u64,
        max: usize,
        wait: Duration,
    ) -> Result<Page, ReadError> {
        let wait_ms = wait.as_millis();
        let url = format!(
            "{}/streams/{stream}?from={from}&max={max}&wait-ms={wait_ms}",
            self.base
        );
        let bytes = self.get(&url, wait + self.timeouts.answer)?;
        let page = Page::decode(&bytes[..]).map_err(|e| ReadError(e.to_string()))?;
        let expected = from.max(page.first);
        let offsets = page.records.iter().map(|r| r.offset);
        match offsets.zip(expected..).all(|(is, ought)| is == ought) {
            true => Ok(page),
            false => Err(ReadError("the page has a gap".to_owned())),
        }
    }

    /// Returns the platform's list of hosts, which lags. Blocks.
    ///
    /// # Errors
    ///
    /// Says why there is no list; that is no sign that any host has gone.
    pub fn hosts(&self) -> Result<Vec<HostEntry>, ReadError> {
        let bytes = self.get(&format!("{}/hosts", self.base), self.timeouts.answer)?;
        let list: Hosts = serde_json::from_slice(&bytes).map_err(|e| ReadError(e.to_string()))?;
        Ok(list.hosts)
    }

    fn get(&self, url: &str, timeout: Duration) -> Result<Vec<u8>, ReadError> {
        let mut response = self
            .agent
            .get(url)
            .config()
            .timeout_global(Some(timeout))
            .build()
            .call()
            .map_err(|e| ReadError(e.to_string()))?;
        let status = response.status();
        if status != 200 {
            return Err(ReadError(format!("status {status}")));
        }
        let body = response.body_mut().with_config().limit(PAGE_LIMIT);
        body.read_to_vec().map_err(|e| ReadError(e.to_string()))
    }
}

/// Reads the answer to an append. Only the log's own word counts as a refusal:
/// a status without it may come from something in between, after the effect.
fn appended(mut response: Response<Body>) -> Result<u64, AppendError> {
    let status = response.status();
    let body = response
        .body_mut()
        .read_to_vec()
        .map_err(|e| AppendError::Unanswered(e.to_string()))?;
    if status == 200 {
        let parsed: Result<Appended, _> = serde_json::from_slice(&body);
        return parsed
            .map(|a| a.offset)
            .map_err(|e| AppendError::Unanswered(e.to_string()));
    }
    match serde_json::from_slice::<Refused>(&body) {
        Ok(refused) => Err(AppendError::Refused(refused.refused)),
        Err(_) => Err(AppendError::Unanswered(format!("status {status}"))),
    }
}

/// Returns whether the error came before a byte could be sent.
pub(super) fn never_sent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Timeout(timeout) => matches!(timeout, ureq::Timeout::Connect),
        ureq::Error::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        ureq::Error::ConnectionFailed | ureq::Error::BadUri(_) => true,
        _ => false,
    }
}
