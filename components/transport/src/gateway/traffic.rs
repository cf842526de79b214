//! Counts what this host and others tell each other, by kind of message.

use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use protocol::neighbour::NeighbourMessage;
use tokio::time::sleep;

use super::Gateway;

/// How often the counts are logged.
const REPORT_EVERY: Duration = Duration::from_secs(10);

/// Datagrams and their bytes.
#[derive(Clone, Copy, Default)]
struct Amount {
    datagrams: u64,
    bytes: u64,
}

impl Amount {
    fn add(&mut self, bytes: usize) {
        self.datagrams += 1;
        self.bytes += bytes as u64;
    }
}

impl fmt::Display for Amount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.datagrams, self.bytes)
    }
}

/// Datagrams by kind since the last report.
#[derive(Default)]
pub(super) struct Traffic {
    sent: BTreeMap<&'static str, Amount>,
    received: BTreeMap<&'static str, Amount>,
}

impl Traffic {
    /// Counts a datagram that was sent.
    pub fn sent(&mut self, message: &NeighbourMessage, bytes: usize) {
        self.sent.entry(message.kind()).or_default().add(bytes);
    }

    /// Counts a datagram that came.
    pub fn received(&mut self, message: &NeighbourMessage, bytes: usize) {
        self.received.entry(message.kind()).or_default().add(bytes);
    }
}

impl fmt::Display for Traffic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (direction, kinds) in [("sent", &self.sent), ("received", &self.received)] {
            for (kind, amount) in kinds {
                write!(f, " {direction}_{kind}={amount}")?;
            }
        }
        Ok(())
    }
}

impl Gateway {
    /// Logs how many datagrams of each kind went and came, for ever.
    pub(super) async fn report_traffic(self: Rc<Self>) {
        loop {
            sleep(REPORT_EVERY).await;
            let traffic = std::mem::take(&mut *self.traffic.borrow_mut());
            let seconds = REPORT_EVERY.as_secs();
            log::info!("E0424 datagrams seconds={seconds}{traffic}");
        }
    }
}
