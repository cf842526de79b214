//! Measures the cost of failure detection, and how soon the loss of a host is detected.
//!
//! `cargo bench --bench members` starts 4, 8, 17, 34 and 68 hosts in this
//! process, on loopback, each with its links and its failure detector. Bytes are
//! those of the messages with their frames. Processor time is that of the whole
//! process divided by the number of hosts, so it includes both ends of each message
//! and the follower of the configuration.

#[path = "../components/transport/tests/entry_hosts/mod.rs"]
mod entry_hosts;

use std::fs;
use std::time::{Duration, Instant};

use coordination::members::WatchMap;
use entry_hosts::Site;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use state::config::Member;
use state::{Config, HostKey};
use transport::claims::WorkerOptions;

const SIZES: [usize; 5] = [4, 8, 17, 34, 68];
const MEASURE_TIME: Duration = Duration::from_secs(10);
const MAX_KILLS: usize = 3;
const MAP_RUNS: u32 = 20;
const TICKS_PER_SECOND: f64 = 100.0;

fn main() {
    let handle = PrometheusBuilder::new()
        .install_recorder()
        .expect("the recorder can be installed");
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .expect("a runtime can be built");
    for size in [17, 68, 300] {
        print_map_cost(size);
    }
    println!(
        "hosts  messages/s  bytes/s  processor  suspected by all after (ms, each kill)  removed after (ms)"
    );
    for size in SIZES {
        runtime.block_on(measure(size, &handle));
    }
}

async fn measure(size: usize, handle: &PrometheusHandle) {
    let mut site = Site::start(size, WorkerOptions::default()).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = Sample::take(handle);
    let start = Instant::now();
    tokio::time::sleep(MEASURE_TIME).await;
    let after = Sample::take(handle);
    let hosts = size as f64;
    let per_host_second = |to: f64, from: f64| (to - from) / start.elapsed().as_secs_f64() / hosts;
    let messages = per_host_second(after.messages, before.messages);
    let bytes = per_host_second(after.bytes, before.bytes);
    let processor = per_host_second(after.processor, before.processor) * 100.0;
    let kills = MAX_KILLS.min(size - 3);
    let mut suspect_times = Vec::new();
    let mut removal_times = Vec::new();
    for kill in 0..kills {
        // The delay differs, so that each kill happens at another phase of the heartbeats.
        tokio::time::sleep(Duration::from_millis(300 + 67 * kill as u64)).await;
        let (suspected, gone) = kill_host(&mut site).await;
        suspect_times.push(suspected.as_millis());
        removal_times.push(gone.as_millis());
    }
    println!(
        "{size:5}  {messages:10.1}  {bytes:7.0}  {processor:8.2}%  {suspect_times:?}  {removal_times:?}"
    );
    for host in &site.hosts {
        host.members.stop();
        host.claims.stop();
    }
}

/// Kills a host; returns how long all others took to suspect it, and to remove it from their view.
async fn kill_host(site: &mut Site) -> (Duration, Duration) {
    let start = Instant::now();
    let dead = site.kill(1);
    let mut suspected = None;
    loop {
        let views: Vec<_> = site.hosts.iter().map(|h| h.links.view()).collect();
        let alive = views.iter().any(|v| v.borrow().is_alive(dead));
        if !alive && suspected.is_none() {
            suspected = Some(start.elapsed());
        }
        if views.iter().all(|v| !v.borrow().peers.contains_key(&dead)) {
            let gone = start.elapsed();
            return (suspected.unwrap_or(gone), gone);
        }
        assert!(
            start.elapsed() < Duration::from_secs(60),
            "the lost host was not removed within 60 s"
        );
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Prints how long a host takes to compute the watch map, as it does at each change of members.
fn print_map_cost(size: usize) {
    let mut config = Config::default();
    for index in 0..size {
        let name = format!("entry-{index}");
        let member = Member {
            name: name.clone(),
            incarnation: 1,
            peer: ([127, 0, 0, 1], 1).into(),
            data_centre: format!("centre-{}", index % 3),
            joined: 1,
        };
        config.members.insert(HostKey::named(&name), member);
    }
    let start = Instant::now();
    for _ in 0..MAP_RUNS {
        std::hint::black_box(WatchMap::from_config(&config));
    }
    let each = start.elapsed() / MAP_RUNS;
    println!("watch map of {size} hosts: {each:?}");
}

/// Counters of this process at one moment.
struct Sample {
    messages: f64,
    bytes: f64,
    /// Processor time in seconds.
    processor: f64,
}

impl Sample {
    fn take(handle: &PrometheusHandle) -> Sample {
        let page = handle.render();
        Sample {
            messages: counter(&page, "cardamomvale_peer_messages_sent_total"),
            bytes: counter(&page, "cardamomvale_peer_bytes_sent_total"),
            processor: processor_seconds(),
        }
    }
}

/// Returns the value of the first metric on `page` whose name begins with `name`.
fn counter(page: &str, name: &str) -> f64 {
    let line = page.lines().find(|l| l.starts_with(name));
    let value = line.and_then(|l| l.split_whitespace().last());
    value.and_then(|v| v.parse().ok()).unwrap_or(0.0)
}

/// Returns the processor time that this process has used, in seconds.
fn processor_seconds() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").expect("/proc can be read");
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| fields[index].parse::<f64>().unwrap_or(0.0);
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}
