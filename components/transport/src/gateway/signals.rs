//! What endpoints say of themselves with their answers: that they want rest, or that they
//! leave.

use hyper::{HeaderMap, StatusCode};
use state::EndpointKey;

use super::Gateway;

impl Gateway {
    /// Takes in the head of any answer of an endpoint, to a request or a probe.
    pub(super) fn note_signals(&self, key: EndpointKey, status: StatusCode, headers: &HeaderMap) {
        let registry = self.registry.borrow();
        let endpoint = registry.get(key).map(|s| &s.endpoint);
        let instance = endpoint.map_or("-", |e| e.instance.as_str());
        match platform::headers::requested_rest(status, headers) {
            Ok(None) => {}
            Ok(Some(rest)) => {
                let rest_ms = rest.as_millis();
                log::info!("E0147 rest-requested instance={instance} rest_ms={rest_ms}");
            }
            Err(error) => log::debug!("E0149 rest-unreadable instance={instance} error={error}"),
        }
        if platform::headers::is_leaving(headers) {
            log::info!("E0148 endpoint-leaving instance={instance}");
        }
    }
}
