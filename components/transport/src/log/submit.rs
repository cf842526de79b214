//! Submits commands to the `config` stream and reports their outcome, also if it is unknown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use coordination::config::{Answer, Applied, Change, Command, CommandId, Fold, Record};
use derives::value;
use protocol::config_record::{encode_begin, encode_command};
use rand::Rng;
use serde::{Deserialize, Serialize};
use state::Config;

use super::CONFIG_STREAM;
use super::client::{AppendError, BlockingStoreClient, STORE_TIMEOUT};
use super::follower::{Follower, FollowerOptions};

/// How long to wait for a record to be read back after the answer to its append was lost.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(300);

/// The delay before a retry after the store has refused a request.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// A request to submit a command, or to repeat an earlier one under its id.
#[value]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct CommandRequest {
    /// The id of an earlier attempt whose outcome is unknown, or none for a new command.
    #[serde(default)]
    pub id: Option<CommandId>,
    /// The revision on which the author based the command, or none for the newest.
    #[serde(default)]
    pub decided_on: Option<u64>,
    /// The requested change.
    pub change: Change,
}

/// The outcome of a command.
#[value]
#[derive(Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum Outcome {
    /// The command is in force since this revision.
    Accepted {
        /// The revision.
        revision: u64,
    },
    /// The command changed nothing and never will.
    Refused {
        /// Why the command was refused, and what to do.
        reason: String,
    },
    /// The command may be in force or come into force later; to be repeated with this id.
    Unknown {
        /// The command's id.
        id: CommandId,
    },
    /// The command was not appended to the stream and never will be.
    Unreachable {
        /// Why the command was not appended.
        reason: String,
    },
}

/// Kilobytes requested by a read that only needs the end of the stream.
const MIN_PAGE_KILOBYTES: Option<u32> = Some(1);

/// Submits commands to the `config` stream, from an entry host or an operator's command.
#[derive(Clone)]
pub struct Submission {
    client: BlockingStoreClient,
    follower: Arc<Follower>,
    limit: Duration,
}

impl Submission {
    /// Returns an instance that waits up to `limit` for a command to be decided.
    pub fn new(
        client: BlockingStoreClient,
        follower: Arc<Follower>,
        limit: Duration,
    ) -> Submission {
        Submission {
            client,
            follower,
            limit,
        }
    }

    /// Appends a command to the stream and waits until the fold has decided it. Blocks.
    pub fn submit(&self, request: &CommandRequest) -> Outcome {
        let deadline = Instant::now() + self.limit;
        if let Err(reason) = self.catch_up(deadline) {
            return match request.id {
                Some(id) => Outcome::Unknown { id },
                None => Outcome::Unreachable { reason },
            };
        }
        let fold = self.follower.fold();
        let position = fold.position();
        let command = Command {
            id: request
                .id
                .unwrap_or_else(|| CommandId::new(position.next, rand::rng().random())),
            decided_on: request.decided_on.unwrap_or(position.revision),
            change: request.change.clone(),
        };
        match fold.answer(command.id) {
            Some(answer) => outcome(answer.clone()),
            None if request.id.is_some() => self.append(&command, true, deadline),
            None => match preview(fold, &command) {
                Some(settled) => settled,
                None => self.append(&command, false, deadline),
            },
        }
    }

    /// Submits a command posted as JSON, and returns the HTTP status and the JSON body of the
    /// answer. Blocks.
    pub fn answer_json(&self, body: &[u8]) -> (u16, String) {
        let request: CommandRequest = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(error) => {
                return (
                    400,
                    refusal_json(format!("the body is no command: {error}")),
                );
            }
        };
        let outcome = self.submit(&request);
        let status = match outcome {
            Outcome::Accepted { .. } => 200,
            Outcome::Refused { .. } => 409,
            Outcome::Unknown { .. } => 504,
            Outcome::Unreachable { .. } => 503,
        };
        (status, to_json(&outcome))
    }

    /// Waits until all records that the stream holds now have been folded.
    ///
    /// Otherwise a command could be decided on an old revision and be refused
    /// because of a change that its author has already seen. The end of the
    /// stream is found with a separate read, since the follower's read may be
    /// waiting for a new record.
    fn catch_up(&self, deadline: Instant) -> Result<(), String> {
        let mut reason;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let from = self.follower.position().next;
            let end = self
                .client
                .read(CONFIG_STREAM, from, MIN_PAGE_KILOBYTES, Duration::ZERO);
            if end.as_ref().is_ok_and(|page| page.end > from) {
                // The store answers, so a follower that delays its next read can read now.
                self.follower.resume();
            }
            match end {
                Ok(page) if self.follower.wait_folded(page.end, left) => return Ok(()),
                Ok(_) => reason = self.follower.stale_reason(),
                Err(error) => reason = error.to_string(),
            }
            if Instant::now() >= deadline {
                return Err(reason);
            }
            std::thread::sleep(RETRY_DELAY.min(left));
        }
    }

    fn append(&self, command: &Command, mut may_be_appended: bool, deadline: Instant) -> Outcome {
        let id = command.id;
        let record: Bytes = encode_command(command);
        loop {
            let (wait, reason) = match self.client.append(CONFIG_STREAM, &record) {
                Ok(_) => {
                    may_be_appended = true;
                    let left = deadline.saturating_duration_since(Instant::now());
                    (left, String::new())
                }
                Err(AppendError::Unanswered(reason)) => {
                    may_be_appended = true;
                    (SETTLE_TIMEOUT, reason)
                }
                Err(AppendError::Refused(reason)) => (RETRY_DELAY, reason),
            };
            if let Some(answer) = self.follower.wait_answer(id, wait) {
                return outcome(answer);
            }
            match may_be_appended {
                _ if Instant::now() < deadline => {}
                true => return Outcome::Unknown { id },
                false => return Outcome::Unreachable { reason },
            }
        }
    }
}

