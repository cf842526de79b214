//! All interleavings of two hosts and the store in a roll-out: every order of steps,
//! messages that arrive or get lost, calls that are carried out, refused or not answered,
//! evidence, and restarts.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use coordination::rollouts::message::{RolloutState, Status, StoredStatus};
use coordination::rollouts::{Effect, Rollouts, Site};
use derives::tag;
use proptest::prelude::*;
use state::fleet::registry::Entry;
use state::fleet::rollout::evidence::Answer;
use state::fleet::rollout::exposure::ExposureBound;
use state::fleet::rollout::{Order, Phase, Verdict};
use state::fleet::{Endpoint, Registry};
use state::{DataCentreKey, Moment, ServiceKey, VersionKey};

const DURATION: Duration = Duration::from_secs(8);

/// One step of the model.
#[tag]
enum Act {
    Step(usize),
    Deliver,
    Lose,
    /// The oldest call is carried out and answered.
    Call,
    /// The oldest call is carried out, and its answer is lost.
    CallUnanswered,
    /// The oldest call is not carried out.
    CallLost,
    Bad(usize),
    Good(usize),
    Restart(usize),
    Pass,
}

const ACTS: [Act; 15] = [
    Act::Step(0),
    Act::Step(1),
    Act::Deliver,
    Act::Lose,
    Act::Call,
    Act::CallUnanswered,
    Act::CallLost,
    Act::Bad(0),
    Act::Bad(1),
    Act::Good(0),
    Act::Good(1),
    Act::Restart(0),
    Act::Restart(1),
    Act::Pass,
    Act::Deliver,
];

#[derive(Clone)]
enum Message {
    State(RolloutState),
    Report(SocketAddr, coordination::rollouts::message::HostReport),
}

#[derive(Clone)]
struct Call {
    host: usize,
    lives: u64,
    order: Order,
    record: StoredStatus,
    /// Where the topic ended when the host read it.
    end: usize,
}

struct Model {
    now: Moment,
    hosts: [Rollouts; 2],
    lives: [u64; 2],
    registry: Registry,
    messages: VecDeque<(usize, Message)>,
    calls: VecDeque<Call>,
    records: Vec<StoredStatus>,
}

fn service() -> ServiceKey {
    ServiceKey::named("ledger")
}

fn version(name: &str) -> VersionKey {
    VersionKey::named(name)
}

fn order() -> Order {
    Order {
        service: service(),
        service_name: "ledger".to_owned(),
        version: version("v2"),
        version_name: "v2".to_owned(),
        duration: DURATION,
    }
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1 + host as u16))
}

fn endpoint(name: &str) -> Entry {
    Entry::Endpoint(Endpoint {
        instance: name.to_owned(),
        started_ms: 1,
        service: service(),
        address: ([10, 0, 0, 9], 80).into(),
        centre: DataCentreKey::named("a"),
        version: Some(version(name)),
        slots: 4,
        draining: false,
        cold: Duration::ZERO,
    })
}

fn rollouts(host: usize, lives: u64) -> Rollouts {
    let bound = ExposureBound {
        fraction: 0.1,
        slack: 50.0,
    };
    Rollouts::new(address(host), lives, "a", Some(bound))
}

impl Model {
    fn new() -> Model {
        let mut registry = Registry::default();
        let now = Moment::from_millis(10_000);
        registry.replace(BTreeMap::from([("v1".to_owned(), endpoint("v1"))]), now);
        let mut model = Model {
            now,
            hosts: [rollouts(0, 1), rollouts(1, 1)],
            lives: [1, 1],
            registry,
            messages: VecDeque::new(),
            calls: VecDeque::new(),
            records: Vec::new(),
        };
        for host in &mut model.hosts {
            host.endpoints_listed(&model.registry, now);
            host.order_received(order(), true, now);
            host.endpoint_registered(service(), version("v2"));
        }
        model.registry.apply("v2", Some(endpoint("v2")), now);
        model
    }

    fn act(&mut self, act: Act) {
        self.now = self.now + Duration::from_millis(100);
        match act {
            Act::Step(host) => self.step(host),
            Act::Deliver => self.deliver(),
            Act::Lose => {
                self.messages.pop_front();
            }
            Act::Call => self.carry_out(true, true),
            Act::CallUnanswered => self.carry_out(true, false),
            Act::CallLost => self.carry_out(false, false),
            Act::Bad(host) => self.answers(host, Answer::Bad, 8),
            Act::Good(host) => self.answers(host, Answer::Good, 20),
            Act::Restart(host) => self.restart(host),
            Act::Pass => self.now = self.now + Duration::from_secs(3),
        }
        self.check();
    }

