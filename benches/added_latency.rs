//! What an entry host adds to a call, and what memory large answers take.
//!
//! Calls go straight to a backend server and through one edge in turn, in one
//! run, so that a busy machine burdens both alike. The backend server says how
//! long it worked; the rest of a call's time is what is compared.
//!
//! `cargo bench --bench added_latency`

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::{Result, WrapErr, eyre};
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use state::preset::{DataCentre, Endpoint, Service};
use state::{Config, Preset};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;
use transport::dispatch::Dispatcher;
use transport::edge::{Edge, Limits};

const SERVICE: &str = "hallboard";
const WORKED: &str = "x-worked-us";
const CHUNK: usize = 64 * 1024;
const LARGE: usize = 100 * 1024 * 1024;
const LARGE_ROUNDS: usize = 5;

/// One step of the measurement.
struct Step {
    in_flight: usize,
    work: Duration,
    calls: usize,
}

/// About 3,000 calls a second at each depth, so that depth alone differs.
const STEPS: [Step; 3] = [
    Step {
        in_flight: 1,
        work: Duration::ZERO,
        calls: 20_000,
    },
    Step {
        in_flight: 30,
        work: Duration::from_millis(10),
        calls: 1_000,
    },
    Step {
        in_flight: 300,
        work: Duration::from_millis(100),
        calls: 100,
    },
];

/// Times without the backend server's work, in microseconds.
struct Times {
    straight: Histogram<u64>,
    through: Histogram<u64>,
}

type Sender = SendRequest<Full<Bytes>>;

fn main() -> Result<()> {
    let servers = runtime(2)?;
    let hosts = runtime(4)?;
    let callers = runtime(2)?;
    let server = servers.block_on(start_server())?;
    let host = hosts.block_on(start_edge(server))?;
    println!("in flight | straight p50 p99 p99.9 | through p50 p99 p99.9 | added p50 p99 (us)");
    for step in STEPS {
        let times = callers.block_on(measure(&step, server, host))?;
        print_step(&step, &times);
    }
    let (before, most) = callers.block_on(large_answers(host))?;
    println!(
        "{LARGE_ROUNDS} answers of {LARGE} bytes: resident memory {before} KiB before, {most} KiB at most"
    );
    Ok(())
}

fn runtime(threads: usize) -> Result<Runtime> {
    let mut builder = Builder::new_multi_thread();
    Ok(builder.worker_threads(threads).enable_all().build()?)
}

fn print_step(step: &Step, times: &Times) {
    let line = |h: &Histogram<u64>| [0.5, 0.99, 0.999].map(|q| h.value_at_quantile(q));
    let straight = line(&times.straight);
    let through = line(&times.through);
    let added = [0, 1].map(|i| through[i].saturating_sub(straight[i]));
    println!(
        "{} | {straight:?} | {through:?} | {added:?}",
        step.in_flight
    );
}

async fn measure(step: &Step, server: SocketAddr, host: SocketAddr) -> Result<Times> {
    let mut tasks = Vec::new();
    for number in 0..step.in_flight {
        tasks.push(tokio::spawn(caller(
            number, step.calls, step.work, server, host,
        )));
    }
    let mut all = times()?;
    for task in tasks {
        let part = task.await??;
        all.straight.add(part.straight)?;
        all.through.add(part.through)?;
    }
    Ok(all)
}

/// Calls straight and through in turn, and half of the callers begin with either.
async fn caller(
    number: usize,
    calls: usize,
    work: Duration,
    server: SocketAddr,
    host: SocketAddr,
) -> Result<Times> {
    let mut straight = connect(server).await?;
    let mut through = connect(host).await?;
    // Work of one length would have all callers wait for the same timer tick
    // and come back at once; what is wanted is calls spread over time.
    let mut random = SmallRng::seed_from_u64(number as u64);
    let work = u64::try_from(work.as_micros())?;
    let warm = calls / 10;
    let mut times = times()?;
    for call in 0..calls + warm {
        let (sender, histogram) = match (call + number) % 2 {
            0 => (&mut straight, &mut times.straight),
            _ => (&mut through, &mut times.through),
        };
        let us = random.random_range(work / 2..=work * 3 / 2);
        let path = format!("/{SERVICE}/work?us={us}");
        let took = timed_call(sender, &path).await?;
        if call >= warm {
            histogram.record(took)?;
        }
    }
    Ok(times)
}

