//! Starts real entry hosts as processes, and runs their backend servers, store, balancer and
//! callers inside the test's own process.

// Each test file compiles this module and uses only some of its items.
#![allow(dead_code)]

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde::Deserialize;
use stand_ins::backend::Options;
use stand_ins::balancer::{Balancer, is_converged};
use stand_ins::history::check::{Limits, Tally, Violation, check};
use stand_ins::history::{Event, History, Outcome, Record};
use stand_ins::load::run::LoadGenerator;
use stand_ins::load::warm_up::{FIRST_CALL as WARM_UP, warm_up};
use stand_ins::load::{Call, Caller, Experiment, Plan, PlannedCall, Reply, Sample, Target};
use stand_ins::site::{Site, SiteOptions};
use tokio::task::JoinHandle;

/// The longest wait for a condition, long enough for a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The number of the first call of a background load; single calls have lower numbers.
const FIRST_LOAD_CALL: u64 = 1_000_000;

/// An entry host as a process, killed when dropped.
pub struct Host {
    pub name: String,
    pub ports: Ports,
    centre: String,
    child: Child,
}

/// The addresses on which an entry host listens, as it prints them on standard output.
#[derive(Clone, Copy, Deserialize)]
pub struct Ports {
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    pub admin: SocketAddr,
}

/// A site, its entry hosts and the balancer in front of them.
pub struct Cluster {
    pub site: Arc<Site>,
    pub history: History,
    pub hosts: Vec<Host>,
    pub targets: Arc<Vec<Target>>,
    pub caller: Caller,
    experiment: Arc<Experiment>,
    balancer: Option<Balancer>,
    next_call: AtomicU64,
}

/// The resources that a process uses: resident memory in KiB, threads and open files.
#[derive(Clone, Copy, Debug, Default)]
pub struct Resources {
    pub memory_kb: u64,
    pub threads: u64,
    pub files: u64,
}

/// A load that runs until it is stopped.
pub struct BackgroundLoad {
    stop: Arc<AtomicBool>,
    task: JoinHandle<Vec<Sample>>,
}

impl Cluster {
    /// Starts the deployment of `experiment`, a TOML text, and waits until every entry host is
    /// ready and every backend server is warm.
    pub async fn start(experiment: &str) -> Cluster {
        Cluster::start_with(experiment, &SiteOptions::default()).await
    }

    /// Starts the deployment of `experiment` with a proxy in front of each backend server.
    pub async fn start_proxied(experiment: &str) -> Cluster {
        let options = SiteOptions {
            proxied: true,
            ..SiteOptions::default()
        };
        Cluster::start_with(experiment, &options).await
    }

    /// Starts the deployment of `experiment` with the options `backend` for all backend servers.
    pub async fn start_with_backends(experiment: &str, backend: Options) -> Cluster {
        let options = SiteOptions {
            backend,
            ..SiteOptions::default()
        };
        Cluster::start_with(experiment, &options).await
    }

    async fn start_with(experiment: &str, options: &SiteOptions) -> Cluster {
        let experiment = Arc::new(Experiment::parse(experiment).unwrap());
        let deployment = experiment.deployment.clone();
        let history = History::default();
        let site = Site::start(deployment, options, history.clone())
            .await
            .unwrap();
        let store_address = site.store.address();
        let hosts: Vec<Host> = (0..site.deployment.entry_hosts)
            .map(|index| {
                let name = format!("entry-{}", index + 1);
                Host::start(
                    &name,
                    site.deployment.centre(index),
                    store_address,
                    None,
                    &history,
                )
            })
            .collect();
        let target = |h: &Host| Target::new(&h.name, h.ports.callers);
        let targets: Arc<Vec<Target>> = Arc::new(hosts.iter().map(target).collect());
        targets.iter().for_each(|t| t.set_up(false));
        let admins: Vec<_> = hosts.iter().map(|h| h.ports.admin).collect();
        let balancer = Balancer::start(&targets, &admins, &history);
        let cluster = Cluster {
            site: Arc::new(site),
            caller: Caller {
                history: history.clone(),
            },
            history,
            hosts,
            targets,
            experiment,
            balancer: Some(balancer),
            next_call: AtomicU64::new(1),
        };
        cluster.wait_ready().await;
        cluster.wait_converged().await;
        let deployment = &cluster.site.deployment;
        assert!(
            warm_up(deployment, &cluster.targets, &admins, WAIT_TIMEOUT).await,
            "a backend server did not warm up"
        );
        cluster
    }

