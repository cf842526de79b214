//! The regions of data centres, and the distances between data centres.

use std::collections::{BTreeMap, BTreeSet};

use derives::tag;

use crate::{DataCentreKey, RegionKey};

/// The region of each data centre.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Topology(BTreeMap<DataCentreKey, RegionKey>);

/// The distance between two data centres.
#[tag]
#[derive(PartialOrd, Ord)]
pub enum Distance {
    /// The same data centre.
    SameCentre,
    /// Another data centre of the same region: less than a millisecond away, at a high
    /// price per byte.
    SameRegion,
    /// A data centre of another region: tens of milliseconds away, at a higher price per
    /// byte.
    OtherRegion,
}

impl Topology {
    /// Returns the topology with these data centres, each with its region.
    pub fn new<'a>(regions: impl IntoIterator<Item = (&'a str, &'a str)>) -> Topology {
        let named = regions
            .into_iter()
            .map(|(centre, region)| (DataCentreKey::named(centre), RegionKey::named(region)));
        Topology(named.collect())
    }

    /// Returns the number of data centres, at least one.
    pub fn count(&self) -> usize {
        self.0.len().max(1)
    }

    /// Returns the distance between two data centres.
    ///
    /// A data centre without a configured region counts as part of the same region, since
    /// most sites have only one.
    pub fn distance(&self, from: DataCentreKey, to: DataCentreKey) -> Distance {
        match (self.0.get(&from), self.0.get(&to)) {
            _ if from == to => Distance::SameCentre,
            (Some(from), Some(to)) if from != to => Distance::OtherRegion,
            _ => Distance::SameRegion,
        }
    }

    /// Returns whether requests that must stay in `regions` may be sent to `centre`.
    ///
    /// An empty set means that requests may go anywhere. A data centre without a
    /// configured region belongs to none: requests that must not leave a country are not
    /// sent to an unknown place.
    pub fn is_allowed(&self, regions: &BTreeSet<RegionKey>, centre: DataCentreKey) -> bool {
        let region = self.0.get(&centre);
        regions.is_empty() || region.is_some_and(|r| regions.contains(r))
    }
}
