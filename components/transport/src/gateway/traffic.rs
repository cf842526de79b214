//! Counts the datagrams between this host and others, by kind of message.

use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use protocol::neighbour::NeighbourMessage;
use tokio::time::sleep;

use super::Gateway;

/// The interval at which the counts are logged.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// A number of datagrams and of their bytes.
#[derive(Clone, Copy, Default)]
struct DatagramCount {
    datagrams: u64,
    bytes: u64,
}

impl DatagramCount {
    fn add(&mut self, bytes: usize) {
        self.datagrams += 1;
        self.bytes += bytes as u64;
    }
}

impl fmt::Display for DatagramCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.datagrams, self.bytes)
    }
}

/// The datagrams by kind of message since the last log line.
#[derive(Default)]
pub(super) struct Traffic {
    sent: BTreeMap<&'static str, DatagramCount>,
    received: BTreeMap<&'static str, DatagramCount>,
}

impl Traffic {
    /// Counts a datagram that was sent.
    pub fn sent(&mut self, message: &NeighbourMessage, bytes: usize) {
        self.sent.entry(message.kind()).or_default().add(bytes);
    }

    /// Counts a datagram that was received.
    pub fn received(&mut self, message: &NeighbourMessage, bytes: usize) {
        self.received.entry(message.kind()).or_default().add(bytes);
    }
}

impl fmt::Display for Traffic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (direction, kinds) in [("sent", &self.sent), ("received", &self.received)] {
            for (kind, count) in kinds {
                write!(f, " {direction}_{kind}={count}")?;
            }
        }
        Ok(())
    }
}

impl Gateway {
    /// Periodically logs the counts of datagrams by kind; never returns.
    pub(super) async fn report_traffic(self: Rc<Self>) {
        loop {
            sleep(REPORT_INTERVAL).await;
            let traffic = std::mem::take(&mut *self.traffic.borrow_mut());
            let seconds = REPORT_INTERVAL.as_secs();
            log::info!("E0424 datagrams seconds={seconds}{traffic}");
            if let Some(counts) = self.forwarded.take() {
                log::info!("E0164 requests-forwarded seconds={seconds} {counts}");
            }
        }
    }
}
