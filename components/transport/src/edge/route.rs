//! Reads service, path, deadline and idempotency key from the head of a request.

use std::time::Duration;

use hyper::header::{HeaderMap, HeaderName};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Uri};
use state::Config;
use state::preset::Service;

use super::fault::Fault;

/// The header field that carries the remaining time of a call, in milliseconds.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("cardamomvale-deadline-ms");

/// The header field that makes it safe to repeat a non-idempotent call.
pub const IDEMPOTENCY_KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// The longest idempotency key, in ASCII characters.
pub const MAX_KEY_LENGTH: usize = 255;

/// The parsed target of a request.
pub struct Target<'a> {
    /// The service that the first path segment names.
    pub service: &'a Service,
    /// The path and query of the request to the backend server.
    pub uri: Uri,
}

/// Finds the service that the head `parts` names, in the preset in force.
///
/// # Errors
///
/// Returns the fault with the method or target of the request.
pub fn target<'a>(parts: &Parts, config: &'a Config) -> Result<Target<'a>, Fault> {
    if parts.method == Method::CONNECT {
        return Err(Fault::BadMethod(parts.method.to_string()));
    }
    let path = parts.uri.path().strip_prefix('/').ok_or(Fault::BadTarget)?;
    let (name, rest) = path.split_once('/').unwrap_or((path, ""));
    let preset = config.preset().ok_or(Fault::NoPreset)?;
    let service = preset
        .services
        .iter()
        .find(|s| s.name == name)
        .ok_or_else(|| Fault::UnknownService(name.to_owned()))?;
    let path = match parts.uri.query() {
        Some(query) => format!("/{rest}?{query}"),
        None => format!("/{rest}"),
    };
    let path = PathAndQuery::try_from(path).map_err(|_| Fault::BadTarget)?;
    Ok(Target {
        service,
        uri: Uri::from(path),
    })
}

/// Returns how long the call may take: the time in the deadline field, capped by
/// the service's deadline.
///
/// # Errors
///
/// Fails if the deadline field is no whole number of milliseconds.
pub fn time_allowed(headers: &HeaderMap, service: &Service) -> Result<Duration, Fault> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(service.deadline());
    };
    let text = value.to_str().map_err(|_| Fault::BadDeadline)?;
    let millis: u64 = text.trim().parse().map_err(|_| Fault::BadDeadline)?;
    Ok(Duration::from_millis(millis).min(service.deadline()))
}

/// Returns the idempotency key, none for an idempotent method or without the field.
///
/// # Errors
///
/// Fails if the key is empty, too long, repeated or has invisible characters.
pub fn key(parts: &Parts) -> Result<Option<String>, Fault> {
    if parts.method.is_idempotent() {
        return Ok(None);
    }
    let mut values = parts.headers.get_all(IDEMPOTENCY_KEY_HEADER).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| Fault::BadKey(MAX_KEY_LENGTH))?;
    match text.len() {
        1..=MAX_KEY_LENGTH if values.next().is_none() => Ok(Some(text.to_owned())),
        _ => Err(Fault::BadKey(MAX_KEY_LENGTH)),
    }
}
