//! Header fields as an HTTP intermediary has to forward them (RFC 9110).

use std::net::SocketAddr;
use std::time::Duration;

use hyper::StatusCode;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, FORWARDED, HOST, HeaderMap, HeaderName, HeaderValue, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE, VIA,
};

use super::route::DEADLINE_HEADER;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// The value that this system adds to the `Via` field.
const VIA_SELF: &str = "1.1 cardamomvale";

/// Hop-by-hop fields, which apply to one connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 7] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes the hop-by-hop fields, including those that `Connection` lists.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    for name in connection_options(headers) {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Turns the header fields of a caller's request into those of the request to `server`.
pub fn prepare_request(headers: &mut HeaderMap, caller: SocketAddr, server: SocketAddr) {
    let forwarded = forwarded(headers, caller);
    remove_hop_by_hop(headers);
    // The entry host has already met the expectation (100-continue) by reading the body.
    headers.remove(EXPECT);
    append(headers, FORWARDED, &forwarded);
    append(headers, VIA, VIA_SELF);
    if let Ok(host) = HeaderValue::try_from(server.to_string()) {
        headers.insert(HOST, host);
    }
}

/// Sets the deadline field to the time that is left for the call, at least 1 ms.
pub fn set_deadline(headers: &mut HeaderMap, left: Duration) {
    let millis = u64::try_from(left.as_millis()).unwrap_or(u64::MAX).max(1);
    headers.insert(DEADLINE_HEADER, HeaderValue::from(millis));
}

/// Removes the length from an answer that has no body, where HTTP forbids it.
pub fn remove_forbidden_length(status: StatusCode, headers: &mut HeaderMap) {
    if status == StatusCode::NO_CONTENT {
        headers.remove(CONTENT_LENGTH);
    }
}

/// Turns the header fields of a backend server's answer into those of the answer to the caller.
pub fn prepare_answer(status: StatusCode, headers: &mut HeaderMap) {
    remove_hop_by_hop(headers);
    remove_forbidden_length(status, headers);
    append(headers, VIA, VIA_SELF);
}

fn connection_options(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .collect()
}

/// Returns the element that this entry host adds to the `Forwarded` field (RFC 7239).
fn forwarded(headers: &HeaderMap, caller: SocketAddr) -> String {
    let host = headers.get(HOST).and_then(|h| h.to_str().ok());
    match host.filter(|h| !h.contains(['"', '\\'])) {
        Some(host) => format!("for=\"{caller}\";host=\"{host}\";proto=http"),
        None => format!("for=\"{caller}\";proto=http"),
    }
}

fn append(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::try_from(value) {
        headers.append(name, value);
    }
}
