//! An endpoint that handles requests as a test sets it.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{CONTENT_ENCODING, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::network::Network;
use super::store::Store;

/// How an endpoint handles requests.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// Runs requests and answers at once.
    Serve,
    /// Runs requests and answers after this many milliseconds.
    Delay(u64),
    /// Answers 503 with `Not-Executed: 1`, without running the request.
    Reject,
    /// Does so with three requests of five, and serves the others.
    RejectMost,
    /// Does so with `Retry-After`, in seconds.
    Rest(u32),
    /// Runs requests and answers 500.
    Fail,
    /// Runs requests and answers 503 without `Not-Executed`.
    Unavailable,
    /// Runs requests and breaks the connection before the answer is complete.
    Cut,
    /// Runs requests and answers with another request's `Attempt-Id`.
    WrongAttempt,
    /// Runs requests and answers without `Server-Signature`.
    Unsigned,
    /// Runs requests and answers with `Content-Encoding: gzip`.
    Encoded,
    /// Runs requests and never answers (within a test's time).
    Hang,
    /// Runs requests and closes the connection without an answer.
    Reset,
}

/// Which answers of an endpoint say that it leaves.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub enum Leaving {
    /// None.
    #[default]
    Never,
    /// Those to requests; health checks lag behind.
    Requests,
    /// All.
    All,
}

/// A path whose requests crash the endpoint while it runs them.
struct Crash {
    path: &'static str,
    store: Store,
}

/// How long an endpoint runs a request that crashes it.
const CRASH_DELAY: Duration = Duration::from_millis(60);

/// The time from a crash to the endpoint's restart.
const RESTART_DELAY: Duration = Duration::from_millis(500);

struct Inner {
    id: String,
    network: Network,
    /// The version of the endpoint's software.
    version: String,
    /// How often the endpoint has crashed; names the present instance.
    restarts: Mutex<u64>,
    crash: Mutex<Option<Crash>>,
    /// Notified when a request crashes the endpoint.
    crashed: Notify,
    behaviour: Mutex<Behaviour>,
    /// The latency factor that health checks report, in percent.
    latency_percent: Mutex<u32>,
    /// The rate limit, in requests a second, that answers to requests advertise.
    rate_limit: Mutex<Option<f64>>,
    runs: Mutex<Vec<(String, Instant)>>,
    /// The attempt IDs of the rejected requests, and when each arrived.
    rejections: Mutex<Vec<(String, Instant)>>,
    /// The number of requests of which a part was to be rejected.
    requests: AtomicU64,
    /// When each health check arrived.
    probes: Mutex<Vec<Instant>>,
    /// Which answers say that the endpoint leaves.
    leaving: Mutex<Leaving>,
    /// How many requests were cancelled while they ran.
    cancel_count: Mutex<u32>,
}

/// A running endpoint.
#[derive(Clone)]
pub struct Endpoint {
    pub address: SocketAddr,
    inner: Arc<Inner>,
}

impl Endpoint {
    pub async fn start(id: &str) -> Endpoint {
        Endpoint::start_version(id, "v1").await
    }

    /// Starts an endpoint that runs this version of its software.
    pub async fn start_version(id: &str, version: &str) -> Endpoint {
        Endpoint::start_on(&Network::default(), id, version).await
    }

    /// Starts an endpoint that hosts reach through this network.
    pub async fn start_on(network: &Network, id: &str, version: &str) -> Endpoint {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let inner = Arc::new(Inner {
            id: id.to_owned(),
            network: network.clone(),
            version: version.to_owned(),
            restarts: Mutex::default(),
            crash: Mutex::default(),
            crashed: Notify::new(),
            behaviour: Mutex::new(Behaviour::Serve),
            latency_percent: Mutex::new(100),
            rate_limit: Mutex::default(),
            runs: Mutex::default(),
            rejections: Mutex::default(),
            requests: AtomicU64::default(),
            probes: Mutex::default(),
            leaving: Mutex::default(),
            cancel_count: Mutex::default(),
        });
        let shared = Arc::clone(&inner);
        tokio::spawn(async move {
            let mut listener = listener;
            loop {
                accept_until_crash(listener, &shared).await;
                listener = shared.restart(address).await;
            }
        });
        Endpoint { address, inner }
    }

    /// Writes the endpoint's record into the store.
    pub fn register(&self, store: &Store, state: &str) {
        self.inner.register(self.address, store, state);
    }

