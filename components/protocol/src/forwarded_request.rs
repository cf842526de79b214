//! Header fields of requests that one host forwards to another.
//!
//! Such requests arrive on the port for hosts only. Callers can't reach it, so the fields
//! are trusted there and ignored everywhere else.

use std::net::IpAddr;

use http::header::{HeaderMap, HeaderName, HeaderValue};
use state::EndpointKey;
use thiserror::Error;

/// In a request the caller's IP address or [`PROBE`]; in an answer [`UNAVAILABLE`] or the key
/// of an endpoint that leaves.
const FORWARDED: HeaderName = HeaderName::from_static("cardamomvale-forwarded");

/// Marks an answer of a host that can't reach an endpoint either and ran nothing.
const UNAVAILABLE: HeaderValue = HeaderValue::from_static("unavailable");

/// Marks a request that only asks whether the host is there and can serve requests.
const PROBE: HeaderValue = HeaderValue::from_static("probe");

/// A request on the port for hosts that no host has forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the request does not name the caller that it was forwarded for")]
pub struct NotForwarded;

/// Marks a request as forwarded for this caller.
pub fn set_caller(headers: &mut HeaderMap, caller: IpAddr) {
    if let Ok(value) = HeaderValue::try_from(caller.to_string()) {
        headers.insert(FORWARDED, value);
    }
}

/// Removes the mark of a forwarded request, and returns the caller's address.
///
/// # Errors
///
/// Fails if there is no mark or if it names no IP address.
pub fn take_caller(headers: &mut HeaderMap) -> Result<IpAddr, NotForwarded> {
    let value = headers.remove(FORWARDED).ok_or(NotForwarded)?;
    let text = value.to_str().map_err(|_| NotForwarded)?;
    text.parse().map_err(|_| NotForwarded)
}

/// Marks a request as a probe.
pub fn set_probe(headers: &mut HeaderMap) {
    headers.insert(FORWARDED, PROBE);
}

/// Returns whether a request is a probe.
pub fn is_probe(headers: &HeaderMap) -> bool {
    headers.get(FORWARDED) == Some(&PROBE)
}

/// Marks an answer: this host could not try the request, another one may.
pub fn set_unavailable(headers: &mut HeaderMap) {
    headers.insert(FORWARDED, UNAVAILABLE);
}

/// Returns whether the host that answered could not try the request.
pub fn is_unavailable(headers: &HeaderMap) -> bool {
    headers.get(FORWARDED) == Some(&UNAVAILABLE)
}

/// Names in an answer its endpoint, which leaves.
pub fn set_leaving(headers: &mut HeaderMap, endpoint: EndpointKey) {
    headers.insert(FORWARDED, HeaderValue::from(endpoint.0));
}

/// Removes this module's field from an endpoint's answer.
pub fn clear(headers: &mut HeaderMap) {
    headers.remove(FORWARDED);
}

/// Removes this module's field from an answer, and returns the endpoint that leaves, if any.
pub fn take_leaving(headers: &mut HeaderMap) -> Option<EndpointKey> {
    let value = headers.remove(FORWARDED)?;
    let key = value.to_str().ok()?.parse().ok()?;
    Some(EndpointKey(key))
}
