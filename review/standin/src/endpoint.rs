//! What the endpoints of all cases have in common.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;

use crate::http::Wire;

/// The path of health checks, as the configuration names it.
pub const HEALTH: &str = "/health";

/// Accepts connections on a free port, and serves each in a thread of its own.
pub fn listen(serve: Arc<dyn Fn(Wire) -> io::Result<()> + Send + Sync>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            // A connection that breaks is the host's to deal with.
            thread::spawn(move || drop(serve(Wire::new(stream))));
        }
    });
    Ok(address)
}

/// Returns the answer to a health check.
pub fn healthy(instance: &str, load: Option<(usize, usize)>) -> Vec<u8> {
    let load = load.map_or(String::new(), |(running, waiting)| {
        format!("Server-Load: {running},{waiting},6,100\r\n")
    });
    let head =
        format!("HTTP/1.1 200 OK\r\nInstance-Id: {instance}\r\n{load}Content-Length: 0\r\n\r\n");
    head.into_bytes()
}

/// Returns the head of the answer to a request that was run, with a body of this length.
pub fn success_head(instance: &str, id: &str, length: usize) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: {instance}.{id}\r\n\
         Content-Length: {length}\r\n\r\n"
    )
}

/// Returns the whole answer to a request that was run.
pub fn success(instance: &str, id: &str, body: &str) -> Vec<u8> {
    format!("{}{body}", success_head(instance, id, body.len())).into_bytes()
}

/// The answer of an endpoint that is full, as `fleetbench wire` prints it: without an id.
pub const SHED: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
