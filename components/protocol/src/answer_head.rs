//! Checks that the head of an HTTP/1.1 answer is valid and tells where its body ends.
//!
//! The HTTP library is lenient: it reads a body with an unknown transfer coding until the
//! connection ends, takes one of several contradicting fields, and accepts line ends and status
//! codes that no valid answer has. What a faulty endpoint sends would then reach callers as a
//! complete answer with another body than the endpoint's.

use std::ops::RangeInclusive;

use http::header::{
    CONNECTION, CONTENT_LENGTH, HeaderName, HeaderValue, IF_MODIFIED_SINCE, IF_NONE_MATCH,
    TRANSFER_ENCODING,
};
use http::{HeaderMap, Method, StatusCode};
use thiserror::Error;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// The status codes of final answers (RFC 9110, section 15).
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Why an answer can't be used, although the HTTP library has read its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InvalidHead {
    /// A line doesn't end with CRLF, or the answer begins with an empty line.
    #[error("a line of its head doesn't end with CRLF, or is empty")]
    Line,
    /// The status code is not one of a final answer.
    #[error("its status {} is not one of a final answer", .0.as_u16())]
    Status(StatusCode),
    /// The status says that the answer has no body, and a field announces one.
    #[error("its status is 204, and it announces a body")]
    Unexpected,
    /// The answer refers to a copy that the request didn't name.
    #[error("its status is 304, and the request was not conditional")]
    Unconditional,
    /// The length is not given by one decimal number.
    #[error("its Content-Length is not one number")]
    Length,
    /// The body is encoded in another way than in chunks.
    #[error("its Transfer-Encoding is not chunked")]
    Encoding,
    /// The body ends with the connection, which stays open.
    #[error("it has no length, and its connection stays open")]
    Endless,
    /// The field that tells the length is corrupted.
    #[error("one of its fields is a corrupted Content-Length or Transfer-Encoding")]
    Corrupted,
    /// The body has a length and a transfer coding.
    #[error("it has both Content-Length and Transfer-Encoding")]
    Ambiguous,
}

/// What a request allows its answer to be.
#[derive(Clone, Copy, Debug)]
pub struct Expected {
    is_conditional: bool,
    has_body: bool,
}

impl Expected {
    /// Returns what this request expects.
    pub fn of(method: &Method, request: &HeaderMap) -> Expected {
        let names = [IF_NONE_MATCH, IF_MODIFIED_SINCE];
        Expected {
            is_conditional: names.iter().any(|name| request.contains_key(name)),
            has_body: method != Method::HEAD,
        }
    }
}

/// Checks the head of the answer to a request.
///
/// An answer without a length and a transfer coding ends with its connection, which is valid
/// unless it says that the connection stays open, or the field that tells the length is corrupted.
///
/// # Errors
///
/// Returns why the answer can't be used.
pub fn check(
    status: StatusCode,
    headers: &HeaderMap,
    expected: Expected,
) -> Result<(), InvalidHead> {
    let is_framed = check_framing(headers)?;
    match status {
        StatusCode::NO_CONTENT if announces_body(headers) => Err(InvalidHead::Unexpected),
        StatusCode::NO_CONTENT => Ok(()),
        StatusCode::NOT_MODIFIED if !expected.is_conditional => Err(InvalidHead::Unconditional),
        StatusCode::NOT_MODIFIED => Ok(()),
        status if !FINAL_STATUSES.contains(&status.as_u16()) => Err(InvalidHead::Status(status)),
        _ if is_framed || !expected.has_body => Ok(()),
        _ if stays_open(headers) => Err(InvalidHead::Endless),
        _ if headers.iter().any(is_corrupted_length) => Err(InvalidHead::Corrupted),
        _ => Ok(()),
    }
}

/// Returns whether a field differs in one character from one that tells the length.
///
/// A colon in the middle of such a name makes its rest a part of the value.
fn is_corrupted_length((name, value): (&HeaderName, &HeaderValue)) -> bool {
    let mut line = [name.as_str().as_bytes(), b":", value.as_bytes()].concat();
    line.make_ascii_lowercase();
    let names = [CONTENT_LENGTH, TRANSFER_ENCODING];
    names.iter().any(|name| begins_like(&line, name))
}

