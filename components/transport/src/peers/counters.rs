//! Metrics of the peer links, and a rate limit for their log lines.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::clock;

/// Counts one sent message and its bytes on the link.
pub fn count_sent(bytes: usize) {
    metrics::counter!("cardamomvale_peer_messages_sent_total").increment(1);
    metrics::counter!("cardamomvale_peer_bytes_sent_total").increment(bytes as u64);
}

/// Counts one received message and its bytes on the link.
pub fn count_received(bytes: usize) {
    metrics::counter!("cardamomvale_peer_messages_received_total").increment(1);
    metrics::counter!("cardamomvale_peer_bytes_received_total").increment(bytes as u64);
}

/// Counts dropped messages, labelled with the `reason`.
pub fn count_dropped(reason: &'static str, count: usize) {
    if count > 0 {
        metrics::counter!("cardamomvale_peer_messages_dropped_total", "reason" => reason)
            .increment(count as u64);
    }
}

/// Counts a refused peer, labelled with the `reason`.
pub fn count_refusal(reason: &'static str) {
    metrics::counter!("cardamomvale_peer_refused_total", "reason" => reason).increment(1);
}

/// Limits an event to one log line a second, so that many bad connections don't flood the output.
#[derive(Default)]
pub struct Throttle {
    last: AtomicU64,
}

impl Throttle {
    /// Returns whether the event may be logged now.
    pub fn allows(&self) -> bool {
        let second = clock::now().0 / 1_000_000 + 1;
        self.last.swap(second, Ordering::Relaxed) != second
    }
}
