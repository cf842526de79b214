//! Learns from the store's groups which part of all hosts this one is, and who
//! its neighbours are.

use std::rc::Rc;
use std::time::Duration;

use coordination::group_joins::{self, GroupJoins};
use coordination::neighbours::Contact;
use coordination::read_schedule::{self, GREETING_WAIT};
use state::Moment;
use tokio::time::sleep;

use super::Gateway;
use crate::clock;
use crate::store::{StoreClient, StoreError};

/// The group that all entry hosts join.
const GROUP: &str = "entry-hosts";

/// How long a host that knows no neighbour waits before it asks the store again.
///
/// Doubled each time, since a host may be the only one of its data centre.
const SEARCH_PAUSE: Duration = Duration::from_secs(1);

/// How long a host that knows neighbours waits before it asks the store again.
///
/// They name each other in their greetings; this only mends what got lost.
const SEARCH_LONGEST: Duration = Duration::from_secs(60);

/// When the store is asked for neighbours.
struct Search {
    due: Moment,
    pause: Duration,
}

impl Search {
    /// Returns the first search.
    fn new(due: Moment) -> Search {
        Search {
            due,
            pause: SEARCH_PAUSE,
        }
    }

    /// Returns how long it is until the next search.
    fn left(&self, now: Moment) -> Duration {
        now.until(self.due)
    }

    /// Sets the time of the next search; `found` says whether any neighbour is known.
    fn done(&mut self, found: bool, now: Moment) {
        let pause = if found { SEARCH_LONGEST } else { self.pause };
        self.due = now + pause;
        self.pause = (self.pause * 2).min(SEARCH_LONGEST);
    }
}

impl Gateway {
    /// Keeps this host in the group and its part up to date, for ever.
    ///
    /// While the store is away the parts can't be dealt anew, so the last one
    /// still adds up with those of the others.
    pub(super) async fn keep_share(self: Rc<Self>) {
        let mut store = StoreClient::new(self.settings.log);
        let topics = group_joins::group_topics();
        let member = self.member();
        let mut joins = GroupJoins::default();
        let mut due = clock::now();
        // When a whole site starts, all hosts are in the group only after a moment.
        let mut search = Search::new(clock::now() + SEARCH_PAUSE);
        let mut first = !self.settings.first_start;
        loop {
            if clock::now() >= due {
                let pause = self.join(&mut store, &member, &topics, &mut joins).await;
                due = clock::now() + pause;
            }
            if std::mem::take(&mut first) {
                search = Search::new(self.started + self.start_pause());
            }
            self.search(&mut store, &mut search).await;
            let now = clock::now();
            sleep(now.until(due).min(search.left(now))).await;
        }
    }

    /// Joins the group, and returns how long it is until the next time.
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
        match store.join(body).await {
            Ok(membership) => {
                self.set_share(membership.partitions);
                joins.join_succeeded(membership.generation, membership.partitions)
            }
            Err(error) => {
                log::warn!("E0315 share-not-renewed error={error:?}");
                joins.join_failed()
            }
        }
    }

    /// Returns how long a host that starts again waits to be greeted before it asks the store.
    ///
    /// Made for the moment at which all hosts lose power, and those that the settings
    /// name are back last: one of many asks, and tells the others of each other.
    fn start_pause(&self) -> Duration {
        GREETING_WAIT
            + read_schedule::restart_jitter(self.expected_neighbours()).mul_f64(self.draw_share())
    }

    fn set_share(&self, parts: usize) {
        let total = (group_joins::GROUP_TOPICS * self.settings.partitions).max(1);
        let share = parts as f64 / total as f64;
        if (share - self.share.get()).abs() > f64::EPSILON {
            log::info!("E0314 share-changed share={share:.3}");
        }
        self.share.set(share);
    }

    /// Asks the store for neighbours where it is time to.
    async fn search(&self, store: &mut StoreClient, search: &mut Search) {
        if clock::now() < search.due {
            return;
        }
        if self.knows_neighbours() {
            search.done(true, clock::now());
            return;
        }
        if let Err(error) = self.find_neighbours(store).await {
            log::warn!("E0316 neighbours-unknown error={error:?}");
        }
        search.done(self.knows_neighbours(), clock::now());
    }

    pub(super) fn knows_neighbours(&self) -> bool {
        !self.neighbours.borrow().is_empty()
    }

    /// Greets the hosts of this data centre that hold a part, and learns of others.
    async fn find_neighbours(&self, store: &mut StoreClient) -> Result<(), StoreError> {
        let members = store.owners(GROUP).await?;
        let contacts = members.iter().filter_map(|m| contact(m));
        let (here, elsewhere): (Vec<Contact>, Vec<Contact>) =
            contacts.partition(|c| c.centre == self.settings.data_centre);
        let here = here.into_iter().map(|c| c.address);
        self.introduce(here.collect(), elsewhere);
        Ok(())
    }

    /// Returns the name under which this host joins, the same in each life.
    ///
    /// A host that starts again goes on with the parts that it held. Under a new
    /// name it would have none until those of its former life lapse, and after a
    /// loss of power a group would count twice as many members as there are hosts.
    /// It tells neighbours all they need: the data centre and the address.
    fn member(&self) -> String {
        format!("{}/{}", self.settings.data_centre, self.settings.peers)
    }
}

/// Returns the host that joins under this name.
fn contact(member: &str) -> Option<Contact> {
    let (centre, address) = member.rsplit_once('/')?;
    Some(Contact {
        centre: centre.to_owned(),
        address: address.parse().ok()?,
    })
}
