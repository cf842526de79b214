//! The status page: what a host knows, as JSON.

use serde_json::{Value, json};

use super::Host;
use crate::clock;

/// Returns what `host` knows.
pub fn page(host: &Host) -> Value {
    let config = host.follower.config().borrow().clone();
    let progress = host.follower.progress().borrow().clone();
    let now = clock::now();
    json!({
        "name": host.name,
        "data_centre": host.data_centre,
        "revision": config.revision,
        "offset": config.offset,
        "preset": config.chosen,
        "log_age_ms": progress.end_seen.map(|seen| now.since(seen).as_millis()),
        "trouble": progress.trouble,
        "callers": host.edge.callers(),
        "leaving_centres": config.leaving_centres,
        "leaving_hosts": config.leaving_hosts,
    })
}
