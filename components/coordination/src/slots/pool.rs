//! One service at one entry host: its waiting calls, its idle slots, its demand.

use std::collections::VecDeque;
use std::time::Duration;

use derives::value;
use state::admission::AdmissionControl;
use state::latency::LatencyBaseline;
use state::queue::Queue;
use state::{HostKey, Moment, ServiceKey};

use super::message::{Demand, SlotKey, Stamp};

/// A broker's word to hand slots to another host.
#[value]
pub struct TransferRequest {
    /// Who shall have them.
    pub to: HostKey,
    /// Its stamp.
    pub echo: Stamp,
    /// How many.
    pub count: u32,
    /// When the oldest call that they are for arrived.
    pub since: Moment,
    /// After this it is void.
    pub until: Moment,
}

/// One service at this host.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotPool {
    /// The calls that wait.
    pub queue: Queue,
    /// Decides who may wait.
    pub admission: AdmissionControl,
    /// What calls usually take.
    pub latency: LatencyBaseline,
    /// Idle slots.
    pub idle: Vec<SlotKey>,
    /// Slots held, idle or not.
    pub held: u32,
    /// Slots handed to this host so far.
    pub received: u32,
    /// The broker says that calls wait elsewhere.
    pub shortage: bool,
    last_offer: Moment,
    /// Slots promised to other hosts.
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

/// The least time between two reports where calls have begun to wait.
const URGENT_REPORT_INTERVAL: Duration = Duration::from_micros(200);
/// The least time between two reports where little has changed.
const REPORT_INTERVAL: Duration = Duration::from_millis(2);
/// The time between reports of an unchanged queue.
const QUEUE_REPORT_INTERVAL: Duration = Duration::from_millis(4);
/// The time between reports where nothing is wanted.
const IDLE_REPORT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Slots that stay idle for this long beyond the spare are given up.
const SURPLUS_WINDOW: Duration = Duration::from_millis(100);
/// The time a spare slot has to bridge: to the broker and back, with a margin.
const REPLENISH_SECONDS: f64 = 0.002;

impl SlotPool {
    /// Returns an empty desk.
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

    /// Counts an arrival.
    pub fn note_arrival(&mut self) {
        self.rate.count += 1;
    }

    /// Counts a slot that the broker handed to this host.
    ///
    /// The broker takes a call that it sent a slot for as served, so the next
    /// one that waits is news to it.
    pub fn note_received(&mut self) {
        self.received = self.received.wrapping_add(1);
        if let Some(last_report) = &mut self.last_report {
            last_report.waiting = last_report.waiting.saturating_sub(1);
        }
    }

    /// Notes that an idle slot was taken.
    pub fn note_taken(&mut self) {
        self.min_idle = self.min_idle.min(self.idle.len() as u32);
    }

    /// Returns how many idle slots to keep for the next calls.
    ///
    /// Made so that nearly every call starts without a message, while idle
    /// slots don't pile up where they aren't needed: enough for the arrivals
    /// expected until the broker can send more, and their spread.
    pub fn spare(&self) -> u32 {
        let expected = self.rate.per_second * REPLENISH_SECONDS;
        if self.rate.per_second < 1.0 {
            return 0;
        }
        (expected + expected.sqrt()).ceil() as u32
    }

    /// Returns whether an idle slot goes to the broker now, and counts it.
    ///
    /// One a step: calls that wait elsewhere are few as a rule, and a host that
    /// gave all its idle slots for them would have to ask for some at once.
    pub fn should_offer(&mut self, now: Moment) -> bool {
        let offers = self.shortage && self.last_offer < now;
        if offers {
            self.last_offer = now;
        }
        offers
    }

    /// Moves the windows on; returns how many idle slots to give up.
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

    /// Takes the next valid order of the broker, where its call is older than those here.
    pub fn take_transfer_request(&mut self, now: Moment) -> Option<TransferRequest> {
        self.transfer_requests
            .retain(|o| o.until > now && o.count > 0);
        let oldest = self.queue.oldest(now);
        let empty = self.queue.is_empty();
        let request = self
            .transfer_requests
            .iter_mut()
            .find(|o| empty || now.since(o.since) > oldest)?;
        request.count -= 1;
        Some(request.clone())
    }

    /// Returns when the next report to the broker is due, if one is.
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

    /// Returns the report to the broker and notes it as sent.
    pub fn report(&mut self, service: ServiceKey, now: Moment) -> Demand {
        let demand = self.demand(service, now);
        self.last_report = Some(SentReport {
            at: now,
            waiting: demand.waiting,
        });
        demand
    }

    /// Returns how this host stands with the service.
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

    /// Makes the next report due at once: the broker is a new one.
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
