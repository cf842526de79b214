//! Follows the store's topics: the operators' configuration and the list of endpoints.
//!
//! `coordination::read_schedule` decides when this host reads from the store. The host
//! sends the records that it reads to its neighbours.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use coordination::read_schedule::{RESYNC_INTERVAL, ReadSchedule, UpdateOutcome};
use coordination::superseded::blank_superseded;
use platform::endpoint;
use platform::operator::{self, Subject};
use platform::store::Record;
use protocol::neighbour::{NeighbourMessage, RecordUpdate, Topic};
use state::fleet::{Endpoint, Entry};
use state::{DataCentreKey, Moment, ServiceKey};
use tokio::time::timeout;

use super::Gateway;
use crate::clock;
use crate::store::{StoreClient, StoreError};

/// The most records over which a host leads others from one offset to another.
///
/// Hosts that follow the topic are seconds behind its end at most.
const MAX_BRIDGE: usize = 200_000;

impl Gateway {
    /// Follows one topic; never returns.
    pub(super) async fn follow(self: Rc<Self>, topic: Topic) {
        let mut store = StoreClient::new(self.settings.log);
        loop {
            self.await_due(topic).await;
            let now = clock::now();
            let (next, is_reader, deferrals) = self.with_schedule(topic, |schedule| {
                schedule.begin_read();
                let deferrals = schedule.deferrals(now);
                (schedule.read_from(), schedule.is_reader(), deferrals)
            });
            if !is_reader {
                log::info!(
                    "E0321 own-read topic={topic:?} from={next:?} silence_ms={} \
                     neighbour_reads={} fragments={}",
                    deferrals.silence.as_millis(),
                    deferrals.neighbour_reads,
                    deferrals.fragments
                );
                self.broadcast(&NeighbourMessage::ReadStarted(topic));
            }
            let result = match next {
                None => self.read_snapshot(&mut store, topic).await,
                Some(from) => self.read_next(&mut store, topic, from).await,
            };
            if let Err(error) = result {
                self.note_read_failure(topic, &error);
            }
            self.registry.borrow_mut().forget_warm_buckets(clock::now());
        }
    }

    /// Waits until this host's own next read is due.
    async fn await_due(&self, topic: Topic) {
        loop {
            let due = self.with_schedule(topic, |schedule| schedule.due());
            let left = clock::now().until(due);
            if left.is_zero() {
                return;
            }
            // After a wake-up or a timeout the due time is checked again.
            let _notified = timeout(left, self.schedule_changed.notified()).await;
        }
    }

    /// Runs `act` on the read schedule of a topic.
    pub(super) fn with_schedule<R>(
        &self,
        topic: Topic,
        act: impl FnOnce(&mut ReadSchedule) -> R,
    ) -> R {
        let mut schedules = self.schedules.borrow_mut();
        match topic {
            Topic::Operators => act(&mut schedules.operators),
            Topic::Endpoints => act(&mut schedules.endpoints),
        }
    }

    /// Returns how long ago the store was read to what this host knows of a topic.
    pub(super) fn age(&self, topic: Topic) -> Option<Duration> {
        self.with_schedule(topic, |schedule| schedule.age(clock::now()))
    }

    fn note_read_failure(&self, topic: Topic, error: &StoreError) {
        let now = clock::now();
        let draw = self.random_fraction();
        if let StoreError::Forgotten(_) = error {
            self.with_schedule(topic, |schedule| schedule.offset_trimmed(draw, now));
            return;
        }
        let failures = self.with_schedule(topic, |schedule| {
            schedule.read_failed(draw, now);
            schedule.failures()
        });
        if failures == 1 {
            log::warn!("E0301 log-unreadable topic={topic:?} error={error:?}");
        }
        self.broadcast(&NeighbourMessage::ReadFailed(topic));
        self.request_snapshot(topic);
    }

    /// Handles a message of the neighbour `from` that its read of a topic failed.
    pub(super) fn handle_read_failure(&self, from: SocketAddr, topic: Topic) {
        let draw = self.random_fraction();
        let yields = from < self.settings.peers;
        self.with_schedule(topic, |schedule| {
            schedule.neighbour_read_failed(from, yields, draw, clock::now());
        });
    }

    /// Handles a message of the neighbour `from` that it has begun to read a topic.
    pub(super) fn handle_read_start(&self, from: SocketAddr, topic: Topic) {
        let draw = self.random_fraction();
        self.with_schedule(topic, |s| {
            s.neighbour_read_started(from, draw, clock::now());
        });
    }

