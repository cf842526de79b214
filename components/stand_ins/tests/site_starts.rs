//! A site starts completely: its preset is accepted and names every backend server.

use stand_ins::history::{Event, History, Order};
use stand_ins::load::Experiment;
use stand_ins::site::{DEFAULT_PRESET, Site, SiteOptions};

#[tokio::test]
async fn preset_in_force() {
    let text = include_str!("../../../experiments/tail-midlands.toml");
    let deployment = Experiment::parse(text).unwrap().deployment;
    let site = Site::start(deployment, &SiteOptions::default(), History::default())
        .await
        .unwrap();
    let preset = site.preset(DEFAULT_PRESET);
    let named = |b: &stand_ins::backend::Backend| preset.contains(&b.address().to_string());
    assert_eq!(site.all_backends().count(), 25);
    assert!(site.all_backends().all(named));
    let before = site.history.sorted();
    assert!(before.iter().any(|r| matches!(
        r.event,
        Event::Ordered {
            order: Order::Choose,
            ..
        }
    )));
    let left = site.order(Order::CentreLeaves, "trent").await.unwrap();
    let back = site.order(Order::CentreReturns, "trent").await.unwrap();
    assert!(left < back);
}