    /// Writes the record of an endpoint in this data centre, which is ready, into the store.
    pub fn register_in(&self, centre: &str, store: &Store) {
        self.inner.register_in(centre, self.address, store, "ready");
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

    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self
            .inner
            .behaviour
            .lock()
            .expect("no test panics with the lock held") = behaviour;
    }

    /// Sets the reported latency factor, in percent of the usual latency.
    pub fn set_latency(&self, latency_percent: u32) {
        *self
            .inner
            .latency_percent
            .lock()
            .expect("no test panics with the lock held") = latency_percent;
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

    /// Returns when each request was rejected.
    pub fn rejections(&self) -> Vec<Instant> {
        self.rejected().into_iter().map(|(_, at)| at).collect()
    }

    /// Returns the attempt IDs of all requests that arrived, rejected ones included, and when.
    pub fn contacts(&self) -> Vec<(String, Instant)> {
        [self.arrivals(), self.rejected()].concat()
    }

    fn rejected(&self) -> Vec<(String, Instant)> {
        self.inner
            .rejections
            .lock()
            .expect("no test panics with the lock held")
            .clone()
    }

    /// Returns when each health check arrived.
    pub fn probes(&self) -> Vec<Instant> {
        self.inner
            .probes
            .lock()
            .expect("no test panics with the lock held")
            .clone()
    }

    /// Sets which answers say that the endpoint leaves.
    pub fn set_leaving(&self, leaving: Leaving) {
        *self
            .inner
            .leaving
            .lock()
            .expect("no test panics with the lock held") = leaving;
    }

    /// Sets the advertised rate limit in requests a second, or none.
    pub fn set_rate_limit(&self, rate: Option<f64>) {
        *self
            .inner
            .rate_limit
            .lock()
            .expect("no test panics with the lock held") = rate;
    }

    /// Returns how many requests were cancelled while the endpoint ran them.
    pub fn cancelled(&self) -> u32 {
        *self
            .inner
            .cancel_count
            .lock()
            .expect("no test panics with the lock held")
    }
}

impl Inner {
    /// Returns the ID of the present instance.
    fn instance(&self) -> String {
        match *self
            .restarts
            .lock()
            .expect("no test panics with the lock held")
        {
            0 => self.id.clone(),
            restarts => format!("{}-{restarts}", self.id),
        }
    }

    fn register(&self, address: SocketAddr, store: &Store, state: &str) {
        self.register_in("here", address, store, state);
    }

    fn register_in(&self, centre: &str, address: SocketAddr, store: &Store, state: &str) {
        let entry = format!(
            r#"{{"service":"svc","address":"{address}","zone":"{centre}","version":"{}","slots":6,"state":"{state}","warmupRemainingS":0,"sequence":1,"born":1}}"#,
            self.version
        );
        store.put("keyed.servers", &self.instance(), Some(&entry));
    }

    /// Counts a request that may be rejected, and returns the number of those before it.
    fn count_request(&self) -> u64 {
        self.requests.fetch_add(1, Ordering::Relaxed)
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
        sleep(RESTART_DELAY).await;
        let listener = TcpListener::bind(address)
            .await
            .expect("the port is free again");
        *self
            .restarts
            .lock()
            .expect("no test panics with the lock held") += 1;
        self.register(address, &store, "ready");
        listener
    }
}

/// Accepts connections until the endpoint crashes, then closes all of them.
async fn accept_until_crash(listener: TcpListener, inner: &Arc<Inner>) {
    let mut connections = JoinSet::new();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => accepted.expect("the listener accepts").0,
            () = inner.crashed.notified() => return,
        };
        let inner = Arc::clone(inner);
        connections.spawn(async move {
            let service = service_fn(|request| serve(request, Arc::clone(&inner)));
            inner.network.serve(stream, service).await;
        });
    }
}

/// Counts a request as cancelled when dropped before `completed` is set.
struct CancelGuard<'a> {
    inner: &'a Inner,
    completed: bool,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if !self.completed {
            *self
                .inner
                .cancel_count
                .lock()
                .expect("no test panics with the lock held") += 1;
        }
    }
}

