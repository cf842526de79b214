//! A caller, which sends calls to entry hosts and records the outcome of each.

use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use derives::value;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::backend::{ANSWER_HEADER, CALL_HEADER, WORK_HEADER, pattern};
use crate::history::{Event, History, Outcome};

const DEADLINE_HEADER: &str = "cardamomvale-deadline-ms";
const OUTCOME_HEADER: &str = "cardamomvale-outcome";
const NOT_RUN_HEADER: &str = "cardamomvale-not-run";
/// The most bytes of a refusal's text that are kept.
const MAX_REASON_SIZE: usize = 200;
/// How much longer than its deadline a caller waits before it gives up.
const ANSWER_GRACE: Duration = Duration::from_secs(2);

/// The target of calls: an entry host, or a backend server that is called directly.
pub struct Target {
    /// The target's name in the history.
    pub name: String,
    /// The address that the target listens on.
    pub address: SocketAddr,
    /// Whether the platform's balancer sends new calls to the target.
    up: AtomicBool,
    idle: Mutex<Vec<SendRequest<Full<Bytes>>>>,
}

/// One call.
#[value]
pub struct Call {
    /// The call's number, unique in the history.
    pub number: u64,
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The value of the `Idempotency-Key` header.
    pub key: Option<String>,
    /// The number of the first call with this key, if this is a repeat.
    ///
    /// All calls with the key expect the answer to the first.
    pub repeats: Option<u64>,
    /// How long the caller waits for an answer.
    pub deadline: Duration,
    /// The expected size of the answer, in bytes.
    pub size: u64,
}

/// The result of a call.
#[value]
pub struct Reply {
    /// The outcome that the caller observed.
    pub outcome: Outcome,
    /// The HTTP status, if an answer arrived.
    pub status: Option<u16>,
    /// The time that the work took, if the backend server reported it.
    pub work: Option<Duration>,
    /// Whether the answer was complete and belonged to this call.
    pub own: bool,
    /// The value of the answer's `Retry-After` header.
    pub retry_after: Option<String>,
    /// The text of a refusal or failure; empty for a complete answer.
    pub why: String,
}

/// Sends calls and records them in a history.
#[derive(Clone, Default)]
pub struct Caller {
    /// The history in which calls are recorded.
    pub history: History,
}

impl Call {
    /// Returns the call number that the body of the answer is made of.
    fn answer_number(&self) -> u64 {
        self.repeats.unwrap_or(self.number)
    }
}

impl Target {
    /// Returns a target to which the platform's balancer sends new calls.
    pub fn new(name: impl Into<String>, address: SocketAddr) -> Target {
        Target {
            name: name.into(),
            address,
            up: AtomicBool::new(true),
            idle: Mutex::default(),
        }
    }

    /// Sets whether the platform's balancer sends new calls to the target.
    pub fn set_up(&self, up: bool) {
        self.up.store(up, Ordering::SeqCst);
    }

    /// Returns whether the platform's balancer sends new calls to the target.
    pub fn is_up(&self) -> bool {
        self.up.load(Ordering::SeqCst)
    }

    fn take_idle(&self) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some(sender) = idle.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    fn put_idle(&self, sender: SendRequest<Full<Bytes>>) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.push(sender);
    }

    async fn connect(&self) -> io::Result<SendRequest<Full<Bytes>>> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        // An error of the connection shows up in the call that it breaks.
        tokio::spawn(connection);
        Ok(sender)
    }
}

impl Caller {
    /// Sends `call` to `target` and waits for its result.
    pub async fn call(&self, target: &Target, call: &Call) -> Reply {
        let method: hyper::Method = call.method.parse().unwrap_or_default();
        self.history.add(Event::Sent {
            call: call.number,
            host: target.name.clone(),
            idempotent: method.is_idempotent(),
            key: call.key.clone(),
            deadline_ms: u64::try_from(call.deadline.as_millis()).unwrap_or(u64::MAX),
        });
        let reply = tokio::time::timeout(call.deadline + ANSWER_GRACE, send(target, call))
            .await
            .unwrap_or_else(|_| Reply::ended(Outcome::Broken));
        self.history.add(Event::Answered {
            call: call.number,
            outcome: reply.outcome,
            own: reply.own,
        });
        reply
    }
}

impl Reply {
    fn ended(outcome: Outcome) -> Reply {
        Reply {
            outcome,
            status: None,
            work: None,
            own: false,
            retry_after: None,
            why: String::new(),
        }
    }

