//! A sound endpoint: it runs every request that names it, and answers at once.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// A request that an endpoint has run.
#[derive(Clone, Debug)]
pub struct Run {
    /// When it had arrived whole.
    pub at: Instant,
    /// Its `Attempt-Id`.
    pub id: String,
    /// The tenant that the system named.
    pub tenant: String,
    /// The endpoint that ran it.
    pub endpoint: String,
}

/// The runs of all endpoints.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Starts an endpoint with this instance ID; it serves until the process ends.
pub fn start(instance: &str, runs: &Runs) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let (instance, runs) = (instance.to_owned(), Arc::clone(runs));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (instance, runs) = (instance.clone(), Arc::clone(&runs));
            thread::spawn(move || serve(stream, &instance, &runs));
        }
    });
    address
}

/// Serves the requests of one connection, one at a time, until it ends.
fn serve(stream: TcpStream, instance: &str, runs: &Runs) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let path = line.split(' ').nth(1)?.to_owned();
        let mut headers = Vec::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':')?;
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        let header = |name: &str| {
            let found = headers.iter().find(|(n, _)| n == name);
            found.map(|(_, value)| value.clone()).unwrap_or_default()
        };
        let length = header("content-length").parse().unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        let load = "Server-Load: 0,0,8,100\r\n";
        let id = header("attempt-id");
        let answer = if path == "/health" {
            format!("HTTP/1.1 200 OK\r\nInstance-Id: {instance}\r\n{load}Content-Length: 0\r\n\r\n")
        } else if header("expected-instance") != instance {
            format!(
                "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nAttempt-Id: {id}\r\n{load}Content-Length: 0\r\n\r\n"
            )
        } else {
            runs.lock()
                .expect("no thread panics with the lock")
                .push(Run {
                    at: Instant::now(),
                    id: id.clone(),
                    tenant: header("tenant"),
                    endpoint: instance.to_owned(),
                });
            format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: by-{instance}-{id}\r\n{load}Content-Length: 5\r\n\r\nwhole"
            )
        };
        writer.write_all(answer.as_bytes()).ok()?;
    }
}