    /// Waits until every entry host is ready.
    pub async fn wait_ready(&self) {
        until("every entry host is ready", || {
            self.targets.iter().all(Target::is_up)
        })
        .await;
    }

    /// Waits until the entry hosts are connected to each other and every endpoint has an owner
    /// that leases its slots.
    pub async fn wait_converged(&self) {
        let admins: Vec<_> = self.hosts.iter().map(|h| h.ports.admin).collect();
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let admins = admins.clone();
            let converged = tokio::task::spawn_blocking(move || is_converged(&admins));
            if converged.await.unwrap() {
                return;
            }
            assert!(
                Instant::now() < deadline,
                "an endpoint has no owner, or an entry host no connection to another"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Starts a load with the experiment's flows.
    pub fn load(&self) -> BackgroundLoad {
        let stop = Arc::new(AtomicBool::new(false));
        let load = LoadGenerator {
            experiment: Arc::clone(&self.experiment),
            plan: Arc::new(Plan::draw(&self.experiment)),
            targets: Arc::clone(&self.targets),
            caller: self.caller.clone(),
            first: FIRST_LOAD_CALL,
            stop: Arc::clone(&stop),
        };
        BackgroundLoad {
            stop,
            task: tokio::spawn(load.run()),
        }
    }

    /// Returns a call with an unused number and a deadline of 10 s.
    pub fn new_call(&self, method: &str, path: &str) -> Call {
        Call {
            number: self.next_call.fetch_add(1, Ordering::SeqCst),
            method: method.to_owned(),
            path: path.to_owned(),
            key: None,
            repeats: None,
            deadline: Duration::from_secs(10),
            size: 64,
        }
    }

    /// Sends one call to the entry host at index `host` and returns the reply.
    pub async fn call(&self, host: usize, call: &Call) -> Reply {
        self.caller.call(&self.targets[host], call).await
    }

    /// Sends one call to the entry host at index `host` from a new task.
    pub fn send(&self, host: usize, call: &Call) -> JoinHandle<Reply> {
        let (caller, targets) = (self.caller.clone(), Arc::clone(&self.targets));
        let call = call.clone();
        tokio::spawn(async move { caller.call(&targets[host], &call).await })
    }

    /// Returns how many calls have ended with each outcome so far.
    pub fn tally(&self) -> Tally {
        Tally::of(&self.history.sorted())
    }

    /// Waits until `count` more calls have received complete answers.
    pub async fn wait_for_answers(&self, count: u64) {
        let goal = self.tally().complete + count;
        until("more calls receive complete answers", || {
            self.tally().complete >= goal
        })
        .await;
    }

    /// Waits until the history holds an event for which `matches` returns true.
    pub async fn wait_for_event(&self, what: &str, matches: impl Fn(&Event) -> bool) {
        until(what, || {
            self.history.sorted().iter().any(|r| matches(&r.event))
        })
        .await;
    }

    /// Kills an entry host with SIGKILL, without any shutdown, as in a power failure.
    pub fn kill(&mut self, host: usize) {
        let host = &mut self.hosts[host];
        host.signal(Signal::SIGKILL);
        host.child.wait().unwrap();
        self.history.add(Event::Gone {
            host: host.name.clone(),
        });
    }

    /// Pauses an entry host's process with SIGSTOP.
    pub fn pause(&self, host: usize) {
        self.hosts[host].signal(Signal::SIGSTOP);
        self.history.add(Event::Gone {
            host: self.hosts[host].name.clone(),
        });
    }

    /// Resumes a paused entry host's process with SIGCONT.
    pub fn resume(&self, host: usize) {
        self.hosts[host].signal(Signal::SIGCONT);
        self.history.add(Event::Up {
            host: self.hosts[host].name.clone(),
        });
    }

    /// Sends SIGTERM to an entry host and waits until the process exits.
    pub async fn shut_down(&mut self, host: usize) -> ExitStatus {
        let host = &mut self.hosts[host];
        self.history.add(Event::Stopping {
            host: host.name.clone(),
        });
        host.signal(Signal::SIGTERM);
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(status) = host.child.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < deadline, "{} did not exit", host.name);
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Starts a new process for an entry host, on the same ports as before.
    pub fn restart_host(&mut self, host: usize) {
        let old = &self.hosts[host];
        let store_address = self.site.store.address();
        self.hosts[host] = Host::start(
            &old.name,
            &old.centre,
            store_address,
            Some(old.ports),
            &self.history,
        );
    }

    /// Returns the memory, threads and open files of an entry host's process.
    pub fn resources(&self, host: usize) -> Resources {
        Resources::of(self.hosts[host].child.id())
    }

    /// Returns the JSON of an entry host's status page.
    pub async fn status(&self, host: usize) -> serde_json::Value {
        let url = format!("http://{}/status", self.hosts[host].ports.admin);
        let get = move || {
            ureq::get(url)
                .call()
                .unwrap()
                .body_mut()
                .read_to_string()
                .unwrap()
        };
        let text = tokio::task::spawn_blocking(get).await.unwrap();
        serde_json::from_str(&text).unwrap()
    }

    /// Returns how many calls backend servers have started to run, without those of the warm-up.
    pub fn run_count(&self) -> usize {
        let started_run = |r: &Record| match r.event {
            Event::Received {
                call,
                started: true,
                ..
            } => (call < WARM_UP).then_some(()),
            _ => None,
        };
        self.select(started_run).len()
    }

    /// Returns the number that a background load's call has in the history.
    pub fn call_number(&self, sample: &Sample) -> u64 {
        FIRST_LOAD_CALL + sample.call as u64
    }

    /// Returns the samples of calls that failed: a broken answer, a failed connection, or the
    /// outcome "unknown" although no other call had the same key.
    pub fn failed_samples<'a>(&self, samples: &'a [Sample]) -> Vec<&'a Sample> {
        let plan = Plan::draw(&self.experiment);
        let is_failed = |s: &&Sample| match s.outcome {
            Outcome::Complete | Outcome::NotRun => false,
            // A call may get "unknown" while another call with the same key is running.
            Outcome::Unknown => {
                let repeated = |c: &PlannedCall| c.repeats == Some(s.call);
                plan.calls[s.call].repeats.is_none() && !plan.calls.iter().any(repeated)
            }
            Outcome::Broken | Outcome::Unreachable => true,
        };
        samples.iter().filter(is_failed).collect()
    }

