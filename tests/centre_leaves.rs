//! Operators take a data centre out at full load and bring it back.

mod common;

use common::{Rig, until};
use stand_ins::history::{Event, Order, Outcome};

const SITE: &str = include_str!("common/small.toml");

// The site of one data centre is needed for building work at short notice. Long
// answers are in flight there. No caller may notice: nothing breaks, nothing that
// the other data centres can bear is refused, and after a few seconds no new work
// goes there. When it is brought back it serves again.
#[tokio::test(flavor = "multi_thread")]
async fn unnoticed() {
    let mut rig = Rig::start(SITE).await;
    let load = rig.load();
    rig.more_answers(300).await;
    let long: Vec<_> = (0..4)
        .map(|_| rig.new_call("GET", "/hallboard/archive?work-ms=3000"))
        .map(|call| rig.send(1, &call))
        .collect();
    rig.more_answers(50).await;
    rig.site.order(Order::CentreLeaves, "trent").await.unwrap();
    for reply in long {
        assert_eq!(reply.await.unwrap().outcome, Outcome::Complete);
    }
    rig.more_answers(1_500).await;
    rig.site.order(Order::CentreReturns, "trent").await.unwrap();
    let back = rig.history.sorted().last().unwrap().at;
    let trent = rig.site.backends("hallboard")[0].address();
    let served = |r: &stand_ins::history::Record| match r.event {
        Event::Received { endpoint, .. } if endpoint == trent && r.at > back => Some(()),
        _ => None,
    };
    until("trent serves again", || !rig.picked(served).is_empty()).await;
    rig.more_answers(500).await;
    let samples = load.stop().await;
    let hurt: Vec<_> = samples
        .iter()
        .filter(|s| s.outcome != Outcome::Complete)
        .collect();
    assert!(
        hurt.is_empty(),
        "{} of {}: {:?}",
        hurt.len(),
        samples.len(),
        hurt[0]
    );
    rig.assert_kept();
}
