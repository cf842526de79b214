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
pub struct EndpointRoles {
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
pub struct ServiceRoles {
    /// Calls one endpoint bears at once.
    pub slots: u32,
    /// Calls one cold endpoint bears at once.
    pub cold_slots: u32,
    /// Calls that may wait at one entry host.
    pub queue: usize,
    /// What one probe costs.
    pub probe_cost: Duration,
    /// The broker of each region that has endpoints.
    pub brokers: BTreeMap<RegionKey, HostKey>,
    /// The region whose broker this host asks.
    pub home_region: Option<RegionKey>,
    /// Its endpoints that are not leaving.
    pub endpoints: Vec<EndpointKey>,
}

/// One member, as the slots see it.
#[value]
pub struct MemberInfo {
    /// Its incarnation.
    pub incarnation: u64,
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
pub struct RoleMap {
    /// Endpoints by key.
    pub endpoints: BTreeMap<EndpointKey, EndpointRoles>,
    /// Services by key.
    pub services: BTreeMap<ServiceKey, ServiceRoles>,
    /// Members by key.
    pub members: BTreeMap<HostKey, MemberInfo>,
}

impl RoleMap {
    /// Works out the map for the host `me`; `alive` are the members not suspected.
    ///
    /// Owners follow the configuration alone, since two owners of an endpoint
    /// would lease a slot twice. Brokers follow who is alive: two of them only
    /// cost time.
    pub fn new(config: &Config, me: HostKey, alive: &BTreeSet<HostKey>) -> RoleMap {
        let regions = regions(config);
        let members = config
            .members
            .iter()
            .map(|(key, member)| (*key, member_info(config, *key, member, &regions)))
            .collect();
        let mut map = RoleMap {
            members,
            ..RoleMap::default()
        };
        for service in config.services() {
            map.add(service, config, me, alive, &regions);
        }
        map
    }

    /// Returns the broker that is told of free slots of this endpoint.
    pub fn broker_of(&self, endpoint: EndpointKey) -> Option<HostKey> {
        let endpoint_roles = self.endpoints.get(&endpoint)?;
        self.services
            .get(&endpoint_roles.service)?
            .brokers
            .get(&endpoint_roles.region)
            .copied()
    }

    /// Returns the broker this host asks for slots of a service.
    pub fn broker(&self, service: ServiceKey) -> Option<HostKey> {
        let service_roles = self.services.get(&service)?;
        service_roles
            .brokers
            .get(&service_roles.home_region?)
            .copied()
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
        let mut service_roles = ServiceRoles {
            slots: service.slots,
            cold_slots: service.cold_slots,
            queue: service.queue as usize,
            probe_cost: Duration::from_millis(service.probe_cost_ms),
            brokers: BTreeMap::new(),
            home_region: None,
            endpoints: Vec::new(),
        };
        for endpoint in &service.endpoints {
            let id = endpoint.key(service);
            let centre = endpoint.centre();
            let region = regions.get(&centre).copied().unwrap_or(RegionKey(0));
            let leaving = config.is_leaving(&endpoint.data_centre, endpoint.address);
            let endpoint_roles = EndpointRoles {
                service: key,
                address: endpoint.address,
                centre,
                region,
                owner: self.elect(id.0, region, |_| true),
                leaving,
            };
            self.endpoints.insert(id, endpoint_roles);
            if leaving {
                continue;
            }
            service_roles.endpoints.push(id);
            if let Some(broker) = self.elect(key.0, region, |h| h == me || alive.contains(&h)) {
                service_roles.brokers.insert(region, broker);
            }
        }
        let own = self.members.get(&me).map(|p| p.region);
        service_roles.home_region = own
            .filter(|region| service_roles.brokers.contains_key(region))
            .or_else(|| service_roles.brokers.keys().next().copied());
        self.services.insert(key, service_roles);
    }

    /// Elects a member by rendezvous: staying ones of the region first, then any staying, then any.
    fn elect(
        &self,
        item: u64,
        region: RegionKey,
        may: impl Fn(HostKey) -> bool,
    ) -> Option<HostKey> {
        self.members
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

fn member_info(
    config: &Config,
    key: HostKey,
    member: &Member,
    regions: &BTreeMap<DataCentreKey, RegionKey>,
) -> MemberInfo {
    let centre = DataCentreKey::named(&member.data_centre);
    MemberInfo {
        incarnation: member.incarnation,
        centre,
        region: regions.get(&centre).copied().unwrap_or(RegionKey(0)),
        leaving: config.draining.contains(&key)
            || config.is_leaving(&member.data_centre, member.peer)
            || config.leaving_hosts.contains(&member.name),
    }
}
