//! Takes tokens of client accounts' quotas, and exchanges them with other hosts.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use coordination::quota::contention::{TokenRequest, Urgency};
use coordination::quota::held::{Decision, HeldTokens};
use coordination::quota::home::{Centres, Claim, Grant, QuotaHomes};
use coordination::quota::{self, DemandEntry, DemandReport, HomeRanks};
use protocol::neighbour::NeighbourMessage;
use protocol::quota_message::{QuotaClaim, QuotaGrant, QuotaMessage};
use state::accounts::QuotaLimit;
use state::{AccountKey, DataCentreKey, Moment};
use tokio::sync::oneshot;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};

use super::Gateway;
use crate::clock;

/// How long a request waits for an answer of its account's home.
const GRANT_TIMEOUT: Duration = Duration::from_millis(30);

/// How often the first choice of home is asked before the second.
///
/// A lost datagram must not make two hosts grant the same quota.
const FIRST_CHOICE_TRIES: usize = 3;

/// The interval at which homes tell other data centres the demand in theirs.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// How long a request waits for a host that has just started to hear of its neighbours.
const MAJORITY_WAIT: Duration = Duration::from_millis(500);

/// The interval at which such a request looks again.
const MAJORITY_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Reports from one log line about the use of quotas to the next.
const USAGE_TICKS: usize = 20;

/// Accounts in one round of log lines about the use of quotas.
const USAGE_LINES: usize = 16;

/// Accounts in one datagram about the demand.
const REPORT_ENTRIES: usize = 500;

/// This host's part in the quotas of all accounts.
pub(super) struct Quotas {
    held: RefCell<HeldTokens>,
    homes: RefCell<QuotaHomes>,
    /// The tokens that had expired unused when that was last logged.
    expired: Cell<u64>,
    last_id: Cell<u32>,
    /// Requests that wait for the answer with this id.
    waiting: RefCell<BTreeMap<u32, oneshot::Sender<Grant>>>,
}

impl Quotas {
    /// Returns the state of a host that starts at `now`.
    pub fn new(now: Moment) -> Quotas {
        Quotas {
            held: RefCell::default(),
            homes: RefCell::new(QuotaHomes::new(now)),
            expired: Cell::new(0),
            last_id: Cell::new(0),
            waiting: RefCell::default(),
        }
    }
}

/// Removes a waiting request when dropped.
struct ClaimGuard<'a> {
    quotas: &'a Quotas,
    id: u32,
}

impl Drop for ClaimGuard<'_> {
    fn drop(&mut self) {
        self.quotas.waiting.borrow_mut().remove(&self.id);
    }
}

impl Gateway {
    /// Takes a token of the account's quota for one run of a request at an endpoint.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller should retry if the quota is used up.
    pub(super) async fn take_quota(
        &self,
        account: AccountKey,
        request: TokenRequest,
    ) -> Result<(), Duration> {
        let Some(limit) = self.quota_limit(account) else {
            return Ok(());
        };
        let urgency = request.urgency(clock::now());
        let decision = self
            .quotas
            .held
            .borrow_mut()
            .decide(account, request, clock::now());
        match decision {
            Decision::Run => return Ok(()),
            Decision::Refuse(time) => return Err(time),
            Decision::Ask => {}
        }
        let grant = match self.await_homes(account).await {
            Some(homes) => {
                self.claim(&homes, self.request(account, limit, urgency))
                    .await
            }
            None => None,
        };
        let now = clock::now();
        let mut held = self.quotas.held.borrow_mut();
        match grant {
            Some(grant) => held.granted(account, request, urgency, grant, now),
            None => held.take_reserve(account, limit, self.share.get(), now),
        }
    }

    /// Returns the request for tokens that this host makes for a waiting request.
    fn request(&self, account: AccountKey, limit: QuotaLimit, urgency: Urgency) -> Claim {
        let now = clock::now();
        let mut held = self.quotas.held.borrow_mut();
        Claim {
            account,
            limit,
            wanted: held.wanted(account, now),
            is_first: false,
            sender: self.settings.peers,
            urgency,
            refused: held.take_refused(account, now),
        }
    }

    /// Gives back tokens that were taken for runs that didn't take place.
    pub(super) fn return_quota(&self, account: AccountKey, tokens: u32) {
        if tokens > 0 && self.quota_limit(account).is_some() {
            let mut held = self.quotas.held.borrow_mut();
            held.add(account, tokens, clock::now());
        }
    }

    pub(super) fn quota_limit(&self, account: AccountKey) -> Option<QuotaLimit> {
        let config = self.config.borrow();
        let accounts = config.catalogue.as_ref()?.accounts.as_ref()?;
        accounts.get(account)?.quota
    }