    /// Returns a line for each sample that is not complete, with its times in milliseconds from
    /// the moment of sending: at the backend servers, and at the caller.
    pub fn describe_failures(&self, samples: &[Sample]) -> String {
        let records = self.history.sorted();
        let mut lines = String::new();
        for sample in samples.iter().filter(|s| s.outcome != Outcome::Complete) {
            let number = self.call_number(sample);
            let sent = records.iter().find_map(|r| match r.event {
                Event::Sent { call, .. } if call == number => Some(r.at),
                _ => None,
            });
            let sent = sent.unwrap_or_default();
            let seen = records.iter().filter_map(|r| match &r.event {
                Event::Received { call, started, .. } if *call == number => {
                    Some((r.at, format!("received started={started}")))
                }
                Event::Ended { call, ending, .. } if *call == number => {
                    Some((r.at, format!("ended {ending:?}")))
                }
                Event::Answered { call, .. } if *call == number => {
                    Some((r.at, "answered".to_owned()))
                }
                _ => None,
            });
            let times: Vec<String> = seen
                .map(|(at, what)| format!("{what} at {}", at.saturating_sub(sent) / 1_000))
                .collect();
            lines += &format!(
                "call {number} sent at {sent} us, {} ms late, {:?}: {} ({})\n",
                sample.lag.as_millis(),
                sample.outcome,
                times.join(", "),
                sample.why
            );
        }
        lines
    }

