//! Finds where one HTTP/1.1 request ends and the next begins, without serving them.
//!
//! The HTTP library serves the requests of a connection one after the other. To serve
//! pipelined requests at the same time, a host has to know the later ones while the first
//! is still unanswered. Only requests without a body are looked at; whatever is in doubt
//! is left to the HTTP library.

use std::mem::MaybeUninit;

use bytes::Bytes;
use derives::tag;
use http::request::Parts;
use http::{HeaderName, HeaderValue, Method, Request, Uri};

/// Maximum number of header fields of a request.
pub const MAX_HEADER_FIELDS: usize = 200;

/// Fields after which a request may end elsewhere, or be the last of its connection.
const UNCLEAR_FIELDS: [&str; 3] = ["transfer-encoding", "upgrade", "expect"];

/// The first request in the unread bytes of a connection.
#[tag]
pub enum Split {
    /// The head of the request is incomplete.
    Incomplete,
    /// A GET request without a body; its length.
    Bodyless(usize),
    /// Another request; the length of its head and body.
    Sized(u64),
    /// Where the request ends, or whether another follows it, is for the HTTP library to
    /// find out.
    Unknown,
}

/// Splits the first request off `bytes`.
pub fn split(bytes: &[u8]) -> Split {
    let mut fields = [const { MaybeUninit::uninit() }; MAX_HEADER_FIELDS];
    let mut head = httparse::Request::new(&mut []);
    let length = match head.parse_with_uninit_headers(bytes, &mut fields) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Split::Incomplete,
        Err(_) => return Split::Unknown,
    };
    if head.version != Some(1) || head.headers.iter().any(is_unclear) {
        return Split::Unknown;
    }
    match body_length(head.headers) {
        Some(0) if head.method == Some("GET") => Split::Bodyless(length),
        Some(body) => Split::Sized((length as u64).saturating_add(body)),
        None => Split::Unknown,
    }
}

/// Reads the head of a request that `split` has found complete.
///
/// Returns `None` for a head that the HTTP library would reject.
pub fn read_head(bytes: &[u8]) -> Option<Parts> {
    let mut fields = [const { MaybeUninit::uninit() }; MAX_HEADER_FIELDS];
    let mut head = httparse::Request::new(&mut []);
    head.parse_with_uninit_headers(bytes, &mut fields).ok()?;
    let mut request = Request::new(());
    *request.method_mut() = Method::from_bytes(head.method?.as_bytes()).ok()?;
    let path = Bytes::copy_from_slice(head.path?.as_bytes());
    *request.uri_mut() = Uri::from_maybe_shared(path).ok()?;
    for field in head.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(field.value).ok()?;
        request.headers_mut().append(name, value);
    }
    Some(request.into_parts().0)
}

fn is_unclear(field: &httparse::Header<'_>) -> bool {
    let is_connection = field.name.eq_ignore_ascii_case("connection");
    let keeps_open = field.value.eq_ignore_ascii_case(b"keep-alive");
    is_connection && !keeps_open
        || UNCLEAR_FIELDS
            .iter()
            .any(|name| field.name.eq_ignore_ascii_case(name))
}

/// Returns the length of a request's body, or `None` if its fields contradict each other.
fn body_length(fields: &[httparse::Header<'_>]) -> Option<u64> {
    let mut lengths = fields
        .iter()
        .filter(|field| field.name.eq_ignore_ascii_case("content-length"));
    let Some(length) = lengths.next() else {
        return Some(0);
    };
    let text = std::str::from_utf8(length.value).ok()?;
    let is_number = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    match is_number && lengths.next().is_none() {
        true => text.parse().ok(),
        false => None,
    }
}