    /// Returns the homes of an account, or `None` if this host is cut off from its neighbours.
    ///
    /// A host that has just started waits for a moment until it hears of them.
    async fn await_homes(&self, account: AccountKey) -> Option<HomeRanks> {
        let last = Instant::now() + MAJORITY_WAIT;
        loop {
            let homes = self.homes(account);
            let is_young = clock::now().since(self.started) < MAJORITY_WAIT * 4;
            if homes.is_some() || !is_young || Instant::now() >= last {
                return homes;
            }
            sleep(MAJORITY_POLL_INTERVAL).await;
        }
    }

    fn homes(&self, account: AccountKey) -> Option<HomeRanks> {
        if !self.has_majority() {
            return None;
        }
        let heard = self.neighbours.borrow().heard_lately(clock::now());
        let hosts = heard.into_iter().chain([self.settings.peers]);
        quota::homes(account, hosts)
    }

    /// Returns whether this host hears of most of its neighbours.
    fn has_majority(&self) -> bool {
        let neighbours = self.neighbours.borrow();
        let heard = neighbours.heard_lately(clock::now()).len();
        let known = neighbours.len().max(self.expected_neighbours());
        let is_member = self.share.get() > 0.0 || heard > 0;
        is_member && quota::has_majority(heard, known)
    }

    /// Claims tokens from the account's home, or from the second choice if that fails.
    async fn claim(&self, homes: &HomeRanks, mut claim: Claim) -> Option<Grant> {
        let has_failed = self
            .quotas
            .held
            .borrow_mut()
            .has_failed(claim.account, clock::now());
        if !has_failed || homes.second.is_none() {
            for _ in 0..FIRST_CHOICE_TRIES {
                let grant = self.claim_from(homes.first, claim).await;
                if grant.is_some() {
                    return grant;
                }
                claim = claim.repeated();
            }
            let mut held = self.quotas.held.borrow_mut();
            held.home_failed(claim.account, clock::now());
        }
        self.claim_from(homes.second?, claim).await
    }

    async fn claim_from(&self, home: SocketAddr, claim: Claim) -> Option<Grant> {
        if home == self.settings.peers {
            return Some(self.grant_here(claim));
        }
        let id = self.quotas.last_id.get().wrapping_add(1);
        self.quotas.last_id.set(id);
        let (sender, receiver) = oneshot::channel();
        self.quotas.waiting.borrow_mut().insert(id, sender);
        let _guard = ClaimGuard {
            quotas: &self.quotas,
            id,
        };
        let claim = QuotaClaim {
            id,
            account: claim.account,
            wanted: claim.wanted,
            urgency: claim.urgency,
            refused: claim.refused,
        };
        self.send_quota(home, QuotaMessage::Claim(claim));
        timeout(GRANT_TIMEOUT, receiver).await.ok()?.ok()
    }

    /// Grants tokens as the home; finds out by itself whether this host is the first choice.
    fn grant_here(&self, claim: Claim) -> Grant {
        let is_first = self
            .homes(claim.account)
            .is_some_and(|h| h.first == self.settings.peers);
        let centres = self.quota_centres();
        let slack = self.live.borrow().bounds.quota_slack;
        let mut homes = self.quotas.homes.borrow_mut();
        homes.grant(&Claim { is_first, ..claim }, &centres, slack, clock::now())
    }

    fn quota_centres(&self) -> Centres {
        let names = self.neighbours.borrow_mut().remote_centres(clock::now());
        Centres {
            others: names.iter().map(|n| DataCentreKey::named(n)).collect(),
        }
    }

    /// Handles a message about quotas from another host.
    pub(super) fn handle_quota(&self, from: SocketAddr, message: QuotaMessage) {
        match message {
            QuotaMessage::Claim(claim) => {
                // A host that doesn't know the account yet leaves the claim unanswered.
                if let Some(limit) = self.quota_limit(claim.account) {
                    let grant = self.grant_here(Claim {
                        account: claim.account,
                        limit,
                        wanted: claim.wanted,
                        is_first: false,
                        sender: from,
                        urgency: claim.urgency,
                        refused: claim.refused,
                    });
                    let answer = QuotaGrant {
                        id: claim.id,
                        grant,
                    };
                    self.send_quota(from, QuotaMessage::Grant(answer));
                }
            }
            QuotaMessage::Grant(answer) => self.handle_grant(&answer),
            QuotaMessage::Demand(report, true) => self.forward_demand(report),
            QuotaMessage::Demand(report, false) => {
                let mut homes = self.quotas.homes.borrow_mut();
                homes.demand_reported(&report, clock::now());
            }
        }
    }

