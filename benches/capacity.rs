//! Measures the resource use of an entry host by the number of hosts, endpoints and calls.
//!
//! Entry hosts run as processes of their own; the store and the backend servers
//! are stand-ins in this process. Processor time and memory are what the operating
//! system counts for the entry hosts; bytes and messages are those on the peer links.
//!
//! `cargo bench --bench capacity`

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use coordination::config::Change;
use eyre::{Result, ensure, eyre};
use stand_ins::backend::{Backend, Options};
use stand_ins::history::History;
use stand_ins::store::{Behaviour, StoreStandIn};
use transport::log::{CommandRequest, Outcome, submit_to_store};

const MEASURE_TIME: Duration = Duration::from_secs(10);
const READY_TIMEOUT: Duration = Duration::from_secs(60);
const CENTRES: [&str; 3] = ["trent", "severn", "soar"];
/// Clock ticks a second in the processor times of Linux's `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Endpoints of one service.
///
/// Rounded average of the long-term target, 630 endpoints in 66 services.
const ENDPOINTS_PER_SERVICE: usize = 10;

/// An entry host as a child process, killed on drop.
struct Host {
    child: Child,
    caller_address: SocketAddr,
    admin_address: SocketAddr,
}

/// A store, backend servers and entry hosts.
struct Site {
    hosts: Vec<Host>,
    _store: StoreStandIn,
    _backends: Vec<Backend>,
}

/// The resources that hosts use: totals of all hosts, or the average of one host.
struct Usage {
    /// Processor time in seconds; in an average, per second.
    processor: f64,
    /// Resident memory in KiB.
    memory: u64,
    /// Bytes sent on peer links; in an average, per second.
    bytes: f64,
    /// Messages sent on peer links; in an average, per second.
    messages: f64,
}

fn main() -> Result<()> {
    let runtime = tokio::runtime::Runtime::new()?;
    let _entered = runtime.enter();
    println!("idle, by hosts (30 endpoints of 3 services)");
    println!("hosts | core % | resident KiB | peer bytes/s out | messages/s out");
    for hosts in [2, 4, 8, 17] {
        print_idle_usage(&hosts.to_string(), &Site::start(hosts, 30)?)?;
    }
    println!("idle, by endpoints (8 hosts)");
    println!("endpoints | core % | resident KiB | peer bytes/s out | messages/s out");
    for endpoints in [30, 120, 310, 630] {
        print_idle_usage(&endpoints.to_string(), &Site::start(8, endpoints)?)?;
    }
    println!("calls of 1 ms work (1 host, 30 endpoints)");
    println!("callers | calls/s | µs of processor a call | resident KiB");
    let site = Site::start(1, 30)?;
    for callers in [1, 4, 8, 16] {
        measure_calls(&site, callers)?;
    }
    Ok(())
}

fn print_idle_usage(size: &str, site: &Site) -> Result<()> {
    let usage = site.idle_usage()?;
    println!(
        "{size} | {:.2} | {} | {:.0} | {:.1}",
        usage.processor * 100.0,
        usage.memory,
        usage.bytes,
        usage.messages
    );
    Ok(())
}

/// Calls in a closed loop from `callers` threads, and prints the cost of a call.
fn measure_calls(site: &Site, callers: usize) -> Result<()> {
    let host = &site.hosts[0];
    let stop = Arc::new(AtomicBool::new(false));
    let calls = Arc::new(AtomicU64::new(0));
    let before = host.processor_seconds()?;
    let began = Instant::now();
    let threads: Vec<_> = (0..callers)
        .map(|n| {
            let (stop, calls) = (Arc::clone(&stop), Arc::clone(&calls));
            let url = format!(
                "http://{}/service-{}/x?work-ms=1",
                host.caller_address,
                n % 3
            );
            thread::spawn(move || {
                let agent = ureq::agent();
                while !stop.load(Ordering::Relaxed) {
                    let answer = agent
                        .get(&url)
                        .call()
                        .and_then(|mut a| a.body_mut().read_to_vec());
                    if answer.is_ok() {
                        calls.fetch_add(1, Ordering::Relaxed);
                    }
                }
            })
        })
        .collect();
    thread::sleep(MEASURE_TIME);
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        thread
            .join()
            .map_err(|_| eyre!("a caller thread panicked"))?;
    }
    let spent = host.processor_seconds()? - before;
    let calls = calls.load(Ordering::Relaxed);
    ensure!(calls > 0, "no call was answered");
    println!(
        "{callers} | {:.0} | {:.0} | {}",
        calls as f64 / began.elapsed().as_secs_f64(),
        spent * 1e6 / calls as f64,
        host.memory_kib()?
    );
    Ok(())
}

impl Site {
    fn start(hosts: usize, endpoints: usize) -> Result<Site> {
        let history = History::default();
        let store = StoreStandIn::on_loopback(Behaviour::default())?;
        let mut backends = Vec::new();
        for n in 0..endpoints {
            let options = Options {
                data_centre: CENTRES[n % 3].to_owned(),
                ..Options::default()
            };
            let listener = TcpListener::bind(("127.0.0.1", 0))?;
            backends.push(Backend::start(listener, options, history.clone())?);
        }
        let address = store.address().to_string();
        submit(
            store.address(),
            Change::PutPreset {
                text: preset(&backends),
            },
        )?;
        let name = "ordinary".to_owned();
        submit(store.address(), Change::ChoosePreset { name })?;
        let mut site = Site {
            hosts: Vec::new(),
            _store: store,
            _backends: backends,
        };
        for n in 0..hosts {
            site.hosts.push(Host::start(n, &address)?);
        }
        for host in &site.hosts {
            host.await_ready()?;
        }
        thread::sleep(MEASURE_TIME / 2);
        Ok(site)
    }

