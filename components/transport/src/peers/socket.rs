//! Socket options of a peer link.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use super::{KEEPALIVE_IDLE, TCP_USER_TIMEOUT};

const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Disables Nagle's algorithm, and sets the time-outs by which the kernel detects a dead link.
///
/// # Errors
///
/// Returns the system's error if an option can't be set.
pub fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}
