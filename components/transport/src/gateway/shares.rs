//! Exchanges the use of services with other hosts, and holds back accounts beyond their share.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use coordination::quota::HomeRanks;
use coordination::shares::home::ShareHome;
use coordination::shares::host::HostShares;
use coordination::shares::{self, ShareKey, ShareLimits, UsageReport};
use protocol::neighbour::NeighbourMessage;
use protocol::share_message::ShareMessage;
use state::fleet::placement::Request;
use state::{AccountKey, FlowKey, Moment, ServiceKey};
use tokio::time::sleep;

use super::Gateway;
use crate::clock;

/// The interval of the log lines about accounts that waited.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Accounts in one round of log lines.
const LOG_LINES: usize = 16;

/// What happened to one flow's requests for one service since the last log line.
#[derive(Clone, Copy, Default)]
struct FlowCounts {
    waited: u64,
    refused: u64,
    /// Requests placed beyond the share.
    lent: u64,
}

/// This host's part in sharing services among accounts.
#[derive(Default)]
pub(super) struct Shares {
    host: RefCell<HostShares>,
    home: RefCell<ShareHome>,
    counts: RefCell<BTreeMap<(ServiceKey, FlowKey), FlowCounts>>,
}

/// Returns the key under which a request shares capacity.
pub(super) fn share_key(request: &Request) -> ShareKey {
    ShareKey {
        priority: request.priority,
        flow: request.flow(),
    }
}

impl Gateway {
    /// Counts a request that wants an endpoint; `is_timely` tells whether it can be in time.
    pub(super) fn note_wanted(&self, request: &Request, is_timely: bool) {
        if is_timely && self.has_accounts() {
            let mut host = self.shares.host.borrow_mut();
            host.count_wanted(request.service, share_key(request), clock::now());
        }
    }

    /// Counts a request that waits for an endpoint.
    pub(super) fn note_waiting(&self, request: &Request) {
        let mut host = self.shares.host.borrow_mut();
        host.note_waiting(request.service, clock::now());
        drop(host);
        self.count_share(request, |counts| counts.waited += 1);
    }

    /// Counts a request that is sent to an endpoint.
    pub(super) fn note_placed(&self, request: &Request) {
        if !self.has_accounts() {
            return;
        }
        let key = share_key(request);
        if self.held_for(request.service, key).is_some() {
            self.count_share(request, |counts| counts.lent += 1);
        }
        let mut host = self.shares.host.borrow_mut();
        host.count_placed(request.service, key, clock::now());
    }

    /// Counts a request that is refused.
    pub(super) fn note_refused(&self, request: &Request) {
        if self.has_accounts() {
            self.count_share(request, |counts| counts.refused += 1);
        }
    }

    fn count_share(&self, request: &Request, count: impl FnOnce(&mut FlowCounts)) {
        let mut counts = self.shares.counts.borrow_mut();
        count(counts.entry((request.service, request.flow())).or_default());
    }

    /// Returns the time until a request of a flow may be placed, `None` if it may be now.
    pub(super) fn held_for(&self, service: ServiceKey, key: ShareKey) -> Option<Duration> {
        let host = self.shares.host.borrow();
        host.held_for(service, key, clock::now())
    }

    /// Returns whether requests in time wait for the service at any host.
    pub(super) fn is_contended(&self, service: ServiceKey) -> bool {
        let host = self.shares.host.borrow();
        host.is_contended(service, clock::now())
    }

    /// Reports the use of services for which requests wait; never returns.
    pub(super) async fn exchange_shares(self: Rc<Self>) {
        let mut logged = clock::now();
        loop {
            self.await_accounts().await;
            sleep(shares::report_interval(self.share_hosts())).await;
            let now = clock::now();
            if self.share_hosts() >= shares::MIN_HOSTS {
                let active = self.shares.host.borrow().active(now);
                for service in active {
                    self.report_usage(service, now);
                }
            }
            if now.since(logged) >= LOG_INTERVAL {
                logged = now;
                self.log_shares();
                self.shares.host.borrow_mut().expire(now);
                let lifetime = shares::lifetime(self.share_hosts());
                self.shares.home.borrow_mut().expire(lifetime, now);
            }
        }
    }

    /// Returns the number of hosts that share services in this data centre.
    fn share_hosts(&self) -> usize {
        self.neighbours.borrow().len() + 1
    }

    fn share_homes(&self, service: ServiceKey) -> Option<HomeRanks> {
        let heard = self.neighbours.borrow().heard_lately(clock::now());
        shares::homes(service, heard.into_iter().chain([self.settings.peers]))
    }

    fn report_usage(&self, service: ServiceKey, now: Moment) {
        let waiting = self.timely_waiting(service);
        let report = self.shares.host.borrow_mut().report(service, waiting, now);
        match self.share_homes(service).map(|homes| homes.first) {
            Some(home) if home != self.settings.peers => {
                let message = ShareMessage::Report(report);
                self.send(home, &NeighbourMessage::Shares(message));
            }
            _ => {
                let limits = self.answer_report(self.settings.peers, report);
                self.apply_limits(&limits);
            }
        }
    }

    fn answer_report(&self, from: SocketAddr, report: UsageReport) -> ShareLimits {
        let lifetime = shares::lifetime(self.share_hosts());
        let mut home = self.shares.home.borrow_mut();
        home.report_received(from, report, lifetime, clock::now())
    }

    fn apply_limits(&self, limits: &ShareLimits) {
        let lifetime = shares::lifetime(self.share_hosts());
        let mut host = self.shares.host.borrow_mut();
        host.limits_received(limits, lifetime, clock::now());
    }

    /// Handles a message about shares from another host.
    ///
    /// Reports count only from hosts of this data centre, limits only from the service's
    /// home or its second choice.
    pub(super) fn handle_shares(&self, from: SocketAddr, message: ShareMessage) {
        match message {
            _ if !self.has_accounts() || !self.neighbours.borrow().is_neighbour(from) => {
                log::debug!("E0176 shares-ignored from={from}");
            }
            ShareMessage::Report(report) => {
                let limits = self.answer_report(from, report);
                let message = ShareMessage::Limits(limits);
                self.send(from, &NeighbourMessage::Shares(message));
            }
            ShareMessage::Limits(limits) => {
                let homes = self.share_homes(limits.service);
                match homes.is_some_and(|h| h.first == from || h.second == Some(from)) {
                    true => self.apply_limits(&limits),
                    false => log::debug!("E0176 shares-ignored from={from}"),
                }
            }
        }
    }

    /// Logs which accounts had requests waiting, refused or placed beyond their share.
    fn log_shares(&self) {
        let counts = std::mem::take(&mut *self.shares.counts.borrow_mut());
        let mut counts: Vec<_> = counts.into_iter().collect();
        counts.sort_by_key(|(_, c)| std::cmp::Reverse(c.waited + c.refused + c.lent));
        let config = self.config.borrow();
        let accounts = config.catalogue.as_ref().and_then(|c| c.accounts.as_ref());
        for ((service, flow), c) in counts.iter().take(LOG_LINES) {
            let account = accounts.and_then(|a| a.get(AccountKey(flow.0)));
            log::info!(
                "E0175 capacity-shared account={} service={:016x} waited={} refused={} lent={}",
                account.map_or("-", |a| a.name.as_str()),
                service.0,
                c.waited,
                c.refused,
                c.lent
            );
        }
    }
}
