//! The options of a peer link's socket.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use super::{KEEPALIVE_IDLE, USER_TIMEOUT};

const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Sets what keeps a link prompt and finds it when it has gone silent for good.
///
/// # Errors
///
/// Returns the system's error where an option can't be set.
pub fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
