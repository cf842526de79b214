//! Keeps the operators' orders and the list of endpoints in step with the store.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use platform::endpoint;
use platform::operator::{self, Subject};
use platform::store::Record;
use state::DataCentreKey;
use state::fleet::Entry;
use tokio::time::sleep;

use super::Gateway;
use super::store::{Store, StoreError};
use crate::clock;

/// How long a read waits for the operators' next word.
///
/// A word comes as soon as it is written; this only bounds how long a
/// connection that fell silent is waited on when no keep-alive shows it.
const OPERATORS_WAIT: Duration = Duration::from_secs(4);

/// How often the list of endpoints is read.
///
/// Endpoints write about every 1.5 s each, so a read that waits would answer
/// with every one of them, and each read is paid for. An endpoint's leaving has
/// to be known within two seconds; this leaves half a second for a slow answer.
const ENDPOINTS_EVERY: Duration = Duration::from_millis(1_300);

/// The first pause after a failed call, doubled with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// The longest pause after failed calls; a return must be seen within a second.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Counts failures in a row, and says how long to wait.
#[derive(Default)]
struct Trouble {
    failures: u32,
}

impl Trouble {
    async fn failed(&mut self, topic: &str, error: &StoreError) {
        if self.failures == 0 {
            log::warn!("E0301 log-unreadable topic={topic} error={error:?}");
        }
        let pause = FIRST_PAUSE * 2u32.pow(self.failures.min(3));
        self.failures += 1;
        sleep(pause.min(LONGEST_PAUSE)).await;
    }

    /// Notes a success, and returns whether failures came before it.
    fn over(&mut self, topic: &str) -> bool {
        let failures = std::mem::take(&mut self.failures);
        if failures > 0 {
            log::info!("E0310 log-readable-again topic={topic} failures={failures}");
        }
        failures > 0
    }
}

impl Gateway {
    /// Follows the operators' topic, for ever.
    pub(super) async fn follow_operators(self: Rc<Self>) {
        let mut store = Store::new(self.settings.log);
        let mut trouble = Trouble::default();
        let mut next = None;
        loop {
            let result = match next {
                None => self.read_orders(&mut store).await,
                Some(from) => self.read_on_orders(&mut store, from).await,
            };
            match result {
                Ok(from) => {
                    trouble.over(operator::TOPIC);
                    next = Some(from);
                }
                Err(StoreError::Forgotten) => next = None,
                Err(error) => trouble.failed(operator::TOPIC, &error).await,
            }
        }
    }

    /// Waits for the operators' next word.
    ///
    /// A read that was waiting when the store went silent hears nothing of what
    /// is written after its return. The other loop asks more often and sees the
    /// return first; this one then asks anew.
    async fn read_on_orders(&self, store: &mut Store, from: u64) -> Result<u64, StoreError> {
        let read = tokio::select! {
            read = store.read(operator::TOPIC, from, OPERATORS_WAIT) => read?,
            () = self.store_back.notified() => return Ok(from),
        };
        for record in &read.records {
            self.take_order(record);
        }
        note_damaged(operator::TOPIC, read.damaged);
        Ok(read.next)
    }

    /// Reads the newest orders of all; data centres that aren't named there are back.
    async fn read_orders(&self, store: &mut Store) -> Result<u64, StoreError> {
        let (records, end) = newest(store, operator::TOPIC).await?;
        let named: Vec<DataCentreKey> = records
            .iter()
            .filter_map(|r| match operator::subject(&r.key) {
                Subject::Leaving(centre) => Some(centre),
                _ => None,
            })
            .collect();
        let left = self.orders.borrow().left.clone();
        for centre in left.into_iter().filter(|c| !named.contains(c)) {
            self.set_leaving(centre, false);
        }
        for record in &records {
            self.take_order(record);
        }
        Ok(end)
    }

    fn take_order(&self, record: &Record) {
        match (operator::subject(&record.key), &record.value) {
            (Subject::Leaving(centre), value) => self.set_leaving(centre, value.is_some()),
            (Subject::Catalogue, Some(value)) => self.take_catalogue(value),
            (Subject::Catalogue, None) => {
                log::warn!("E0311 config-withdrawn; the one in force stays");
            }
            (Subject::Other, _) => log::debug!("E0304 record-skipped key={:?}", record.key),
        }
    }

