//! A soak test: entry host processes under long load, with one injected fault after another.
//!
//! `SOAK_SECONDS=900 SOAK_SEED=1 cargo bench --bench soak`. Prints the resources
//! that each entry host's process uses, then the number of violated guarantees by
//! check and the first 20 of them. The exit code is 1 if there is any.

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

const EXPERIMENT: &str = include_str!("../tests/common/small.toml");
const DEFAULT_SECONDS: u64 = 900;
const DEFAULT_SEED: u64 = 1;
/// The time from the end of a fault to the start of the next one.
const FAULT_GAP: Duration = Duration::from_secs(3);
/// How long a fault lasts that does not end by itself.
const FAULT_DURATION: Duration = Duration::from_secs(4);

/// A kind of fault; printed by name.
#[derive(Clone, Copy, Debug)]
enum FaultKind {
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

const FAULT_KINDS: [FaultKind; 12] = [
    FaultKind::Killed,
    FaultKind::Paused,
    FaultKind::Replaced,
    FaultKind::Cold,
    FaultKind::Restarted,
    FaultKind::Slow,
    FaultKind::CutAnswers,
    FaultKind::Silence,
    FaultKind::OneWay,
    FaultKind::CentreLeaves,
    FaultKind::LogDown,
    FaultKind::LostAnswers,
];

fn main() -> ExitCode {
    let runtime = tokio::runtime::Runtime::new().expect("the runtime can be built");
    runtime.block_on(soak())
}

async fn soak() -> ExitCode {
    let seconds = env_number("SOAK_SECONDS", DEFAULT_SECONDS);
    let mut random = SmallRng::seed_from_u64(env_number("SOAK_SEED", DEFAULT_SEED));
    let text = EXPERIMENT.replace("seconds = 120", &format!("seconds = {}", seconds + 600));
    let mut cluster = Cluster::start_proxied(&text).await;
    let start = Instant::now();
    let load = cluster.load();
    print_resources(&cluster, start, "start");
    while start.elapsed().as_secs() < seconds {
        tokio::time::sleep(FAULT_GAP).await;
        let kind = FAULT_KINDS[random.random_range(0..FAULT_KINDS.len())];
        let index = random.random_range(0..3);
        inject(&mut cluster, kind, index).await;
        print_resources(&cluster, start, &format!("{kind:?} {index}"));
    }
    load.stop().await;
    let violations = cluster.violations(&Limits::default());
    println!("{:?}", cluster.tally());
    for (check, count) in tally(&violations) {
        println!("{check:?}: {count}");
    }
    for violation in violations.iter().take(20) {
        println!("{violation}");
    }
    match violations.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// Injects a fault and ends it, unless it ends by itself.
///
/// `index` is that of the entry host, endpoint or data centre.
async fn inject(cluster: &mut Cluster, kind: FaultKind, index: usize) {
    match kind {
        FaultKind::Killed => {
            cluster.kill(index);
            tokio::time::sleep(FAULT_DURATION).await;
            cluster.restart_host(index);
            wait_ready(cluster, index).await;
        }
        FaultKind::Paused => {
            cluster.pause(index);
            tokio::time::sleep(FAULT_DURATION).await;
            cluster.resume(index);
            wait_ready(cluster, index).await;
        }
        FaultKind::Replaced => {
            cluster.shut_down(index).await;
            cluster.restart_host(index);
            wait_ready(cluster, index).await;
        }
        FaultKind::CentreLeaves => {
            let centre = cluster.site.deployment.data_centres[index].clone();
            order(cluster, Order::CentreLeaves, &centre).await;
            tokio::time::sleep(FAULT_DURATION).await;
            order(cluster, Order::CentreReturns, &centre).await;
        }
        FaultKind::LogDown => {
            cluster
                .site
                .store
                .change(|b| b.outage = Some(Outage::Silent));
            tokio::time::sleep(FAULT_DURATION).await;
            cluster.site.store.change(|b| b.outage = None);
        }
        FaultKind::LostAnswers => cluster.site.store.change(|b| {
            b.loss = Some(Loss::Gateway);
            b.losses = 5;
        }),
        FaultKind::Silence => cluster.site.proxies("hallboard")[index].silence(),
        FaultKind::OneWay => {
            let proxy = &cluster.site.proxies("hallboard")[index];
            proxy.set(Fault::LoseAnswers);
            tokio::time::sleep(FAULT_DURATION).await;
            proxy.set(Fault::Pass);
        }
        FaultKind::Cold => set_knobs(cluster, index, |k| k.turn_cold = true),
        FaultKind::Restarted => set_knobs(cluster, index, |k| k.restart = true),
        FaultKind::CutAnswers => set_knobs(cluster, index, |k| k.cut_answers = Some(3)),
        FaultKind::Slow => {
            set_knobs(cluster, index, |k| {
                k.slow = Some(20);
                k.report = Some(Report::Idle);
            });
            tokio::time::sleep(FAULT_DURATION).await;
            set_knobs(cluster, index, |k| {
                k.slow = Some(1);
                k.report = Some(Report::Honest);
            });
        }
    }
}

/// Sets faults on a backend server of `hallboard`.
fn set_knobs(cluster: &Cluster, index: usize, change: impl FnOnce(&mut Knobs)) {
    let mut knobs = Knobs::default();
    change(&mut knobs);
    cluster.site.backends("hallboard")[index].set(&knobs);
}

/// Submits an operator's command, and prints the error if the command fails.
async fn order(cluster: &Cluster, order: Order, name: &str) {
    if let Err(error) = cluster.site.order(order, name).await {
        println!("{order:?} {name}: {error}");
    }
}

/// Waits until an entry host is ready.
async fn wait_ready(cluster: &Cluster, index: usize) {
    until("the entry host is ready", || cluster.targets[index].is_up()).await;
}

/// Prints the resources of every entry host.
fn print_resources(cluster: &Cluster, start: Instant, label: &str) {
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
        "{:>5} s  {label:<16} {}",
        start.elapsed().as_secs(),
        uses.join("  |  ")
    );
}

/// Returns the number in an environment variable, or `fallback`.
fn env_number(name: &str, fallback: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(fallback)
}
