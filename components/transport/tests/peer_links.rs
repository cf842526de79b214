//! Links between entry hosts, and refused peers.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use coordination::members::{Heartbeat, MemberMessage};
use protocol::PeerMessage;
use protocol::peer::{ConfigOffer, Hello, RefusedReason};
use rstest::rstest;
use stand_ins::proxy::Proxy;
use state::config::Member;
use state::{Config, HostKey};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use transport::peers::{FULL_MESH_LIMIT, Identity, Links, MessageHandler};

#[derive(Default)]
struct Inbox(Mutex<Vec<(HostKey, PeerMessage)>>);

impl MessageHandler for Inbox {
    fn handle(&self, from: HostKey, message: PeerMessage) {
        self.0.lock().unwrap().push((from, message));
    }
}

struct Host {
    links: Arc<Links>,
    inbox: Arc<Inbox>,
    address: SocketAddr,
    _config: watch::Sender<Arc<Config>>,
}

impl Host {
    async fn wait_for(&self, wanted: impl Fn(&PeerMessage) -> bool) {
        until(|| self.inbox.0.lock().unwrap().iter().any(|(_, m)| wanted(m))).await;
    }
}

async fn until(holds: impl Fn() -> bool) {
    for _ in 0..1_500 {
        if holds() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the condition did not come to hold in 15 s");
}

fn name(index: usize) -> String {
    format!("entry-{index}")
}

/// Starts `count` hosts of one configuration, which lists `absent` more members that don't run.
async fn hosts(count: usize, absent: usize) -> Vec<Host> {
    let mut listeners = Vec::new();
    for _ in 0..count + absent {
        listeners.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
    }
    let mut config = Config {
        revision: 1,
        offset: 9,
        ..Config::default()
    };
    for (index, listener) in listeners.iter().enumerate() {
        config
            .members
            .insert(HostKey::named(&name(index)), member(index, listener));
    }
    listeners.truncate(count);
    let started = listeners.into_iter().enumerate();
    started
        .map(|(index, listener)| start(&name(index), 1, listener, config.clone()))
        .collect()
}

fn member(index: usize, listener: &TcpListener) -> Member {
    Member {
        name: name(index),
        incarnation: 1,
        peer: listener.local_addr().unwrap(),
        data_centre: "trent".into(),
        joined: 1,
    }
}

fn start(name: &str, incarnation: u64, listener: TcpListener, config: Config) -> Host {
    let identity = Identity {
        name: name.into(),
        incarnation,
        data_centre: "trent".into(),
    };
    let address = listener.local_addr().unwrap();
    let (sender, receiver) = watch::channel(Arc::new(config));
    let links = Links::new(identity, receiver);
    let inbox = Arc::new(Inbox::default());
    links.run(listener, Arc::clone(&inbox) as Arc<dyn MessageHandler>);
    Host {
        links,
        inbox,
        address,
        _config: sender,
    }
}

fn heartbeat(sequence: u64) -> PeerMessage {
    let heartbeat = Heartbeat {
        incarnation: 1,
        sequence,
        epoch: 0,
        offset: 9,
        wants_ack: false,
    };
    PeerMessage::Member(MemberMessage::Heartbeat(heartbeat))
}

fn framed(body: &[u8]) -> Vec<u8> {
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend_from_slice(body);
    frame
}

fn hello(name: &str, to: &str) -> PeerMessage {
    PeerMessage::Hello(Hello {
        name: name.into(),
        incarnation: 1,
        to: to.into(),
        revision: 1,
        offset: 9,
    })
}

/// Reads one message from a raw connection, or none if the connection is closed first.
async fn read(stream: &mut TcpStream) -> Option<PeerMessage> {
    let length = stream.read_u32().await.ok()?;
    let mut body = vec![0; length as usize];
    stream.read_exact(&mut body).await.ok()?;
    PeerMessage::decode(body.into()).ok()
}

#[tokio::test]
async fn full_mesh() {
    let hosts = hosts(4, 0).await;
    for host in &hosts {
        until(|| host.links.link_count() == 3).await;
    }
    assert!(hosts[0].links.send(hosts[3].links.own_key(), &heartbeat(5)));
    hosts[3].wait_for(|m| *m == heartbeat(5)).await;
}

// Above `FULL_MESH_LIMIT` members, hosts don't keep a link to every other one: the
// first message opens it. Here both ends send at once and dial two links. If each
// end kept its own link and dropped the other's, all messages would be lost for
// good.
#[tokio::test]
async fn double_dial() {
    let hosts = hosts(2, FULL_MESH_LIMIT).await;
    let (a, b) = (&hosts[0], &hosts[1]);
    assert_eq!(a.links.link_count(), 0);
    for sequence in 0..50 {
        a.links.send(b.links.own_key(), &heartbeat(sequence));
        b.links.send(a.links.own_key(), &heartbeat(sequence));
        tokio::task::yield_now().await;
    }
    until(|| a.links.is_linked(b.links.own_key()) && b.links.is_linked(a.links.own_key())).await;
    until(|| {
        a.links.send(b.links.own_key(), &heartbeat(99));
        b.links.send(a.links.own_key(), &heartbeat(99));
        [a, b].iter().all(|h| {
            h.inbox
                .0
                .lock()
                .unwrap()
                .iter()
                .any(|(_, m)| *m == heartbeat(99))
        })
    })
    .await;
}

// A host that is removed during a long pause still takes itself for a member when
// it resumes. Its hello must be refused, and the refusal must state the offset of
// the configuration that it lacks.
#[tokio::test]
async fn no_member() {
    let hosts = hosts(1, 0).await;
    let mut stream = TcpStream::connect(hosts[0].address).await.unwrap();
    stream
        .write_all(&framed(&hello("removed", &name(0)).encode()))
        .await
        .unwrap();
    let Some(PeerMessage::Refused(refused)) = read(&mut stream).await else {
        panic!("no refusal was received");
    };
    assert_eq!(refused.reason, RefusedReason::NoMember);
    assert_eq!(refused.offset, 9);
    assert_eq!(read(&mut stream).await, None);
    assert!(hosts[0].inbox.0.lock().unwrap().is_empty());
}

// A client that is no entry host, or a host of another release, writes to the
// peer port. Its connection must be closed, and the members' links must still work.
#[rstest]
#[case::garbage(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n".to_vec())]
#[case::oversized(vec![0x7f, 0xff, 0xff, 0xff, 1, 2, 3])]
#[case::no_hello(framed(&heartbeat(1).encode()))]
#[case::version(framed(&[8, 9, 18, 0]))]
#[case::damaged(framed(&[255; 40]))]
#[tokio::test]
async fn bad_first_message(#[case] bytes: Vec<u8>) {
    let hosts = hosts(2, 0).await;
    let mut stream = TcpStream::connect(hosts[0].address).await.unwrap();
    stream.write_all(&bytes).await.unwrap();
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest).await;
    until(|| hosts[0].links.link_count() == 1).await;
    assert!(hosts[1].links.send(hosts[0].links.own_key(), &heartbeat(7)));
    hosts[0].wait_for(|m| *m == heartbeat(7)).await;
}