/// Returns whether a line begins with a field name in which one character was changed, dropped
/// or added.
fn begins_like(line: &[u8], name: &HeaderName) -> bool {
    let name = [name.as_str().as_bytes(), b":"].concat();
    let pairs = line.iter().zip(&name);
    let equal = pairs.take_while(|(a, b)| a == b).count();
    let (Some(line), Some(name)) = (line.get(equal..), name.get(equal..)) else {
        return false;
    };
    match (line, name) {
        ([_, line_rest @ ..], [_, name_rest @ ..]) => {
            line_rest.starts_with(name_rest)
                || line.starts_with(name_rest)
                || line_rest.starts_with(name)
        }
        _ => false,
    }
}

/// Returns whether an answer says that its connection stays open.
fn stays_open(headers: &HeaderMap) -> bool {
    let options = headers.get_all(CONNECTION).iter();
    let options = options.flat_map(|value| value.as_bytes().split(|byte| *byte == b','));
    let mut is_kept = headers.contains_key(KEEP_ALIVE);
    for option in options.map(<[u8]>::trim_ascii) {
        if option.eq_ignore_ascii_case(b"close") {
            return false;
        }
        is_kept |= option.eq_ignore_ascii_case(b"keep-alive");
    }
    is_kept
}

/// Returns whether a valid head announces a body.
fn announces_body(headers: &HeaderMap) -> bool {
    let length = headers.get(CONTENT_LENGTH).map(HeaderValue::as_bytes);
    let is_empty = length.is_none_or(|digits| digits.iter().all(|d| *d == b'0'));
    !is_empty || headers.contains_key(TRANSFER_ENCODING)
}

/// Checks the fields that tell the length; returns whether there is one.
fn check_framing(headers: &HeaderMap) -> Result<bool, InvalidHead> {
    let length = single(headers, &CONTENT_LENGTH).ok_or(InvalidHead::Length)?;
    let encoding = single(headers, &TRANSFER_ENCODING).ok_or(InvalidHead::Encoding)?;
    match (length, encoding) {
        (Some(_), Some(_)) => Err(InvalidHead::Ambiguous),
        (Some(length), None) if !is_number(length) => Err(InvalidHead::Length),
        (None, Some(encoding)) if !is_chunked(encoding) => Err(InvalidHead::Encoding),
        (None, None) => Ok(false),
        (Some(_), None) | (None, Some(_)) => Ok(true),
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

/// Follows the lines of an answer's head while it is read.
///
/// The HTTP library also takes a line feed alone for the end of a line. A head with one corrupted
/// byte could end early, and the rest of its fields would count as body.
#[derive(Clone, Debug)]
pub struct HeadLines {
    state: LineState,
    /// The bytes of the current line so far.
    length: usize,
    /// The byte before the next one.
    last: u8,
    /// Whether the current line is the status line.
    is_first: bool,
    /// Whether this is the head of an interim answer, behind which another one follows.
    is_interim: bool,
}

/// How far the lines of a head have been followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LineState {
    Reading,
    Complete,
    Invalid,
}

/// The position in a status line of the first digit of the status code.
const STATUS_POSITION: usize = "HTTP/1.1 ".len();

impl Default for HeadLines {
    fn default() -> HeadLines {
        HeadLines {
            state: LineState::Reading,
            length: 0,
            last: 0,
            is_first: true,
            is_interim: false,
        }
    }
}

impl HeadLines {
    /// Takes in the next bytes of the connection; those behind the head are ignored.
    pub fn read(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.state != LineState::Reading {
                return;
            }
            self.read_byte(*byte);
        }
    }

    /// Returns whether a line read so far is invalid.
    pub fn is_invalid(&self) -> bool {
        self.state == LineState::Invalid
    }

    fn read_byte(&mut self, byte: u8) {
        if byte == b'\n' {
            self.end_line();
        } else {
            if self.is_first && self.length == STATUS_POSITION {
                self.is_interim = byte == b'1';
            }
            self.length += 1;
        }
        self.last = byte;
    }

    fn end_line(&mut self) {
        let is_empty = self.length == 1;
        self.state = match self.last {
            b'\r' if is_empty && self.is_first => LineState::Invalid,
            b'\r' if is_empty && !self.is_interim => LineState::Complete,
            b'\r' => LineState::Reading,
            _ => LineState::Invalid,
        };
        self.length = 0;
        self.is_first = is_empty;
    }
}