    /// Stops the balancer and returns every violation of the guarantees in the history.
    pub fn violations(&mut self, limits: &Limits) -> Vec<Violation> {
        self.balancer = None;
        check(&self.history.sorted(), limits)
    }

    /// Checks that no guarantee was violated.
    pub fn assert_no_violations(&mut self) {
        let violations = self.violations(&Limits::default());
        let shown: Vec<String> = violations
            .iter()
            .take(10)
            .map(Violation::to_string)
            .collect();
        let tally = self.tally();
        assert!(
            violations.is_empty(),
            "{} violations; {tally:?}\n{}",
            violations.len(),
            shown.join("\n")
        );
    }

    /// Returns the results of `pick` for the history's records, without `None`.
    pub fn select<T>(&self, pick: impl Fn(&Record) -> Option<T>) -> Vec<T> {
        self.history.sorted().iter().filter_map(pick).collect()
    }
}

impl Resources {
    fn of(pid: u32) -> Resources {
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let field = |name: &str| {
            let line = status.lines().find_map(|l| l.strip_prefix(name));
            let number = line.and_then(|l| l.split_whitespace().next()?.parse().ok());
            number.unwrap_or(0)
        };
        let files = std::fs::read_dir(format!("/proc/{pid}/fd"));
        Resources {
            memory_kb: field("VmRSS:"),
            threads: field("Threads:"),
            files: files.map_or(0, |f| f.count() as u64),
        }
    }
}

impl BackgroundLoad {
    /// Stops sending calls, waits until all sent calls have ended and returns their samples.
    pub async fn stop(self) -> Vec<Sample> {
        self.stop.store(true, Ordering::SeqCst);
        self.task.await.unwrap()
    }
}

impl Host {
    fn start(
        name: &str,
        centre: &str,
        store_address: SocketAddr,
        ports: Option<Ports>,
        history: &History,
    ) -> Host {
        let any_port = "127.0.0.1:0".parse().unwrap();
        let ports = ports.unwrap_or(Ports {
            callers: any_port,
            peers: any_port,
            admin: any_port,
        });
        let log_file = format!(
            "{}/{}-{name}.log",
            env!("CARGO_TARGET_TMPDIR"),
            store_address.port()
        );
        let mut child = Command::new(env!("CARGO_BIN_EXE_cardamomvale"))
            .arg("entry")
            .args(["--name", name, "--data-centre", centre])
            .args(["--log-address", &store_address.to_string()])
            .args(["--caller-address", &ports.callers.to_string()])
            .args(["--peer-address", &ports.peers.to_string()])
            .args(["--admin-address", &ports.admin.to_string()])
            .stdout(Stdio::piped())
            .stderr(File::create(log_file).unwrap())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let mut stdout = BufReader::new(child.stdout.take().unwrap());
        stdout.read_line(&mut line).unwrap();
        let ports = serde_json::from_str(&line)
            .unwrap_or_else(|_| panic!("{name} printed {line:?} instead of its ports"));
        history.add(Event::Up {
            host: name.to_owned(),
        });
        Host {
            name: name.to_owned(),
            centre: centre.to_owned(),
            ports,
            child,
        }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(i32::try_from(self.child.id()).unwrap());
        kill(pid, signal).unwrap();
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        // Both fail if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until `condition` returns true.
///
/// # Panics
///
/// Panics with `what` when `WAIT_TIMEOUT` has passed.
pub async fn until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "timed out after {WAIT_TIMEOUT:?}: {what}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
