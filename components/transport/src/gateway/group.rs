//! Membership in the store's group of entry hosts.
//!
//! The group assigns partitions to its members. A host's share of all hosts
//! follows from its number of partitions, and its neighbours from the list of members.

use std::rc::Rc;
use std::time::Duration;

use coordination::group_joins::{self, GroupJoins};
use coordination::neighbours::Contact;
use coordination::read_schedule::{self, GREETING_WAIT};
use protocol::neighbour::Topic;
use state::Moment;
use tokio::time::sleep;

use super::Gateway;
use crate::clock;
use crate::store::{StoreClient, StoreError};

/// The group that all entry hosts join.
const GROUP: &str = "entry-hosts";

/// The first interval between searches of a host that knows no neighbour.
///
/// The interval doubles each time, since a host may be the only one of its data
/// centre.
const MIN_SEARCH_INTERVAL: Duration = Duration::from_secs(1);

/// The interval at which a host with neighbours checks whether it still has any, and
/// the longest interval between searches.
///
/// Neighbours name each other in their greetings, so a search is only needed after
/// they were lost.
const MAX_SEARCH_INTERVAL: Duration = Duration::from_secs(60);

/// The time in which the greetings of all other hosts reach a host that restarts.
///
/// Hosts greet each other every second.
const INTRODUCTION_TIME: Duration = Duration::from_secs(2);

/// Changes of the share by a smaller fraction are not logged.
const LOGGED_CHANGE: f64 = 0.1;

/// The schedule of searches for neighbours in the store's group.
struct NeighbourSearch {
    due: Moment,
    pause: Duration,
}

impl NeighbourSearch {
    /// Returns a schedule whose first search is at `due`.
    fn new(due: Moment) -> NeighbourSearch {
        NeighbourSearch {
            due,
            pause: MIN_SEARCH_INTERVAL,
        }
    }

    /// Returns the time until the next search.
    fn left(&self, now: Moment) -> Duration {
        now.until(self.due)
    }

    /// Schedules the next search; `found` tells whether any neighbour is known.
    fn done(&mut self, found: bool, now: Moment) {
        let pause = if found {
            MAX_SEARCH_INTERVAL
        } else {
            self.pause
        };
        self.due = now + pause;
        self.pause = (self.pause * 2).min(MAX_SEARCH_INTERVAL);
    }
}

impl Gateway {
    /// Renews the membership, updates the share and searches for neighbours; never returns.
    ///
    /// While the store is unavailable no partition is reassigned, so the last known
    /// shares of all hosts still add up to one.
    pub(super) async fn maintain_group(self: Rc<Self>) {
        let mut store = StoreClient::new(self.settings.log);
        let topics = group_joins::group_topics();
        let member = self.member_name();
        let mut joins = GroupJoins::default();
        let mut due = clock::now();
        // When a whole site starts, it takes a moment until all hosts have joined.
        let mut search = NeighbourSearch::new(clock::now() + MIN_SEARCH_INTERVAL);
        let mut first = !self.settings.first_start;
        loop {
            if clock::now() >= due {
                let pause = self.join(&mut store, &member, &topics, &mut joins).await;
                due = clock::now() + pause;
            }
            if std::mem::take(&mut first) {
                search = NeighbourSearch::new(self.started + self.restart_delay());
            }
            self.search(&mut store, &mut search).await;
            let now = clock::now();
            sleep(now.until(due).min(search.left(now))).await;
        }
    }

    /// Joins the group or renews the membership, and returns the time until the next renewal.
    async fn join(
        &self,
        store: &mut StoreClient,
        member: &str,
        topics: &[String],
        joins: &mut GroupJoins,
    ) -> Duration {
        let timeout = joins.session_timeout().as_secs_f64();
        let generation = joins.generation();
        let body = platform::store::join_body(GROUP, member, topics, timeout, generation);
        let session_end = clock::now() + joins.session_timeout();
        match store.join(body).await {
            Ok(membership) => {
                self.partitions.set(Some(membership.partitions));
                self.session_end.set(session_end);
                self.update_share();
                joins.join_succeeded(membership.generation, membership.partitions)
            }
            Err(error) => {
                log::warn!("E0315 share-not-renewed error={error:?}");
                joins.join_failed()
            }
        }
    }