// A member's link is cut in the middle of a message, or a fault in its release
// makes it send invalid frames. Its link must be closed, and it may dial again.
#[rstest]
#[case::cut(framed(&heartbeat(1).encode())[..6].to_vec())]
#[case::oversized(vec![0x10, 0, 0, 0])]
#[case::damaged(framed(&[255; 40]))]
#[tokio::test]
async fn bad_member(#[case] bytes: Vec<u8>) {
    let hosts = hosts(1, 1).await;
    let mut stream = TcpStream::connect(hosts[0].address).await.unwrap();
    stream
        .write_all(&framed(&hello(&name(1), &name(0)).encode()))
        .await
        .unwrap();
    assert!(matches!(
        read(&mut stream).await,
        Some(PeerMessage::Hello(_))
    ));
    until(|| hosts[0].links.link_count() == 1).await;
    stream.write_all(&bytes).await.unwrap();
    stream.shutdown().await.unwrap();
    until(|| hosts[0].links.link_count() == 0).await;
}

// A peer stops reading, since its process hangs or its host is overloaded. The
// messages queued for it must not grow in this host's memory without limit.
#[tokio::test]
async fn stuck_reader() {
    let hosts = hosts(1, 1).await;
    let mut stream = TcpStream::connect(hosts[0].address).await.unwrap();
    stream
        .write_all(&framed(&hello(&name(1), &name(0)).encode()))
        .await
        .unwrap();
    let to = HostKey::named(&name(1));
    until(|| hosts[0].links.is_linked(to)).await;
    let body = Bytes::from(vec![0; 400_000]);
    let offer = PeerMessage::Config(ConfigOffer {
        revision: 1,
        offset: 9,
        body,
    });
    let mut taken = 0;
    while hosts[0].links.send(to, &offer) {
        taken += 1;
        assert!(
            taken < 200,
            "80 MB are queued for a peer that does not read"
        );
        tokio::task::yield_now().await;
    }
    assert!(taken > 0);
}

// A device between two hosts loses the state of their link: all that is sent on
// it is lost, while new links work. One end notices and dials a new link; the
// other end, which has not noticed, must not keep the old link instead.
#[rstest]
#[case::dialer_notices(0)]
#[case::other_notices(1)]
#[tokio::test]
async fn silent_link(#[case] noticing: usize) {
    let mut listeners = Vec::new();
    let mut proxies = Vec::new();
    let mut config = Config {
        revision: 1,
        offset: 9,
        ..Config::default()
    };
    for index in 0..2 {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let proxy = Proxy::start(listener.local_addr().unwrap()).unwrap();
        let mut member = member(index, &listener);
        member.peer = proxy.address();
        config.members.insert(HostKey::named(&name(index)), member);
        listeners.push(listener);
        proxies.push(proxy);
    }
    let started = listeners.into_iter().enumerate();
    let mut hosts: Vec<Host> = started
        .map(|(index, listener)| start(&name(index), 1, listener, config.clone()))
        .collect();
    hosts.sort_by_key(|h| h.links.own_key());
    let (one, other) = (&hosts[noticing], &hosts[1 - noticing]);
    until(|| one.links.link_count() == 1 && other.links.link_count() == 1).await;
    for proxy in &proxies {
        proxy.silence();
    }
    one.links.close_link(other.links.own_key());
    until(|| {
        one.links.send(other.links.own_key(), &heartbeat(42));
        other.links.send(one.links.own_key(), &heartbeat(42));
        [one, other].iter().all(|h| {
            let inbox = h.inbox.0.lock().unwrap();
            inbox.iter().any(|(_, m)| *m == heartbeat(42))
        })
    })
    .await;
}
