//! Where data centres lie, and how far requests go.

use std::collections::{BTreeMap, BTreeSet};

use derives::tag;

use crate::{DataCentreKey, RegionKey};

/// The region of each data centre.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Topology(BTreeMap<DataCentreKey, RegionKey>);

/// How far one data centre is from another.
#[tag]
#[derive(PartialOrd, Ord)]
pub enum Distance {
    /// It is the same one.
    SameCentre,
    /// It lies in the same region: under a millisecond away, and bytes are dear.
    SameRegion,
    /// It lies in another region: tens of milliseconds away, and bytes are dearer.
    OtherRegion,
}

impl Topology {
    /// Returns the places with these data centres, each with its region.
    pub fn new<'a>(regions: impl IntoIterator<Item = (&'a str, &'a str)>) -> Topology {
        let named = regions
            .into_iter()
            .map(|(centre, region)| (DataCentreKey::named(centre), RegionKey::named(region)));
        Topology(named.collect())
    }

    /// Returns how many data centres there are, one at least.
    pub fn count(&self) -> usize {
        self.0.len().max(1)
    }

    /// Returns how far `to` is from `from`.
    ///
    /// A data centre that is named nowhere is taken to lie in the same region:
    /// most sites have one region only.
    pub fn distance(&self, from: DataCentreKey, to: DataCentreKey) -> Distance {
        match (self.0.get(&from), self.0.get(&to)) {
            _ if from == to => Distance::SameCentre,
            (Some(from), Some(to)) if from != to => Distance::OtherRegion,
            _ => Distance::SameRegion,
        }
    }

    /// Returns whether requests that must stay in `regions` may go to `centre`.
    ///
    /// No region at all means that they may go anywhere. A data centre that is
    /// named nowhere is in none: what must not leave a country must not be sent
    /// where nobody knows.
    pub fn is_allowed(&self, regions: &BTreeSet<RegionKey>, centre: DataCentreKey) -> bool {
        let region = self.0.get(&centre);
        regions.is_empty() || region.is_some_and(|r| regions.contains(r))
    }
}
