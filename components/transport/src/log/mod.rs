//! The platform's append-only log: its client, the follower of the `config` stream, and commands.

mod client;
mod follower;
mod reader;
mod remote;
mod submit;

pub use client::{AppendError, LogClient, PATIENCE, ReadError};
pub use follower::{Follower, FollowerOptions, Progress};
pub use remote::{read_by_entry, submit_by_entry};
pub use submit::{
    CommandRequest, Outcome, Submission, begin_by_log, read_by_log, reader_options, submit_by_log,
};

/// The stream that operators' commands and members' joins stand on.
pub const CONFIG_STREAM: &str = "config";
