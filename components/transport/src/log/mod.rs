//! The platform's append-only log: its client, the follower of the `config` stream, and commands.

mod client;
mod follower;
mod reader;
mod remote;
mod submit;

pub use client::{AppendError, BlockingStoreClient, ReadError, STORE_TIMEOUT};
pub use follower::{Follower, FollowerOptions, Progress};
pub use remote::{read_from_host, submit_to_host};
pub use submit::{
    CommandRequest, Outcome, Submission, begin_in_store, read_from_store, reader_options,
    submit_to_store,
};

/// The stream that operators' commands and members' joins stand on.
pub const CONFIG_STREAM: &str = "config";
