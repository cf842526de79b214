//! A soak test: entry host processes under load for a long time with one injected fault after another.
//!
//! `SOAK_SECONDS=900 SOAK_SEED=1 cargo bench --bench soak`. Prints the resources
//! that each entry host's process uses, then the number of violated guarantees by
//! check and the first 20 of them. The exit code is 1 if there is one.

#[path = "../tests/common/mod.rs"]
mod common;

use std::process::ExitCode;
use std::time::{Duration, Instant};

use common::{Cluster, Resources, until};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use stand_ins::backend::{Knobs, Report};
use stand_ins::history::Order;
use stand_ins::history::check::{Limits, tally};
use stand_ins::proxy::Fault;
use stand_ins::store::{Loss, Outage};

const SITE: &str = include_str!("../tests/common/small.toml");
const SECONDS: u64 = 900;
const SEED: u64 = 1;
/// The time from the end of a fault to the start of the next one.
const REST: Duration = Duration::from_secs(3);
/// How long a fault lasts that does not end by itself.
const FAULT: Duration = Duration::from_secs(4);

/// A kind of fault; printed by name.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Killed,
    Paused,
    Replaced,
    Cold,
    Restarted,
    Slow,
    CutAnswers,
    Silence,
    OneWay,
    CentreLeaves,
    LogDown,
    LostAnswers,
}

const KINDS: [Kind; 12] = [
    Kind::Killed,
    Kind::Paused,
    Kind::Replaced,
    Kind::Cold,
    Kind::Restarted,
    Kind::Slow,
    Kind::CutAnswers,
    Kind::Silence,
    Kind::OneWay,
    Kind::CentreLeaves,
    Kind::LogDown,
    Kind::LostAnswers,
];

fn main() -> ExitCode {
    let runtime = tokio::runtime::Runtime::new().expect("the runtime can be built");
    runtime.block_on(soak())
}

async fn soak() -> ExitCode {
    let seconds = setting("SOAK_SECONDS", SECONDS);
    let mut random = SmallRng::seed_from_u64(setting("SOAK_SEED", SEED));
    let text = SITE.replace("seconds = 120", &format!("seconds = {}", seconds + 600));
    let mut cluster = Cluster::start_proxied(&text).await;
    let start = Instant::now();
    let load = cluster.load();
    print(&cluster, start, "start");
    while start.elapsed().as_secs() < seconds {
        tokio::time::sleep(REST).await;
        let kind = KINDS[random.random_range(0..KINDS.len())];
        let place = random.random_range(0..3);
        cause(&mut cluster, kind, place).await;
        print(&cluster, start, &format!("{kind:?} {place}"));
    }
    load.stop().await;
    let faults = cluster.violations(&Limits::default());
    println!("{:?}", cluster.tally());
    for (check, count) in tally(&faults) {
        println!("{check:?}: {count}");
    }
    for fault in faults.iter().take(20) {
        println!("{fault}");
    }
    match faults.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// Injects a fault at the entry host, endpoint or data centre with index `place`, and ends it unless it ends by itself.
async fn cause(cluster: &mut Cluster, kind: Kind, place: usize) {
    match kind {
        Kind::Killed => {
            cluster.kill(place);
            tokio::time::sleep(FAULT).await;
            cluster.restart_host(place);
            ready(cluster, place).await;
        }
        Kind::Paused => {
            cluster.pause(place);
            tokio::time::sleep(FAULT).await;
            cluster.resume(place);
            ready(cluster, place).await;
        }
        Kind::Replaced => {
            cluster.shut_down(place).await;
            cluster.restart_host(place);
            ready(cluster, place).await;
        }
        Kind::CentreLeaves => {
            let centre = cluster.site.deployment.data_centres[place].clone();
            order(cluster, Order::CentreLeaves, &centre).await;
            tokio::time::sleep(FAULT).await;
            order(cluster, Order::CentreReturns, &centre).await;
        }
        Kind::LogDown => {
            cluster
                .site
                .store
                .change(|b| b.outage = Some(Outage::Silent));
            tokio::time::sleep(FAULT).await;
            cluster.site.store.change(|b| b.outage = None);
        }
        Kind::LostAnswers => cluster.site.store.change(|b| {
            b.loss = Some(Loss::Gateway);
            b.losses = 5;
        }),
        Kind::Silence => cluster.site.proxies("hallboard")[place].silence(),
        Kind::OneWay => {
            let proxy = &cluster.site.proxies("hallboard")[place];
            proxy.set(Fault::LoseAnswers);
            tokio::time::sleep(FAULT).await;
            proxy.set(Fault::Pass);
        }
        Kind::Cold => set(cluster, place, |k| k.turn_cold = true),
        Kind::Restarted => set(cluster, place, |k| k.restart = true),
        Kind::CutAnswers => set(cluster, place, |k| k.cut_answers = Some(3)),
        Kind::Slow => {
            set(cluster, place, |k| {
                k.slow = Some(20);
                k.report = Some(Report::Idle);
            });
            tokio::time::sleep(FAULT).await;
            set(cluster, place, |k| {
                k.slow = Some(1);
                k.report = Some(Report::Honest);
            });
        }
    }
}

/// Sets faults on a backend server of `hallboard`.
fn set(cluster: &Cluster, place: usize, change: impl FnOnce(&mut Knobs)) {
    let mut knobs = Knobs::default();
    change(&mut knobs);
    cluster.site.backends("hallboard")[place].set(&knobs);
}

/// Has the site carry out an operator's action.
async fn order(cluster: &Cluster, order: Order, name: &str) {
    if let Err(error) = cluster.site.order(order, name).await {
        println!("{order:?} {name}: {error}");
    }
}

/// Waits until an entry host is ready.
async fn ready(cluster: &Cluster, place: usize) {
    until("the entry host is ready", || cluster.targets[place].is_up()).await;
}

/// Prints the resources of every entry host.
fn print(cluster: &Cluster, start: Instant, what: &str) {
    let uses: Vec<String> = (0..cluster.hosts.len())
        .map(|host| {
            let Resources {
                memory_kb,
                threads,
                files,
            } = cluster.resources(host);
            format!("{memory_kb:>6} kB {threads:>3} threads {files:>4} files")
        })
        .collect();
    println!(
        "{:>5} s  {what:<16} {}",
        start.elapsed().as_secs(),
        uses.join("  |  ")
    );
}

/// Returns the number in an environment variable, or `usual`.
fn setting(name: &str, usual: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(usual)
}
