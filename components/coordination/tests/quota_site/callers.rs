//! Callers of an account far over its quota, who retry once at another host.

use std::collections::BTreeMap;
use std::time::Duration;

use coordination::quota::contention::TokenRequest;
use state::fleet::AnnouncedTime;
use state::{AccountKey, Moment};

use super::{STEP, Site};

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// The part of all requests, 0 to 1.
    pub part: f64,
    pub work: Duration,
    pub objective: Duration,
    pub deadline: Duration,
}

const fn kind(part: f64, work: u64, objective: u64, deadline: u64) -> Kind {
    Kind {
        part,
        work: Duration::from_millis(work),
        objective: Duration::from_millis(objective),
        deadline: Duration::from_millis(deadline),
    }
}

/// Reads of transcripts, purchases, archive reads and deletions.
const KINDS: [Kind; 4] = [
    kind(0.467, 100, 300, 1_000),
    kind(0.250, 140, 400, 1_200),
    kind(0.205, 260, 1_200, 2_000),
    kind(0.078, 83, 250, 800),
];

/// The requests of the hot account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    pub asked: u64,
    pub granted: u64,
    /// Granted requests that could still be in time, counted from the first attempt.
    pub in_time: u64,
    pub messages: u64,
    pub bytes: u64,
}

#[derive(Clone, Copy)]
struct Request {
    kind: usize,
    first: Moment,
    is_retry: bool,
    /// The host where it waits; none for one that comes anew.
    at: Option<(usize, usize)>,
}

/// The callers of one account.
pub struct HotCallers {
    pub account: AccountKey,
    /// First attempts per second.
    pub rate: f64,
    /// How long a request that can be in time waits at its host for a token.
    pub wait: Duration,
    /// The longest time by which what a caller announces is short of its remaining time.
    pub jitter: Duration,
    pub outcome: Outcome,
    due: f64,
    returning: BTreeMap<Moment, Vec<Request>>,
    announced: BTreeMap<(usize, usize, usize), AnnouncedTime>,
}

impl HotCallers {
    pub fn new(account: AccountKey, rate: f64) -> HotCallers {
        HotCallers {
            account,
            rate,
            wait: Duration::ZERO,
            jitter: Duration::from_millis(5),
            outcome: Outcome::default(),
            due: 0.0,
            returning: BTreeMap::new(),
            announced: BTreeMap::new(),
        }
    }

    /// Sends the requests of one step, which the caller has begun.
    pub fn step(&mut self, site: &mut Site) {
        let later = self
            .returning
            .split_off(&(site.now + Duration::from_millis(1)));
        let due = std::mem::replace(&mut self.returning, later);
        for request in due.into_values().flatten() {
            self.send(site, request);
        }
        self.due += self.rate * STEP.as_secs_f64() * 2.0 * site.draw();
        while self.due >= 1.0 {
            self.due -= 1.0;
            let request = Request {
                kind: pick_kind(site.draw()),
                first: site.now,
                is_retry: false,
                at: None,
            };
            self.send(site, request);
        }
    }

    fn send(&mut self, site: &mut Site, request: Request) {
        let kind = KINDS[request.kind];
        let used = site.now.since(request.first);
        let Some(left) = kind.deadline.checked_sub(used) else {
            return;
        };
        let is_waiting = request.at.is_some();
        let (centre, host) = request.at.unwrap_or_else(|| site.draw_host());
        let announced = left.saturating_sub(self.jitter.mul_f64(site.draw()));
        let times = self
            .announced
            .entry((centre, host, request.kind))
            .or_default();
        if !is_waiting {
            times.note(announced);
        }
        let slack = kind
            .objective
            .checked_sub(times.used(announced) + kind.work);
        let token_request = slack.map_or(TokenRequest::LATE, |slack| TokenRequest {
            latest_start: site.now + slack,
        });
        let before = site.totals.clone();
        let result = site.request_for(centre, host, self.account, token_request);
        // A waiting request was announced to the home once.
        if is_waiting {
            site.totals = super::Totals {
                granted: site.totals.granted,
                ..before.clone()
            };
        } else {
            self.outcome.asked += 1;
        }
        self.outcome.messages += site.totals.messages - before.messages;
        self.outcome.bytes += site.totals.bytes - before.bytes;
        match result {
            Ok(()) => {
                self.outcome.granted += 1;
                self.outcome.in_time += u64::from(used + kind.work <= kind.objective);
            }
            Err(_) if used + kind.work + STEP <= kind.objective.min(kind.work + self.wait) => {
                let at = Some((centre, host));
                let request = Request { at, ..request };
                self.come_back(site.now + STEP, request);
            }
            Err(time) if !request.is_retry => {
                let request = Request {
                    is_retry: true,
                    at: None,
                    ..request
                };
                self.come_back(site.now + time.min(left / 3), request);
            }
            Err(_) => {}
        }
    }

    fn come_back(&mut self, at: Moment, request: Request) {
        self.returning.entry(at).or_default().push(request);
    }
}

fn pick_kind(draw: f64) -> usize {
    let mut left = draw;
    for (at, kind) in KINDS.iter().enumerate() {
        left -= kind.part;
        if left < 0.0 {
            return at;
        }
    }
    0
}
