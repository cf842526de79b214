//! Routes each message received from another entry host to the component it is for.

use std::sync::{Arc, OnceLock};

use protocol::PeerMessage;
use state::HostKey;

use crate::claims::Claims;
use crate::dispatch::Dispatcher;
use crate::peers::MessageHandler;

/// The components that receive messages, each set once when it has been started.
#[derive(Default)]
pub struct Router {
    dispatcher: OnceLock<Arc<Dispatcher>>,
    claims: OnceLock<Arc<Claims>>,
}

impl Router {
    /// Sets the receivers. Messages received before are dropped, as if the link had
    /// not been up yet.
    pub fn set(&self, dispatcher: Arc<Dispatcher>, claims: Arc<Claims>) {
        let _ = self.dispatcher.set(dispatcher);
        let _ = self.claims.set(claims);
    }
}

impl MessageHandler for Router {
    fn handle(&self, from: HostKey, message: PeerMessage) {
        match (message, self.dispatcher.get(), self.claims.get()) {
            (PeerMessage::Slots(message), Some(dispatcher), _) => dispatcher.receive(from, message),
            (PeerMessage::Claim(message), _, Some(claims)) => claims.receive(from, message),
            _ => {}
        }
    }
}
