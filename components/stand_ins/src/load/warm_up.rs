//! Brings a new site to an ordinary day: every backend server warm.
//!
//! Entry hosts take a backend server that they have never seen for cold and
//! give it little until it has proved itself. That is as it should be, and no
//! measure of an ordinary day: so a new site is driven until all are warm.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use tokio::task::JoinSet;

use super::caller::{Call, Caller, Target};
use super::experiment::Deployment;
use crate::balancer::warm;
use crate::history::Outcome;

/// Numbers of these calls, far from all others.
pub const FIRST_CALL: u64 = 1 << 40;
const DEADLINE: Duration = Duration::from_secs(10);
const POLL: Duration = Duration::from_millis(50);

/// Calls all services of `deployment` until every endpoint is warm, at most for `limit`.
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
                    one(&targets, next.fetch_add(1, Ordering::SeqCst), &path).await;
                }
            });
        }
    }
    let all_warm = async {
        loop {
            let admins = admins.to_vec();
            let asked = tokio::task::spawn_blocking(move || warm(&admins));
            if asked.await.unwrap_or(false) {
                return;
            }
            tokio::time::sleep(POLL).await;
        }
    };
    let warm = tokio::time::timeout(limit, all_warm).await.is_ok();
    stop.store(true, Ordering::SeqCst);
    while callers.join_next().await.is_some() {}
    warm
}

async fn one(targets: &[Target], number: u64, path: &str) {
    let place = usize::try_from(number).unwrap_or(0) % targets.len();
    let call = Call {
        number,
        method: "GET".to_owned(),
        path: path.to_owned(),
        key: None,
        repeats: None,
        deadline: DEADLINE,
        size: 64,
    };
    let reply = Caller::default().call(&targets[place], &call).await;
    if reply.outcome != Outcome::Complete {
        tokio::time::sleep(POLL).await;
    }
}
