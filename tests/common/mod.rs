//! Real entry hosts as processes, with everything outside them in the test's own process.

// Each test file compiles this module and uses a part of it.
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

/// No condition takes longer, even on a busy machine.
pub const LIMIT: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(10);
/// Calls of a background load are numbered from here, single calls below.
const LOAD_FIRST: u64 = 1_000_000;

/// One entry host.
pub struct Host {
    pub name: String,
    pub ports: Ports,
    centre: String,
    child: Child,
}

/// Where an entry host listens, as it prints it.
#[derive(Clone, Copy, Deserialize)]
pub struct Ports {
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    pub admin: SocketAddr,
}

/// A site, its entry hosts and the balancer before them.
pub struct Cluster {
    pub site: Arc<Site>,
    pub history: History,
    pub hosts: Vec<Host>,
    pub targets: Arc<Vec<Target>>,
    pub caller: Caller,
    experiment: Arc<Experiment>,
    balancer: Option<Balancer>,
    next: AtomicU64,
}

/// What a process uses.
#[derive(Clone, Copy, Debug, Default)]
pub struct Resources {
    pub memory_kb: u64,
    pub threads: u64,
    pub files: u64,
}

/// A load that goes on until it is stopped.
pub struct Background {
    stop: Arc<AtomicBool>,
    task: JoinHandle<Vec<Sample>>,
}

impl Cluster {
    /// Starts what `experiment` deploys, and waits until every entry host is ready.
    pub async fn start(experiment: &str) -> Cluster {
        Cluster::with(experiment, &SiteOptions::default()).await
    }

    /// The same with a proxy before each backend server.
    pub async fn start_proxied(experiment: &str) -> Cluster {
        let options = SiteOptions {
            proxied: true,
            ..SiteOptions::default()
        };
        Cluster::with(experiment, &options).await
    }

    /// The same with backend servers as `backend` says.
    pub async fn backends(experiment: &str, backend: Options) -> Cluster {
        let options = SiteOptions {
            backend,
            ..SiteOptions::default()
        };
        Cluster::with(experiment, &options).await
    }

    async fn with(experiment: &str, options: &SiteOptions) -> Cluster {
        let experiment = Arc::new(Experiment::parse(experiment).unwrap());
        let deployment = experiment.deployment.clone();
        let history = History::default();
        let site = Site::start(deployment, options, history.clone())
            .await
            .unwrap();
        let log = site.store.address();
        let hosts: Vec<Host> = (0..site.deployment.entry_hosts)
            .map(|index| {
                let name = format!("entry-{}", index + 1);
                Host::start(&name, site.deployment.centre(index), log, None, &history)
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
            next: AtomicU64::new(1),
        };
        cluster.all_ready().await;
        cluster.all_settled().await;
        let deployment = &cluster.site.deployment;
        assert!(
            warm_up(deployment, &cluster.targets, &admins, LIMIT).await,
            "a backend server stays cold"
        );
        cluster
    }

    /// Waits until every entry host is ready.
    pub async fn all_ready(&self) {
        until("every entry host is ready", || {
            self.targets.iter().all(Target::is_up)
        })
        .await;
    }

    /// Waits until the entry hosts have found each other and share all slots.
    pub async fn all_settled(&self) {
        let admins: Vec<_> = self.hosts.iter().map(|h| h.ports.admin).collect();
        let end = Instant::now() + LIMIT;
        loop {
            let admins = admins.clone();
            let asked = tokio::task::spawn_blocking(move || is_converged(&admins));
            if asked.await.unwrap() {
                return;
            }
            assert!(
                Instant::now() < end,
                "the entry hosts don't share all slots"
            );
            tokio::time::sleep(POLL).await;
        }
    }

    /// Sends the experiment's flows until it is stopped.
    pub fn load(&self) -> Background {
        let stop = Arc::new(AtomicBool::new(false));
        let load = LoadGenerator {
            experiment: Arc::clone(&self.experiment),
            plan: Arc::new(Plan::draw(&self.experiment)),
            targets: Arc::clone(&self.targets),
            caller: self.caller.clone(),
            first: LOAD_FIRST,
            stop: Arc::clone(&stop),
        };
        Background {
            stop,
            task: tokio::spawn(load.run()),
        }
    }

    /// Returns a call with a number of its own.
    pub fn new_call(&self, method: &str, path: &str) -> Call {
        Call {
            number: self.next.fetch_add(1, Ordering::SeqCst),
            method: method.to_owned(),
            path: path.to_owned(),
            key: None,
            repeats: None,
            deadline: Duration::from_secs(10),
            size: 64,
        }
    }

    /// Sends one call to the entry host with this index.
    pub async fn call(&self, host: usize, call: &Call) -> Reply {
        self.caller.call(&self.targets[host], call).await
    }

    /// Sends it on a task of its own.
    pub fn send(&self, host: usize, call: &Call) -> JoinHandle<Reply> {
        let (caller, targets) = (self.caller.clone(), Arc::clone(&self.targets));
        let call = call.clone();
        tokio::spawn(async move { caller.call(&targets[host], &call).await })
    }

    /// Returns what callers were told so far.
    pub fn tally(&self) -> Tally {
        Tally::of(&self.history.sorted())
    }

    /// Waits until so many more calls have been answered whole.
    pub async fn more_answers(&self, count: u64) {
        let goal = self.tally().complete + count;
        until("more calls are answered", || self.tally().complete >= goal).await;
    }

    /// Waits until an event is in the history.
    pub async fn event(&self, what: &str, is: impl Fn(&Event) -> bool) {
        until(what, || self.history.sorted().iter().any(|r| is(&r.event))).await;
    }

    /// Kills an entry host, as a power cut would.
    pub fn kill(&mut self, host: usize) {
        let host = &mut self.hosts[host];
        host.signal(Signal::SIGKILL);
        host.child.wait().unwrap();
        self.history.add(Event::Gone {
            host: host.name.clone(),
        });
    }

    /// Stops an entry host's process in its tracks.
    pub fn pause(&self, host: usize) {
        self.hosts[host].signal(Signal::SIGSTOP);
        self.history.add(Event::Gone {
            host: self.hosts[host].name.clone(),
        });
    }

    /// Lets it run on.
    pub fn resume(&self, host: usize) {
        self.hosts[host].signal(Signal::SIGCONT);
        self.history.add(Event::Up {
            host: self.hosts[host].name.clone(),
        });
    }

    /// Shuts an entry host down gracefully and waits for its end.
    pub async fn shut_down(&mut self, host: usize) -> ExitStatus {
        let host = &mut self.hosts[host];
        self.history.add(Event::Stopping {
            host: host.name.clone(),
        });
        host.signal(Signal::SIGTERM);
        let end = Instant::now() + LIMIT;
        loop {
            if let Some(status) = host.child.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < end, "{} doesn't end", host.name);
            tokio::time::sleep(POLL).await;
        }
    }

