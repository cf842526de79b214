//! The metrics of the dispatcher.

use std::time::Duration;

use super::Refusal;

/// Counts a refused call by its reason.
pub fn count_refusal(refusal: &Refusal) {
    let reason = match refusal {
        Refusal::UnknownService => "unknown-service",
        Refusal::QueueFull => "queue-full",
        Refusal::TooLate(_) => "too-late",
        Refusal::Expired => "expired",
        Refusal::NoBackend => "no-backend",
        Refusal::Stopping => "stopping",
    };
    metrics::counter!("cardamomvale_slot_refusals_total", "reason" => reason).increment(1);
}

/// Records how long a call waited for the slot that it got.
pub fn record_wait(wait: Duration) {
    metrics::histogram!("cardamomvale_slot_wait_seconds").record(wait.as_secs_f64());
}

/// Counts a probe by its outcome, and adds up its cost, the endpoint's time for one probe.
pub fn count_probe(cost: Duration, answered: bool) {
    let outcome = if answered { "answered" } else { "unanswered" };
    metrics::counter!("cardamomvale_slot_probes_total", "outcome" => outcome).increment(1);
    metrics::counter!("cardamomvale_slot_probe_cost_microseconds_total")
        .increment(cost.as_micros() as u64);
}

/// Sets the gauges of waiting calls and of slots in use and idle at this host.
pub fn set_gauges(waiting: u32, held: u32, idle: u32) {
    metrics::gauge!("cardamomvale_slot_waiting_calls").set(f64::from(waiting));
    metrics::gauge!("cardamomvale_slot_held").set(f64::from(held));
    metrics::gauge!("cardamomvale_slot_idle").set(f64::from(idle));
}