    /// Handles a neighbour's message that it reads a whole topic and sends what has changed.
    pub(super) fn handle_resync(&self, topic: Topic) {
        let draw = self.random_fraction();
        self.with_schedule(topic, |s| s.neighbour_resyncs(draw, clock::now()));
    }

    /// Handles records read by a host of another data centre, on behalf of all neighbours.
    pub(super) fn handle_cross_centre(self: &Rc<Self>, update: RecordUpdate, sender: SocketAddr) {
        let topic = update.topic;
        let Some(next) = self.with_schedule(topic, |schedule| schedule.next()) else {
            return;
        };
        if update.from > next {
            if self.is_receiving(topic, update.from) {
                return;
            }
            self.send(sender, &NeighbourMessage::RecordsRequest(topic, next));
            let draw = self.random_fraction();
            self.with_schedule(topic, |schedule| {
                schedule.mark_lagging(update.next(), draw, clock::now());
            });
            self.schedule_changed.notify_waiters();
            return;
        }
        let stale = self.with_schedule(topic, |schedule| schedule.is_stale(clock::now()));
        let new = self.handle_update(&update, sender);
        if new || stale {
            let update = RecordUpdate {
                relay_root: self.settings.peers,
                cross_centre: false,
                ..update
            };
            self.send_update(update, true);
        }
    }

    /// Records that a topic is readable again, by this host or by a neighbour.
    ///
    /// `recovered` tells whether reads of this host had failed before.
    fn note_readable(&self, topic: Topic, recovered: bool) {
        if !recovered {
            return;
        }
        log::info!("E0310 log-readable-again topic={topic:?}");
        if topic == Topic::Endpoints {
            self.registry.borrow_mut().start_lapse_grace(clock::now());
        }
    }

    async fn read_next(
        self: &Rc<Self>,
        store: &mut StoreClient,
        topic: Topic,
        from: u64,
    ) -> Result<(), StoreError> {
        let sent = clock::now();
        let (wait, is_lagging) = self.with_schedule(topic, |schedule| {
            (schedule.read_wait(sent), schedule.is_lagging(sent))
        });
        let read = store.read(topic_name(topic), from, wait, None).await?;
        // An answer may be as old as it is overdue.
        let read_at = clock::now().min(sent + wait);
        // A neighbour may have sent some of the records in the meantime.
        let known = self
            .with_schedule(topic, |schedule| schedule.next())
            .unwrap_or(from);
        let alone = self.neighbours.borrow().is_empty();
        let draw = self.random_fraction();
        let recovered = self.with_schedule(topic, |schedule| {
            schedule.read_finished(read.next(), read_at, alone, draw, clock::now())
        });
        self.note_readable(topic, recovered);
        let skip = usize::try_from(known.saturating_sub(from)).unwrap_or(usize::MAX);
        let records = match topic {
            Topic::Operators => {
                let mut records = read.records;
                blank_configs(&mut records);
                records
            }
            Topic::Endpoints => self.blank_renewals(read.records, skip),
        };
        self.apply_records(topic, known, records.iter().skip(skip));
        let update = RecordUpdate {
            topic,
            reader: self.settings.peers,
            relay_root: self.settings.peers,
            cross_centre: false,
            from,
            age: Some(clock::now().since(read_at)),
            records,
        };
        let reader = self.with_schedule(topic, |schedule| schedule.is_reader());
        if reader {
            self.send_cross_centre(&update);
        }
        self.send_update(update, reader || is_lagging);
        Ok(())
    }

    /// Replaces records that only renew an endpoint's entry by empty ones.
    ///
    /// The first `known` records were applied before: what they changed is known here, but not
    /// to hosts that lack them. They, and the first record of an endpoint behind them that says
    /// something new, are what later ones are compared with.
    fn blank_renewals(&self, records: Vec<Bytes>, known: usize) -> Vec<Bytes> {
        let now = clock::now();
        if !self.with_schedule(Topic::Endpoints, |schedule| schedule.is_exact(now)) {
            return records;
        }
        let registry = self.registry.borrow();
        let mut earlier: BTreeMap<String, Option<Entry>> = BTreeMap::new();
        let blank = |(at, bytes): (usize, Bytes)| {
            let Some(record) = platform::store::decode_record(bytes.clone()) else {
                return bytes;
            };
            let entry = decode_entry(&record);
            let is_renewal = match (earlier.get(&record.key), &entry) {
                (Some(Some(Entry::Endpoint(old))), Some(Entry::Endpoint(new))) => {
                    old.is_renewed_by(new)
                }
                (Some(_), _) => false,
                (None, entry) => {
                    at >= known && registry.is_renewal(&record.key, entry.as_ref(), now)
                }
            };
            if is_renewal {
                return Bytes::new();
            }
            earlier.insert(record.key, entry);
            bytes
        };
        records.into_iter().enumerate().map(blank).collect()
    }

