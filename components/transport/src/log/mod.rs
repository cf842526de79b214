//! Access to the store from threads that may block: a client, the follower of the `config` stream,
//! and commands that change the configuration.

mod admin_client;
mod client;
mod follower;
mod reader;
mod submit;

pub use admin_client::{read_from_host, submit_to_host};
pub use client::{AppendError, BlockingStoreClient, ReadError, STORE_TIMEOUT};
pub use follower::{Follower, FollowerOptions, Progress};
pub use submit::{
    CommandRequest, Outcome, Submission, begin_in_store, read_from_store, reader_options,
    submit_to_store,
};

/// The stream that holds the operators' commands and the members' joins and removals.
pub const CONFIG_STREAM: &str = "config";
