//! The owner and broker of every service, derived from the configuration.

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

/// The location and owner of one endpoint.
#[value]
pub struct EndpointRoles {
    /// The service of the endpoint.
    pub service: ServiceKey,
    /// The address that the endpoint listens on.
    pub address: SocketAddr,
    /// The data centre of the endpoint.
    pub centre: DataCentreKey,
    /// The region of the endpoint.
    pub region: RegionKey,
    /// The entry host that leases the endpoint's slots.
    pub owner: Option<HostKey>,
    /// Whether operators have taken the endpoint out of service.
    pub leaving: bool,
}

/// The limits, brokers and endpoints of one service.
#[value]
pub struct ServiceRoles {
    /// The number of calls that one endpoint takes at the same time.
    pub slots: u32,
    /// The number of calls that one cold endpoint takes at the same time.
    pub cold_slots: u32,
    /// The number of calls that may wait at one entry host.
    pub queue: usize,
    /// The processing time that one probe costs a backend server.
    pub probe_cost: Duration,
    /// The broker of each region that has endpoints.
    pub brokers: BTreeMap<RegionKey, HostKey>,
    /// The region whose broker this host uses.
    pub home_region: Option<RegionKey>,
    /// The endpoints that are not leaving.
    pub endpoints: Vec<EndpointKey>,
}

/// A member's incarnation and location.
#[value]
pub struct MemberInfo {
    /// The incarnation of the member.
    pub incarnation: u64,
    /// The data centre of the member.
    pub centre: DataCentreKey,
    /// The region of the member.
    pub region: RegionKey,
    /// Whether operators have taken the member or its data centre out of service.
    pub leaving: bool,
}

/// The roles of all members for all services.
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
    /// Derives the roles as the host `me` sees them; `alive` lists the members not suspected.
    ///
    /// Owners depend on the configuration alone, because two owners of an endpoint
    /// would lease a slot twice. Brokers also depend on which members are alive:
    /// two brokers of a service only cost waiting time.
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

    /// Returns the broker that gets the free slots of this endpoint.
    pub fn broker_of(&self, endpoint: EndpointKey) -> Option<HostKey> {
        let endpoint_roles = self.endpoints.get(&endpoint)?;
        self.services
            .get(&endpoint_roles.service)?
            .brokers
            .get(&endpoint_roles.region)
            .copied()
    }

    /// Returns the broker that this host uses for a service.
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

    /// Elects a member by rendezvous hashing. Prefers members that stay, then those of the region.
    fn elect(
        &self,
        item: u64,
        region: RegionKey,
        is_eligible: impl Fn(HostKey) -> bool,
    ) -> Option<HostKey> {
        self.members
            .iter()
            .filter(|(host, _)| is_eligible(**host))
            .max_by_key(|(host, member)| {
                (
                    !member.leaving,
                    member.region == region,
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
