//! Header fields of requests that one host forwards to another.

use std::net::{IpAddr, Ipv4Addr};

use http::HeaderMap;
use http::header::{HeaderName, HeaderValue};
use protocol::forwarded_request::{
    NotForwarded, is_probe, is_unavailable, set_caller, set_leaving, set_probe, set_unavailable,
    take_caller, take_leaving,
};
use state::EndpointKey;

const FIELD: HeaderName = HeaderName::from_static("cardamomvale-forwarded");

#[test]
fn caller_kept() {
    let caller = IpAddr::V4(Ipv4Addr::new(10, 1, 2, 3));
    let mut headers = HeaderMap::new();
    set_caller(&mut headers, caller);
    assert_eq!(take_caller(&mut headers), Ok(caller));
    assert!(headers.is_empty(), "endpoints must not get the field");
}

#[test]
fn caller_invalid() {
    for value in ["", "unavailable", "10.1.2", "10.1.2.3 x", "\u{e9}"] {
        let mut headers = HeaderMap::new();
        let value = HeaderValue::from_bytes(value.as_bytes()).expect("a valid header value");
        headers.insert(FIELD, value);
        assert_eq!(take_caller(&mut headers), Err(NotForwarded));
    }
    assert_eq!(take_caller(&mut HeaderMap::new()), Err(NotForwarded));
}

#[test]
fn unavailable_told() {
    let mut headers = HeaderMap::new();
    assert!(!is_unavailable(&headers));
    set_unavailable(&mut headers);
    assert!(is_unavailable(&headers));
}

#[test]
fn probe_told() {
    let mut headers = HeaderMap::new();
    assert!(!is_probe(&headers));
    set_probe(&mut headers);
    assert!(is_probe(&headers));
    assert_eq!(take_caller(&mut headers), Err(NotForwarded));
}

#[test]
fn leaving_told() {
    let mut headers = HeaderMap::new();
    assert_eq!(take_leaving(&mut headers), None);
    set_leaving(&mut headers, EndpointKey(u64::MAX));
    assert_eq!(take_leaving(&mut headers), Some(EndpointKey(u64::MAX)));
    assert!(headers.is_empty(), "callers must not get the field");
    set_unavailable(&mut headers);
    assert_eq!(take_leaving(&mut headers), None);
}
