//! Header fields as an HTTP intermediary has to forward them (RFC 9110).

use std::net::SocketAddr;
use std::time::Duration;

use hyper::header::{
    CONNECTION, EXPECT, FORWARDED, HOST, HeaderMap, HeaderName, HeaderValue, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE, VIA,
};

use super::route::DEADLINE;

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
pub fn remove_hop_by_hop(fields: &mut HeaderMap) {
    for name in listed(fields) {
        fields.remove(name);
    }
    for name in &HOP_BY_HOP {
        fields.remove(name);
    }
}

/// Turns the header fields of a caller's request into those of the request to `server`.
pub fn forward(fields: &mut HeaderMap, caller: SocketAddr, server: SocketAddr) {
    let forwarded = forwarded(fields, caller);
    remove_hop_by_hop(fields);
    // The entry host has already met the expectation (100-continue) by reading the body.
    fields.remove(EXPECT);
    append(fields, FORWARDED, &forwarded);
    append(fields, VIA, VIA_SELF);
    if let Ok(host) = HeaderValue::try_from(server.to_string()) {
        fields.insert(HOST, host);
    }
}

/// Sets the deadline field to the time that is left for the call.
pub fn set_deadline(fields: &mut HeaderMap, left: Duration) {
    let millis = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    fields.insert(DEADLINE, HeaderValue::from(millis));
}

/// Turns the header fields of a backend server's answer into those of the answer to the caller.
pub fn give_back(fields: &mut HeaderMap) {
    remove_hop_by_hop(fields);
    append(fields, VIA, VIA_SELF);
}

fn listed(fields: &HeaderMap) -> Vec<HeaderName> {
    fields
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .collect()
}

/// Returns the element that this entry host adds to the `Forwarded` field (RFC 7239).
fn forwarded(fields: &HeaderMap, caller: SocketAddr) -> String {
    let host = fields.get(HOST).and_then(|h| h.to_str().ok());
    match host.filter(|h| !h.contains(['"', '\\'])) {
        Some(host) => format!("for=\"{caller}\";host=\"{host}\";proto=http"),
        None => format!("for=\"{caller}\";proto=http"),
    }
}

fn append(fields: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::try_from(value) {
        fields.append(name, value);
    }
}
