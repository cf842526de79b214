//! The peer links of one entry host: accepting, dialling, sending and receiving.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::BytesMut;
use coordination::members::LiveView;
use derives::value;
use futures_util::StreamExt;
use protocol::PeerMessage;
use protocol::peer::{ConfigOffer, Hello};
use rand::Rng;
use state::config::Member;
use state::{Config, HostKey};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore, watch};
use tokio::time::{MissedTickBehavior, interval, timeout};
use tokio_util::sync::CancellationToken;

use super::counters::{self, Throttle};
use super::handshake::{self, HandshakeError, PeerConnection, Reader};
use super::table::{LinkTable, OpenLink};
use super::{FULL_MESH_LIMIT, LINK_IDLE_TIMEOUT, MAX_PENDING_HANDSHAKES, socket};
use crate::clock;

/// Time-out of a TCP connect to a peer.
const DIAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which missing links are dialled and unwanted ones are closed.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(100);

/// How long a replaced link stays open to deliver the messages already sent on it.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Receives the messages of peers.
pub trait MessageHandler: Send + Sync {
    /// Handles one message. Runs in the link's reading task and must not block.
    fn handle(&self, from: HostKey, message: PeerMessage);

    /// Returns the configuration to send to a host that requests it. May block.
    fn config_offer(&self) -> Option<ConfigOffer> {
        None
    }
}

/// The identity of this process as an entry host.
#[value]
pub struct Identity {
    /// The host's name.
    pub name: String,
    /// A random number, drawn anew each time the process starts or joins again.
    pub incarnation: u64,
    /// The data centre that the host runs in.
    pub data_centre: String,
}

/// Sends messages to other members, and passes received ones to a [`MessageHandler`].
pub struct Links {
    own_key: HostKey,
    identity: Mutex<Identity>,
    config: watch::Receiver<Arc<Config>>,
    table: Mutex<LinkTable>,
    handshake_permits: Arc<Semaphore>,
    throttle: Throttle,
    dial_now: Notify,
    view: watch::Sender<Arc<LiveView>>,
    stop: CancellationToken,
}

impl Identity {
    /// Returns the host's key.
    pub fn key(&self) -> HostKey {
        HostKey::named(&self.name)
    }
}

impl Links {
    /// Returns links that don't accept or dial until [`Links::run`] is called.
    pub fn new(identity: Identity, config: watch::Receiver<Arc<Config>>) -> Arc<Links> {
        let own_key = identity.key();
        Arc::new(Links {
            own_key,
            identity: Mutex::new(identity),
            config,
            table: Mutex::new(LinkTable::new(own_key)),
            handshake_permits: Arc::new(Semaphore::new(MAX_PENDING_HANDSHAKES)),
            throttle: Throttle::default(),
            dial_now: Notify::new(),
            view: watch::channel(Arc::default()).0,
            stop: CancellationToken::new(),
        })
    }

    /// Starts to accept and dial links on the current runtime.
    pub fn run(self: &Arc<Self>, listener: TcpListener, handler: Arc<dyn MessageHandler>) {
        tokio::spawn(Arc::clone(self).accept(listener, Arc::clone(&handler)));
        tokio::spawn(Arc::clone(self).run_upkeep(handler));
    }

    /// Closes all links.
    pub fn stop(&self) {
        self.stop.cancel();
        self.table().retain(|_, _| false);
    }

    /// Returns this host's key.
    pub fn own_key(&self) -> HostKey {
        self.own_key
    }

    /// Returns the identity of this process; its incarnation changes when it joins again.
    pub fn identity(&self) -> Identity {
        lock(&self.identity).clone()
    }

    /// Sets a new incarnation, under which this host will join again, and closes all links.
    pub fn set_incarnation(&self, incarnation: u64) {
        lock(&self.identity).incarnation = incarnation;
        self.table().retain(|_, _| false);
    }

    /// Returns a watch on the members that are alive.
    pub fn view(&self) -> watch::Receiver<Arc<LiveView>> {
        self.view.subscribe()
    }

    /// Publishes which members are alive.
    pub(super) fn publish(&self, view: LiveView) {
        self.view.send_if_modified(|shown| {
            let changed = **shown != view;
            if changed {
                *shown = Arc::new(view);
            }
            changed
        });
    }

    /// Returns whether there is a link to `host`.
    pub fn is_linked(&self, host: HostKey) -> bool {
        self.table().is_linked(host)
    }

    /// Returns the number of links.
    pub fn link_count(&self) -> usize {
        self.table().link_count()
    }

