//! Which requests have the same fingerprint.

use std::net::IpAddr;

use rstest::rstest;
use state::fleet::Fingerprints;
use state::fleet::fingerprint::Content;

const CALLER: IpAddr = IpAddr::V4(std::net::Ipv4Addr::new(10, 0, 0, 1));

const REQUEST: Content<'static> = Content {
    method: "POST",
    host: "a.example",
    path: "/write/x",
    body: b"body",
    length: Some(4),
};

fn fingerprints(content: Content<'_>) -> Fingerprints {
    Fingerprints::new(content, CALLER)
}

#[test]
fn same_again() {
    assert_eq!(fingerprints(REQUEST), fingerprints(REQUEST));
}

/// A request with different content must have another fingerprint, or its caller is
/// rejected because of someone else's request.
#[rstest]
#[case(Content { method: "GET", ..REQUEST })]
#[case(Content { host: "b.example", ..REQUEST })]
#[case(Content { path: "/write/x?y=1", ..REQUEST })]
#[case(Content { body: b"other", ..REQUEST })]
#[case(Content { length: Some(5), ..REQUEST })]
#[case(Content { host: "a.example/", path: "write/x", ..REQUEST })]
fn differs(#[case] other: Content<'_>) {
    assert_ne!(fingerprints(other).content, fingerprints(REQUEST).content);
}

#[test]
fn other_caller() {
    let other = Fingerprints::new(REQUEST, IpAddr::from([10, 0, 0, 2]));
    assert_eq!(other.content, fingerprints(REQUEST).content);
    assert_ne!(other.request, fingerprints(REQUEST).request);
}
