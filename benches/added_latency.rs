//! Measures the latency that an entry host adds, and its memory use for large answers.
//!
//! Each caller alternates between direct calls to a backend server and calls
//! through an entry host's edge in the same run, so that other load on the machine
//! affects both equally. The backend server reports its working time in a header;
//! the rest of each call's time is compared.
//!
//! `cargo bench --bench added_latency`

use std::collections::{BTreeMap, BTreeSet};
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
use state::config::Member;
use state::policy::Policy;
use state::preset::{DataCentre, Endpoint, Service};
use state::{Config, HostKey, Preset};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;
use transport::clock;
use transport::dispatch::{Dispatcher, DispatcherOptions};
use transport::edge::{Edge, Limits};

/// The services of `examples/midlands.toml` and `examples/hr-central.toml` together.
const SERVICES: [&str; 6] = [
    "hallboard",
    "ledgerhouse",
    "fiddlebook",
    "dossier",
    "endorse",
    "archive",
];
const HOST: &str = "alone";
/// Backend servers of each service.
///
/// They have six slots each, so that 300 calls in flight leave one slot in six free.
const ENDPOINTS_PER_SERVICE: usize = 10;
const LOAD_REPORT: &str = r#"{"boot":"bench","state":"warm","running":0,"slots":6}"#;
const CONFIRM_INTERVAL: Duration = Duration::from_millis(100);
const READY_TRIES: usize = 200;
const WORK_TIME_HEADER: &str = "x-worked-us";
const CHUNK_BYTES: usize = 64 * 1024;
const LARGE_BYTES: usize = 100 * 1024 * 1024;
const LARGE_ROUNDS: usize = 5;

/// A number of concurrent callers and the calls of each.
struct Step {
    in_flight: usize,
    /// The mean working time of a call at the backend server.
    work: Duration,
    calls: usize,
}

/// The steps with work send about 3,000 calls a second each, so that only concurrency differs.
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

/// Times of calls without the backend server's work, in microseconds.
struct Latencies {
    direct: Histogram<u64>,
    proxied: Histogram<u64>,
}

type Sender = SendRequest<Full<Bytes>>;

fn main() -> Result<()> {
    let servers = runtime(2)?;
    let hosts = runtime(4)?;
    let callers = runtime(2)?;
    let endpoints = servers.block_on(start_servers())?;
    let server = endpoints[0];
    let host = hosts.block_on(start_edge(&endpoints))?;
    callers.block_on(wait_until_served(host))?;
    println!(
        "in flight | direct p50 p99 p99.9 | through the edge p50 p99 p99.9 | added p50 p99 (us)"
    );
    for step in STEPS {
        let latencies = callers.block_on(measure(&step, server, host))?;
        print_step(&step, &latencies);
    }
    let (before, peak) = callers.block_on(large_answers(host))?;
    println!(
        "{LARGE_ROUNDS} answers of {LARGE_BYTES} bytes: resident memory {before} KiB before, {peak} KiB at its peak"
    );
    Ok(())
}

fn runtime(threads: usize) -> Result<Runtime> {
    let mut builder = Builder::new_multi_thread();
    Ok(builder.worker_threads(threads).enable_all().build()?)
}

fn print_step(step: &Step, latencies: &Latencies) {
    let quantiles = |h: &Histogram<u64>| [0.5, 0.99, 0.999].map(|q| h.value_at_quantile(q));
    let direct = quantiles(&latencies.direct);
    let proxied = quantiles(&latencies.proxied);
    let added = [0, 1].map(|i| proxied[i].saturating_sub(direct[i]));
    println!("{} | {direct:?} | {proxied:?} | {added:?}", step.in_flight);
}

async fn measure(step: &Step, server: SocketAddr, host: SocketAddr) -> Result<Latencies> {
    let mut tasks = Vec::new();
    for number in 0..step.in_flight {
        tasks.push(tokio::spawn(run_caller(
            number, step.calls, step.work, server, host,
        )));
    }
    let mut all = empty_latencies()?;
    for task in tasks {
        let part = task.await??;
        all.direct.add(part.direct)?;
        all.proxied.add(part.proxied)?;
    }
    Ok(all)
}

