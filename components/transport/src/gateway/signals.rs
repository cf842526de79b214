//! What endpoints say of themselves with their answers: that they want rest, or that they
//! leave.

use hyper::{HeaderMap, StatusCode};
use state::EndpointKey;

use super::Gateway;
use crate::clock;

impl Gateway {
    /// Takes in the head of any answer of an endpoint, to a request or a probe.
    pub(super) fn note_signals(&self, key: EndpointKey, status: StatusCode, headers: &HeaderMap) {
        let now = clock::now();
        let mut registry = self.registry.borrow_mut();
        // The endpoint may have been removed in the meantime.
        let Some(state) = registry.get_mut(key) else {
            return;
        };
        let instance = state.endpoint.instance.clone();
        match platform::headers::requested_rest(status, headers) {
            Ok(None) => {}
            Ok(Some(rest)) => {
                state.note_rest(rest, now);
                let rest_ms = rest.as_millis();
                log::info!("E0147 rest-requested instance={instance} rest_ms={rest_ms}");
            }
            Err(error) => log::debug!("E0149 rest-unreadable instance={instance} error={error}"),
        }
        drop(registry);
        if platform::headers::is_leaving(headers) {
            self.note_leaving(key);
        }
    }

    /// Notes that an endpoint has said that it leaves.
    pub(super) fn note_leaving(&self, key: EndpointKey) {
        let mut registry = self.registry.borrow_mut();
        if let Some(state) = registry.get_mut(key).filter(|s| !s.leaving) {
            state.leaving = true;
            let instance = &state.endpoint.instance;
            log::info!("E0148 endpoint-leaving instance={instance}");
        }
    }

    /// Returns whether an endpoint that was chosen for a request still takes requests.
    ///
    /// It may have asked for rest, or have said that it leaves, while the request was being
    /// connected.
    pub(super) fn accepts_requests(&self, key: EndpointKey) -> bool {
        let registry = self.registry.borrow();
        registry.get(key).is_some_and(|s| s.accepts(clock::now()))
    }
}
