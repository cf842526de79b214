//! Who does what for which service, worked out from the configuration.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use derives::{key, value};
use state::config::Member;
use state::keys::rendezvous;
use state::preset::Service;
use state::{Config, DataCentreKey, EndpointKey, HostKey, ServiceKey};

/// Names one region.
#[key]
pub struct RegionKey(pub u64);

/// One endpoint, as placing sees it.
#[value]
pub struct Site {
    /// Its service.
    pub service: ServiceKey,
    /// Where it listens.
    pub address: SocketAddr,
    /// The data centre it stands in.
    pub centre: DataCentreKey,
    /// The region it stands in.
    pub region: RegionKey,
    /// The entry host that leases its slots.
    pub owner: Option<HostKey>,
    /// Operators have taken it out.
    pub leaving: bool,
}

/// One service's sizes.
#[value]
pub struct Plan {
    /// Calls one endpoint bears at once.
    pub slots: u32,
    /// Calls one cold endpoint bears at once.
    pub cold: u32,
    /// Calls that may wait at one entry host.
    pub queue: usize,
    /// What one probe costs.
    pub probe: Duration,
    /// The broker of each region that has endpoints.
    pub brokers: BTreeMap<RegionKey, HostKey>,
    /// The region whose broker this host asks.
    pub home: Option<RegionKey>,
    /// Its endpoints that are not leaving.
    pub endpoints: Vec<EndpointKey>,
}

/// One member, as the slots see it.
#[value]
pub struct Peer {
    /// Its incarnation.
    pub life: u64,
    /// The data centre it stands in.
    pub centre: DataCentreKey,
    /// The region it stands in.
    pub region: RegionKey,
    /// Operators have taken it or its data centre out.
    pub leaving: bool,
}

/// The whole of it.
#[value]
#[derive(Default)]
pub struct Map {
    /// Endpoints by key.
    pub sites: BTreeMap<EndpointKey, Site>,
    /// Services by key.
    pub plans: BTreeMap<ServiceKey, Plan>,
    /// Members by key.
    pub peers: BTreeMap<HostKey, Peer>,
}

impl Map {
    /// Works out the map for the host `me`; `alive` are the members not suspected.
    ///
    /// Owners follow the configuration alone, since two owners of an endpoint
    /// would lease a slot twice. Brokers follow who is alive: two of them only
    /// cost time.
    pub fn new(config: &Config, me: HostKey, alive: &BTreeSet<HostKey>) -> Map {
        let regions = regions(config);
        let peers = config
            .members
            .iter()
            .map(|(key, member)| (*key, peer(config, *key, member, &regions)))
            .collect();
        let mut map = Map {
            peers,
            ..Map::default()
        };
        for service in config.services() {
            map.add(service, config, me, alive, &regions);
        }
        map
    }

    /// Returns the broker that is told of free slots of this endpoint.
    pub fn broker_of(&self, endpoint: EndpointKey) -> Option<HostKey> {
        let site = self.sites.get(&endpoint)?;
        self.plans
            .get(&site.service)?
            .brokers
            .get(&site.region)
            .copied()
    }

    /// Returns the broker this host asks for slots of a service.
    pub fn broker(&self, service: ServiceKey) -> Option<HostKey> {
        let plan = self.plans.get(&service)?;
        plan.brokers.get(&plan.home?).copied()
    }

    fn add(
        &mut self,
        service: &Service,
        config: &Config,
        me: HostKey,
        alive: &BTreeSet<HostKey>,
        regions: &BTreeMap<DataCentreKey, RegionKey>,
    ) {
        let key = service.key();
        let mut plan = Plan {
            slots: service.slots,
            cold: service.cold_slots,
            queue: service.queue as usize,
            probe: Duration::from_millis(service.probe_cost_ms),
            brokers: BTreeMap::new(),
            home: None,
            endpoints: Vec::new(),
        };
        for endpoint in &service.endpoints {
            let id = endpoint.key(service);
            let centre = endpoint.centre();
            let region = regions.get(&centre).copied().unwrap_or(RegionKey(0));
            let leaving = config.is_leaving(&endpoint.data_centre, endpoint.address);
            let site = Site {
                service: key,
                address: endpoint.address,
                centre,
                region,
                owner: self.elect(id.0, region, |_| true),
                leaving,
            };
            self.sites.insert(id, site);
            if leaving {
                continue;
            }
            plan.endpoints.push(id);
            if let Some(broker) = self.elect(key.0, region, |h| h == me || alive.contains(&h)) {
                plan.brokers.insert(region, broker);
            }
        }
        let own = self.peers.get(&me).map(|p| p.region);
        plan.home = own
            .filter(|region| plan.brokers.contains_key(region))
            .or_else(|| plan.brokers.keys().next().copied());
        self.plans.insert(key, plan);
    }

    /// Elects a member by rendezvous: staying ones of the region first, then any staying, then any.
    fn elect(
        &self,
        item: u64,
        region: RegionKey,
        may: impl Fn(HostKey) -> bool,
    ) -> Option<HostKey> {
        self.peers
            .iter()
            .filter(|(host, _)| may(**host))
            .max_by_key(|(host, peer)| {
                (
                    !peer.leaving,
                    peer.region == region,
                    rendezvous(host.0, item),
                )
            })
            .map(|(host, _)| *host)
    }
}

fn regions(config: &Config) -> BTreeMap<DataCentreKey, RegionKey> {
    config
        .data_centres()
        .iter()
        .map(|c| {
            let region = RegionKey(DataCentreKey::named(&c.region).0);
            (DataCentreKey::named(&c.name), region)
        })
        .collect()
}

fn peer(
    config: &Config,
    key: HostKey,
    member: &Member,
    regions: &BTreeMap<DataCentreKey, RegionKey>,
) -> Peer {
    let centre = DataCentreKey::named(&member.data_centre);
    Peer {
        life: member.incarnation,
        centre,
        region: regions.get(&centre).copied().unwrap_or(RegionKey(0)),
        leaving: config.draining.contains(&key)
            || config.is_leaving(&member.data_centre, member.peer)
            || config.leaving_hosts.contains(&member.name),
    }
}
