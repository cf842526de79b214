//! The faults of a run, injected one after the other and drawn from the run's seed.

use std::time::Duration;

use bytes::Bytes;
use derives::tag;
use rand::Rng;
use rand::rngs::StdRng;

use transport::log::CONFIG_STREAM;

use super::hosts::Hosts;
use crate::proxy::Fault;
use crate::store::{Loss, Outage, StoreStandIn};

/// The number of injected faults of each kind.
#[tag]
#[derive(Default)]
pub struct FaultCounts {
    /// Outages of the store, refusing or silent.
    pub outages: u32,
    /// Losses of answers of the store after the call had taken effect.
    pub losses: u32,
    /// Periods in which the store was slow.
    pub slow: u32,
    /// Links from a host to the store that were cut, delayed, one-way or silent for good.
    pub links: u32,
    /// Hosts that were replaced by a new process.
    pub restarts: u32,
    /// Configuration records of a peer, new or outdated, that a host received.
    pub words: u32,
    /// Undecodable records appended to the log.
    pub damaged: u32,
    /// Records that were on the log and were appended again, like a retried append that arrives
    /// late.
    pub repeats: u32,
}

/// Injects `count` faults and ends those that are left.
pub(super) fn inject(
    store: &StoreStandIn,
    hosts: &Hosts,
    count: usize,
    mut rng: StdRng,
) -> FaultCounts {
    let mut counts = FaultCounts::default();
    let mut old_records: Vec<Bytes> = Vec::new();
    for _ in 0..count {
        let host = rng.random_range(0..hosts.count());
        let duration = Duration::from_millis(rng.random_range(20..150));
        match rng.random_range(0..14) {
            0 => outage(store, Outage::Refusing, duration, &mut counts),
            1 => outage(store, Outage::Silent, duration, &mut counts),
            2 => lose_answers(store, Loss::Gateway, &mut rng, &mut counts),
            3 => lose_answers(store, Loss::Silence, &mut rng, &mut counts),
            4 => {
                counts.slow += 1;
                store.change(|b| b.slow_ms = 60);
                std::thread::sleep(duration);
                store.change(|b| b.slow_ms = 0);
            }
            5 => break_link(hosts, host, Fault::Cut, duration, &mut counts),
            6 => break_link(
                hosts,
                host,
                Fault::Delay(duration),
                duration * 2,
                &mut counts,
            ),
            7 => break_link(hosts, host, Fault::LoseAnswers, duration, &mut counts),
            8 => {
                counts.links += 1;
                hosts.silence(host);
            }
            9 => {
                counts.restarts += 1;
                hosts.restart(host);
            }
            10 => {
                counts.words += 1;
                old_records.extend(hosts.offered_record(host));
                let to = rng.random_range(0..hosts.count());
                if let Some(record) = pick(&old_records, &mut rng) {
                    hosts.follower(to).install_record(record);
                }
            }
            11 => {
                counts.damaged += 1;
                store.append(CONFIG_STREAM, Bytes::from_static(b"noise"));
            }
            _ => {
                counts.repeats += 1;
                let records = store.journal(CONFIG_STREAM);
                let late = pick(&records, &mut rng).cloned();
                late.and_then(|record| store.append(CONFIG_STREAM, record));
            }
        }
        std::thread::sleep(Duration::from_millis(rng.random_range(5..30)));
    }
    store.change(|b| b.losses = 0);
    counts
}

fn outage(store: &StoreStandIn, kind: Outage, duration: Duration, counts: &mut FaultCounts) {
    counts.outages += 1;
    store.change(|b| b.outage = Some(kind));
    std::thread::sleep(duration);
    store.change(|b| b.outage = None);
}

fn lose_answers(store: &StoreStandIn, kind: Loss, rng: &mut StdRng, counts: &mut FaultCounts) {
    counts.losses += 1;
    let losses = rng.random_range(1..4);
    store.change(|b| (b.loss, b.losses) = (Some(kind), losses));
}

fn break_link(
    hosts: &Hosts,
    host: usize,
    fault: Fault,
    duration: Duration,
    counts: &mut FaultCounts,
) {
    counts.links += 1;
    hosts.set(host, fault);
    std::thread::sleep(duration);
    hosts.set(host, Fault::Pass);
}

fn pick<'a>(records: &'a [Bytes], rng: &mut StdRng) -> Option<&'a Bytes> {
    match records.len() {
        0 => None,
        count => records.get(rng.random_range(0..count)),
    }
}
