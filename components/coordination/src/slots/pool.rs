//! The pool of one service at one entry host: idle slots, waiting calls and demand.

use std::collections::VecDeque;
use std::time::Duration;

use derives::value;
use state::admission::AdmissionControl;
use state::latency::LatencyBaseline;
use state::queue::Queue;
use state::{HostKey, Moment, ServiceKey};

use super::message::{Demand, SlotKey, Stamp};

/// A broker's request to transfer slots to another host.
#[value]
pub struct TransferRequest {
    /// The host that gets the slots.
    pub to: HostKey,
    /// The stamp of that host.
    pub echo: Stamp,
    /// The number of slots.
    pub count: u32,
    /// When the oldest call that needs one of the slots arrived.
    pub since: Moment,
    /// When the request expires.
    pub expires: Moment,
}

/// The idle slots, waiting calls and demand of one service at this host.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotPool {
    /// The waiting calls.
    pub queue: Queue,
    /// Decides which calls may wait.
    pub admission: AdmissionControl,
    /// The usual duration of the service's calls.
    pub latency: LatencyBaseline,
    /// Idle slots.
    pub idle: Vec<SlotKey>,
    /// The number of slots held, idle or busy.
    pub held: u32,
    /// The number of slots received from the broker so far, wrapping around.
    pub received: u32,
    /// Whether the broker reports that calls wait at other hosts.
    pub shortage: bool,
    last_offer: Moment,
    /// Pending requests of the broker to transfer slots to other hosts.
    pub transfer_requests: VecDeque<TransferRequest>,
    rate: Rate,
    min_idle: u32,
    window_start: Moment,
    last_report: Option<SentReport>,
}

#[derive(Clone, Debug, PartialEq)]
struct SentReport {
    at: Moment,
    waiting: u32,
}

#[derive(Clone, Debug, PartialEq)]
struct Rate {
    per_second: f64,
    count: u32,
    since: Moment,
}

/// The minimum time between two reports when calls have begun to wait or the queue has grown.
const URGENT_REPORT_INTERVAL: Duration = Duration::from_micros(200);
/// The minimum time between two reports when the queue has become shorter.
const REPORT_INTERVAL: Duration = Duration::from_millis(2);
/// The time between two reports while the queue is unchanged and not empty.
const QUEUE_REPORT_INTERVAL: Duration = Duration::from_millis(4);
/// The time between two reports while no call waits.
const IDLE_REPORT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Slots above the spare count that stay idle for this long are given up.
const SURPLUS_WINDOW: Duration = Duration::from_millis(100);
/// The time that spare slots must cover, in seconds: a round trip to the broker and a margin.
const REPLENISH_SECONDS: f64 = 0.002;

impl SlotPool {
    /// Returns an empty pool whose queue holds at most `limit` calls.
    pub fn new(limit: usize, now: Moment) -> SlotPool {
        SlotPool {
            queue: Queue::new(limit),
            admission: AdmissionControl::new(now),
            latency: LatencyBaseline::default(),
            idle: Vec::new(),
            held: 0,
            received: 0,
            shortage: false,
            last_offer: Moment(0),
            transfer_requests: VecDeque::new(),
            rate: Rate {
                per_second: 0.0,
                count: 0,
                since: now,
            },
            min_idle: 0,
            window_start: now,
            last_report: None,
        }
    }

    /// Counts an arriving call.
    pub fn note_arrival(&mut self) {
        self.rate.count += 1;
    }

    /// Counts a slot that this host received from the broker.
    ///
    /// The broker counts a call as served once it has sent a slot for it, so the
    /// next call that waits has to be reported as a new one.
    pub fn note_received(&mut self) {
        self.received = self.received.wrapping_add(1);
        if let Some(last_report) = &mut self.last_report {
            last_report.waiting = last_report.waiting.saturating_sub(1);
        }
    }

    /// Records that an idle slot was taken.
    pub fn note_taken(&mut self) {
        self.min_idle = self.min_idle.min(self.idle.len() as u32);
    }