    /// Hands a grant to the request that waits for it; a late one is dropped.
    fn handle_grant(&self, answer: &QuotaGrant) {
        let waiting = self.quotas.waiting.borrow_mut().remove(&answer.id);
        // The request may have been given up since.
        let _delivered = waiting.map(|sender| sender.send(answer.grant));
    }

    /// Passes the demand of another data centre on to the homes in this one.
    fn forward_demand(&self, report: DemandReport) {
        let mut by_home: BTreeMap<SocketAddr, Vec<DemandEntry>> = BTreeMap::new();
        for entry in report.entries {
            if let Some(homes) = self.homes(entry.account) {
                by_home.entry(homes.first).or_default().push(entry);
            }
        }
        for (home, entries) in by_home {
            let part = DemandReport {
                centre: report.centre,
                entries,
            };
            match home == self.settings.peers {
                true => {
                    let mut homes = self.quotas.homes.borrow_mut();
                    homes.demand_reported(&part, clock::now());
                }
                false => self.send_quota(home, QuotaMessage::Demand(part, false)),
            }
        }
    }

    /// Waits until a configuration has accounts.
    pub(super) async fn await_accounts(&self) {
        while !self.has_accounts() {
            self.config_loaded.notified().await;
        }
    }

    /// Tells other data centres the demand for the accounts whose home this host is; never
    /// returns.
    pub(super) async fn report_demand(self: Rc<Self>) {
        let mut ticks = interval(REPORT_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        for tick in 0usize.. {
            self.await_accounts().await;
            ticks.tick().await;
            let now = clock::now();
            if !self.has_majority() {
                self.quotas.homes.borrow_mut().cut_off(now);
            }
            if tick.is_multiple_of(USAGE_TICKS) {
                self.log_expired();
                self.log_usage();
            }
            if self.quotas.homes.borrow().is_empty() {
                continue;
            }
            let is_first = |account| {
                self.homes(account)
                    .is_some_and(|h| h.first == self.settings.peers)
            };
            let entries = self.quotas.homes.borrow_mut().report(is_first, now);
            let contacts = self.neighbours.borrow_mut().remote_targets(now);
            for hosts in contacts {
                // Another host each time, so that the loss of one costs a single report.
                let Some(host) = hosts.get(tick % hosts.len().max(1)) else {
                    continue;
                };
                for part in entries.chunks(REPORT_ENTRIES) {
                    let report = DemandReport {
                        centre: self.home,
                        entries: part.to_vec(),
                    };
                    self.send_quota(*host, QuotaMessage::Demand(report, true));
                }
            }
        }
    }

    /// Logs which accounts had requests refused here.
    fn log_usage(&self) {
        let refused = self.quotas.homes.borrow_mut().take_usage();
        let config = self.config.borrow();
        let accounts = config.catalogue.as_ref().and_then(|c| c.accounts.as_ref());
        for (key, usage) in refused.iter().take(USAGE_LINES) {
            let account = accounts.and_then(|a| a.get(*key));
            let limit = account.and_then(|a| a.quota);
            log::info!(
                "E0146 quota-used account={} granted={} refused={} rate={} burst={} part={:.3}",
                account.map_or("-", |a| a.name.as_str()),
                usage.granted,
                usage.refused,
                limit.map_or(0.0, |l| l.rate),
                limit.map_or(0.0, |l| l.burst),
                usage.part
            );
            log::info!(
                "E0170 quota-contended account={} in_time={} late={} refused_locally={} claims={}",
                account.map_or("-", |a| a.name.as_str()),
                usage.granted_in_time,
                usage.granted - usage.granted_in_time,
                usage.refused_locally,
                usage.claims
            );
        }
    }

    /// Logs the tokens that expired unused at this host since the last call.
    fn log_expired(&self) {
        let expired = self.quotas.held.borrow().expired();
        let before = self.quotas.expired.replace(expired);
        if expired > before {
            log::info!("E0171 tokens-expired tokens={}", expired - before);
        }
    }

    /// Drops the tokens of accounts that are no longer configured.
    pub(super) fn forget_accounts(&self) {
        let config = self.config.borrow();
        let accounts = config.catalogue.as_ref().and_then(|c| c.accounts.as_ref());
        let is_known = |key| accounts.is_some_and(|a| a.get(key).is_some());
        self.quotas.held.borrow_mut().retain(is_known);
    }

    fn send_quota(&self, to: SocketAddr, message: QuotaMessage) {
        self.send(to, &NeighbourMessage::Quota(message));
    }
}
