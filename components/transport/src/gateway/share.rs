//! Learns this host's part of all hosts, from the store's groups.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::Gateway;
use super::store::Store;

/// The group that all entry hosts join.
const GROUP: &str = "entry-hosts";

/// Topics whose partitions are dealt to the hosts.
///
/// The store deals partitions evenly, so a host's part of them is its part of
/// the hosts. A dozen partitions a topic and these topics tell 100 hosts apart;
/// a host that gets none takes no share, which errs on the safe side.
const TOPICS: [&str; 8] = [
    "hosts-0", "hosts-1", "hosts-2", "hosts-3", "hosts-4", "hosts-5", "hosts-6", "hosts-7",
];

/// How often a host shows that it lives.
const JOIN_EVERY: Duration = Duration::from_secs(3);

/// How long a silent host keeps its part.
///
/// Shorter, and one slow answer of the store would deal all parts anew.
const SESSION: Duration = Duration::from_secs(9);

impl Gateway {
    /// Keeps this host in the group and its part up to date, for ever.
    ///
    /// While the store is away the parts can't be dealt anew, so the last one
    /// still adds up with those of the others.
    pub(super) async fn keep_share(self: Rc<Self>) {
        let mut store = Store::new(self.settings.log);
        let topics: Vec<String> = TOPICS.iter().map(|t| (*t).to_owned()).collect();
        let total = (TOPICS.len() * self.settings.partitions).max(1);
        let member = format!("{}/{:016x}", self.settings.name, self.draw());
        let mut generation = 0;
        loop {
            let timeout = SESSION.as_secs_f64();
            let body = platform::store::join_body(GROUP, &member, &topics, timeout, generation);
            match store.join(body).await {
                Ok(membership) => {
                    generation = membership.generation;
                    let share = membership.parts as f64 / total as f64;
                    if (share - self.share.get()).abs() > f64::EPSILON {
                        log::info!("E0314 share-changed share={share:.3} generation={generation}");
                    }
                    self.share.set(share);
                }
                Err(error) => log::warn!("E0315 share-not-renewed error={error:?}"),
            }
            sleep(JOIN_EVERY).await;
        }
    }
}