    /// Handles records that a neighbour has read, and returns whether any were new.
    ///
    /// If earlier records are missing, requests them from `sender`, unless a
    /// message with them is being received.
    pub(super) fn handle_update(
        self: &Rc<Self>,
        update: &RecordUpdate,
        sender: SocketAddr,
    ) -> bool {
        let known = self.with_schedule(update.topic, |schedule| schedule.next());
        let is_ahead = known.is_some_and(|next| update.from > next);
        if is_ahead && self.is_receiving(update.topic, update.from) {
            self.defer_update(update, sender);
            return false;
        }
        let now = clock::now();
        let draw = self.random_fraction();
        // Of two readers, the one with the lower address continues.
        let yields = update.reader < self.settings.peers;
        let next = update.next();
        let outcome = self.with_schedule(update.topic, |schedule| {
            let read_at = update.age.and_then(|age| now.checked_sub(age));
            schedule.update_received((update.from, next), read_at, yields, draw, now)
        });
        let (skip, recovered) = match outcome {
            UpdateOutcome::Apply { skip, recovered } => (skip, recovered),
            UpdateOutcome::Known => return false,
            UpdateOutcome::Gap => {
                if let Some(from) = self.with_schedule(update.topic, |schedule| schedule.next()) {
                    self.send(
                        sender,
                        &NeighbourMessage::RecordsRequest(update.topic, from),
                    );
                }
                self.schedule_changed.notify_waiters();
                return false;
            }
        };
        self.note_readable(update.topic, recovered);
        let known = update.from + skip;
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        self.apply_records(update.topic, known, update.records.iter().skip(skip));
        true
    }