    /// Returns how many idle slots to keep for the next calls.
    ///
    /// Load pattern: steady arrivals. With enough spare slots nearly every call
    /// starts without a message to the broker, and idle slots do not pile up where
    /// they are not needed. The count covers the arrivals expected until the
    /// broker can send more slots, plus their standard deviation.
    pub fn spare(&self) -> u32 {
        let expected = self.rate.per_second * REPLENISH_SECONDS;
        if self.rate.per_second < 1.0 {
            return 0;
        }
        (expected + expected.sqrt()).ceil() as u32
    }

    /// Returns whether to offer an idle slot to the broker now, and records the offer.
    ///
    /// At most one slot is offered per step: as a rule few calls wait elsewhere, and a
    /// host that gave away all its idle slots for them would have to request some at
    /// once.
    pub fn should_offer(&mut self, now: Moment) -> bool {
        let offers = self.shortage && self.last_offer < now;
        if offers {
            self.last_offer = now;
        }
        offers
    }

    /// Starts the next window when it is due. Returns how many idle slots to give up.
    pub fn take_surplus(&mut self, now: Moment) -> u32 {
        if now.since(self.window_start) < SURPLUS_WINDOW {
            return 0;
        }
        self.rate.advance(now);
        let surplus = self.min_idle.saturating_sub(self.spare());
        self.window_start = now;
        self.min_idle = self.idle.len() as u32 - surplus.min(self.idle.len() as u32);
        surplus
    }

    /// Takes one slot of the first valid transfer request whose call is older than those here.
    pub fn take_transfer_request(&mut self, now: Moment) -> Option<TransferRequest> {
        self.transfer_requests
            .retain(|o| o.expires > now && o.count > 0);
        let oldest = self.queue.oldest(now);
        let empty = self.queue.is_empty();
        let request = self
            .transfer_requests
            .iter_mut()
            .find(|o| empty || now.since(o.since) > oldest)?;
        request.count -= 1;
        Some(request.clone())
    }

    /// Returns when the next report to the broker is due, if any.
    pub fn report_due(&self) -> Option<Moment> {
        let waiting = self.queue.len() as u32;
        let Some(last_report) = &self.last_report else {
            let any = waiting > 0 || self.held > 0 || self.rate.count > 0;
            return any.then_some(Moment(0));
        };
        let pause = match (last_report.waiting, waiting) {
            (0, 1..) => URGENT_REPORT_INTERVAL,
            (before, after) if after > before + before / 4 => URGENT_REPORT_INTERVAL,
            (1.., 0) => REPORT_INTERVAL,
            (before, after) if after + before / 4 < before => REPORT_INTERVAL,
            (_, 1..) => QUEUE_REPORT_INTERVAL,
            _ if self.held > 0 || self.rate.per_second > 0.0 => IDLE_REPORT_INTERVAL,
            _ => return None,
        };
        Some(last_report.at + pause)
    }

    /// Returns the report to the broker and records it as sent.
    pub fn report(&mut self, service: ServiceKey, now: Moment) -> Demand {
        let demand = self.demand(service, now);
        self.last_report = Some(SentReport {
            at: now,
            waiting: demand.waiting,
        });
        demand
    }

    /// Returns this host's demand and supply of the service.
    pub fn demand(&self, service: ServiceKey, now: Moment) -> Demand {
        Demand {
            service,
            waiting: self.queue.len() as u32,
            oldest: self.queue.oldest(now),
            spare: self.missing_spares(),
            held: self.held,
            idle: self.idle.len() as u32,
            received: self.received,
        }
    }

    /// Makes the next report due at once, for a new broker.
    pub fn forget_broker(&mut self) {
        self.last_report = None;
        self.shortage = false;
        self.transfer_requests.clear();
    }

    fn missing_spares(&self) -> u32 {
        match self.shortage {
            true => 0,
            false => self.spare().saturating_sub(self.idle.len() as u32),
        }
    }
}

impl Rate {
    fn advance(&mut self, now: Moment) {
        let span = now.since(self.since).as_secs_f64().max(0.001);
        let fresh = f64::from(self.count) / span;
        let kept = (-span / 0.5).exp();
        self.per_second = self.per_second * kept + fresh * (1.0 - kept);
        self.count = 0;
        self.since = now;
        if self.per_second < 0.01 {
            self.per_second = 0.0;
        }
    }
}
