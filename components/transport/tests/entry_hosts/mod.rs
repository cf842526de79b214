//! Entry hosts without a port for callers: links, members and claims, with a
//! stand-in for the store.
#![allow(dead_code)]

use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use coordination::members::watch::WATCHERS;
use protocol::PeerMessage;
use stand_ins::store::{Behaviour, StoreStandIn};
use state::{HostKey, Moment, ServiceKey};
use tokio::net::TcpListener;
use transport::claims::{ClaimRequest, Claims, ClaimsOptions, WorkerOptions};
use transport::clock;
use transport::log::{BlockingStoreClient, Follower, FollowerOptions, Submission};
use transport::peers::{FULL_MESH_LIMIT, Identity, Links, Members, MembersOptions, MessageHandler};

const CENTRES: [&str; 3] = ["trent", "severn", "soar"];

/// The components of one entry host.
pub struct Host {
    pub links: Arc<Links>,
    pub members: Arc<Members>,
    pub claims: Arc<Claims>,
    pub follower: Arc<Follower>,
    pub key: HostKey,
}

/// A store and the entry hosts that use it.
pub struct Site {
    pub log: StoreStandIn,
    pub hosts: Vec<Host>,
}

#[derive(Default)]
struct Router(OnceLock<Arc<Claims>>);

impl MessageHandler for Router {
    fn handle(&self, from: HostKey, message: PeerMessage) {
        if let (PeerMessage::Claim(message), Some(claims)) = (message, self.0.get()) {
            claims.receive(from, message);
        }
    }
}

impl Site {
    /// Starts a store and `count` hosts, and waits until all are members with their links up.
    pub async fn start(count: usize, worker: WorkerOptions) -> Site {
        Site::start_with(Behaviour::default(), count, worker).await
    }

    /// Starts a store with this behaviour and an ample budget of appends, and `count` hosts.
    pub async fn start_with(behaviour: Behaviour, count: usize, worker: WorkerOptions) -> Site {
        let behaviour = Behaviour {
            appends_second: 10_000,
            ..behaviour
        };
        let log = StoreStandIn::on_loopback(behaviour).unwrap();
        let mut site = Site {
            log,
            hosts: Vec::new(),
        };
        for index in 0..count {
            let host = site
                .start_host(&format!("entry-{index}"), index, worker)
                .await;
            site.hosts.push(host);
        }
        let wanted = match count <= FULL_MESH_LIMIT {
            true => count - 1,
            false => WATCHERS,
        };
        for host in &site.hosts {
            until(|| {
                let view = host.links.view();
                let view = view.borrow();
                let linked = host.links.link_count();
                view.peers.len() == count && linked >= wanted
            })
            .await;
        }
        site
    }

    pub async fn start_host(&self, name: &str, index: usize, worker: WorkerOptions) -> Host {
        let client = self.client();
        let options = FollowerOptions {
            wait: Duration::from_millis(200),
            max_retry_delay: Duration::from_millis(200),
            ..FollowerOptions::default()
        };
        let follower = Arc::new(Follower::start(client.clone(), options));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let identity = Identity {
            name: name.to_owned(),
            incarnation: index as u64 + 1,
            data_centre: CENTRES[index % 3].to_owned(),
        };
        let links = Links::new(identity.clone(), follower.config());
        let router = Arc::new(Router::default());
        let options = MembersOptions {
            identity,
            address: listener.local_addr().unwrap(),
            follower: Arc::clone(&follower),
            host_list: self.log.address(),
            submission: Submission::new(
                client.clone(),
                Arc::clone(&follower),
                Duration::from_secs(5),
            ),
        };
        let receive = Arc::clone(&router) as Arc<dyn MessageHandler>;
        let members = Members::start(options, listener, Arc::clone(&links), receive);
        let claims = Claims::start(ClaimsOptions {
            client,
            links: Arc::clone(&links),
            worker,
        });
        let _ = router.0.set(Arc::clone(&claims));
        let key = links.own_key();
        Host {
            links,
            members,
            claims,
            follower,
            key,
        }
    }

    pub fn client(&self) -> BlockingStoreClient {
        BlockingStoreClient::new(self.log.address(), Duration::from_millis(700))
    }

    /// Stops a host without notice, as a crash of its process would.
    pub fn kill(&mut self, index: usize) -> HostKey {
        let host = self.hosts.remove(index);
        host.members.stop();
        host.claims.stop();
        host.key
    }
}

/// Waits until `holds` returns true, and panics after 30 seconds.
pub async fn until(holds: impl Fn() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(
            start.elapsed() < Duration::from_secs(30),
            "the condition did not hold within 30 seconds"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Returns the claim of `key` by a call whose deadline is in `timeout`.
pub fn request(key: &str, digest: u8, timeout: Duration) -> ClaimRequest {
    ClaimRequest {
        service: ServiceKey::named("ledgerhouse"),
        key: key.to_owned(),
        digest: [digest; 32],
        ttl: Duration::from_secs(7_200),
        deadline: deadline(timeout),
    }
}

pub fn deadline(timeout: Duration) -> Moment {
    clock::now() + timeout
}
