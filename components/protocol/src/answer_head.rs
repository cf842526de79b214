//! Checks that the head of an HTTP/1.1 answer tells where its body ends.
//!
//! The HTTP library is lenient: it reads a body with an unknown transfer coding until the
//! connection ends, and takes one of several contradicting fields. What a faulty endpoint sends
//! would then reach callers as a complete answer with another body than the endpoint's.

use http::HeaderMap;
use http::header::{CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING};
use thiserror::Error;

/// Why an answer can't be used, although the HTTP library has read its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InvalidHead {
    /// The length is not given by one decimal number.
    #[error("its Content-Length is not one number")]
    Length,
    /// The body is encoded in another way than in chunks.
    #[error("its Transfer-Encoding is not chunked")]
    Encoding,
    /// The body has a length and a transfer coding.
    #[error("it has both Content-Length and Transfer-Encoding")]
    Ambiguous,
}

/// Checks the head of a final answer.
///
/// An answer without a length and a transfer coding ends with its connection, which is valid.
///
/// # Errors
///
/// Returns why the answer can't be used.
pub fn check(headers: &HeaderMap) -> Result<(), InvalidHead> {
    let length = single(headers, &CONTENT_LENGTH).ok_or(InvalidHead::Length)?;
    let encoding = single(headers, &TRANSFER_ENCODING).ok_or(InvalidHead::Encoding)?;
    match (length, encoding) {
        (Some(_), Some(_)) => Err(InvalidHead::Ambiguous),
        (Some(length), None) if !is_number(length) => Err(InvalidHead::Length),
        (None, Some(encoding)) if !is_chunked(encoding) => Err(InvalidHead::Encoding),
        (Some(_) | None, None) | (None, Some(_)) => Ok(()),
    }
}

/// Returns the value of a field that may occur once; `None` if it occurs more often.
fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<Option<&'a HeaderValue>> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    values.next().is_none().then_some(first)
}

fn is_number(value: &HeaderValue) -> bool {
    !value.is_empty() && value.as_bytes().iter().all(u8::is_ascii_digit)
}

fn is_chunked(value: &HeaderValue) -> bool {
    value.as_bytes().eq_ignore_ascii_case(b"chunked")
}
