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
use super::{ANSWER_FIELD, CALL_FIELD, Shared, WORK_FIELD};
use crate::history::{Ending, Event, History};

const LOAD_PATH: &str = "/-/load";
const DEADLINE_FIELD: &str = "cardamomvale-deadline-ms";
const NOT_RUN_FIELD: &str = "cardamomvale-not-run";
const KEY_FIELD: &str = "idempotency-key";
const DEFAULT_SIZE: u64 = 64;
/// Mean lateness of the runtime's timers, which fire up to 1 ms late. It is subtracted from the
/// duration of work, so that work takes as long as requested on average.
const TIMER_LATENESS: Duration = Duration::from_micros(500);

pub(super) async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if shared.bearing().connect() => {
                tokio::spawn(connection(stream, Arc::clone(&shared)));
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

async fn connection(stream: TcpStream, shared: Arc<Shared>) {
    // With Nagle's algorithm small answers would wait for the caller's acknowledgement.
    let _ = stream.set_nodelay(true);
    let line = shared.lines.open(stream);
    let cut = line.cut();
    let service = service_fn(|request| serve(request, Arc::clone(&shared)));
    let serving = http1::Builder::new().serve_connection(TokioIo::new(line), service);
    tokio::select! {
        // An error needs no log line: the affected calls are in the history.
        _ = serving => {}
        () = cut => {}
    }
    shared.bearing().disconnect();
}

async fn serve(
    request: Request<Incoming>,
    shared: Arc<Shared>,
) -> Result<Response<Answer>, Infallible> {
    match request.uri().path() {
        LOAD_PATH => Ok(report(&shared).await),
        _ => {
            let wish = Wish::of(&request);
            let mut response = work(request, &wish, &shared).await;
            let fields = response.headers_mut();
            fields.insert(ANSWER_FIELD, wish.answer.into());
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
    let load = shared.bearing().load(kind, transport::clock::now());
    let text = serde_json::to_string(&load).expect("a load report serializes to JSON");
    answer(StatusCode::OK, Answer::text(text))
}

async fn work(request: Request<Incoming>, wish: &Wish, shared: &Shared) -> Response<Answer> {
    if request.into_body().collect().await.is_err() {
        return not_run("the body of the request broke off");
    }
    if wish.deadline == Some(Duration::ZERO) {
        return not_run("the deadline has passed");
    }
    let arrival = shared.bearing().arrive(transport::clock::now());
    shared.history.add(Event::Received {
        endpoint: shared.address,
        call: wish.call,
        key: wish.key.clone(),
        running: arrival.running,
        bears: arrival.bears,
        cold: arrival.cold,
        started: arrival.started,
    });
    if !arrival.started {
        return not_run("too many calls");
    }
    let run = Run::new(shared, wish.call);
    let slow = shared.knobs().slow.unwrap_or(1);
    let length = wish.work * slow;
    let begun = Instant::now();
    match wish.deadline {
        Some(deadline) if deadline < length => {
            tokio::time::sleep(deadline).await;
            run.end(Ending::Expired);
            return answer(
                StatusCode::GATEWAY_TIMEOUT,
                Answer::text("deadline passed\n"),
            );
        }
        _ if length.is_zero() => {}
        _ => tokio::time::sleep(length.saturating_sub(TIMER_LATENESS)).await,
    }
    run.end(Ending::Done);
    let cut = shared.knobs().cut_next();
    let body = Answer::new(wish.answer, wish.size, wish.chunked, cut);
    let mut response = answer(StatusCode::OK, body);
    let took = u64::try_from(begun.elapsed().as_micros()).unwrap_or(u64::MAX);
    response.headers_mut().insert(WORK_FIELD, took.into());
    response
}

fn not_run(why: &'static str) -> Response<Answer> {
    let mut response = answer(StatusCode::SERVICE_UNAVAILABLE, Answer::text(why));
    response.headers_mut().insert(NOT_RUN_FIELD, 1.into());
    response
}

fn answer(status: StatusCode, body: Answer) -> Response<Answer> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// What a call asks the stand-in to do, from its query and headers.
struct Wish {
    call: u64,
    answer: u64,
    key: Option<String>,
    work: Duration,
    deadline: Option<Duration>,
    size: u64,
    chunked: bool,
}

impl Wish {
    fn of(request: &Request<Incoming>) -> Wish {
        let query = request.uri().query().unwrap_or_default();
        let query: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let field = |name| request.headers().get(name)?.to_str().ok();
        let work_ms: f64 = query
            .get("work-ms")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0.0);
        let work = Duration::try_from_secs_f64(work_ms / 1_000.0).unwrap_or_default();
        let number = |name| field(name)?.parse().ok();
        let call = number(CALL_FIELD).unwrap_or_default();
        Wish {
            call,
            answer: number(ANSWER_FIELD).unwrap_or(call),
            key: field(KEY_FIELD).map(str::to_owned),
            work,
            deadline: field(DEADLINE_FIELD)
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
struct Run<'a> {
    shared: &'a Shared,
    address: SocketAddr,
    history: History,
    call: u64,
    ended: bool,
}

impl<'a> Run<'a> {
    fn new(shared: &'a Shared, call: u64) -> Run<'a> {
        Run {
            shared,
            address: shared.address,
            history: shared.history.clone(),
            call,
            ended: false,
        }
    }

    fn end(mut self, ending: Ending) {
        self.note(ending);
    }

    fn note(&mut self, ending: Ending) {
        self.ended = true;
        self.shared.bearing().end(ending == Ending::Done);
        self.history.add(Event::Ended {
            endpoint: self.address,
            call: self.call,
            ending,
        });
    }
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.note(Ending::Cancelled);
        }
    }
}
