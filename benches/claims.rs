//! Measures the cost of claiming an idempotency key: the caller's wait and the store's appends.
//!
//! `cargo bench --bench claims` starts four hosts in this process and a store
//! stand-in that takes 500 appends a second and answers each after 5 ms. Claims
//! arrive for 6 s at a fixed rate (open loop), evenly over the hosts, and go through
//! the home of their stream, which batches them. For comparison, claims are
//! also made without a home: one append and one read for each claim.

#[path = "../components/transport/tests/entry_hosts/mod.rs"]
mod entry_hosts;

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use coordination::claims::{Batch, ClaimId, ClaimKey, ClaimTable, Entry};
use entry_hosts::{Site, request};
use hdrhistogram::Histogram;
use protocol::claim::encode_batch;
use state::Moment;
use transport::claims::{Claims, Verdict, WorkerOptions};
use transport::log::BlockingStoreClient;

const HOSTS: usize = 4;
const HOME_RATES: [u64; 5] = [50, 200, 1_000, 4_000, 12_000];
const NO_HOME_RATES: [u64; 4] = [50, 200, 400, 1_000];
const RUN_TIME: Duration = Duration::from_secs(6);
const STORE_DELAY_MS: u64 = 5;
const STORE_APPENDS_PER_SECOND: u32 = 500;
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(6)
        .enable_all()
        .build()
        .expect("a runtime can be built");
    println!(
        "by home: claims/s  granted  not run  p50 ms  p99 ms  max ms  appends/s  claims/append"
    );
    for rate in HOME_RATES {
        runtime.block_on(claim_by_home(rate));
    }
    println!("no home: claims/s  granted  not run  p50 ms  p99 ms  max ms  appends/s");
    for rate in NO_HOME_RATES {
        runtime.block_on(claim_without_home(rate));
    }
    print_table_cost();
}

async fn start_site() -> Site {
    let site = Site::start(HOSTS, WorkerOptions::default()).await;
    // A home serves claims only after it has read its stream.
    tokio::time::sleep(Duration::from_secs(1)).await;
    site.log.change(|b| {
        b.slow_ms = STORE_DELAY_MS;
        b.appends_second = STORE_APPENDS_PER_SECOND;
    });
    site
}

/// The results of the claims of one run.
struct Outcome {
    /// Waits in microseconds.
    waits: Histogram<u64>,
    granted: u64,
    not_run: u64,
}

async fn claim_by_home(rate: u64) {
    let site = start_site().await;
    let hosts: Vec<Arc<Claims>> = site.hosts.iter().map(|h| Arc::clone(&h.claims)).collect();
    let before = site.log.counts().appends;
    let outcome = run_at_rate(rate, |n| {
        let claims = Arc::clone(&hosts[n as usize % HOSTS]);
        async move {
            let request = request(&format!("key-{n}"), 0, CLAIM_TIMEOUT);
            matches!(claims.claim(request).await, Verdict::Granted(_))
        }
    })
    .await;
    let appends = site.log.counts().appends - before;
    let each = outcome.granted as f64 / appends.max(1) as f64;
    println!(
        "         {}  {each:.1}",
        format_row(rate, &outcome, appends)
    );
    for host in &site.hosts {
        host.members.stop();
        host.claims.stop();
    }
}

async fn claim_without_home(rate: u64) {
    let site = start_site().await;
    for host in &site.hosts {
        host.members.stop();
        host.claims.stop();
    }
    let client = site.client();
    let before = site.log.counts().appends;
    let outcome = run_at_rate(rate, |n| {
        let client = client.clone();
        async move {
            let appended = tokio::task::spawn_blocking(move || append_without_home(&client, n));
            appended.await.unwrap_or(false)
        }
    })
    .await;
    let appends = site.log.counts().appends - before;
    println!("         {}", format_row(rate, &outcome, appends));
}

/// Claims a key without a home, by an append of its own and a read; returns whether both succeeded.
fn append_without_home(client: &BlockingStoreClient, n: u64) -> bool {
    let key = ClaimKey(u128::from(n) << 64);
    let record: Bytes = encode_batch(&Batch {
        entries: vec![claim(n, key)],
    });
    let stream = format!("claims-{}", key.stream());
    match client.append(&stream, &record) {
        Ok(offset) => client
            .read(&stream, offset, Some(1), Duration::ZERO)
            .is_ok(),
        Err(_) => false,
    }
}

fn claim(n: u64, key: ClaimKey) -> Entry {
    Entry::Claim {
        id: ClaimId(u128::from(n)),
        key,
        digest: 0,
        ttl_ms: 7_200_000,
    }
}

/// Runs `call` at `rate` calls a second in an open loop and returns the results.
async fn run_at_rate<F>(rate: u64, call: impl Fn(u64) -> F) -> Outcome
where
    F: Future<Output = bool> + Send + 'static,
{
    let start = Instant::now();
    let total = rate * RUN_TIME.as_secs();
    let mut running = Vec::new();
    for n in 0..total {
        let due = start + Duration::from_secs_f64(n as f64 / rate as f64);
        if let Some(pause) = due.checked_duration_since(Instant::now()) {
            tokio::time::sleep(pause).await;
        }
        let called = call(n);
        // The wait counts from the planned time, so that a stall of this loop is
        // part of the result (no coordinated omission).
        running.push(tokio::spawn(async move { (called.await, due.elapsed()) }));
    }
    let mut outcome = Outcome {
        waits: Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid"),
        granted: 0,
        not_run: 0,
    };
    for run in running {
        let (granted, wait) = run.await.expect("a claim does not panic");
        match granted {
            true => outcome.granted += 1,
            false => outcome.not_run += 1,
        }
        outcome.waits.saturating_record(wait.as_micros() as u64);
    }
    outcome
}

fn format_row(rate: u64, outcome: &Outcome, appends: u64) -> String {
    let millis = |quantile: f64| outcome.waits.value_at_quantile(quantile) as f64 / 1_000.0;
    format!(
        "{rate:8}  {:6}  {:7}  {:6.1}  {:6.1}  {:6.1}  {:9.0}",
        outcome.granted,
        outcome.not_run,
        millis(0.5),
        millis(0.99),
        outcome.waits.max() as f64 / 1_000.0,
        appends as f64 / RUN_TIME.as_secs_f64()
    )
}

/// Prints the memory and time that a key takes in a home's table of claims.
fn print_table_cost() {
    const KEYS: u64 = 200_000;
    let before = resident_bytes();
    let start = Instant::now();
    let mut table = ClaimTable::default();
    for (offset, first) in (0..KEYS).step_by(1_000).enumerate() {
        let entries = (first..first + 1_000).map(|n| {
            let spread = u128::from(n).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c834);
            claim(n, ClaimKey(spread))
        });
        let batch = Batch {
            entries: entries.collect(),
        };
        table.fold(offset as u64, &batch, Moment::from_millis(1_000));
    }
    let time = start.elapsed();
    let bytes = resident_bytes().saturating_sub(before);
    println!(
        "table: {} keys, {:.0} bytes a key, {:.0} ns to fold a claim",
        table.len(),
        bytes as f64 / KEYS as f64,
        time.as_nanos() as f64 / KEYS as f64
    );
}

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("/proc can be read");
    let pages = statm.split_whitespace().nth(1);
    pages.and_then(|p| p.parse::<u64>().ok()).unwrap_or(0) * 4_096
}
