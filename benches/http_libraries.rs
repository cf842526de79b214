//! Compares `tiny_http` with the edge, which was chosen instead, under slow callers.
//!
//! Some callers never finish their request head, others never send the body that
//! they announced; a prompt caller measures how the server answers meanwhile. Also
//! shows whether `ureq` repeats a request on its own.
//!
//! `cargo bench --bench http_libraries`

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use eyre::{Result, eyre};
use state::preset::{DataCentre, Endpoint, Service};
use state::{Config, Preset};
use tokio::runtime::Runtime;
use tokio::sync::watch;
use transport::dispatch::Dispatcher;
use transport::edge::{Edge, Limits};

const SLOW_HEADS: usize = 1_000;
const SLOW_BODIES: usize = 200;
const WORKERS: usize = 64;

/// The time after which open connections with unfinished heads are counted.
///
/// It is longer than the edge's timeout for a head.
const HOLD_TIME: Duration = Duration::from_secs(13);

/// The prompt caller's timeout.
const PROMPT_TIMEOUT: Duration = Duration::from_secs(3);

fn main() -> Result<()> {
    let server = start_tiny()?;
    measure_slow_callers("tiny_http", server, "/hallboard/")?;
    let server = start_tiny()?;
    let (edge, _runtime) = start_edge(server)?;
    measure_slow_callers("edge", edge, "/hallboard/")?;
    for method in ["GET", "POST"] {
        let received = count_ureq_sends(method)?;
        println!(
            "ureq {method} on a reused connection that the server closes on receipt: sent {received} times"
        );
    }
    Ok(())
}

/// Opens slow requests to a server and prints how a prompt caller is answered meanwhile.
fn measure_slow_callers(name: &str, address: SocketAddr, path: &str) -> Result<()> {
    let threads = thread_count()?;
    let mut slow = Vec::new();
    for _ in 0..SLOW_HEADS {
        slow.push(open_and_send(address, "G")?);
    }
    let prompt = prompt_call(address, path)?;
    println!(
        "{name}: {SLOW_HEADS} unfinished heads: {} more threads, prompt caller {prompt}",
        self::thread_count()?.saturating_sub(threads)
    );
    thread::sleep(HOLD_TIME);
    let held = slow.iter().filter(|s| is_open(s)).count();
    println!(
        "{name}: after {} s {held} of them are still open",
        HOLD_TIME.as_secs()
    );
    drop(slow);
    let start = format!("POST {path} HTTP/1.1\r\nhost: e\r\ncontent-length: 100000\r\n\r\nabc");
    let mut slow = Vec::new();
    for _ in 0..SLOW_BODIES {
        slow.push(open_and_send(address, &start)?);
    }
    thread::sleep(Duration::from_millis(500));
    let prompt = prompt_call(address, path)?;
    println!("{name}: {SLOW_BODIES} missing bodies: prompt caller {prompt}");
    Ok(())
}

fn open_and_send(address: SocketAddr, bytes: &str) -> Result<TcpStream> {
    let mut stream = TcpStream::connect(address)?;
    stream.write_all(bytes.as_bytes())?;
    Ok(stream)
}

/// Returns whether the server has left the connection open.
fn is_open(mut stream: &TcpStream) -> bool {
    let mut sink = [0; 4096];
    if stream.set_nonblocking(true).is_err() {
        return false;
    }
    loop {
        match stream.read(&mut sink) {
            Ok(0) => return false,
            Ok(_) => {}
            Err(e) => return e.kind() == ErrorKind::WouldBlock,
        }
    }
}

/// Sends a whole request and describes how it was answered.
fn prompt_call(address: SocketAddr, path: &str) -> Result<String> {
    let start = Instant::now();
    let mut stream = open_and_send(
        address,
        &format!("GET {path} HTTP/1.1\r\nhost: e\r\nconnection: close\r\n\r\n"),
    )?;
    stream.set_read_timeout(Some(PROMPT_TIMEOUT))?;
    let mut byte = [0; 1];
    match stream.read(&mut byte) {
        Ok(1) => Ok(format!("answered in {} us", start.elapsed().as_micros())),
        Ok(_) => Ok("cut off".into()),
        Err(_) => Ok(format!("not answered in {} s", PROMPT_TIMEOUT.as_secs())),
    }
}

/// Returns the number of threads of this process.
fn thread_count() -> Result<usize> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|l| l.strip_prefix("Threads:"));
    Ok(line
        .ok_or_else(|| eyre!("/proc/self/status has no Threads line"))?
        .trim()
        .parse()?)
}

/// Starts a `tiny_http` server with [`WORKERS`] threads that answer immediately.
fn start_tiny() -> Result<SocketAddr> {
    let server = tiny_http::Server::http("127.0.0.1:0").map_err(|e| eyre!("{e}"))?;
    let server = Arc::new(server);
    let address = server
        .server_addr()
        .to_ip()
        .ok_or_else(|| eyre!("the server does not listen on an IP address"))?;
    for _ in 0..WORKERS {
        let server = Arc::clone(&server);
        thread::spawn(move || {
            while let Ok(request) = server.recv() {
                let _ = request.respond(tiny_http::Response::from_string("free"));
            }
        });
    }
    Ok(address)
}

/// Returns how often `ureq` sent one request to a server that closes the connection on receipt.
///
/// The first call succeeds, so that the second one reuses a connection.
fn count_ureq_sends(method: &str) -> Result<usize> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let received = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&received);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let counter = Arc::clone(&counter);
            thread::spawn(move || answer_first_request(stream, &counter));
        }
    });
    let agent = ureq::Agent::new_with_defaults();
    let call = || match method {
        "POST" => agent
            .post(format!("http://{address}/"))
            .send("x")
            .map(|a| drop(a.into_body().read_to_string())),
        _ => agent
            .get(format!("http://{address}/"))
            .call()
            .map(|a| drop(a.into_body().read_to_string())),
    };
    call()?;
    let second = call();
    if second.is_ok() {
        return Err(eyre!(
            "the second call was answered although the server closes the connection"
        ));
    }
    Ok(received.load(Ordering::SeqCst) - 1)
}

/// Answers the first request of all, and closes the connection on every later one.
fn answer_first_request(mut stream: TcpStream, received: &AtomicUsize) {
    let mut bytes = [0; 4096];
    while let Ok(1..) = stream.read(&mut bytes) {
        if received.fetch_add(1, Ordering::SeqCst) > 0 {
            return;
        }
        let answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn start_edge(server: SocketAddr) -> Result<(SocketAddr, Runtime)> {
    let runtime = Runtime::new()?;
    let address = runtime.block_on(async {
        let config = Arc::new(config(server));
        let dispatcher = Arc::new(Dispatcher::default());
        dispatcher.configure(&config);
        let (sender, receiver) = watch::channel(config);
        let edge = Edge::new(Limits::default(), dispatcher, receiver);
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        tokio::spawn(async move {
            edge.serve(listener).await;
            drop(sender);
        });
        Ok::<_, eyre::Report>(address)
    })?;
    Ok((address, runtime))
}

fn config(server: SocketAddr) -> Config {
    let service = Service {
        name: "hallboard".into(),
        endpoints: vec![Endpoint {
            address: server,
            data_centre: "trent".into(),
        }],
        slots: 6,
        cold_slots: 6,
        connections: 200,
        deadline_ms: 10_000,
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