    /// Returns how long a restarted host waits for greetings before it searches the store.
    ///
    /// Guards against a burst of calls after all hosts lost power, when the seeds
    /// restart last: one host searches first and introduces the others to each
    /// other.
    fn restart_delay(&self) -> Duration {
        GREETING_WAIT
            + read_schedule::restart_jitter(self.expected_neighbours())
                .mul_f64(self.random_fraction())
    }

    /// Updates this host's share of all hosts, once it is a member of the group.
    ///
    /// Called at each join, and each second: on a large site the share depends on the number
    /// of hosts that are heard of.
    pub(super) fn update_share(&self) {
        let Some(held) = self.partitions.get() else {
            return;
        };
        let read_at = self.with_schedule(Topic::Endpoints, |schedule| schedule.read_at());
        let held = match group_joins::has_lapsed(self.session_end.get(), read_at) {
            true => 0,
            false => held,
        };
        let total = group_joins::GROUP_TOPICS * self.settings.partitions;
        let centres = self.settings.topology.count();
        let hosts = self.neighbours.borrow().site_size(centres, clock::now());
        let share = group_joins::share(held, total, hosts);
        if (share - self.share.get()).abs() > self.share.get() * LOGGED_CHANGE {
            log::info!("E0314 share-changed share={share:.5} hosts={hosts}");
        }
        self.share.set(share);
        self.site_size.set(hosts);
    }

    /// Returns this host's share of the limit on probes.
    ///
    /// A host that restarts while the store doesn't answer can't join the group. It uses an even
    /// part of the limit, once greetings have had the time to tell it of the other hosts.
    pub(super) fn probe_share(&self) -> f64 {
        match self.partitions.get() {
            None if !self.settings.first_start && self.is_introduced() => {
                let centres = self.settings.topology.count();
                let neighbours = self.neighbours.borrow();
                1.0 / neighbours.site_size(centres, clock::now()) as f64
            }
            _ => self.share.get(),
        }
    }

    /// Returns whether this host has had the time to learn of the others, and knows some.
    fn is_introduced(&self) -> bool {
        clock::now().since(self.started) >= INTRODUCTION_TIME && self.has_neighbours()
    }

    /// Searches the store's group for neighbours, if a search is due and no neighbour is known.
    async fn search(&self, store: &mut StoreClient, search: &mut NeighbourSearch) {
        if clock::now() < search.due {
            return;
        }
        if self.has_neighbours() {
            search.done(true, clock::now());
            return;
        }
        if let Err(error) = self.find_neighbours(store).await {
            log::warn!("E0316 neighbours-unknown error={error:?}");
        }
        search.done(self.has_neighbours(), clock::now());
    }

    pub(super) fn has_neighbours(&self) -> bool {
        !self.neighbours.borrow().is_empty()
    }

    /// Greets the members of this data centre, and records those of other data centres.
    async fn find_neighbours(&self, store: &mut StoreClient) -> Result<(), StoreError> {
        let members = store.owners(GROUP).await?;
        let contacts = members.iter().filter_map(|m| contact(m));
        let (here, elsewhere): (Vec<Contact>, Vec<Contact>) =
            contacts.partition(|c| c.centre == self.settings.data_centre);
        let here = here.into_iter().map(|c| c.address);
        self.greet_members(here.collect(), elsewhere);
        Ok(())
    }

    /// Returns this host's member name, which stays the same across restarts.
    ///
    /// A restarted host keeps its partitions. Under a new name it would get none
    /// until the old membership expires, and after a power loss the group would
    /// count twice as many members as there are hosts. The name contains what
    /// neighbours need: the data centre and the address.
    fn member_name(&self) -> String {
        format!("{}/{}", self.settings.data_centre, self.settings.peers)
    }
}

/// Returns the host with this member name, `None` for an invalid name.
fn contact(member: &str) -> Option<Contact> {
    let (centre, address) = member.rsplit_once('/')?;
    Some(Contact {
        centre: centre.to_owned(),
        address: address.parse().ok()?,
    })
}
