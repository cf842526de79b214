//! Sends the slots' messages over the links.

use std::sync::Arc;
use std::time::Duration;

use coordination::slots::message::SlotBody;
use protocol::PeerMessage;
use state::HostKey;
use tokio::runtime::Handle;
use tokio::time::sleep;

use crate::dispatch::SendMessage;
use crate::peers::Links;

/// The pause before a message is sent again.
const PAUSE: Duration = Duration::from_millis(20);

/// How often it is sent again: for as long as a new link may take to be made.
const REPEATS: usize = 100;

/// Returns what the slots send by. To be called within the runtime.
///
/// What an earlier owner leaves to the next is sent again where there is no
/// link yet, as between two hosts that have just joined. Lost, it would keep an
/// endpoint's free slots out of use for longer than a lease's term, and callers
/// would be refused. Sent late it does no harm: leases named in it end sooner
/// than it says. All other messages are repeated by the slots themselves.
pub fn start(links: Arc<Links>) -> SendMessage {
    let runtime = Handle::current();
    Arc::new(move |to, message| {
        let lasting = matches!(message.body, SlotBody::Handoff(_));
        let message = PeerMessage::Slots(message);
        if !links.send(to, &message) && lasting {
            runtime.spawn(repeat(Arc::clone(&links), to, message));
        }
    })
}

async fn repeat(links: Arc<Links>, to: HostKey, message: PeerMessage) {
    for _ in 0..REPEATS {
        sleep(PAUSE).await;
        if links.send(to, &message) {
            return;
        }
    }
}
