//! Names requests by what they ask for, so that all hosts recognise the same request.
//!
//! Each attempt of a caller has an id of its own, so ids can't tell that a request
//! comes again.

use std::net::IpAddr;

use derives::{key, tag};
use xxhash_rust::xxh3::Xxh3;

/// A digest of what a request asks for.
#[key]
pub struct Fingerprint(pub u64);

/// What a request asks for, as far as it is held in memory.
#[derive(Clone, Copy, Debug)]
pub struct Content<'a> {
    /// The method.
    pub method: &'a str,
    /// The host name.
    pub host: &'a str,
    /// The path with its query.
    pub path: &'a str,
    /// The body, or its first part where it is too long to be held.
    pub body: &'a [u8],
    /// The length of the whole body in bytes, where it is known.
    pub length: Option<u64>,
}

/// The names of one request.
#[tag]
pub struct Fingerprints {
    /// Whatever caller sends it.
    pub content: Fingerprint,
    /// Sent by this caller.
    pub request: Fingerprint,
}

impl Fingerprints {
    /// Returns the names of a request that `caller` sends.
    pub fn new(content: Content<'_>, caller: IpAddr) -> Fingerprints {
        let mut digest = Xxh3::new();
        for part in [content.method, content.host, content.path] {
            digest.update(&part.len().to_be_bytes());
            digest.update(part.as_bytes());
        }
        let length = content.length.unwrap_or(u64::MAX);
        digest.update(&length.to_be_bytes());
        digest.update(content.body);
        let whole = Fingerprint(digest.digest());
        digest.update(caller.to_string().as_bytes());
        Fingerprints {
            content: whole,
            request: Fingerprint(digest.digest()),
        }
    }
}
