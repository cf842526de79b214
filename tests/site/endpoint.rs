//! An endpoint that handles requests as a test sets it.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{CONTENT_ENCODING, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::store::Store;

/// How an endpoint handles requests.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// Runs requests and answers at once.
    Serve,
    /// Runs requests and answers after this many milliseconds.
    Take(u64),
    /// Answers 503 with `Not-Executed: 1`, without running the request.
    Reject,
    /// Runs requests and answers 500.
    Fail,
    /// Runs requests and answers 503 without `Not-Executed`.
    FailAsFull,
    /// Runs requests and breaks the connection before the answer is complete.
    Cut,
    /// Runs requests and answers with another request's `Attempt-Id`.
    Foreign,
    /// Runs requests and answers without `Server-Signature`.
    Unsigned,
    /// Runs requests and answers with `Content-Encoding: gzip`.
    Encoded,
    /// Runs requests and never answers (within a test's time).
    Hang,
    /// Runs requests and closes the connection without an answer.
    Reset,
}

/// A path whose requests crash the endpoint while it runs them.
struct Crash {
    path: &'static str,
    store: Store,
}

/// How long an endpoint runs a request that crashes it.
const CRASH_AFTER: Duration = Duration::from_millis(60);

/// The time from a crash to the endpoint's restart.
const DOWN: Duration = Duration::from_millis(500);

struct Inner {
    id: String,
    /// How often the endpoint has crashed; names the present instance.
    life: Mutex<u64>,
    crash: Mutex<Option<Crash>>,
    /// Notified when a request crashes the endpoint.
    crashed: Notify,
    behaviour: Mutex<Behaviour>,
    /// The latency factor that health checks report, in percent.
    slowness: Mutex<u32>,
    /// The rate limit, in requests a second, that answers to requests advertise.
    limit: Mutex<Option<f64>>,
    runs: Mutex<Vec<(String, Instant)>>,
    /// How many requests were cancelled while they ran.
    gone: Mutex<u32>,
}

/// A running endpoint.
#[derive(Clone)]
pub struct Endpoint {
    pub address: SocketAddr,
    inner: Arc<Inner>,
}

impl Endpoint {
    pub async fn start(id: &str) -> Endpoint {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let inner = Arc::new(Inner {
            id: id.to_owned(),
            life: Mutex::default(),
            crash: Mutex::default(),
            crashed: Notify::new(),
            behaviour: Mutex::new(Behaviour::Serve),
            slowness: Mutex::new(100),
            limit: Mutex::default(),
            runs: Mutex::default(),
            gone: Mutex::default(),
        });
        let shared = Arc::clone(&inner);
        tokio::spawn(async move {
            let mut listener = listener;
            loop {
                live(listener, &shared).await;
                listener = shared.restart(address).await;
            }
        });
        Endpoint { address, inner }
    }

    /// Writes the endpoint's record into the store.
    pub fn register(&self, store: &Store, state: &str) {
        self.inner.register(self.address, store, state);
    }

    /// Sets a path whose requests crash the endpoint; it restarts as a new instance.
    pub fn crash_on(&self, path: &'static str, store: &Store) {
        let store = store.clone();
        *self
            .inner
            .crash
            .lock()
            .expect("no test panics with the lock held") = Some(Crash { path, store });
    }

    pub fn set(&self, behaviour: Behaviour) {
        *self
            .inner
            .behaviour
            .lock()
            .expect("no test panics with the lock held") = behaviour;
    }

    /// Sets the reported latency factor, in percent of the usual latency.
    pub fn slow(&self, slowness: u32) {
        *self
            .inner
            .slowness
            .lock()
            .expect("no test panics with the lock held") = slowness;
    }

    /// Returns the attempt IDs of the requests that the endpoint has started to run.
    pub fn runs(&self) -> Vec<String> {
        self.arrivals().into_iter().map(|(id, _)| id).collect()
    }

    /// Returns the attempt IDs of the requests that the endpoint has started to run, and when
    /// each arrived.
    pub fn arrivals(&self) -> Vec<(String, Instant)> {
        self.inner
            .runs
            .lock()
            .expect("no test panics with the lock held")
            .clone()
    }

    /// Sets the advertised rate limit in requests a second, or none.
    pub fn limit(&self, rate: Option<f64>) {
        *self
            .inner
            .limit
            .lock()
            .expect("no test panics with the lock held") = rate;
    }

    /// Returns how many requests were cancelled while the endpoint ran them.
    pub fn given_up(&self) -> u32 {
        *self
            .inner
            .gone
            .lock()
            .expect("no test panics with the lock held")
    }
}

impl Inner {
    /// Returns the ID of the present instance.
    fn instance(&self) -> String {
        match *self.life.lock().expect("no test panics with the lock held") {
            0 => self.id.clone(),
            life => format!("{}-{life}", self.id),
        }
    }

    fn register(&self, address: SocketAddr, store: &Store, state: &str) {
        let entry = format!(
            r#"{{"service":"svc","address":"{address}","zone":"here","version":"v1","slots":6,"state":"{state}","warmupRemainingS":0,"sequence":1,"born":1}}"#,
        );
        store.put("keyed.servers", &self.instance(), Some(&entry));
    }