    /// Applies records; `from` is the offset of the first one.
    fn apply_records<'a>(
        self: &Rc<Self>,
        topic: Topic,
        from: u64,
        records: impl Iterator<Item = &'a Bytes>,
    ) {
        for (offset, bytes) in (from..).zip(records) {
            let mut caches = self.caches.borrow_mut();
            caches.of(topic).push_recent(offset, bytes.clone());
            drop(caches);
            if bytes.is_empty() {
                continue;
            }
            let Some(record) = platform::store::decode_record(bytes.clone()) else {
                log::error!("E0304 record-skipped topic={topic:?} error=damaged");
                continue;
            };
            self.caches
                .borrow_mut()
                .of(topic)
                .put(&record, bytes.clone());
            match topic {
                Topic::Operators => self.apply_operator_record(&record, Some(offset)),
                Topic::Endpoints => {
                    let entry = decode_entry(&record);
                    if let Some(Entry::Endpoint(endpoint)) = &entry {
                        self.note_version(endpoint);
                    }
                    self.registry
                        .borrow_mut()
                        .apply(&record.key, entry, clock::now());
                }
            }
        }
    }

    /// Takes in the version of an endpoint that registered or renewed its entry.
    fn note_version(&self, endpoint: &Endpoint) {
        if let Some(version) = endpoint.version {
            let mut rollouts = self.rollouts.borrow_mut();
            rollouts.endpoint_registered(endpoint.service, version);
        }
    }

    /// Reads the newest record of each key, at the start or after the store has trimmed records.
    async fn read_snapshot(
        self: &Rc<Self>,
        store: &mut StoreClient,
        topic: Topic,
    ) -> Result<(), StoreError> {
        let read_at = clock::now();
        let had_records = self.with_schedule(topic, |schedule| schedule.next().is_some());
        // A configuration is read in one page, which takes each host less time than to wait.
        let is_resync = had_records && topic == Topic::Endpoints;
        let (records, end) = match is_resync {
            true => self.read_for_neighbours(store, topic).await?,
            false => read_newest(store, topic_name(topic), || {}).await?,
        };
        let known = self.with_schedule(topic, |schedule| schedule.read_from());
        if let Some(known) = known.filter(|known| had_records && *known >= end) {
            self.finish_outdated_read(topic, known, read_at);
            return Ok(());
        }
        let trimmed = self.with_schedule(topic, |schedule| schedule.take_trimmed());
        let draw = self.random_fraction();
        let recovered = self.with_schedule(topic, |schedule| {
            schedule.full_read_finished(end, read_at, draw, clock::now())
        });
        let bridge = trimmed.and_then(|from| self.bridge(topic, &records, from, end));
        self.note_readable(topic, recovered);
        let first = !self.has_topic(topic);
        self.apply_snapshot(topic, &records);
        match bridge {
            Some(update) => {
                self.caches.borrow_mut().of(topic).push_update(&update);
                self.send_cross_centre(&update);
                self.send_update(update, true);
            }
            None => {
                if !self.distribute_snapshot(topic, first || is_resync) {
                    self.announce_positions();
                }
            }
        }
        Ok(())
    }

    /// Reads the newest record of each key, while neighbours that can't read on from their
    /// offsets either are told to wait for what this host sends.
    async fn read_for_neighbours(
        &self,
        store: &mut StoreClient,
        topic: Topic,
    ) -> Result<(Vec<Record>, u64), StoreError> {
        let message = NeighbourMessage::Resync(topic);
        self.broadcast(&message);
        let mut announced = clock::now();
        let announce = || {
            let now = clock::now();
            if now.since(announced) >= RESYNC_INTERVAL {
                announced = now;
                self.broadcast(&message);
            }
        };
        read_newest(store, topic_name(topic), announce).await
    }

    /// Ends a read of a whole topic during which a neighbour sent all records and more, up to
    /// `known`.
    ///
    /// Applied now, the older records would take back what the newer ones changed.
    fn finish_outdated_read(&self, topic: Topic, known: u64, read_at: Moment) {
        let draw = self.random_fraction();
        let recovered = self.with_schedule(topic, |schedule| {
            schedule.full_read_finished(known, read_at, draw, clock::now())
        });
        self.note_readable(topic, recovered);
    }

    /// Returns an update that leads from what this host knew at offset `from` to the whole
    /// topic as read now, up to `end`.
    ///
    /// Guards against a read of the whole topic by every host, after the store has dropped
    /// records that no host had read: none of them could read on from its offset. Each
    /// change took a record at least, so the changes fit between the two offsets.
    fn bridge(
        &self,
        topic: Topic,
        records: &[Record],
        from: u64,
        end: u64,
    ) -> Option<RecordUpdate> {
        let gap = usize::try_from(end.checked_sub(from)?).ok()?;
        // An operators' record in an update counts as written just now, which an old order of a
        // roll-out is not.
        if topic == Topic::Operators || gap == 0 || gap > MAX_BRIDGE {
            return None;
        }
        let now = clock::now();
        let registry = self.registry.borrow();
        let is_known =
            |record: &Record| registry.is_renewal(&record.key, decode_entry(record).as_ref(), now);
        let mut changed = self
            .caches
            .borrow_mut()
            .of(topic)
            .changes(records, is_known);
        if changed.len() > gap {
            return None;
        }
        changed.resize(gap, Bytes::new());
        Some(RecordUpdate {
            topic,
            reader: self.settings.peers,
            relay_root: self.settings.peers,
            cross_centre: false,
            from,
            age: self.age(topic),
            records: changed,
        })
    }

    /// Applies the newest records of all keys of a topic.
    pub(super) fn apply_snapshot(self: &Rc<Self>, topic: Topic, records: &[Record]) {
        self.caches.borrow_mut().of(topic).replace(records);
        match topic {
            Topic::Operators => self.apply_all_operator_records(records),
            Topic::Endpoints => self.apply_all_endpoints(records),
        }
    }

    fn apply_all_endpoints(&self, records: &[Record]) {
        let entries: BTreeMap<String, Entry> = records
            .iter()
            .filter_map(|r| Some((r.key.clone(), decode_entry(r)?)))
            .collect();
        let mut registry = self.registry.borrow_mut();
        registry.replace(entries, clock::now());
        let mut rollouts = self.rollouts.borrow_mut();
        rollouts.endpoints_listed(&registry, clock::now());
        drop(rollouts);
        self.rollouts_changed.notify_one();
        self.endpoints_loaded.set(true);
        self.config_loaded.notify_waiters();
        log::info!("E0313 endpoints-listed endpoints={}", registry.len());
    }

    /// Applies the newest operator records; data centres without a record return to service.
    fn apply_all_operator_records(self: &Rc<Self>, records: &[Record]) {
        let named: BTreeSet<DataCentreKey> = records
            .iter()
            .filter_map(|r| match operator::classify_key(&r.key) {
                Subject::Leaving(centre) => Some(centre),
                _ => None,
            })
            .collect();
        let left = self.config.borrow().leaving_centres.clone();
        for centre in left.difference(&named) {
            self.set_leaving(*centre, false);
        }
        for record in records {
            self.apply_operator_record(record, None);
        }
    }

    /// Applies an operators' record.
    ///
    /// `offset` is that of a record read when it was written, `None` for one of a snapshot.
    fn apply_operator_record(self: &Rc<Self>, record: &Record, offset: Option<u64>) {
        match (operator::classify_key(&record.key), &record.value) {
            (Subject::Leaving(centre), value) => self.set_leaving(centre, value.is_some()),
            (Subject::Rollout(service), value) => {
                self.apply_rollout_order(&service, value.as_deref(), offset.is_some());
            }
            (Subject::Catalogue, Some(value)) => self.apply_catalogue(value, offset),
            (Subject::Catalogue, None) => {
                log::warn!("E0311 config-withdrawn; the current configuration stays in force");
            }
            (Subject::Other, _) => log::debug!("E0304 record-skipped key={:?}", record.key),
        }
    }

    fn apply_catalogue(&self, value: &[u8], offset: Option<u64>) {
        match operator::decode(value) {
            Ok(catalogue) => {
                let version = catalogue.version;
                if self.config.borrow_mut().adopt(catalogue) {
                    log::info!(
                        "E0302 config-in-force version={version} bytes={} offset={offset:?}",
                        value.len()
                    );
                    self.forget_routes();
                    self.forget_accounts();
                    self.config_loaded.notify_waiters();
                }
            }
            Err(error) => log::error!("E0304 record-skipped key=config error={error:?}"),
        }
    }

    /// Drops the measured service times of removed routes, and the announced times of removed
    /// routes and accounts.
    ///
    /// Operators make a thousand changes a day, many of them with new route names,
    /// so the map would otherwise grow without limit.
    fn forget_routes(&self) {
        let config = self.config.borrow();
        let Some(catalogue) = &config.catalogue else {
            return;
        };
        let named: BTreeSet<&str> = catalogue.routes.iter().map(|r| r.name.as_str()).collect();
        let mut service_times = self.service_times.borrow_mut();
        service_times.retain(|name, _| named.contains(name.as_str()));
        let mut announced_times = self.announced_times.borrow_mut();
        let accounts = catalogue.accounts.as_ref();
        announced_times.retain(|account, route| {
            named.contains(route) && accounts.is_some_and(|a| a.get(account).is_some())
        });
    }

    fn set_leaving(&self, centre: DataCentreKey, leaving: bool) {
        let mut config = self.config.borrow_mut();
        let changed = match leaving {
            true => config.leaving_centres.insert(centre),
            false => config.leaving_centres.remove(&centre),
        };
        if !changed {
            return;
        }
        log::info!(
            "E0312 data-centre-leaving key={:016x} leaving={leaving}",
            centre.0
        );
        if !leaving {
            let catalogue = config.catalogue.as_ref();
            let warmup = |service: ServiceKey| {
                let plan = catalogue.and_then(|c| c.services.get(&service));
                plan.map(|p| p.warmup).unwrap_or_default()
            };
            self.registry
                .borrow_mut()
                .mark_cold(centre, clock::now(), warmup);
        }
    }
}

