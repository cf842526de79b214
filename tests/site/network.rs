//! The network between hosts and endpoints, which a test may cut for some hosts.

use std::collections::BTreeSet;
use std::io;
use std::net::IpAddr;
use std::pin::pin;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::HttpService;
use hyper_util::rt::TokioIo;
use socket2::Socket;
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::Host;
use super::endpoint::AnswerBody;

/// What happens to the connections of hosts that are cut off.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum CutMode {
    /// Open and new connections are silent.
    Hang,
    /// Open and new connections are reset.
    Reset,
    /// Open connections live on, and new ones are reset.
    RefuseNew,
}

/// The hosts, by IP address, that are cut off from all endpoints.
struct Cut {
    hosts: BTreeSet<IpAddr>,
    mode: CutMode,
}

/// The network between the hosts and the endpoints of one test.
#[derive(Clone)]
pub struct Network(watch::Sender<Option<Cut>>);

impl Default for Network {
    fn default() -> Network {
        Network(watch::Sender::new(None))
    }
}

impl Network {
    /// Cuts these hosts off from all endpoints.
    pub fn cut(&self, hosts: &[&Host], mode: CutMode) {
        let hosts = hosts.iter().map(|h| h.source()).collect();
        self.0.send_replace(Some(Cut { hosts, mode }));
    }

    /// Ends the cut.
    pub fn heal(&self) {
        self.0.send_replace(None);
    }

    /// Serves a host's connection to an endpoint, as far as the network lets it through.
    pub async fn serve<S>(&self, stream: TcpStream, service: S)
    where
        S: HttpService<Incoming, ResBody = AnswerBody>,
        S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let Ok((stream, twin, host)) = with_twin(stream) else {
            return;
        };
        let mut changes = self.0.subscribe();
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        let mut connection = pin!(connection);
        let mut is_new = true;
        loop {
            changes.mark_unchanged();
            match self.mode_for(host) {
                Some(CutMode::Hang) => {
                    let _ = changes.changed().await;
                    continue;
                }
                Some(CutMode::RefuseNew) if !is_new => {}
                Some(CutMode::Reset | CutMode::RefuseNew) => {
                    // A socket that doesn't linger is reset when it is closed.
                    let _ = twin.set_linger(Some(Duration::ZERO));
                    return;
                }
                None => is_new = false,
            }
            tokio::select! {
                _ = connection.as_mut() => return,
                _ = changes.changed() => {}
            }
        }
    }

    /// Returns what happens to a host's connections, `None` if it isn't cut off.
    fn mode_for(&self, host: IpAddr) -> Option<CutMode> {
        let cut = self.0.borrow();
        let cut = cut.as_ref().filter(|c| c.hosts.contains(&host));
        cut.map(|c| c.mode)
    }
}

/// Returns the stream, a second handle of its socket, and the host's address.
fn with_twin(stream: TcpStream) -> io::Result<(TcpStream, Socket, IpAddr)> {
    let host = stream.peer_addr()?.ip();
    let stream = stream.into_std()?;
    let twin = Socket::from(stream.try_clone()?);
    Ok((TcpStream::from_std(stream)?, twin, host))
}