    fn of(call: &Call, status: StatusCode, headers: &HeaderMap) -> Reply {
        let header = |name| headers.get(name)?.to_str().ok();
        let number = |name| header(name)?.parse::<u64>().ok();
        let outcome = match header(OUTCOME_HEADER) {
            Some("complete") => Outcome::Complete,
            Some("not-run") => Outcome::NotRun,
            Some("unknown") => Outcome::Unknown,
            // The target is a backend server without an entry host before it.
            None if header(NOT_RUN_HEADER).is_some() => Outcome::NotRun,
            None if status.is_success() => Outcome::Complete,
            _ => Outcome::Unknown,
        };
        Reply {
            outcome,
            status: Some(status.as_u16()),
            work: number(WORK_HEADER).map(Duration::from_micros),
            own: number(ANSWER_HEADER) == Some(call.answer_number()),
            retry_after: header("retry-after").map(str::to_owned),
            why: String::new(),
        }
    }
}

async fn send(target: &Target, call: &Call) -> Reply {
    let mut request = request(call);
    // An idle connection may have been closed in the meantime. If hyper returns the request,
    // no byte of it was sent, and sending it on a new connection is safe.
    while let Some(mut sender) = target.take_idle() {
        match sender.try_send_request(request).await {
            Ok(response) => return finish(target, call, sender, response).await,
            Err(mut error) => match error.take_message() {
                Some(unsent) => request = unsent,
                None => return Reply::ended(Outcome::Broken),
            },
        }
    }
    let Ok(mut sender) = target.connect().await else {
        return Reply::ended(Outcome::Unreachable);
    };
    match sender.send_request(request).await {
        Ok(response) => finish(target, call, sender, response).await,
        Err(_) => Reply::ended(Outcome::Broken),
    }
}

async fn finish(
    target: &Target,
    call: &Call,
    sender: SendRequest<Full<Bytes>>,
    response: Response<Incoming>,
) -> Reply {
    let (head, body) = response.into_parts();
    let mut reply = Reply::of(call, head.status, &head.headers);
    let own = match (reply.outcome, head.status) {
        (Outcome::Complete, StatusCode::OK) => read_answer(call, body).await,
        _ => read_text(body).await.map(|why| {
            reply.why = why;
            reply.own
        }),
    };
    match own {
        Ok(own) => {
            reply.own = own && (reply.own || reply.outcome != Outcome::Complete);
            target.put_idle(sender);
            reply
        }
        Err(_) => Reply::ended(Outcome::Broken),
    }
}

/// Reads the answer; returns whether it is complete and belongs to the call.
async fn read_answer(call: &Call, mut body: Incoming) -> Result<bool, hyper::Error> {
    let text = pattern(call.answer_number());
    let mut length = 0;
    let mut whole = true;
    while let Some(frame) = body.frame().await {
        let Some(data) = frame?.into_data().ok() else {
            continue;
        };
        whole &= matches_pattern(&text, length, &data);
        length += data.len();
    }
    Ok(whole && length as u64 == call.size)
}

fn matches_pattern(text: &str, offset: usize, data: &[u8]) -> bool {
    let from = offset % text.len();
    let text = text.as_bytes().iter().cycle().skip(from);
    data.iter().zip(text).all(|(a, b)| a == b)
}

/// Reads a body to its end and returns its beginning as text.
async fn read_text(mut body: Incoming) -> Result<String, hyper::Error> {
    let mut text = Vec::new();
    while let Some(frame) = body.frame().await {
        let data = frame?.into_data().unwrap_or_default();
        let room = MAX_REASON_SIZE.saturating_sub(text.len()).min(data.len());
        text.extend_from_slice(&data[..room]);
    }
    Ok(String::from_utf8_lossy(&text).trim().to_owned())
}

fn request(call: &Call) -> Request<Full<Bytes>> {
    let deadline = u64::try_from(call.deadline.as_millis()).unwrap_or(u64::MAX);
    let mut request = Request::builder()
        .method(call.method.as_str())
        .uri(&call.path)
        .header("host", "cardamomvale")
        .header(CALL_HEADER, call.number)
        .header(ANSWER_HEADER, call.answer_number())
        .header(DEADLINE_HEADER, deadline);
    if let Some(key) = &call.key {
        request = request.header("idempotency-key", key);
    }
    request
        .body(Full::default())
        .expect("a valid method, path and headers")
}