    /// Closes the link to `host`, so that a new one is dialled.
    ///
    /// A link can stop delivering for good while new ones work.
    pub fn close_link(&self, host: HostKey) {
        self.table().close_link(host);
    }

    /// Queues a message for `to` without waiting. Returns false if the message was dropped.
    ///
    /// True does not mean that the message arrives, since a link can break.
    /// Senders repeat the messages that must arrive.
    pub fn send(&self, to: HostKey, message: &PeerMessage) -> bool {
        if !self.config.borrow().members.contains_key(&to) {
            counters::count_dropped("no_member", 1);
            return false;
        }
        let Some(route) = self.table().route(to, clock::now()) else {
            counters::count_dropped("no_link", 1);
            return false;
        };
        let queued = route.outbox.push(message.encode(), message.is_bulk());
        if route.dial {
            self.dial_now.notify_one();
        }
        queued
    }

    async fn accept(self: Arc<Self>, listener: TcpListener, handler: Arc<dyn MessageHandler>) {
        loop {
            // Takes the permit before accepting: past the limit, new connections
            // wait in the kernel's queue.
            let Ok(permit) = Arc::clone(&self.handshake_permits).acquire_owned().await else {
                return;
            };
            let accepted = tokio::select! {
                () = self.stop.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            let stream = match accepted {
                Ok((stream, _)) => stream,
                Err(e) => {
                    log::error!("E0407 peer-accept-failed error={e:?}");
                    tokio::time::sleep(UPKEEP_INTERVAL).await;
                    continue;
                }
            };
            let links = Arc::clone(&self);
            let handler = Arc::clone(&handler);
            tokio::spawn(async move {
                let connection = links.accept_peer(stream, &handler).await;
                drop(permit);
                match connection {
                    Ok(connection) => {
                        let dialer = connection.peer;
                        links.run_link(connection, dialer, handler).await;
                    }
                    Err(HandshakeError::Asked) => {}
                    Err(e) => links.log_refusal("", &e),
                }
            });
        }
    }

    async fn accept_peer(
        &self,
        stream: TcpStream,
        handler: &Arc<dyn MessageHandler>,
    ) -> Result<PeerConnection, HandshakeError> {
        socket::prepare(&stream)?;
        let hello = self.hello(String::new());
        handshake::accept(stream, hello, || self.config(), handler).await
    }

    /// Dials missing links and closes those that are no longer wanted, until stopped.
    async fn run_upkeep(self: Arc<Self>, handler: Arc<dyn MessageHandler>) {
        let mut config = self.config.clone();
        let mut tick = interval(UPKEEP_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = self.stop.cancelled() => return,
                _ = tick.tick() => {}
                () = self.dial_now.notified() => {}
                changed = config.changed() => if changed.is_err() { return },
            }
            self.upkeep(&handler);
        }
    }

    fn upkeep(self: &Arc<Self>, handler: &Arc<dyn MessageHandler>) {
        let config = self.config();
        let now = clock::now();
        let mut table = self.table();
        table.retain(|host, incarnation| {
            let member = config.members.get(&host);
            member.is_some_and(|m| incarnation.is_none_or(|i| i == m.incarnation))
        });
        metrics::gauge!("cardamomvale_peer_links").set(table.link_count() as f64);
        if !config.members.contains_key(&self.own_key) {
            return;
        }
        let mut wanted = table.dial_wanted();
        if config.members.len() <= FULL_MESH_LIMIT {
            // The host with the smaller key dials, so that a pair opens one link, not two.
            wanted.extend(
                config
                    .members
                    .range(self.own_key..)
                    .skip(1)
                    .map(|(h, _)| *h),
            );
        } else {
            for host in table.idle(now - LINK_IDLE_TIMEOUT) {
                table.close_link(host);
            }
        }
        wanted.retain(|host| table.start_dial(*host, now));
        drop(table);
        for host in wanted {
            self.spawn_dial(&config, host, handler);
        }
    }

    fn spawn_dial(
        self: &Arc<Self>,
        config: &Config,
        host: HostKey,
        handler: &Arc<dyn MessageHandler>,
    ) {
        let Some(member) = config.members.get(&host).cloned() else {
            self.table().fail_dial(host, clock::now(), 0.0);
            return;
        };
        let links = Arc::clone(self);
        let handler = Arc::clone(handler);
        tokio::spawn(async move { links.dial(host, member, handler).await });
    }

