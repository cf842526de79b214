//! Warms up a new site until every backend server is warm.
//!
//! Entry hosts consider an unknown backend server cold and send it few calls at first. That is
//! intended, but measurements need the steady state, so a new site gets calls until all
//! backend servers are warm.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use tokio::task::JoinSet;

use super::caller::{Call, Caller, Target};
use super::experiment::Deployment;
use crate::balancer::all_endpoints_warm;
use crate::history::Outcome;

/// The number of the first warm-up call, far above the numbers of all other calls.
pub const FIRST_CALL: u64 = 1 << 40;
const CALL_DEADLINE: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Calls all services of `deployment` until every endpoint is warm, for at most `limit`.
///
/// Returns whether all are warm.
///
/// # Panics
///
/// Panics outside a tokio runtime.
pub async fn warm_up(
    deployment: &Deployment,
    targets: &Arc<Vec<Target>>,
    admins: &[SocketAddr],
    limit: Duration,
) -> bool {
    let stop = Arc::new(AtomicBool::new(false));
    let next = Arc::new(AtomicU64::new(FIRST_CALL));
    let mut callers = JoinSet::new();
    for service in &deployment.services {
        for _ in 0..service.endpoints * service.slots {
            let path = format!("/{}/warm-up?work-ms=10", service.name);
            let (targets, next, stop) = (Arc::clone(targets), Arc::clone(&next), Arc::clone(&stop));
            callers.spawn(async move {
                while !stop.load(Ordering::SeqCst) {
                    send_call(&targets, next.fetch_add(1, Ordering::SeqCst), &path).await;
                }
            });
        }
    }
    let all_warm = async {
        loop {
            let admins = admins.to_vec();
            let checked = tokio::task::spawn_blocking(move || all_endpoints_warm(&admins));
            if checked.await.unwrap_or(false) {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let warm = tokio::time::timeout(limit, all_warm).await.is_ok();
    stop.store(true, Ordering::SeqCst);
    while callers.join_next().await.is_some() {}
    warm
}

async fn send_call(targets: &[Target], number: u64, path: &str) {
    let index = usize::try_from(number).unwrap_or(0) % targets.len();
    let call = Call {
        number,
        method: "GET".to_owned(),
        path: path.to_owned(),
        key: None,
        repeats: None,
        deadline: CALL_DEADLINE,
        size: 64,
    };
    let reply = Caller::default().call(&targets[index], &call).await;
    if reply.outcome != Outcome::Complete {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
