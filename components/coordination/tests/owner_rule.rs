//! When an owner may act, and when its successor may take over.

use std::collections::BTreeMap;
use std::time::Duration;

use coordination::members::{
    MemberId, OwnerStatus, Takeover, WatchHistory, WatchMap, WatcherAck, may_act,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use state::config::Member;
use state::{Config, HostKey, Moment};

const TERM: Duration = Duration::from_secs(3);

fn id(host: u64) -> MemberId {
    MemberId {
        host: HostKey(host),
        incarnation: 1,
    }
}

fn moment(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn answers(offsets: &[u64], sent: Moment) -> BTreeMap<MemberId, WatcherAck> {
    let answer = |(index, offset): (usize, &u64)| {
        (
            id(index as u64),
            WatcherAck {
                offset: *offset,
                sent,
            },
        )
    };
    offsets.iter().enumerate().map(answer).collect()
}

fn config(hosts: impl IntoIterator<Item = u64>, revision: u64) -> Config {
    let member = |host: u64| Member {
        name: host.to_string(),
        incarnation: 1,
        peer: "127.0.0.1:1".parse().unwrap(),
        data_centre: ["trent", "severn", "soar"][host as usize % 3].into(),
        joined: 1,
    };
    let members = hosts.into_iter().map(|h| (HostKey(h), member(h))).collect();
    Config {
        revision,
        offset: revision,
        members,
        ..Config::default()
    }
}

// The log is unreachable. An owner goes on while most of its watchers know of
// nothing newer. Once it is cut off from them, it must stop before its successor
// starts.
#[rstest]
#[case::most_agree(&[7, 7, 7], 1_000, true)]
#[case::one_lags(&[7, 7, 3], 1_000, true)]
#[case::too_few(&[7, 7], 1_000, false)]
#[case::one_is_ahead(&[7, 7, 8], 1_000, false)]
#[case::more_agree(&[7, 7, 8, 7], 1_000, true)]
#[case::too_old(&[7, 7, 7, 7, 7], 3_000, false)]
fn log_down(#[case] offsets: &[u64], #[case] now: u64, #[case] acts: bool) {
    let watchers: Vec<MemberId> = (0..5).map(id).collect();
    let answers = answers(offsets, moment(900));
    assert_eq!(may_act(moment(now), 7, None, &watchers, &answers), acts);
}

// The owner's process is paused between request and decision: its knowledge is
// outdated after the pause.
#[test]
fn paused_owner() {
    let watchers: Vec<MemberId> = (0..5).map(id).collect();
    let answers = answers(&[7; 5], moment(1_000));
    let read = Some(moment(1_000));
    assert!(may_act(moment(2_900), 7, read, &watchers, &answers));
    assert!(!may_act(moment(62_900), 7, read, &watchers, &answers));
}

// A host without watchers learns of its removal only from the log.
#[test]
fn lone_host() {
    let none = BTreeMap::new();
    assert!(!may_act(moment(500), 7, None, &[], &none));
    assert!(may_act(moment(500), 7, Some(moment(400)), &[], &none));
}

fn removed(owner: u64) -> (WatchHistory, Vec<MemberId>) {
    let mut history = WatchHistory::default();
    let before = config(0..17, 1);
    let map = WatchMap::from_config(&before);
    history.configure(&WatchMap::default(), 0, 0);
    history.configure(&map, 1, 1);
    let after = config((0..17).filter(|h| *h != owner), 2);
    history.configure(&WatchMap::from_config(&after), 2, 2);
    (history, map.watchers(id(owner)).to_vec())
}

// A removed host may not know of its removal. Its successor waits until most of
// its watchers have applied it, and then until all that it leased has ended.
#[test]
fn removed_owner() {
    let (history, watchers) = removed(4);
    let mut shown = BTreeMap::from([(id(4), 1)]);
    for watcher in &watchers[..2] {
        shown.insert(*watcher, 2);
    }
    assert_eq!(history.owner_status(id(4), 2, &shown), OwnerStatus::MayAct);
    shown.insert(watchers[2], 2);
    let status = history.owner_status(id(4), 2, &shown);
    assert_eq!(status, OwnerStatus::MajorityApplied);
    let mut takeover = Takeover::default();
    assert!(!takeover.may_take_over(status, TERM, moment(0)));
    assert!(!takeover.may_take_over(status, TERM, moment(5_000)));
    assert!(takeover.may_take_over(status, TERM, moment(6_250)));
}

// A live owner that has applied the change itself hands over at once.
#[test]
fn living_owner() {
    let (history, _) = removed(4);
    let shown = BTreeMap::from([(id(4), 2)]);
    let status = history.owner_status(id(4), 2, &shown);
    assert_eq!(status, OwnerStatus::Applied);
    assert!(Takeover::default().may_take_over(status, TERM, moment(0)));
}

// A host that starts after the owner was last reachable cannot know under which
// watchers the owner may still be acting, so it waits far longer.
#[test]
fn late_starter() {
    let mut history = WatchHistory::default();
    history.configure(&WatchMap::from_config(&config(0..17, 5)), 5, 5);
    history.configure(&WatchMap::from_config(&config(1..17, 6)), 6, 6);
    let all: BTreeMap<MemberId, u64> = (1..17).map(|h| (id(h), 6)).collect();
    let status = history.owner_status(id(0), 6, &all);
    assert_eq!(status, OwnerStatus::Unknown);
    let mut takeover = Takeover::default();
    assert!(!takeover.may_take_over(status, TERM, moment(0)));
    assert!(!takeover.may_take_over(status, TERM, moment(60_000)));
    assert!(takeover.may_take_over(status, TERM, moment(80_000)));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, rng_seed: RngSeed::Fixed(5), ..ProptestConfig::default() })]

    // Some hosts are cut off from the log at some revision, while others go on
    // changing the members, including watchers of that owner, and finally remove the
    // owner. An owner that still gets a majority must never be considered stopped.
    #[test]
    fn never_both(
        changes in proptest::collection::vec((0_u64..24, any::<bool>()), 1..40),
        cut_off_at in proptest::collection::vec(0_u64..40, 24),
    ) {
        let owner = 0;
        let mut members: Vec<u64> = (0..12).collect();
        let mut history = WatchHistory::default();
        let mut maps = vec![WatchMap::default()];
        history.configure(&maps[0], 0, 0);
        let mut revision = 1;
        let mut publish = |members: &[u64], revision: u64| {
            let map = WatchMap::from_config(&config(members.iter().copied(), revision));
            history.configure(&map, revision, revision);
            maps.push(map);
        };
        publish(&members, revision);
        for (host, joins) in changes {
            let is_member = members.contains(&host);
            match joins {
                _ if host == owner => continue,
                true if !is_member => members.push(host),
                false if is_member && members.len() > 2 => members.retain(|m| *m != host),
                _ => continue,
            }
            revision += 1;
            publish(&members, revision);
        }
        members.retain(|m| *m != owner);
        revision += 1;
        publish(&members, revision);
        let at = |host: u64| cut_off_at[host as usize].min(revision);
        let shown: BTreeMap<MemberId, u64> = (0..24).map(|h| (id(h), at(h))).collect();
        let status = history.owner_status(id(owner), revision, &shown);
        let sent = moment(1_000);
        let watchers = maps[at(owner) as usize].watchers(id(owner));
        let answer = |w: &MemberId| (*w, WatcherAck { offset: shown[w], sent });
        let answers = watchers.iter().map(answer).collect();
        let acts = at(owner) > 0 && may_act(sent, at(owner), None, watchers, &answers);
        prop_assert!(
            !(acts && status != OwnerStatus::MayAct),
            "the owner acts at offset {}, but has the status {status:?} at {revision}",
            at(owner)
        );
    }
}