    /// Starts an entry host anew, on its old ports.
    pub fn restart_host(&mut self, host: usize) {
        let old = &self.hosts[host];
        let log = self.site.store.address();
        self.hosts[host] = Host::start(&old.name, &old.centre, log, Some(old.ports), &self.history);
    }

    /// Returns the memory, threads and open files of an entry host's process.
    pub fn resources(&self, host: usize) -> Resources {
        Resources::of(self.hosts[host].child.id())
    }

    /// Returns an entry host's status page.
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

    /// Returns how often work was started, the warm-up left out.
    pub fn runs(&self) -> usize {
        let run = |r: &Record| match r.event {
            Event::Received {
                call,
                started: true,
                ..
            } => (call < WARM_UP).then_some(()),
            _ => None,
        };
        self.picked(run).len()
    }

    /// Returns the number of a background load's call in the history.
    pub fn number(&self, sample: &Sample) -> u64 {
        LOAD_FIRST + sample.call as u64
    }

    /// Returns the calls of `samples` that came to harm: broken off, not
    /// connected, or told "unknown" though no other call had their key.
    pub fn harmed<'a>(&self, samples: &'a [Sample]) -> Vec<&'a Sample> {
        let plan = Plan::draw(&self.experiment);
        let harmed = |s: &&Sample| match s.outcome {
            Outcome::Complete | Outcome::NotRun => false,
            // It may be told that another call of its key was started and is not yet known.
            Outcome::Unknown => {
                let repeated = |c: &PlannedCall| c.repeats == Some(s.call);
                plan.calls[s.call].repeats.is_none() && !plan.calls.iter().any(repeated)
            }
            Outcome::Broken | Outcome::Unreachable => true,
        };
        samples.iter().filter(harmed).collect()
    }

    /// Returns every promise that was broken, once all is over.
    pub fn violations(&mut self, limits: &Limits) -> Vec<Violation> {
        self.balancer = None;
        check(&self.history.sorted(), limits)
    }

    /// Checks that every promise was kept.
    pub fn assert_kept(&mut self) {
        let faults = self.violations(&Limits::default());
        let shown: Vec<String> = faults.iter().take(10).map(Violation::to_string).collect();
        let tally = self.tally();
        assert!(
            faults.is_empty(),
            "{} broken promises; {tally:?}\n{}",
            faults.len(),
            shown.join("\n")
        );
    }

    /// Returns the events of each kind that `pick` picks.
    pub fn picked<T>(&self, pick: impl Fn(&Record) -> Option<T>) -> Vec<T> {
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

impl Background {
    /// Sends no more calls, and waits until all that were sent have ended.
    pub async fn stop(self) -> Vec<Sample> {
        self.stop.store(true, Ordering::SeqCst);
        self.task.await.unwrap()
    }
}

impl Host {
    fn start(
        name: &str,
        centre: &str,
        log: SocketAddr,
        ports: Option<Ports>,
        history: &History,
    ) -> Host {
        let any = "127.0.0.1:0".parse().unwrap();
        let ports = ports.unwrap_or(Ports {
            callers: any,
            peers: any,
            admin: any,
        });
        let lines = format!("{}/{}-{name}.log", env!("CARGO_TARGET_TMPDIR"), log.port());
        let mut child = Command::new(env!("CARGO_BIN_EXE_cardamomvale"))
            .arg("entry")
            .args(["--name", name, "--data-centre", centre])
            .args(["--log-address", &log.to_string()])
            .args(["--caller-address", &ports.callers.to_string()])
            .args(["--peer-address", &ports.peers.to_string()])
            .args(["--admin-address", &ports.admin.to_string()])
            .stdout(Stdio::piped())
            .stderr(File::create(lines).unwrap())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let mut out = BufReader::new(child.stdout.take().unwrap());
        out.read_line(&mut line).unwrap();
        let ports = serde_json::from_str(&line)
            .unwrap_or_else(|_| panic!("{name} printed no ports but {line:?}"));
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
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until `met`, or fails with what was waited for.
pub async fn until(what: &str, met: impl Fn() -> bool) {
    let end = Instant::now() + LIMIT;
    while !met() {
        assert!(Instant::now() < end, "after {LIMIT:?} still not: {what}");
        tokio::time::sleep(POLL).await;
    }
}