/// Alternates between direct calls and calls through the edge; half of the callers begin with each.
async fn run_caller(
    number: usize,
    calls: usize,
    work: Duration,
    server: SocketAddr,
    host: SocketAddr,
) -> Result<Latencies> {
    let mut direct = connect(server).await?;
    let mut proxied = connect(host).await?;
    // With a constant working time, all callers would wake on the same timer tick
    // and send at once. Random times spread the calls.
    let mut random = SmallRng::seed_from_u64(number as u64);
    let work = u64::try_from(work.as_micros())?;
    let service = SERVICES[number % SERVICES.len()];
    let warm_up_calls = calls / 10;
    let mut latencies = empty_latencies()?;
    for call in 0..calls + warm_up_calls {
        let (sender, histogram) = match (call + number) % 2 {
            0 => (&mut direct, &mut latencies.direct),
            _ => (&mut proxied, &mut latencies.proxied),
        };
        let us = random.random_range(work / 2..=work * 3 / 2);
        let path = format!("/{service}/work?us={us}");
        let took = timed_call(sender, &path).await?;
        if call >= warm_up_calls {
            histogram.record(took)?;
        }
    }
    Ok(latencies)
}

/// Returns a call's time in microseconds, without the backend server's work.
async fn timed_call(sender: &mut Sender, path: &str) -> Result<u64> {
    let request = Request::get(path)
        .header("host", "bench")
        .body(Full::new(Bytes::new()))?;
    let start = Instant::now();
    sender.ready().await?;
    let answer = sender.send_request(request).await?;
    let worked = answer.headers().get(WORK_TIME_HEADER).ok_or_else(|| {
        eyre!("answer without the {WORK_TIME_HEADER} header, so not from the backend server: {answer:?}")
    })?;
    let worked: u64 = worked.to_str()?.parse()?;
    answer.into_body().collect().await?;
    let took = u64::try_from(start.elapsed().as_micros())?;
    Ok(took.saturating_sub(worked))
}

/// Returns this process's resident memory before and at its peak during large answers, in KiB.
async fn large_answers(host: SocketAddr) -> Result<(u64, u64)> {
    let mut sender = connect(host).await?;
    let before = resident_kib()?;
    let mut peak = before;
    for _ in 0..LARGE_ROUNDS {
        let request = Request::get(format!("/{}/large?size={LARGE_BYTES}", SERVICES[0]))
            .header("host", "bench")
            .body(Full::new(Bytes::new()))?;
        sender.ready().await?;
        let mut body = sender.send_request(request).await?.into_body();
        let mut received = 0;
        while let Some(frame) = body.frame().await {
            let before = received / LARGE_BYTES.div_ceil(20);
            received += frame?.data_ref().map_or(0, Bytes::len);
            if received / LARGE_BYTES.div_ceil(20) != before {
                peak = peak.max(resident_kib()?);
            }
        }
        assert_eq!(received, LARGE_BYTES, "the answer was cut off");
    }
    Ok((before, peak))
}

/// Returns the resident memory of this process, in KiB.
fn resident_kib() -> Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status
        .lines()
        .find(|l| l.starts_with("VmRSS:"))
        .ok_or_else(|| eyre!("/proc/self/status has no VmRSS line"))?;
    let kib = line
        .split_whitespace()
        .nth(1)
        .ok_or_else(|| eyre!("the VmRSS line has no value"))?;
    kib.parse().wrap_err("the value of VmRSS is not a number")
}

fn empty_latencies() -> Result<Latencies> {
    Ok(Latencies {
        direct: Histogram::new(3)?,
        proxied: Histogram::new(3)?,
    })
}

async fn connect(address: SocketAddr) -> Result<Sender> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, driver) = handshake(TokioIo::new(stream)).await?;
    tokio::spawn(driver);
    Ok(sender)
}

