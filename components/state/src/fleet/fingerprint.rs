//! Fingerprints of requests, by which all hosts recognise the same request.
//!
//! Request ids can't serve for this: each attempt of a caller has its own id.

use std::net::IpAddr;

use derives::{key, tag};
use xxhash_rust::xxh3::Xxh3;

/// A digest of a request's content.
#[key]
pub struct Fingerprint(pub u64);

/// The content of a request, as far as it is held in memory.
#[derive(Clone, Copy, Debug)]
pub struct Content<'a> {
    /// The request method.
    pub method: &'a str,
    /// The host name asked for.
    pub host: &'a str,
    /// The path with its query.
    pub path: &'a str,
    /// The body, or its first part if it is too long to be held.
    pub body: &'a [u8],
    /// The length of the whole body in bytes, if known.
    pub length: Option<u64>,
}

/// The fingerprints of one request.
#[tag]
pub struct Fingerprints {
    /// The digest of the content, the same for all callers.
    pub content: Fingerprint,
    /// The digest of the content and the caller's address.
    pub request: Fingerprint,
}

impl Fingerprints {
    /// Returns the fingerprints of a request from `caller`.
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