    /// Returns the resources that an idle host uses on average, over [`MEASURE_TIME`].
    fn idle_usage(&self) -> Result<Usage> {
        let before = self.totals()?;
        thread::sleep(MEASURE_TIME);
        let after = self.totals()?;
        let per_host = |n: f64| n / self.hosts.len() as f64;
        let per_host_second = |n: f64| per_host(n) / MEASURE_TIME.as_secs_f64();
        Ok(Usage {
            processor: per_host_second(after.processor - before.processor),
            memory: after.memory / self.hosts.len() as u64,
            bytes: per_host_second(after.bytes - before.bytes),
            messages: per_host_second(after.messages - before.messages),
        })
    }

    /// Returns the sums over all hosts since their start.
    fn totals(&self) -> Result<Usage> {
        let mut sum = Usage {
            processor: 0.0,
            memory: 0,
            bytes: 0.0,
            messages: 0.0,
        };
        for host in &self.hosts {
            sum.processor += host.processor_seconds()?;
            sum.memory += host.memory_kib()?;
            sum.bytes += host.metric("cardamomvale_peer_bytes_sent_total")?;
            sum.messages += host.metric("cardamomvale_peer_messages_sent_total")?;
        }
        Ok(sum)
    }
}

impl Host {
    fn start(n: usize, store: &str) -> Result<Host> {
        let mut child = Command::new(env!("CARGO_BIN_EXE_cardamomvale"))
            .args(["entry", "--log-level", "error", "--log-address", store])
            .args([
                "--name",
                &format!("entry-{n}"),
                "--data-centre",
                CENTRES[n % 3],
            ])
            .args([
                "--caller-address",
                "127.0.0.1:0",
                "--peer-address",
                "127.0.0.1:0",
            ])
            .args(["--admin-address", "127.0.0.1:0"])
            .stdout(Stdio::piped())
            .spawn()?;
        let out = child
            .stdout
            .take()
            .ok_or_else(|| eyre!("the entry host has no standard output"))?;
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line)?;
        let ports: serde_json::Value = serde_json::from_str(&line)?;
        let port = |name: &str| -> Result<SocketAddr> {
            Ok(ports[name].as_str().unwrap_or_default().parse()?)
        };
        Ok(Host {
            caller_address: port("callers")?,
            admin_address: port("admin")?,
            child,
        })
    }

    fn await_ready(&self) -> Result<()> {
        let end = Instant::now() + READY_TIMEOUT;
        while ureq::get(format!("http://{}/readyz", self.admin_address))
            .call()
            .is_err()
        {
            ensure!(
                Instant::now() < end,
                "an entry host did not become ready in time"
            );
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Returns the processor time that the process has used, in seconds.
    fn processor_seconds(&self) -> Result<f64> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let (_, fields) = stat
            .rsplit_once(')')
            .ok_or_else(|| eyre!("unexpected content of /proc/PID/stat"))?;
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let (user, system): (f64, f64) = (fields[11].parse()?, fields[12].parse()?);
        Ok((user + system) / TICKS_PER_SECOND)
    }

    /// Returns the resident memory of the process, in KiB.
    fn memory_kib(&self) -> Result<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let text = line.ok_or_else(|| eyre!("/proc/PID/status has no VmRSS line"))?;
        Ok(text.trim().trim_end_matches(" kB").parse()?)
    }

    /// Returns the sum of a metric over its labels.
    fn metric(&self, name: &str) -> Result<f64> {
        let mut answer = ureq::get(format!("http://{}/metrics", self.admin_address)).call()?;
        let page = answer.body_mut().read_to_string()?;
        let values = page
            .lines()
            .filter(|l| !l.starts_with('#') && l.contains(name));
        let numbers = values.filter_map(|l| l.rsplit_once(' ')?.1.parse::<f64>().ok());
        Ok(numbers.sum())
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn submit(store: SocketAddr, change: Change) -> Result<()> {
    let request = CommandRequest {
        id: None,
        decided_on: None,
        change,
    };
    match submit_to_store(store, &request, Duration::from_secs(10)) {
        Outcome::Accepted { .. } => Ok(()),
        other => Err(eyre!("the store did not accept the command: {other:?}")),
    }
}

fn preset(backends: &[Backend]) -> String {
    let mut text = "name = \"ordinary\"\n".to_owned();
    for centre in CENTRES {
        text += &format!("[[data-centre]]\nname = \"{centre}\"\nregion = \"midlands\"\n");
    }
    for (n, endpoints) in backends.chunks(ENDPOINTS_PER_SERVICE).enumerate() {
        text += &format!("[[service]]\nname = \"service-{n}\"\nendpoints = [\n");
        for (m, backend) in endpoints.iter().enumerate() {
            let centre = CENTRES[(n * ENDPOINTS_PER_SERVICE + m) % 3];
            let address = backend.address();
            text += &format!("  {{ address = \"{address}\", data-centre = \"{centre}\" }},\n");
        }
        text += "]\n";
    }
    text
}
