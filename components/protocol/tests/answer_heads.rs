//! Which heads of answers tell where the body ends.

use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use protocol::answer_head::{Expected, HeadLines, InvalidHead, check};
use rstest::rstest;

fn headers(fields: &[(&str, &str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in fields {
        let name = HeaderName::try_from(*name).expect("a valid name");
        headers.append(name, HeaderValue::try_from(*value).expect("a valid value"));
    }
    headers
}

/// Returns what a request without conditions expects.
fn plain() -> Expected {
    Expected::of(&Method::GET, &HeaderMap::new())
}

/// Returns what a conditional request expects.
fn conditional() -> Expected {
    Expected::of(&Method::GET, &headers(&[("if-none-match", "\"a\"")]))
}

#[rstest]
#[case(&[])]
#[case(&[("content-length", "0")])]
#[case(&[("content-length", "005")])]
#[case(&[("transfer-encoding", "chunked")])]
#[case(&[("transfer-encoding", "Chunked")])]
#[case(&[("connection", "close")])]
#[case(&[("content-language", "en")])]
#[case(&[("content-location", "/a"), ("content-type", "text/plain")])]
#[case(&[("x-content-length", "5"), ("x-transfer-encoding", "chunked")])]
#[case(&[("a", ""), ("content", ""), ("transfer", "x")])]
#[case(&[("connection", "close"), ("keep-alive", "timeout=5")])]
#[case(&[("connection", "keep-alive"), ("content-length", "5")])]
fn valid_framing(#[case] fields: &[(&str, &str)]) {
    assert_eq!(check(StatusCode::OK, &headers(fields), plain()), Ok(()));
}

/// A body that isn't framed as its head says must not reach a caller.
#[rstest]
#[case(&[("content-length", "")], InvalidHead::Length)]
#[case(&[("content-length", "+5")], InvalidHead::Length)]
#[case(&[("content-length", "5, 5")], InvalidHead::Length)]
#[case(&[("content-length", "5"), ("content-length", "5")], InvalidHead::Length)]
#[case(&[("transfer-encoding", "chunke")], InvalidHead::Encoding)]
#[case(&[("transfer-encoding", "gzip, chunked")], InvalidHead::Encoding)]
#[case(&[("transfer-encoding", "chunked"), ("transfer-encoding", "chunked")], InvalidHead::Encoding)]
#[case(&[("transfer-encoding", "chunked"), ("content-length", "5")], InvalidHead::Ambiguous)]
#[case(&[("keep-alive", "timeout=5")], InvalidHead::Endless)]
#[case(&[("transfer-encodinh", "chunked")], InvalidHead::Corrupted)]
#[case(&[("ransfer-encoding", "chunked")], InvalidHead::Corrupted)]
#[case(&[("transfer-encodingg", "chunked")], InvalidHead::Corrupted)]
#[case(&[("transfer_encoding", "chunked")], InvalidHead::Corrupted)]
#[case(&[("trans", "er-Encoding: chunked")], InvalidHead::Corrupted)]
#[case(&[("content-lengt", "5")], InvalidHead::Corrupted)]
#[case(&[("connection", "x, Keep-Alive"), ("xontent-length", "5")], InvalidHead::Endless)]
fn invalid_framing(#[case] fields: &[(&str, &str)], #[case] error: InvalidHead) {
    assert_eq!(check(StatusCode::OK, &headers(fields), plain()), Err(error));
}

/// A status that no final answer has, or that contradicts the fields, must not reach a caller.
#[test]
fn final_statuses() {
    for code in 100..=999 {
        let status = StatusCode::from_u16(code).expect("three digits");
        let is_valid = check(status, &headers(&[]), plain()).is_ok();
        assert_eq!(
            is_valid,
            (200..=599).contains(&code) && code != 304,
            "{code}"
        );
        let with_length = headers(&[("content-length", "5")]);
        let is_valid = check(status, &with_length, conditional()).is_ok();
        assert_eq!(
            is_valid,
            (200..=599).contains(&code) && code != 204,
            "{code}"
        );
    }
    let empty = headers(&[("content-length", "0")]);
    assert_eq!(check(StatusCode::NO_CONTENT, &empty, plain()), Ok(()));
    let chunked = headers(&[("transfer-encoding", "chunked")]);
    let error = Err(InvalidHead::Unexpected);
    assert_eq!(check(StatusCode::NO_CONTENT, &chunked, plain()), error);
}

/// Lines must end with CRLF up to the end of the head, wherever the bytes are split.
#[rstest]
#[case("HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody\n", false)]
#[case("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n\n", false)]
#[case("HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\n", true)]
#[case("HTTP/1.1 200 OK\nA: b\r\n\r\n", true)]
#[case("HTTP/1.1 200 OK\r\nA: b\n\r\n", true)]
#[case("HTTP/1.1 200 OK\r\nA: b\r\n\n", true)]
#[case("HTTP/1.1 200 OK\r\nA: b\n\nC: d\r\n\r\n", true)]
#[case("\r\nHTTP/1.1 200 OK\r\n\r\n", true)]
#[case("\nHTTP/1.1 200 OK\r\n\r\n", true)]
fn head_lines(#[case] bytes: &str, #[case] is_invalid: bool) {
    for at in 0..bytes.len() {
        let mut lines = HeadLines::default();
        let (first, second) = bytes.as_bytes().split_at(at);
        lines.read(first);
        lines.read(second);
        assert_eq!(lines.is_invalid(), is_invalid, "split at {at}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Any byte that is added to a valid coding or length must be noticed.
    #[test]
    fn corrupted_value(at in 0_usize..8, byte in 0x21_u8..0x7f) {
        let mut coding = b"chunked".to_vec();
        coding.insert(at.min(coding.len()), byte);
        let mut corrupted = HeaderMap::new();
        corrupted.insert("transfer-encoding", HeaderValue::from_bytes(&coding).expect("printable"));
        prop_assert_eq!(check(StatusCode::OK, &corrupted, plain()), Err(InvalidHead::Encoding));
        let mut length = b"15".to_vec();
        length.insert(at.min(length.len()), byte);
        corrupted.clear();
        corrupted.insert("content-length", HeaderValue::from_bytes(&length).expect("printable"));
        prop_assert_eq!(check(StatusCode::OK, &corrupted, plain()).is_ok(), byte.is_ascii_digit());
    }
}
