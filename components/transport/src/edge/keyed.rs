//! Calls with an idempotency key: the key is claimed before the call is sent,
//! and the answer is cached for repeats of the key.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::http::response;
use hyper::{Method, Response, StatusCode, Uri};
use sha2::{Digest, Sha256};
use state::{Moment, ServiceKey};
use tokio::sync::oneshot;

use super::answer::AnswerBody;
use super::fault::Fault;
use super::outcome::{OUTCOME_HEADER, Outcome};
use crate::claims::{CachedAnswer, ClaimEnding, ClaimRequest, ClaimTicket, Verdict};
use crate::clock;

/// The largest body of an answer, in bytes, that is cached for repeats of its key.
const MAX_CACHED_BODY: usize = 64 * 1024;

/// The `Retry-After` of a call whose claim was not decided in time, or that
/// came before the claims were set.
const CLAIM_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Decides, among all entry hosts, which call with an idempotency key may run.
pub trait KeyClaims: Send + Sync {
    /// Claims the key of `request` for one call.
    fn claim(&self, request: ClaimRequest) -> Pin<Box<dyn Future<Output = Verdict> + Send + '_>>;

    /// Records how the call that holds the claim `ticket` ended.
    fn end(&self, ticket: ClaimTicket, ending: ClaimEnding);
}

/// A claim that a call holds, ended when the call ends.
///
/// A claim that is dropped without an ending, as when the caller hangs up, ends
/// as unknown if the call has been sent, and as not run otherwise.
pub struct Claim {
    claims: Arc<dyn KeyClaims>,
    ticket: Option<ClaimTicket>,
    sent: bool,
}

/// The result of claiming a call's key.
pub enum Claimed {
    /// The claim was granted: the call is to be sent.
    Granted(Claim),
    /// The first call with this key was answered already: its cached answer.
    Answered(Box<Response<AnswerBody>>),
}

/// Claims the key of a call, waiting until `deadline` at most.
///
/// # Errors
///
/// Returns the fault because of which the call must not be sent.
pub async fn claim(
    claims: Option<&Arc<dyn KeyClaims>>,
    request: ClaimRequest,
    deadline: Moment,
) -> Result<Claimed, Fault> {
    let claims = claims.ok_or(Fault::KeyUnclaimed(CLAIM_RETRY_DELAY))?;
    let waiting = spawn_claim(Arc::clone(claims), request);
    let left = clock::now().until(deadline);
    match tokio::time::timeout(left, waiting).await {
        Ok(Ok(Verdict::Granted(ticket))) => Ok(Claimed::Granted(Claim {
            claims: Arc::clone(claims),
            ticket: Some(ticket),
            sent: false,
        })),
        Ok(Ok(Verdict::Known(cached))) => Ok(Claimed::Answered(Box::new(replay(cached)))),
        Ok(Ok(Verdict::Started)) => Err(Fault::KeyStarted),
        Ok(Ok(Verdict::Mismatch)) => Err(Fault::KeyMismatch),
        Ok(Ok(Verdict::NotRun(wait))) => Err(Fault::KeyUnclaimed(wait)),
        Ok(Err(_)) | Err(_) => Err(Fault::KeyUnclaimed(CLAIM_RETRY_DELAY)),
    }
}

/// Claims a key in a task of its own, which outlives the call.
///
/// If the caller hangs up or the deadline passes while the claim is being
/// written to the store, the claim may still be granted. No one would run the
/// call then, and every repeat would get the answer that it was started. So the
/// task ends a claim that is granted too late as not run.
fn spawn_claim(claims: Arc<dyn KeyClaims>, request: ClaimRequest) -> oneshot::Receiver<Verdict> {
    let (sender, receiver) = oneshot::channel();
    tokio::spawn(async move {
        let verdict = claims.claim(request).await;
        if let Err(Verdict::Granted(ticket)) = sender.send(verdict) {
            claims.end(ticket, ClaimEnding::NotRun);
        }
    });
    receiver
}

/// Returns the SHA-256 of a request, which distinguishes two requests with the same key.
pub fn digest(service: ServiceKey, method: &Method, uri: &Uri, body: &[u8]) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update(service.0.to_le_bytes());
    for part in [method.as_str(), uri.path(), uri.query().unwrap_or_default()] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.update(body);
    hash.finalize().into()
}

impl Claim {
    /// Records that the call is about to be sent.
    pub fn mark_sent(&mut self) {
        self.sent = true;
    }

    /// Ends the claim of a call that got no answer, by the call's `outcome`.
    pub fn end_unanswered(mut self, outcome: Outcome) {
        match outcome {
            Outcome::NotRun => self.end(ClaimEnding::NotRun),
            Outcome::Complete | Outcome::Unknown => self.end(ClaimEnding::Unknown),
        }
    }

    fn end(&mut self, ending: ClaimEnding) {
        if let Some(ticket) = self.ticket.take() {
            self.claims.end(ticket, ending);
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        match self.sent {
            true => self.end(ClaimEnding::Unknown),
            false => self.end(ClaimEnding::NotRun),
        }
    }
}

/// Records the answer of a claimed call while it is relayed, for repeats of its key.
pub struct AnswerRecorder {
    claim: Claim,
    status: u16,
    fields: Vec<(String, Bytes)>,
    body: BytesMut,
    is_too_large: bool,
}

impl AnswerRecorder {
    /// Starts to record the answer whose head is `head`.
    pub fn new(claim: Claim, head: &response::Parts) -> AnswerRecorder {
        AnswerRecorder {
            claim,
            status: head.status.as_u16(),
            fields: cached_fields(&head.headers),
            body: BytesMut::new(),
            is_too_large: false,
        }
    }

    /// Records the next piece of the body.
    pub fn add(&mut self, data: &Bytes) {
        self.is_too_large |= self.body.len() + data.len() > MAX_CACHED_BODY;
        if !self.is_too_large {
            self.body.extend_from_slice(data);
        }
    }

    /// Ends the claim with the complete answer.
    pub fn finish(mut self) {
        let ending = match self.is_too_large {
            true => ClaimEnding::AnsweredLarge,
            false => ClaimEnding::Answered(CachedAnswer {
                status: self.status,
                fields: std::mem::take(&mut self.fields),
                body: self.body.split().freeze(),
            }),
        };
        self.claim.end(ending);
    }
}

fn cached_fields(fields: &HeaderMap) -> Vec<(String, Bytes)> {
    fields
        .iter()
        .filter(|(name, _)| **name != OUTCOME_HEADER)
        .map(|(name, value)| (name.to_string(), Bytes::copy_from_slice(value.as_bytes())))
        .collect()
}

/// Returns a cached answer as a response with the same status, header fields and body.
fn replay(cached: CachedAnswer) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::buffered(cached.body));
    *response.status_mut() = StatusCode::from_u16(cached.status).unwrap_or(StatusCode::OK);
    for (name, value) in cached.fields {
        let name = HeaderName::try_from(name);
        let value = HeaderValue::from_maybe_shared(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
        .headers_mut()
        .insert(OUTCOME_HEADER, Outcome::Complete.value());
    response
}