async fn serve(request: Request<Incoming>, inner: Arc<Inner>) -> io::Result<Response<AnswerBody>> {
    let is_probe = request.uri().path() == "/health";
    let mut response = answer(request, &inner).await?;
    let leaving = *inner
        .leaving
        .lock()
        .expect("no test panics with the lock held");
    let is_told = match leaving {
        Leaving::Never => false,
        Leaving::Requests => !is_probe,
        Leaving::All => true,
    };
    if is_told {
        set_header(&mut response, "server-leaving", "1");
    }
    Ok(response)
}

async fn answer(request: Request<Incoming>, inner: &Inner) -> io::Result<Response<AnswerBody>> {
    let header = |name: &str| {
        let value = request.headers().get(name);
        value
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default()
            .to_owned()
    };
    let latency_percent = *inner
        .latency_percent
        .lock()
        .expect("no test panics with the lock held");
    if request.uri().path() == "/health" {
        inner
            .probes
            .lock()
            .expect("no test panics with the lock held")
            .push(Instant::now());
        let mut response = respond(StatusCode::OK, "", "");
        set_header(&mut response, "instance-id", &inner.instance());
        set_header(
            &mut response,
            "server-load",
            &format!("0,0,6,{latency_percent}"),
        );
        return Ok(response);
    }
    let id = header("attempt-id");
    if header("expected-instance") != inner.instance() {
        return Ok(respond(StatusCode::MISDIRECTED_REQUEST, "", &id));
    }
    let behaviour = *inner
        .behaviour
        .lock()
        .expect("no test panics with the lock held");
    let is_rejected = match behaviour {
        Behaviour::Reject | Behaviour::Rest(_) => true,
        Behaviour::RejectMost => inner.count_request() % 5 < 3,
        _ => false,
    };
    if is_rejected {
        inner
            .rejections
            .lock()
            .expect("no test panics with the lock held")
            .push((id.clone(), Instant::now()));
        let mut response = respond(StatusCode::SERVICE_UNAVAILABLE, "", &id);
        set_header(&mut response, "not-executed", "1");
        if let Behaviour::Rest(seconds) = behaviour {
            set_header(&mut response, "retry-after", &seconds.to_string());
        }
        return Ok(response);
    }
    inner
        .runs
        .lock()
        .expect("no test panics with the lock held")
        .push((id.clone(), Instant::now()));
    let mut guard = CancelGuard {
        inner,
        completed: false,
    };
    if inner.crashes_on(request.uri().path()) {
        sleep(CRASH_DELAY).await;
        inner.crashed.notify_one();
        std::future::pending::<()>().await;
    }
    match behaviour {
        Behaviour::Delay(millis) => sleep(Duration::from_millis(millis)).await,
        Behaviour::Hang => sleep(Duration::from_secs(3_600)).await,
        _ => {}
    }
    guard.completed = true;
    if behaviour == Behaviour::Reset {
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    let mut response = match behaviour {
        Behaviour::Fail => respond(StatusCode::INTERNAL_SERVER_ERROR, "failed", &id),
        Behaviour::Unavailable => respond(StatusCode::SERVICE_UNAVAILABLE, "full", &id),
        Behaviour::WrongAttempt => respond(StatusCode::OK, "whole", "another"),
        _ => respond(StatusCode::OK, "whole", &id),
    };
    if behaviour != Behaviour::Unsigned {
        set_header(
            &mut response,
            "server-signature",
            &format!("by-{}", inner.instance()),
        );
    }
    if behaviour == Behaviour::Encoded {
        let encoding = HeaderValue::from_static("gzip");
        response.headers_mut().insert(CONTENT_ENCODING, encoding);
    }
    let rate_limit = *inner
        .rate_limit
        .lock()
        .expect("no test panics with the lock held");
    if let Some(rate) = rate_limit {
        set_header(&mut response, "server-limit", &rate.to_string());
    }
    response.body_mut().cut = behaviour == Behaviour::Cut;
    Ok(response)
}

fn respond(status: StatusCode, text: &'static str, id: &str) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody {
        text: Bytes::from_static(text.as_bytes()),
        cut: false,
    });
    *response.status_mut() = status;
    if !id.is_empty() {
        set_header(&mut response, "attempt-id", id);
    }
    response
}

fn set_header(response: &mut Response<AnswerBody>, name: &'static str, value: &str) {
    let value = HeaderValue::try_from(value).expect("a valid header value");
    response.headers_mut().insert(name, value);
}

/// A body that fails with a connection reset if `cut` is set.
pub struct AnswerBody {
    text: Bytes,
    cut: bool,
}

impl Body for AnswerBody {
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
