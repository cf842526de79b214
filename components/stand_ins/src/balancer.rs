//! The platform's balancer before the entry hosts, as far as it matters here.
//!
//! It asks each entry host whether it is ready and sends new calls only to
//! those that are. It also notes which configuration each shows.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use serde::Deserialize;

use crate::history::{Event, History};
use crate::load::Target;

const PERIOD: Duration = Duration::from_millis(50);
const ANSWER_LIMIT: Duration = Duration::from_millis(500);
/// The status is asked for once in so many periods.
const STATUS_EACH: u32 = 4;

/// Watches entry hosts, each from a thread of its own, until it is dropped.
pub struct Balancer {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

/// What an entry host's `/status` says, as far as it is used here.
#[derive(Deserialize)]
struct Status {
    revision: u64,
    preset: Option<String>,
}

impl Balancer {
    /// Starts watching `targets`, whose admin ports are `admins`, in the same order.
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
            // A panic there has been printed already.
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
            let ready = self.get("readyz").is_some();
            target.set_up(ready);
            if ready && period % STATUS_EACH == 0 {
                self.note();
            }
            period += 1;
            thread::sleep(PERIOD);
        }
    }

    fn note(&self) {
        let Some(text) = self.get("status") else {
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

    /// Returns the text of a good answer.
    fn get(&self, path: &str) -> Option<String> {
        let url = format!("http://{}/{path}", self.admin);
        let mut answer = self.agent.get(url).call().ok()?;
        answer.body_mut().read_to_string().ok()
    }
}

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_global(Some(ANSWER_LIMIT))
        .proxy(None)
        .build()
        .into()
}