    fn take_catalogue(&self, value: &[u8]) {
        match operator::decode(value) {
            Ok(catalogue) => {
                let version = catalogue.version;
                if self.orders.borrow_mut().adopt(catalogue) {
                    log::info!("E0302 config-in-force version={version}");
                }
            }
            Err(error) => log::error!("E0304 record-skipped key=config error={error:?}"),
        }
    }

    fn set_leaving(&self, centre: DataCentreKey, leaving: bool) {
        let mut orders = self.orders.borrow_mut();
        let changed = match leaving {
            true => orders.left.insert(centre),
            false => orders.left.remove(&centre),
        };
        if !changed {
            return;
        }
        log::info!(
            "E0312 data-centre-leaving key={:016x} leaving={leaving}",
            centre.0
        );
        if !leaving {
            let catalogue = orders.catalogue.as_ref();
            let warmup = |service| {
                let plan = catalogue.and_then(|c| c.services.get(&service));
                plan.map(|p| p.warmup).unwrap_or_default()
            };
            self.registry
                .borrow_mut()
                .chill(centre, clock::now(), warmup);
        }
    }

    /// Follows the endpoints' topic, for ever.
    pub(super) async fn follow_endpoints(self: Rc<Self>) {
        let mut store = Store::new(self.settings.log);
        let mut trouble = Trouble::default();
        let mut next = None;
        loop {
            let result = match next {
                None => self.read_endpoints(&mut store, &mut trouble).await,
                Some(from) => self.read_on_endpoints(&mut store, from, &mut trouble).await,
            };
            self.registry.borrow_mut().settle(clock::now());
            match result {
                Ok(from) => {
                    next = Some(from);
                    sleep(ENDPOINTS_EVERY).await;
                }
                Err(StoreError::Forgotten) => next = None,
                Err(error) => trouble.failed(endpoint::TOPIC, &error).await,
            }
        }
    }

    async fn read_on_endpoints(
        &self,
        store: &mut Store,
        from: u64,
        trouble: &mut Trouble,
    ) -> Result<u64, StoreError> {
        let read = store.read(endpoint::TOPIC, from, Duration::ZERO).await?;
        let now = clock::now();
        let mut registry = self.registry.borrow_mut();
        if trouble.over(endpoint::TOPIC) {
            registry.store_back(now);
            self.store_back.notify_one();
        }
        for record in &read.records {
            registry.apply(&record.key, decoded(record), now);
        }
        note_damaged(endpoint::TOPIC, read.damaged);
        Ok(read.next)
    }

    async fn read_endpoints(
        &self,
        store: &mut Store,
        trouble: &mut Trouble,
    ) -> Result<u64, StoreError> {
        let (records, end) = newest(store, endpoint::TOPIC).await?;
        let now = clock::now();
        let mut registry = self.registry.borrow_mut();
        if trouble.over(endpoint::TOPIC) {
            registry.store_back(now);
            self.store_back.notify_one();
        }
        let entries: BTreeMap<String, Entry> = records
            .iter()
            .filter_map(|r| Some((r.key.clone(), decoded(r)?)))
            .collect();
        registry.replace(entries, now);
        self.listed.set(true);
        log::info!("E0313 endpoints-listed endpoints={}", registry.len());
        Ok(end)
    }
}

/// Reads all pages of a topic's newest records, and where to read on.
///
/// Pages are no snapshot: what is written meanwhile is read again from the end
/// that the first page tells.
async fn newest(store: &mut Store, topic: &str) -> Result<(Vec<Record>, u64), StoreError> {
    let mut page = store.newest(topic, None).await?;
    let end = page.end;
    let mut records = page.records;
    while let Some(after) = page.after {
        page = store.newest(topic, Some(&after)).await?;
        records.append(&mut page.records);
    }
    Ok((records, end))
}

fn decoded(record: &Record) -> Option<Entry> {
    let value = record.value.as_ref()?;
    let result = endpoint::decode(&record.key, value);
    if let Err(error) = &result {
        log::warn!("E0304 record-skipped key={:?} error={error:?}", record.key);
    }
    Some(endpoint::entry(result))
}

fn note_damaged(topic: &str, records: usize) {
    if records > 0 {
        log::error!("E0304 record-skipped topic={topic} records={records}");
    }
}