/// Replaces configurations that a later record makes needless by empty records.
pub(super) fn blank_configs(records: &mut [Bytes]) {
    blank_superseded(records, catalogue_value, |value| {
        operator::decode(value).is_ok()
    });
}

/// Returns the configuration in an operators' record, if it holds one.
fn catalogue_value(bytes: &Bytes) -> Option<Bytes> {
    let record = platform::store::decode_record(bytes.clone())?;
    match operator::classify_key(&record.key) {
        Subject::Catalogue => record.value,
        _ => None,
    }
}

fn topic_name(topic: Topic) -> &'static str {
    match topic {
        Topic::Operators => operator::TOPIC,
        Topic::Endpoints => endpoint::TOPIC,
    }
}

/// Returns the newest record of each key of a topic, and the offset to continue from.
///
/// `on_page` is called for each page but the last. The pages are not a consistent snapshot.
/// Reading continues from the end offset
/// of the first page, so records written in the meantime are read again.
pub(super) async fn read_newest(
    store: &mut StoreClient,
    topic: &str,
    mut on_page: impl FnMut(),
) -> Result<(Vec<Record>, u64), StoreError> {
    let mut page = store.newest(topic, None).await?;
    let end = page.end;
    let mut records = page.records;
    while let Some(after) = page.after {
        on_page();
        page = store.newest(topic, Some(&after)).await?;
        records.append(&mut page.records);
    }
    Ok((records, end))
}

/// Returns the entry of a record, or `None` for a record that deletes its key.
fn decode_entry(record: &Record) -> Option<Entry> {
    let value = record.value.as_ref()?;
    let result = endpoint::decode(&record.key, value);
    if let Err(error) = &result {
        log::warn!("E0304 record-skipped key={:?} error={error:?}", record.key);
    }
    Some(endpoint::registry_entry(result))
}
