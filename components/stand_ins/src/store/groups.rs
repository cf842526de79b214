//! Groups, whose members divide the partitions of the group's topics evenly.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use platform::store_server::{Join, PartitionOwner};

/// The most topics of a group whose partitions are assigned; the platform's store ignores the
/// rest.
const MAX_TOPICS: usize = 20;

/// Partitions of each topic.
const PARTITIONS: u32 = 12;

struct Member {
    joined_at: Instant,
    timeout: Duration,
}

#[derive(Default)]
struct Group {
    generation: u64,
    topics: Vec<String>,
    members: BTreeMap<String, Member>,
}

/// All groups.
#[derive(Default)]
pub(super) struct Groups(BTreeMap<String, Group>);

impl Groups {
    /// Adds or refreshes a member; returns the generation and the member's partitions.
    pub fn join(&mut self, join: Join) -> (u64, Vec<PartitionOwner>) {
        let group = self.0.entry(join.group).or_default();
        group.remove_expired();
        if group.topics != join.topics {
            group.topics = join.topics;
            group.generation += 1;
        }
        let member = Member {
            joined_at: Instant::now(),
            timeout: join.timeout,
        };
        if group.members.insert(join.member.clone(), member).is_none() {
            group.generation += 1;
        }
        let mine = group.assignments().filter(|o| o.member == join.member);
        (group.generation, mine.collect())
    }

    /// Returns the owner of each partition of a group.
    pub fn owners(&mut self, group: &str) -> Vec<PartitionOwner> {
        let Some(group) = self.0.get_mut(group) else {
            return Vec::new();
        };
        group.remove_expired();
        group.assignments().collect()
    }
}

impl Group {
    /// Removes members that haven't joined again within their timeout.
    fn remove_expired(&mut self) {
        let before = self.members.len();
        self.members
            .retain(|_, m| m.joined_at.elapsed() < m.timeout);
        if self.members.len() < before {
            self.generation += 1;
        }
    }

    /// Assigns the partitions to the members in turn (round-robin).
    fn assignments(&self) -> impl Iterator<Item = PartitionOwner> {
        let partitions = self
            .topics
            .iter()
            .take(MAX_TOPICS)
            .flat_map(|t| (0..PARTITIONS).map(move |p| (t.clone(), p)));
        let members = self.members.keys().cycle();
        partitions
            .zip(members)
            .map(|((topic, partition), member)| PartitionOwner {
                topic,
                partition,
                member: member.clone(),
            })
    }
}