/// Submits a command directly to the store at `address`. Blocks.
pub fn submit_to_store(address: SocketAddr, request: &CommandRequest, limit: Duration) -> Outcome {
    let client = BlockingStoreClient::new(address, STORE_TIMEOUT);
    let follower = Follower::start(client.clone(), reader_options());
    Submission::new(client, Arc::new(follower), limit).submit(request)
}

/// Starts a new configuration in the store at `address`, with the preset in `text` in force. Blocks.
///
/// Works only if the store has trimmed the old configuration and no host
/// supplies a snapshot. A host that has the configuration appends a snapshot
/// within seconds, so the stream is watched for `quiet_period` first. The record is
/// never appended a second time, since each such record starts a new
/// configuration.
pub fn begin_in_store(
    address: SocketAddr,
    text: &str,
    quiet_period: Duration,
    limit: Duration,
) -> Outcome {
    let client = BlockingStoreClient::new(address, STORE_TIMEOUT);
    let follower = Follower::start(client.clone(), reader_options());
    let start = Instant::now();
    loop {
        let end = client.read(CONFIG_STREAM, 0, MIN_PAGE_KILOBYTES, Duration::ZERO);
        match end {
            Ok(page) if follower.is_log_lost(page.end) && start.elapsed() >= quiet_period => break,
            Ok(page) if follower.wait_folded(page.end, RETRY_DELAY) => {
                return Outcome::Refused {
                    reason: "the log still gives the configuration: use put and choose".to_owned(),
                };
            }
            Err(error) if start.elapsed() >= quiet_period + limit => {
                let reason = error.to_string();
                return Outcome::Unreachable { reason };
            }
            _ => std::thread::sleep(RETRY_DELAY),
        }
    }
    match client.append(CONFIG_STREAM, &encode_begin(text)) {
        Ok(offset) if follower.wait_folded(offset + 1, limit) => Outcome::Accepted {
            revision: follower.position().revision,
        },
        Err(AppendError::Refused(reason)) => Outcome::Unreachable { reason },
        Ok(_) | Err(AppendError::Unanswered(_)) => Outcome::Unknown {
            id: CommandId::new(0, 0),
        },
    }
}

/// Returns the configuration folded from the stream in the store at `address`. Blocks.
///
/// # Errors
///
/// Returns why the stream could not be read to its end.
pub fn read_from_store(address: SocketAddr, limit: Duration) -> Result<Arc<Config>, String> {
    let client = BlockingStoreClient::new(address, STORE_TIMEOUT);
    let follower = Arc::new(Follower::start(client.clone(), reader_options()));
    let submission = Submission::new(client, Arc::clone(&follower), limit);
    submission.catch_up(Instant::now() + limit)?;
    Ok(Arc::clone(follower.fold().config()))
}

/// Returns the options of a follower that appends no snapshots, such as that of an operator's
/// command.
pub fn reader_options() -> FollowerOptions {
    FollowerOptions {
        snapshots: None,
        wait: Duration::from_millis(200),
        ..FollowerOptions::default()
    }
}

/// Returns the outcome of a new command that would change nothing, or none for any other one.
///
/// Such a command needs no append, since the fold would decide the same after one.
fn preview(mut fold: Fold, command: &Command) -> Option<Outcome> {
    let before = fold.position();
    let step = fold.apply(before.next, Ok(Record::Command(command.clone())));
    match step {
        Applied::Decided(_, answer) if fold.position().revision == before.revision => {
            Some(outcome(answer))
        }
        _ => None,
    }
}

fn outcome(answer: Answer) -> Outcome {
    match answer {
        Answer::Accepted { revision } => Outcome::Accepted { revision },
        Answer::Refused { refusal } => Outcome::Refused {
            reason: refusal.to_string(),
        },
    }
}

fn refusal_json(reason: String) -> String {
    to_json(&Outcome::Refused { reason })
}

fn to_json(outcome: &Outcome) -> String {
    serde_json::to_string(outcome).unwrap_or_default()
}