/// Starts the backend servers of all services.
async fn start_servers() -> Result<Vec<SocketAddr>> {
    let mut addresses = Vec::new();
    for _ in 0..ENDPOINTS_PER_SERVICE * SERVICES.len() {
        addresses.push(start_server().await?);
    }
    Ok(addresses)
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
        _ if request.uri().path() == "/-/load" => {
            Full::new(Bytes::from(LOAD_REPORT)).boxed_unsync()
        }
        "size" => large_body(number as usize),
        _ if number > 0 => {
            tokio::time::sleep(Duration::from_micros(number)).await;
            Full::new(Bytes::from_static(b"free")).boxed_unsync()
        }
        _ => Full::new(Bytes::from_static(b"free")).boxed_unsync(),
    };
    let mut response = Response::new(body);
    let worked = start.elapsed().as_micros() as u64;
    response
        .headers_mut()
        .insert(WORK_TIME_HEADER, worked.into());
    Ok(response)
}

fn large_body(size: usize) -> Body {
    let chunk = Bytes::from(vec![b'a'; CHUNK_BYTES]);
    let frames = (0..size / CHUNK_BYTES).map(move |_| Ok(Frame::data(chunk.clone())));
    StreamBody::new(futures_util::stream::iter(frames)).boxed_unsync()
}

async fn start_edge(endpoints: &[SocketAddr]) -> Result<SocketAddr> {
    let config = Arc::new(config(endpoints));
    let setup = DispatcherOptions {
        host: HostKey::named(HOST),
        incarnation: 1,
        data_centre: "trent".into(),
        policy: Policy::Shared,
    };
    let dispatcher = Dispatcher::new(&setup, Arc::new(|_, _| {}));
    dispatcher.configure(&config);
    dispatcher.set_alive(BTreeSet::from([setup.host]));
    tokio::spawn(confirm(Arc::clone(&dispatcher)));
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

/// Keeps confirming that the configuration is current, so that this host may act as an owner.
async fn confirm(dispatcher: Arc<Dispatcher>) {
    loop {
        dispatcher.confirm(clock::now());
        tokio::time::sleep(CONFIRM_INTERVAL).await;
    }
}

/// Waits until the edge serves calls of every service, which it does once it holds slots.
async fn wait_until_served(host: SocketAddr) -> Result<()> {
    for service in SERVICES {
        let path = format!("/{service}/work");
        let mut tries = 0;
        while timed_call(&mut connect(host).await?, &path).await.is_err() {
            tries += 1;
            eyre::ensure!(
                tries < READY_TRIES,
                "the edge does not serve {service} after {READY_TRIES} tries"
            );
            tokio::time::sleep(CONFIRM_INTERVAL).await;
        }
    }
    Ok(())
}

fn config(endpoints: &[SocketAddr]) -> Config {
    let services = SERVICES
        .iter()
        .zip(endpoints.chunks(ENDPOINTS_PER_SERVICE))
        .map(|(name, endpoints)| service(name, endpoints));
    let preset = Preset {
        name: "bench".into(),
        data_centres: vec![DataCentre {
            name: "trent".into(),
            region: "midlands".into(),
        }],
        services: services.collect(),
    };
    Config {
        revision: 1,
        presets: BTreeMap::from([("bench".into(), preset)]),
        chosen: Some("bench".into()),
        members: BTreeMap::from([(HostKey::named(HOST), member(endpoints[0]))]),
        ..Config::default()
    }
}

/// Returns the record of the only entry host; no other host connects to its peer address.
fn member(address: SocketAddr) -> Member {
    Member {
        name: HOST.into(),
        incarnation: 1,
        peer: address,
        data_centre: "trent".into(),
        joined: 1,
    }
}

fn service(name: &str, endpoints: &[SocketAddr]) -> Service {
    Service {
        name: name.into(),
        endpoints: endpoints
            .iter()
            .map(|address| Endpoint {
                address: *address,
                data_centre: "trent".into(),
            })
            .collect(),
        slots: 6,
        cold_slots: 6,
        connections: 200,
        deadline_ms: 60_000,
        queue: 400,
        body_limit: 1024 * 1024,
        retry_percent: 0,
        probe_cost_ms: 6,
        key_seconds: 60,
    }
}
