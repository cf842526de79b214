//! The HTTP service of a backend server: calls and load reports.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use super::answer::Answer;
use super::{ANSWER_HEADER, CALL_HEADER, Shared, WORK_HEADER};
use crate::history::{Ending, Event, History};

const LOAD_PATH: &str = "/-/load";
const DEADLINE_HEADER: &str = "cardamomvale-deadline-ms";
const NOT_RUN_HEADER: &str = "cardamomvale-not-run";
const KEY_HEADER: &str = "idempotency-key";
const DEFAULT_SIZE: u64 = 64;
/// Mean lateness of the runtime's timers, which fire up to 1 ms late. It is subtracted from the
/// duration of work, so that work takes as long as requested on average.
const TIMER_LATENESS: Duration = Duration::from_micros(500);

pub(super) async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if shared.admission().connect() => {
                tokio::spawn(serve_connection(stream, Arc::clone(&shared)));
            }
            Ok(_) => log::warn!("E0911 connection-limit endpoint={}", shared.address),
            Err(error) => {
                log::warn!(
                    "E0912 accept-failed endpoint={} error={error}",
                    shared.address
                );
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, shared: Arc<Shared>) {
    // With Nagle's algorithm small answers would wait for the caller's acknowledgement.
    let _ = stream.set_nodelay(true);
    let connection = shared.connections.open(stream);
    let closed = connection.closed();
    let service = service_fn(|request| serve(request, Arc::clone(&shared)));
    let serving = http1::Builder::new().serve_connection(TokioIo::new(connection), service);
    tokio::select! {
        // An error needs no log line: the affected calls are in the history.
        _ = serving => {}
        () = closed => {}
    }
    shared.admission().disconnect();
}

async fn serve(
    request: Request<Incoming>,
    shared: Arc<Shared>,
) -> Result<Response<Answer>, Infallible> {
    match request.uri().path() {
        LOAD_PATH => Ok(report(&shared).await),
        _ => {
            let options = WorkOptions::of(&request);
            let mut response = work(request, &options, &shared).await;
            let headers = response.headers_mut();
            headers.insert(ANSWER_HEADER, options.answer.into());
            Ok(response)
        }
    }
}

async fn report(shared: &Shared) -> Response<Answer> {
    let kind = shared.knobs().report.unwrap_or_default();
    let cost = Duration::from_millis(shared.options.probe_ms);
    shared.history.add(Event::Probed {
        endpoint: shared.address,
        cost_us: u64::try_from(cost.as_micros()).unwrap_or(u64::MAX),
    });
    tokio::time::sleep(cost).await;
    let load = shared.admission().load(kind, transport::clock::now());
    let text = serde_json::to_string(&load).expect("a load report serializes to JSON");
    answer(StatusCode::OK, Answer::text(text))
}

async fn work(
    request: Request<Incoming>,
    options: &WorkOptions,
    shared: &Shared,
) -> Response<Answer> {
    if request.into_body().collect().await.is_err() {
        return not_run("the body of the request broke off");
    }
    if options.deadline == Some(Duration::ZERO) {
        return not_run("the deadline has passed");
    }
    let arrival = shared.admission().arrive(transport::clock::now());
    shared.history.add(Event::Received {
        endpoint: shared.address,
        call: options.call,
        key: options.key.clone(),
        running: arrival.running,
        bears: arrival.limit,
        cold: arrival.cold,
        started: arrival.started,
    });
    if !arrival.started {
        return not_run("too many calls");
    }
    let run = RunGuard::new(shared, options.call);
    let slow = shared.knobs().slow.unwrap_or(1);
    let duration = options.work * slow;
    let start = Instant::now();
    match options.deadline {
        Some(deadline) if deadline < duration => {
            tokio::time::sleep(deadline).await;
            run.end(Ending::Expired);
            return answer(
                StatusCode::GATEWAY_TIMEOUT,
                Answer::text("deadline passed\n"),
            );
        }
        _ if duration.is_zero() => {}
        _ => tokio::time::sleep(duration.saturating_sub(TIMER_LATENESS)).await,
    }
    run.end(Ending::Done);
    let cut = shared.knobs().take_cut();
    let body = Answer::new(options.answer, options.size, options.chunked, cut);
    let mut response = answer(StatusCode::OK, body);
    let took = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
    response.headers_mut().insert(WORK_HEADER, took.into());
    response
}

fn not_run(why: &'static str) -> Response<Answer> {
    let mut response = answer(StatusCode::SERVICE_UNAVAILABLE, Answer::text(why));
    response.headers_mut().insert(NOT_RUN_HEADER, 1.into());
    response
}

fn answer(status: StatusCode, body: Answer) -> Response<Answer> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// What a call asks the stand-in to do, from its query and headers.
struct WorkOptions {
    call: u64,
    answer: u64,
    key: Option<String>,
    work: Duration,
    deadline: Option<Duration>,
    size: u64,
    chunked: bool,
}

impl WorkOptions {
    fn of(request: &Request<Incoming>) -> WorkOptions {
        let query = request.uri().query().unwrap_or_default();
        let query: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let header = |name| request.headers().get(name)?.to_str().ok();
        let work_ms: f64 = query
            .get("work-ms")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0.0);
        let work = Duration::try_from_secs_f64(work_ms / 1_000.0).unwrap_or_default();
        let number = |name| header(name)?.parse().ok();
        let call = number(CALL_HEADER).unwrap_or_default();
        WorkOptions {
            call,
            answer: number(ANSWER_HEADER).unwrap_or(call),
            key: header(KEY_HEADER).map(str::to_owned),
            work,
            deadline: header(DEADLINE_HEADER)
                .and_then(|v| v.parse().ok())
                .map(Duration::from_millis),
            size: query
                .get("size")
                .and_then(|v| v.parse().ok())
                .unwrap_or(DEFAULT_SIZE),
            chunked: query.get("chunked") == Some(&"1"),
        }
    }
}

/// Guard for the work of a call, which is counted as cancelled if dropped before its end.
///
/// hyper drops the future of a call when its connection is closed: without
/// this guard the slot would stay occupied after the caller hung up.
struct RunGuard<'a> {
    shared: &'a Shared,
    address: SocketAddr,
    history: History,
    call: u64,
    ended: bool,
}

impl<'a> RunGuard<'a> {
    fn new(shared: &'a Shared, call: u64) -> RunGuard<'a> {
        RunGuard {
            shared,
            address: shared.address,
            history: shared.history.clone(),
            call,
            ended: false,
        }
    }

    fn end(mut self, ending: Ending) {
        self.record_end(ending);
    }

    fn record_end(&mut self, ending: Ending) {
        self.ended = true;
        self.shared.admission().end(ending == Ending::Done);
        self.history.add(Event::Ended {
            endpoint: self.address,
            call: self.call,
            ending,
        });
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.record_end(Ending::Cancelled);
        }
    }
}
