//! Hands a command to the log and tells its author truly what came of it.

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

/// How long to wait for an append whose answer was lost to show itself.
const SETTLE: Duration = Duration::from_millis(300);

/// The pause before asking a log again that refused.
const RETRY: Duration = Duration::from_millis(200);

/// A command that has still to be given its id, or is asked again.
#[value]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct CommandRequest {
    /// The id of an earlier try whose outcome is unknown.
    #[serde(default)]
    pub id: Option<CommandId>,
    /// The revision the author looked at; the newest where none is given.
    #[serde(default)]
    pub decided_on: Option<u64>,
    /// What is asked for.
    pub change: Change,
}

/// What came of a command.
#[value]
#[derive(Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum Outcome {
    /// It is in force since this revision.
    Accepted {
        /// The revision.
        revision: u64,
    },
    /// It changed nothing and never will.
    Refused {
        /// Why, and what to do.
        reason: String,
    },
    /// It may be in force or come into force: ask again with this id.
    Unknown {
        /// The id.
        id: CommandId,
    },
    /// It was not handed to the log, and never will be.
    Unreachable {
        /// Why.
        reason: String,
    },
}

/// Kilobytes asked for by a read that only wants to know where the log ends.
const LEAST: Option<u32> = Some(1);

/// Hands commands to the log, in an entry host or an operator's command.
#[derive(Clone)]
pub struct Submission {
    client: BlockingStoreClient,
    follower: Arc<Follower>,
    limit: Duration,
}

impl Submission {
    /// Returns one that gives up waiting after `limit`.
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

    /// Hands a command to the log and waits until the fold has decided it. Blocks.
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

    /// Answers a command posted as JSON: the status and the body.
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

    /// Waits until all that stands on the log now has been folded.
    ///
    /// Without it a command would be decided on an old revision and refused
    /// for a change that its author may well have seen. Asks the log for its
    /// end by a read of its own: the follower's may be waiting for a record.
    fn catch_up(&self, deadline: Instant) -> Result<(), String> {
        let mut reason;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let from = self.follower.position().next;
            let end = self.client.read(CONFIG_STREAM, from, LEAST, Duration::ZERO);
            if end.as_ref().is_ok_and(|page| page.end > from) {
                // The log answers: a follower that waits out a pause need not.
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
            std::thread::sleep(RETRY.min(left));
        }
    }

    fn append(&self, command: &Command, mut may_stand: bool, deadline: Instant) -> Outcome {
        let id = command.id;
        let record: Bytes = encode_command(command);
        loop {
            let (wait, reason) = match self.client.append(CONFIG_STREAM, &record) {
                Ok(_) => {
                    may_stand = true;
                    let left = deadline.saturating_duration_since(Instant::now());
                    (left, String::new())
                }
                Err(AppendError::Unanswered(reason)) => {
                    may_stand = true;
                    (SETTLE, reason)
                }
                Err(AppendError::Refused(reason)) => (RETRY, reason),
            };
            if let Some(answer) = self.follower.wait_answer(id, wait) {
                return outcome(answer);
            }
            match may_stand {
                _ if Instant::now() < deadline => {}
                true => return Outcome::Unknown { id },
                false => return Outcome::Unreachable { reason },
            }
        }
    }
}

/// Hands a command straight to the log at `address`. Blocks.
pub fn submit_to_store(address: SocketAddr, request: &CommandRequest, limit: Duration) -> Outcome {
    let client = BlockingStoreClient::new(address, STORE_TIMEOUT);
    let follower = Follower::start(client.clone(), reader_options());
    Submission::new(client, Arc::new(follower), limit).submit(request)
}

/// Begins the configuration anew at the log at `address`, with this preset in
/// force, where the log has forgotten it and no host hands it on. Blocks.
///
/// A host that has the configuration appends a snapshot within seconds; so the
/// log is watched for `quiet` first. The record is appended once and never
/// again, since each one begins anew.
pub fn begin_in_store(
    address: SocketAddr,
    text: &str,
    quiet: Duration,
    limit: Duration,
) -> Outcome {
    let client = BlockingStoreClient::new(address, STORE_TIMEOUT);
    let follower = Follower::start(client.clone(), reader_options());
    let start = Instant::now();
    loop {
        let end = client.read(CONFIG_STREAM, 0, LEAST, Duration::ZERO);
        match end {
            Ok(page) if follower.is_lost(page.end) && start.elapsed() >= quiet => break,
            Ok(page) if follower.wait_folded(page.end, RETRY) => {
                return Outcome::Refused {
                    reason: "the log still gives the configuration: use put and choose".to_owned(),
                };
            }
            Err(error) if start.elapsed() >= quiet + limit => {
                let reason = error.to_string();
                return Outcome::Unreachable { reason };
            }
            _ => std::thread::sleep(RETRY),
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

/// Returns the configuration folded from the log at `address`. Blocks.
///
/// # Errors
///
/// Says why there is none.
pub fn read_from_store(address: SocketAddr, limit: Duration) -> Result<Arc<Config>, String> {
    let client = BlockingStoreClient::new(address, STORE_TIMEOUT);
    let follower = Arc::new(Follower::start(client.clone(), reader_options()));
    let submission = Submission::new(client, Arc::clone(&follower), limit);
    submission.catch_up(Instant::now() + limit)?;
    Ok(Arc::clone(follower.fold().config()))
}

/// Returns the options of a follower that only reads, such as an operator's command.
pub fn reader_options() -> FollowerOptions {
    FollowerOptions {
        snapshots: None,
        wait: Duration::from_millis(200),
        ..FollowerOptions::default()
    }
}

/// Decides a command that nobody has seen yet, without the log, where it would
/// change nothing: that needs no append, and is as true as by the log.
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