    async fn dial(
        self: Arc<Self>,
        host: HostKey,
        member: Member,
        handler: Arc<dyn MessageHandler>,
    ) {
        let error = match self.connect(&member).await {
            Ok(connection) => return self.run_link(connection, self.own_key, handler).await,
            Err(error) => error,
        };
        let jitter = rand::rng().random();
        self.table().fail_dial(host, clock::now(), jitter);
        self.log_refusal(&member.name, &error);
        if let HandshakeError::RefusedBy(refused) = error {
            handler.handle(host, PeerMessage::Refused(refused));
        }
    }

    async fn connect(&self, member: &Member) -> Result<PeerConnection, HandshakeError> {
        let stream = timeout(DIAL_TIMEOUT, TcpStream::connect(member.peer))
            .await
            .map_err(|_| HandshakeError::Silent)??;
        socket::prepare(&stream)?;
        let hello = self.hello(member.name.clone());
        handshake::initiate(stream, &hello, || self.config()).await
    }

    /// Runs one link until it is closed.
    async fn run_link(
        &self,
        connection: PeerConnection,
        dialer: HostKey,
        handler: Arc<dyn MessageHandler>,
    ) {
        let PeerConnection {
            peer,
            hello,
            reader,
            writer,
        } = connection;
        let Some(opened) = self
            .table()
            .open(peer, hello.incarnation, dialer, clock::now())
        else {
            return;
        };
        log::info!(
            "E0400 peer-linked host={} incarnation={}",
            hello.name,
            hello.incarnation
        );
        handler.handle(peer, PeerMessage::Hello(hello.clone()));
        let stop = opened.stop.clone();
        let error = tokio::select! {
            error = self.read_messages(peer, reader, &handler) => error,
            error = write_messages(writer, &opened) => error,
            () = wait_drained(&stop) => None,
        };
        if self.table().close(peer, opened.serial) {
            let why = error.unwrap_or_else(|| "closed".into());
            log::info!("E0401 peer-unlinked host={} why={why:?}", hello.name);
        }
    }

    async fn read_messages(
        &self,
        peer: HostKey,
        mut reader: Reader,
        handler: &Arc<dyn MessageHandler>,
    ) -> Option<String> {
        while let Some(frame) = reader.next().await {
            let frame = match frame {
                Ok(frame) => frame.freeze(),
                Err(e) => {
                    let error = HandshakeError::Io(e);
                    self.log_refusal("", &error);
                    return Some(error.to_string());
                }
            };
            counters::count_received(frame.len() + super::outbox::LENGTH_FIELD);
            match PeerMessage::decode(frame) {
                Ok(message) => handler.handle(peer, message),
                Err(e) => {
                    let error = HandshakeError::Protocol(e);
                    self.log_refusal("", &error);
                    return Some(error.to_string());
                }
            }
        }
        None
    }

    fn log_refusal(&self, host: &str, error: &HandshakeError) {
        counters::count_refusal(error.label());
        // Members learn of a new host at different times, so this refusal is
        // expected during a join and no reason for a warning.
        let level = match error.is_membership_error() {
            true => log::Level::Info,
            false => log::Level::Warn,
        };
        if self.throttle.allows() {
            log::log!(
                level,
                "E0402 peer-refused host={host} why={} error={error:?}",
                error.label()
            );
        }
    }

    fn hello(&self, to: String) -> Hello {
        let identity = self.identity();
        let config = self.config();
        Hello {
            name: identity.name,
            incarnation: identity.incarnation,
            to,
            revision: config.revision,
            offset: config.offset,
        }
    }

    fn config(&self) -> Arc<Config> {
        Arc::clone(&self.config.borrow())
    }

    fn table(&self) -> MutexGuard<'_, LinkTable> {
        lock(&self.table)
    }
}

async fn write_messages(mut writer: OwnedWriteHalf, opened: &OpenLink) -> Option<String> {
    let mut buffer = BytesMut::new();
    loop {
        tokio::select! {
            biased;
            () = opened.stop.cancelled() => break,
            () = opened.outbox.batch(&mut buffer) => {}
        }
        if let Err(e) = writer.write_all(&buffer).await {
            return Some(e.to_string());
        }
        buffer.clear();
    }
    // The peer reads all that was sent before the shutdown, and this host goes on
    // reading meanwhile.
    let _ = writer.shutdown().await;
    std::future::pending().await
}

async fn wait_drained(stop: &CancellationToken) {
    stop.cancelled().await;
    tokio::time::sleep(DRAIN_TIMEOUT).await;
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
