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
    /// Times at which answers of the store got lost after the call had taken effect.
    pub losses: u32,
    /// Times at which the store was slow.
    pub slow: u32,
    /// Links from a host to the store that were cut, delayed, one-way or silent for good.
    pub links: u32,
    /// Hosts that were replaced by a new process.
    pub restarts: u32,
    /// Snapshots of a peer's configuration, new or outdated, sent to a host.
    pub words: u32,
    /// Undecodable records appended to the log.
    pub damaged: u32,
    /// Records that were on the log and were appended again, like a retried append that arrives
    /// late.
    pub repeats: u32,
}

/// Injects `count` faults and ends those that are left.
pub(super) fn cause(
    log: &StoreStandIn,
    hosts: &Hosts,
    count: usize,
    mut draw: StdRng,
) -> FaultCounts {
    let mut counts = FaultCounts::default();
    let mut old_words: Vec<Bytes> = Vec::new();
    for _ in 0..count {
        let host = draw.random_range(0..hosts.count());
        let long = Duration::from_millis(draw.random_range(20..150));
        match draw.random_range(0..14) {
            0 => outage(log, Outage::Refusing, long, &mut counts),
            1 => outage(log, Outage::Silent, long, &mut counts),
            2 => lose(log, Loss::Gateway, &mut draw, &mut counts),
            3 => lose(log, Loss::Silence, &mut draw, &mut counts),
            4 => {
                counts.slow += 1;
                log.change(|b| b.slow_ms = 60);
                std::thread::sleep(long);
                log.change(|b| b.slow_ms = 0);
            }
            5 => link(hosts, host, Fault::Cut, long, &mut counts),
            6 => link(hosts, host, Fault::Delay(long), long * 2, &mut counts),
            7 => link(hosts, host, Fault::LoseAnswers, long, &mut counts),
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
                old_words.extend(hosts.word(host));
                let to = draw.random_range(0..hosts.count());
                if let Some(word) = pick(&old_words, &mut draw) {
                    hosts.follower(to).install_record(word);
                }
            }
            11 => {
                counts.damaged += 1;
                log.append(CONFIG_STREAM, Bytes::from_static(b"noise"));
            }
            _ => {
                counts.repeats += 1;
                let records = log.journal(CONFIG_STREAM);
                let late = pick(&records, &mut draw).cloned();
                late.and_then(|record| log.append(CONFIG_STREAM, record));
            }
        }
        std::thread::sleep(Duration::from_millis(draw.random_range(5..30)));
    }
    log.change(|b| b.losses = 0);
    counts
}

fn outage(log: &StoreStandIn, kind: Outage, long: Duration, counts: &mut FaultCounts) {
    counts.outages += 1;
    log.change(|b| b.outage = Some(kind));
    std::thread::sleep(long);
    log.change(|b| b.outage = None);
}

fn lose(log: &StoreStandIn, kind: Loss, draw: &mut StdRng, counts: &mut FaultCounts) {
    counts.losses += 1;
    let losses = draw.random_range(1..4);
    log.change(|b| (b.loss, b.losses) = (Some(kind), losses));
}

fn link(hosts: &Hosts, host: usize, fault: Fault, long: Duration, counts: &mut FaultCounts) {
    counts.links += 1;
    hosts.set(host, fault);
    std::thread::sleep(long);
    hosts.set(host, Fault::Pass);
}

fn pick<'a>(words: &'a [Bytes], draw: &mut StdRng) -> Option<&'a Bytes> {
    match words.len() {
        0 => None,
        count => words.get(draw.random_range(0..count)),
    }
}
