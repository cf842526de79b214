//! Sends the dispatcher's slot messages over the links to other entry hosts.

use std::sync::Arc;
use std::time::Duration;

use coordination::slots::message::SlotBody;
use protocol::PeerMessage;
use state::HostKey;
use tokio::runtime::Handle;
use tokio::time::sleep;

use crate::dispatch::SendMessage;
use crate::peers::Links;

/// The time before a message that could not be sent is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(20);

/// How many times a message is sent again: in total for as long as a new link
/// may take to be established.
const MAX_RESENDS: usize = 100;

/// Returns the function by which the dispatcher sends its messages.
///
/// An owner's handoff of an endpoint to the next owner is sent again while
/// there is no link, as between two hosts that have just joined. If it were
/// lost, the endpoint's free slots would be out of use for longer than a
/// lease's term, and callers would be refused. A late handoff does no harm: its
/// leases end sooner than it states. All other messages are repeated by
/// `coordination::slots`.
///
/// # Panics
///
/// Panics outside a tokio runtime.
pub fn start(links: Arc<Links>) -> SendMessage {
    let runtime = Handle::current();
    Arc::new(move |to, message| {
        let is_handoff = matches!(message.body, SlotBody::Handoff(_));
        let message = PeerMessage::Slots(message);
        if !links.send(to, &message) && is_handoff {
            runtime.spawn(resend(Arc::clone(&links), to, message));
        }
    })
}

async fn resend(links: Arc<Links>, to: HostKey, message: PeerMessage) {
    for _ in 0..MAX_RESENDS {
        sleep(RESEND_INTERVAL).await;
        if links.send(to, &message) {
            return;
        }
    }
}