    fn with_site<R>(
        &mut self,
        host: usize,
        act: impl FnOnce(&mut Rollouts, &Site<'_>, &Registry, Moment) -> R,
    ) -> R {
        let neighbours = [address(1 - host)];
        let site = Site {
            neighbours: &neighbours,
            centres: &[],
            share: 0.5,
            unix_ms: self.now.0 / 1_000,
            service_time: &|_| Duration::from_millis(100),
        };
        act(&mut self.hosts[host], &site, &self.registry, self.now)
    }

    fn step(&mut self, host: usize) {
        let effects = self.with_site(host, |r, site, registry, now| r.tick(site, registry, now));
        for effect in effects {
            match effect {
                Effect::Announce(state) => self.tell(host, Message::State(state)),
                Effect::Report(_, report) => {
                    self.tell(host, Message::Report(address(host), report));
                }
                Effect::Write(order, status) => {
                    let record = StoredStatus {
                        version: order.version,
                        status,
                    };
                    self.calls.push_back(Call {
                        host,
                        lives: self.lives[host],
                        order,
                        record,
                        end: self.records.len(),
                    });
                }
                Effect::Summarise(_) | Effect::Learn | Effect::Overdue(_) => {}
            }
        }
    }

    fn tell(&mut self, from: usize, message: Message) {
        self.messages.push_back((1 - from, message));
    }

    fn deliver(&mut self) {
        let Some((to, message)) = self.messages.pop_front() else {
            return;
        };
        let now = self.now;
        self.hosts[to].note_contact(now);
        match message {
            Message::State(state) => {
                self.hosts[to].state_received(&state, now);
            }
            Message::Report(from, report) => self.hosts[to].report_received(from, &report, now),
        }
    }

    /// Carries out the oldest call if its condition still holds.
    fn carry_out(&mut self, is_applied: bool, is_answered: bool) {
        let Some(call) = self.calls.pop_front() else {
            return;
        };
        let last = self.records.last().copied();
        let is_open = last.is_none_or(|last| last.may_become(&call.record));
        if is_applied && is_open && call.end == self.records.len() {
            self.records.push(call.record);
        }
        if self.lives[call.host] != call.lives {
            return;
        }
        // A host whose condition failed reads the record that is there.
        let stored = self.records.last().copied().filter(|_| is_answered);
        let news = self.with_site(call.host, |r, site, registry, now| {
            let (service, version) = (call.order.service, call.order.version);
            r.call_finished(service, version, stored, site, registry, now)
        });
        if let Some(state) = news {
            self.tell(call.host, Message::State(state));
        }
    }

    fn answers(&mut self, host: usize, answer: Answer, count: usize) {
        for _ in 0..count {
            self.hosts[host].note_answer(service(), Some(version("v2")), 0, answer);
        }
    }

    fn restart(&mut self, host: usize) {
        self.lives[host] += 1;
        self.hosts[host] = rollouts(host, self.lives[host]);
        self.hosts[host].order_received(order(), false, self.now);
        self.hosts[host].endpoints_listed(&self.registry, self.now);
    }

    /// Checks what must hold in every state.
    fn check(&mut self) {
        let verdicts: Vec<Verdict> = self
            .records
            .iter()
            .filter_map(|r| match r.status {
                Status::Decided(verdict) => Some(verdict),
                Status::Running => None,
            })
            .collect();
        assert!(verdicts.len() <= 1, "{:?}", self.records);
        for host in &self.hosts {
            let phase = host.states(self.now).first().map(|state| state.phase);
            if let Some(Phase::Decided(verdict)) = phase {
                assert_eq!(
                    verdicts,
                    [verdict],
                    "a host knows a verdict that isn't stored"
                );
            }
            let may_send = (0..20).any(|n| {
                let draw = f64::from(n) / 20.0;
                let rule = host.rule(service(), draw, self.now);
                let Entry::Endpoint(new) = endpoint("v2") else {
                    return false;
                };
                host.canary(service(), 0, draw, self.now).is_some() || rule.allows(&new)
            });
            let is_barred = matches!(
                phase,
                None | Some(Phase::Halted | Phase::Decided(Verdict::RolledBack))
            );
            assert!(
                !is_barred || !may_send,
                "a host in {phase:?} sends to the new version"
            );
        }
    }
}

/// Every sequence of five steps.
#[test]
fn all_interleavings() {
    fn explore(prefix: &mut Vec<Act>, depth: usize) {
        let mut model = Model::new();
        for act in prefix.iter() {
            model.act(*act);
        }
        if depth == 0 {
            return;
        }
        for act in ACTS.iter().take(14) {
            prefix.push(*act);
            explore(prefix, depth - 1);
            prefix.pop();
        }
    }
    explore(&mut Vec::new(), 4);
    // Once more from the state in which the canary has answered well and the ramp is due.
    let mut ramp = vec![
        Act::Step(0),
        Act::Call,
        Act::Deliver,
        Act::Good(0),
        Act::Pass,
        Act::Pass,
        Act::Step(0),
    ];
    explore(&mut ramp, 4);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Long random sequences, in which roll-outs come to their end.
    #[test]
    fn long_sequences(choices in prop::collection::vec(0..ACTS.len(), 20..200)) {
        let mut model = Model::new();
        for choice in choices {
            model.act(ACTS[choice]);
        }
    }
}

/// The long sequences do come to both verdicts; otherwise they would show nothing.
#[test]
fn both_verdicts_reached() {
    let verdict = |answer: Act| {
        let mut model = Model::new();
        for _ in 0..40 {
            for act in [
                Act::Step(0),
                Act::Step(1),
                Act::Call,
                Act::Deliver,
                Act::Deliver,
                answer,
            ] {
                model.act(act);
            }
        }
        model.records.last().map(|r| r.status)
    };
    assert_eq!(
        verdict(Act::Good(0)),
        Some(Status::Decided(Verdict::Completed))
    );
    assert_eq!(
        verdict(Act::Bad(1)),
        Some(Status::Decided(Verdict::RolledBack))
    );
}
