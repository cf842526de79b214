//! Where pipelined requests begin and end, however their bytes arrive.

use proptest::collection::vec;
use proptest::prelude::*;
use protocol::request_splitter::{Split, read_head, split};
use rstest::rstest;

/// Splits requests off `bytes` until one is incomplete or in doubt; returns their lengths.
fn lengths(bytes: &[u8]) -> Vec<u64> {
    let mut found = Vec::new();
    let mut at = 0;
    while let Some(rest) = bytes.get(at..).filter(|r| !r.is_empty()) {
        let length = match split(rest) {
            Split::Bodyless(length) => length as u64,
            Split::Sized(length) => length,
            Split::Incomplete | Split::Unknown => break,
        };
        found.push(length);
        at += usize::try_from(length).expect("the length fits");
    }
    found
}

#[test]
fn request_parts() {
    let bytes = b"GET /a/b?c=d HTTP/1.1\r\nHost: x\r\nAttempt-Id: 7\r\n\r\nGET /";
    let Split::Bodyless(length) = split(bytes) else {
        panic!("the request has no body");
    };
    let parts = read_head(&bytes[..length]).expect("the head is valid");
    assert_eq!(parts.uri, "/a/b?c=d");
    assert_eq!(parts.headers["attempt-id"], "7");
    assert_eq!(&bytes[length..], b"GET /");
}

/// A request that could be understood in two ways must be left to the HTTP library: if the
/// two disagreed on where it ends, part of its body would be run as a request.
#[rstest]
#[case("GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")]
#[case("POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n")]
#[case("POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n")]
#[case("POST / HTTP/1.1\r\nContent-Length: 5, 5\r\n\r\n")]
#[case("POST / HTTP/1.1\r\nContent-Length: +5\r\n\r\n")]
#[case("POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n")]
#[case("POST / HTTP/1.1\r\nContent-Length:\r\n\r\n")]
#[case("GET / HTTP/1.0\r\n\r\n")]
#[case("GET / HTTP/1.1\r\nConnection: close\r\n\r\n")]
#[case("GET / HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n")]
#[case("GET / HTTP/1.1\r\nExpect: 100-continue\r\n\r\n")]
#[case("GET / HTTP/1.1\r\nBroken\r\n\r\n")]
#[case("GET / HTTP/1.1\r\nTransfer-Encoding : chunked\r\n\r\n")]
#[case("\x16\x03\x01")]
fn left_alone(#[case] bytes: &str) {
    assert!(matches!(split(bytes.as_bytes()), Split::Unknown), "{bytes}");
}

#[derive(Clone, Debug)]
struct Sent {
    is_get: bool,
    path: String,
    fields: Vec<String>,
    body: Vec<u8>,
}

impl Sent {
    fn bytes(&self) -> Vec<u8> {
        let method = if self.is_get { "GET" } else { "POST" };
        let mut head = format!("{method} /{} HTTP/1.1\r\nHost: a\r\n", self.path);
        for (number, value) in self.fields.iter().enumerate() {
            head.push_str(&format!("X-{number}: {value}\r\n"));
        }
        if !self.is_get || !self.body.is_empty() {
            head.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        head.push_str("\r\n");
        [head.as_bytes(), &self.body].concat()
    }
}

fn sent() -> impl Strategy<Value = Sent> {
    let fields = vec("[ -~]{0,20}", 0..4);
    (
        any::<bool>(),
        "[a-z0-9/]{0,12}",
        fields,
        vec(any::<u8>(), 0..40),
    )
        .prop_map(|(is_get, path, fields, body)| Sent {
            is_get,
            path,
            fields,
            body: if is_get { Vec::new() } else { body },
        })
}

proptest! {
    /// Requests are found at the same places in any prefix of the bytes.
    #[test]
    fn any_prefix(requests in vec(sent(), 1..6), cut in 0.0..1.0f64) {
        let each: Vec<Vec<u8>> = requests.iter().map(Sent::bytes).collect();
        let all = each.concat();
        let expected: Vec<u64> = each.iter().map(|b| b.len() as u64).collect();
        prop_assert_eq!(lengths(&all), expected.clone());
        let prefix = &all[..(all.len() as f64 * cut) as usize];
        let found = lengths(prefix);
        prop_assert!(expected.starts_with(&found));
    }

    /// No bytes make the splitter fail, or claim more than a head without a body.
    #[test]
    fn any_bytes(bytes in vec(any::<u8>(), 0..300)) {
        if let Split::Bodyless(length) = split(&bytes) {
            prop_assert!(length <= bytes.len());
        }
    }
}