    /// Returns whether requests of this path crash the endpoint.
    fn crashes_on(&self, path: &str) -> bool {
        let crash = self
            .crash
            .lock()
            .expect("no test panics with the lock held");
        crash.as_ref().is_some_and(|c| c.path == path)
    }

    /// Starts a new instance at the same address.
    async fn restart(&self, address: SocketAddr) -> TcpListener {
        let store = {
            let crash = self
                .crash
                .lock()
                .expect("no test panics with the lock held");
            crash.as_ref().expect("a crash is set").store.clone()
        };
        store.put("keyed.servers", &self.instance(), None);
        sleep(DOWN).await;
        let listener = TcpListener::bind(address)
            .await
            .expect("the port is free again");
        *self.life.lock().expect("no test panics with the lock held") += 1;
        self.register(address, &store, "ready");
        listener
    }
}

/// Accepts connections until the endpoint crashes, then closes all of them.
async fn live(listener: TcpListener, inner: &Arc<Inner>) {
    let mut connections = JoinSet::new();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => accepted.expect("the listener accepts").0,
            () = inner.crashed.notified() => return,
        };
        let inner = Arc::clone(inner);
        connections.spawn(async move {
            let service = service_fn(|request| serve(request, Arc::clone(&inner)));
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Counts a request as cancelled when dropped before `ended` is set.
struct Work<'a> {
    inner: &'a Inner,
    ended: bool,
}

impl Drop for Work<'_> {
    fn drop(&mut self) {
        if !self.ended {
            *self
                .inner
                .gone
                .lock()
                .expect("no test panics with the lock held") += 1;
        }
    }
}

async fn serve(request: Request<Incoming>, inner: Arc<Inner>) -> io::Result<Response<Part>> {
    let field = |name: &str| {
        let value = request.headers().get(name);
        value
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default()
            .to_owned()
    };
    let slowness = *inner
        .slowness
        .lock()
        .expect("no test panics with the lock held");
    if request.uri().path() == "/health" {
        let mut response = respond(StatusCode::OK, "", "");
        set(&mut response, "instance-id", &inner.instance());
        set(&mut response, "server-load", &format!("0,0,6,{slowness}"));
        return Ok(response);
    }
    let id = field("attempt-id");
    if field("expected-instance") != inner.instance() {
        return Ok(respond(StatusCode::MISDIRECTED_REQUEST, "", &id));
    }
    let behaviour = *inner
        .behaviour
        .lock()
        .expect("no test panics with the lock held");
    if behaviour == Behaviour::Reject {
        let mut response = respond(StatusCode::SERVICE_UNAVAILABLE, "", &id);
        set(&mut response, "not-executed", "1");
        return Ok(response);
    }
    inner
        .runs
        .lock()
        .expect("no test panics with the lock held")
        .push((id.clone(), Instant::now()));
    let mut work = Work {
        inner: &inner,
        ended: false,
    };
    if inner.crashes_on(request.uri().path()) {
        sleep(CRASH_AFTER).await;
        inner.crashed.notify_one();
        std::future::pending::<()>().await;
    }
    match behaviour {
        Behaviour::Take(millis) => sleep(Duration::from_millis(millis)).await,
        Behaviour::Hang => sleep(Duration::from_secs(3_600)).await,
        _ => {}
    }
    work.ended = true;
    if behaviour == Behaviour::Reset {
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    let mut response = match behaviour {
        Behaviour::Fail => respond(StatusCode::INTERNAL_SERVER_ERROR, "failed", &id),
        Behaviour::FailAsFull => respond(StatusCode::SERVICE_UNAVAILABLE, "full", &id),
        Behaviour::Foreign => respond(StatusCode::OK, "whole", "another"),
        _ => respond(StatusCode::OK, "whole", &id),
    };
    if behaviour != Behaviour::Unsigned {
        set(
            &mut response,
            "server-signature",
            &format!("by-{}", inner.instance()),
        );
    }
    if behaviour == Behaviour::Encoded {
        let encoding = HeaderValue::from_static("gzip");
        response.headers_mut().insert(CONTENT_ENCODING, encoding);
    }
    let limit = *inner
        .limit
        .lock()
        .expect("no test panics with the lock held");
    if let Some(rate) = limit {
        set(&mut response, "server-limit", &rate.to_string());
    }
    response.body_mut().cut = behaviour == Behaviour::Cut;
    Ok(response)
}

fn respond(status: StatusCode, text: &'static str, id: &str) -> Response<Part> {
    let mut response = Response::new(Part {
        text: Bytes::from_static(text.as_bytes()),
        cut: false,
    });
    *response.status_mut() = status;
    if !id.is_empty() {
        set(&mut response, "attempt-id", id);
    }
    response
}

fn set(response: &mut Response<Part>, name: &'static str, value: &str) {
    let value = HeaderValue::try_from(value).expect("a valid header value");
    response.headers_mut().insert(name, value);
}

/// A body that fails with a connection reset where `cut` is set.
struct Part {
    text: Bytes,
    cut: bool,
}

impl Body for Part {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.text.is_empty() {
            return Poll::Ready(None);
        }
        if self.cut {
            return Poll::Ready(Some(Err(io::ErrorKind::ConnectionReset.into())));
        }
        let text = std::mem::take(&mut self.text);
        Poll::Ready(Some(Ok(Frame::data(text))))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.text.len() as u64)
    }
}