/// Returns a call's time in microseconds, without the backend server's work.
async fn timed_call(sender: &mut Sender, path: &str) -> Result<u64> {
    let request = Request::get(path)
        .header("host", "bench")
        .body(Full::new(Bytes::new()))?;
    let start = Instant::now();
    sender.ready().await?;
    let answer = sender.send_request(request).await?;
    let worked = answer
        .headers()
        .get(WORKED)
        .ok_or_else(|| eyre!("no answer of the backend server's: {answer:?}"))?;
    let worked: u64 = worked.to_str()?.parse()?;
    answer.into_body().collect().await?;
    let took = u64::try_from(start.elapsed().as_micros())?;
    Ok(took.saturating_sub(worked))
}

/// Returns the resident memory before and at most, in KiB, over large answers.
async fn large_answers(host: SocketAddr) -> Result<(u64, u64)> {
    let mut sender = connect(host).await?;
    let before = resident()?;
    let mut most = before;
    for _ in 0..LARGE_ROUNDS {
        let request = Request::get(format!("/{SERVICE}/large?size={LARGE}"))
            .header("host", "bench")
            .body(Full::new(Bytes::new()))?;
        sender.ready().await?;
        let mut body = sender.send_request(request).await?.into_body();
        let mut seen = 0;
        while let Some(frame) = body.frame().await {
            let before = seen / LARGE.div_ceil(20);
            seen += frame?.data_ref().map_or(0, Bytes::len);
            if seen / LARGE.div_ceil(20) != before {
                most = most.max(resident()?);
            }
        }
        assert_eq!(seen, LARGE, "a cut answer");
    }
    Ok((before, most))
}

fn resident() -> Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status
        .lines()
        .find(|l| l.starts_with("VmRSS:"))
        .ok_or_else(|| eyre!("no VmRSS"))?;
    let kib = line
        .split_whitespace()
        .nth(1)
        .ok_or_else(|| eyre!("no number"))?;
    kib.parse().wrap_err("VmRSS is a number")
}

fn times() -> Result<Times> {
    Ok(Times {
        straight: Histogram::new(3)?,
        through: Histogram::new(3)?,
    })
}

async fn connect(address: SocketAddr) -> Result<Sender> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, driver) = handshake(TokioIo::new(stream)).await?;
    tokio::spawn(driver);
    Ok(sender)
}

async fn start_server() -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let service = service_fn(serve);
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::spawn(async move { connection.await.ok() });
        }
    });
    Ok(address)
}

type Body = http_body_util::combinators::UnsyncBoxBody<Bytes, Infallible>;

async fn serve(request: Request<Incoming>) -> Result<Response<Body>, Infallible> {
    let start = Instant::now();
    let query = request.uri().query().unwrap_or_default();
    let (name, number) = query.split_once('=').unwrap_or_default();
    let number: u64 = number.parse().unwrap_or(0);
    let body = match name {
        "size" => large(number as usize),
        _ if number > 0 => {
            tokio::time::sleep(Duration::from_micros(number)).await;
            Full::new(Bytes::from_static(b"free")).boxed_unsync()
        }
        _ => Full::new(Bytes::from_static(b"free")).boxed_unsync(),
    };
    let mut response = Response::new(body);
    let worked = start.elapsed().as_micros() as u64;
    response.headers_mut().insert(WORKED, worked.into());
    Ok(response)
}

fn large(size: usize) -> Body {
    let chunk = Bytes::from(vec![b'a'; CHUNK]);
    let frames = (0..size / CHUNK).map(move |_| Ok(Frame::data(chunk.clone())));
    StreamBody::new(futures_util::stream::iter(frames)).boxed_unsync()
}

async fn start_edge(server: SocketAddr) -> Result<SocketAddr> {
    let config = Arc::new(config(server));
    let dispatcher = Arc::new(Dispatcher::default());
    dispatcher.configure(&config);
    let (sender, receiver) = watch::channel(config);
    let edge = Edge::new(Limits::default(), dispatcher, receiver);
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        edge.serve(listener).await;
        drop(sender);
    });
    Ok(address)
}

fn config(server: SocketAddr) -> Config {
    let service = Service {
        name: SERVICE.into(),
        endpoints: vec![Endpoint {
            address: server,
            data_centre: "trent".into(),
        }],
        slots: 400,
        cold_slots: 400,
        connections: 1_000,
        deadline_ms: 60_000,
        queue: 400,
        body_limit: 1024 * 1024,
        retry_percent: 0,
        probe_cost_ms: 6,
        key_seconds: 60,
    };
    let preset = Preset {
        name: "bench".into(),
        data_centres: vec![DataCentre {
            name: "trent".into(),
            region: "midlands".into(),
        }],
        services: vec![service],
    };
    Config {
        revision: 1,
        presets: BTreeMap::from([("bench".into(), preset)]),
        chosen: Some("bench".into()),
        ..Config::default()
    }
}
