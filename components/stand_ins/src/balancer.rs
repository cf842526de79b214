//! A stand-in for the platform's balancer in front of the entry hosts.
//!
//! The balancer polls each entry host's readiness and sends new calls only to ready ones.
//! It also records which configuration each entry host shows.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use serde::Deserialize;

use crate::history::{Event, History};
use crate::load::Target;

const POLL_INTERVAL: Duration = Duration::from_millis(50);
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Periods from one request for the status to the next.
const STATUS_PERIODS: u32 = 4;

/// Polls entry hosts, each from its own thread, until dropped.
pub struct Balancer {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

/// The part of an entry host's `/status` that is used here.
#[derive(Deserialize)]
struct Status {
    revision: u64,
    preset: Option<String>,
    members: Vec<Member>,
    endpoints: Vec<Endpoint>,
}

#[derive(Deserialize)]
struct Member {
    linked: bool,
}

#[derive(Deserialize)]
struct Endpoint {
    state: String,
}

/// Returns whether the entry hosts with these admin ports are all linked to each other and each
/// endpoint has an owner that leases its slots. Blocks.
pub fn is_converged(admins: &[SocketAddr]) -> bool {
    let pages = statuses(admins);
    let linked =
        |page: &Status| page.members.len() == admins.len() && page.members.iter().all(|m| m.linked);
    let serves = |state: &str| !matches!(state, "owned elsewhere" | "fenced");
    pages.len() == admins.len() && pages.iter().all(linked) && all_in_state(&pages, serves)
}

/// Returns whether the owner of each endpoint considers it warm. Blocks.
pub fn all_endpoints_warm(admins: &[SocketAddr]) -> bool {
    all_in_state(&statuses(admins), |state| state == "warm")
}

/// Returns whether `in_state` holds for the state of each endpoint on the page of one entry host,
/// the endpoint's owner.
fn all_in_state(pages: &[Status], in_state: impl Fn(&str) -> bool) -> bool {
    let endpoints = pages.first().map_or(0, |page| page.endpoints.len());
    let endpoints_shown = pages.iter().flat_map(|p| &p.endpoints);
    endpoints > 0 && endpoints_shown.filter(|e| in_state(&e.state)).count() == endpoints
}

fn statuses(admins: &[SocketAddr]) -> Vec<Status> {
    let agent = agent();
    let page = |admin: &SocketAddr| serde_json::from_str(&get(&agent, *admin, "status")?).ok();
    admins.iter().filter_map(page).collect()
}

impl Balancer {
    /// Starts polling `targets`, whose admin ports are `admins`, in the same order.
    pub fn start(targets: &Arc<Vec<Target>>, admins: &[SocketAddr], history: &History) -> Balancer {
        let stop = Arc::new(AtomicBool::new(false));
        let watch = |(index, admin): (usize, &SocketAddr)| {
            let watcher = Watcher {
                targets: Arc::clone(targets),
                index,
                admin: *admin,
                history: history.clone(),
                agent: agent(),
            };
            let stop = Arc::clone(&stop);
            thread::spawn(move || watcher.watch(&stop))
        };
        let threads = admins.iter().enumerate().map(watch).collect();
        Balancer { stop, threads }
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            // A panic of the thread has already been printed.
            let _ = thread.join();
        }
    }
}

struct Watcher {
    targets: Arc<Vec<Target>>,
    index: usize,
    admin: SocketAddr,
    history: History,
    agent: ureq::Agent,
}

impl Watcher {
    fn watch(&self, stop: &AtomicBool) {
        let target = &self.targets[self.index];
        let mut period = 0;
        while !stop.load(Ordering::SeqCst) {
            let ready = get(&self.agent, self.admin, "readyz").is_some();
            target.set_up(ready);
            if ready && period % STATUS_PERIODS == 0 {
                self.record_status();
            }
            period += 1;
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn record_status(&self) {
        let Some(text) = get(&self.agent, self.admin, "status") else {
            return;
        };
        match serde_json::from_str::<Status>(&text) {
            Ok(status) => self.history.add(Event::Seen {
                host: self.targets[self.index].name.clone(),
                revision: status.revision,
                preset: status.preset,
            }),
            Err(error) => log::warn!("E0941 status-unreadable error=\"{error}\""),
        }
    }
}

/// Returns the body of a successful answer.
fn get(agent: &ureq::Agent, admin: SocketAddr, path: &str) -> Option<String> {
    let url = format!("http://{admin}/{path}");
    let mut answer = agent.get(url).call().ok()?;
    answer.body_mut().read_to_string().ok()
}

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_global(Some(REQUEST_TIMEOUT))
        .proxy(None)
        .build()
        .into()
}
