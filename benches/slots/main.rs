//! Compares the shared-slots policy with baseline policies and a single-queue bound, by simulation.
//!
//! `cargo bench --bench slots` runs all loads and writes the plot;
//! `cargo bench --bench slots -- 80%` runs only the loads whose name contains `80%`;
//! `cargo bench --bench slots -- slope` shows how control traffic grows with hosts
//! and endpoints. `SLOTS_ONLY=1` leaves out the baselines, `SLOTS_KINDS=1` adds the
//! number of messages by kind.
//!
//! The columns, left to right: wait for a slot at p50, p99 and p99.9 in ms; time
//! from arrival to answer at p99 and p99.9 in ms; slot time that was idle while a
//! call waited, in %; refused calls in %; work done of what all slots can do, in %;
//! time to a refusal at p99 in ms; the most calls at one endpoint; messages and
//! bytes a second from each host; ns of processor time a step of a host's slot
//! manager; processor time a host, in % of a core.

mod baseline;
mod outcome;
mod plot;
mod scenario;
mod simulation;

use state::policy::Policy;

use outcome::Outcome;
use scenario::{Scenario, Slow, Spread, WorkDistribution};
use simulation::Simulation;

const SEED: u64 = 7;

fn main() {
    let wanted: Vec<String> = std::env::args()
        .skip(1)
        .filter(|a| !a.starts_with("--"))
        .collect();
    let chosen = |s: &Scenario| wanted.is_empty() || wanted.iter().any(|w| s.name.contains(w));
    println!(
        "{:<26} {:<16} {:>7} {:>8} {:>8} {:>8} {:>8} {:>6} {:>6} {:>6} {:>8} {:>4} {:>7} {:>7} {:>6} {:>6}",
        "load",
        "policy",
        "wait50",
        "wait99",
        "wait999",
        "all99",
        "all999",
        "idle%",
        "ref%",
        "good%",
        "refuse99",
        "peak",
        "msg/s",
        "B/s",
        "ns",
        "cpu%"
    );
    let mut rows = Vec::new();
    let growth_scenarios = if wanted.is_empty() {
        Vec::new()
    } else {
        growth_scenarios()
    };
    for scenario in scenarios()
        .iter()
        .chain(&growth_scenarios)
        .filter(|s| chosen(s))
    {
        let jobs = scenario.draw_jobs(SEED);
        let mut add = |policy: &str, outcome: Outcome| {
            print(scenario.name, policy, &outcome);
            rows.push(plot::Row {
                load: scenario.name.to_owned(),
                policy: policy.to_owned(),
                outcome,
            });
        };
        add("one queue", baseline::single_queue_bound(scenario, &jobs));
        add("shared", Simulation::new(scenario, &jobs).run());
        for policy in Policy::ALL.into_iter().filter(|p| *p != Policy::Shared) {
            if std::env::var_os("SLOTS_ONLY").is_none() {
                add(policy.name(), baseline::simulate(policy, scenario, &jobs));
            }
        }
    }
    if wanted.is_empty() {
        plot::draw(&rows, "docs/design/slots.svg").expect("the plot is written");
    }
}

/// Returns the runs that show how control traffic grows with hosts and endpoints.
///
/// All but the idle run have a load of 60%: calls grow with the endpoints, so that
/// each slot is equally busy.
fn growth_scenarios() -> Vec<Scenario> {
    let base = Scenario {
        load: 0.6,
        calls: 60_000,
        ..Scenario::HALLBOARD
    };
    vec![
        Scenario {
            name: "slope 4 hosts",
            hosts: 4,
            ..base
        },
        Scenario {
            name: "slope 8 hosts",
            hosts: 8,
            ..base
        },
        Scenario {
            name: "slope 15 hosts",
            ..base
        },
        Scenario {
            name: "slope 30 hosts",
            hosts: 30,
            ..base
        },
        Scenario {
            name: "slope 60 hosts",
            hosts: 60,
            ..base
        },
        Scenario {
            name: "slope 6 endpoints",
            endpoints: 6,
            ..base
        },
        Scenario {
            name: "slope 22 endpoints",
            endpoints: 22,
            ..base
        },
        Scenario {
            name: "slope 44 endpoints",
            endpoints: 44,
            ..base
        },
        Scenario {
            name: "slope 88 endpoints",
            endpoints: 88,
            ..base
        },
        Scenario {
            name: "slope idle",
            load: 0.001,
            calls: 100,
            ..base
        },
    ]
}

fn scenarios() -> Vec<Scenario> {
    let base = Scenario::HALLBOARD;
    let bimodal = Scenario {
        distribution: WorkDistribution::Bimodal,
        ..base
    };
    vec![
        Scenario {
            name: "50%",
            load: 0.5,
            ..base
        },
        base,
        Scenario {
            name: "95%",
            load: 0.95,
            ..base
        },
        Scenario {
            name: "200%",
            load: 2.0,
            ..base
        },
        Scenario {
            name: "mix 50%",
            load: 0.5,
            ..bimodal
        },
        Scenario {
            name: "mix 80%",
            ..bimodal
        },
        Scenario {
            name: "mix 95%",
            load: 0.95,
            ..bimodal
        },
        Scenario {
            name: "skew 80%",
            spread: Spread::Skew,
            ..base
        },
        Scenario {
            name: "burst to 150% from 30%",
            load: 0.3,
            burst: true,
            ..base
        },
        Scenario {
            name: "one slow x20 at 60%",
            load: 0.6,
            slow: Some(Slow {
                from: 2_000_000,
                factor: 20,
            }),
            ..base
        },
    ]
}

fn print(load: &str, policy: &str, o: &Outcome) {
    println!(
        "{load:<26} {policy:<16} {:>7.2} {:>8.2} {:>8.2} {:>8.1} {:>8.1} {:>6.2} {:>6.2} {:>6.1} {:>8.1} {:>4} {:>7.0} {:>7.0} {:>6.0} {:>6.2}",
        o.wait[0],
        o.wait[1],
        o.wait[2],
        o.total[1],
        o.total[2],
        o.idle,
        o.refused,
        o.goodput,
        o.refusal_p99,
        o.peak,
        o.messages,
        o.bytes,
        o.step_nanos,
        100.0 * o.cpu,
    );
    if std::env::var_os("SLOTS_KINDS").is_some() {
        println!("{:<26} {:.0?}", "", o.kinds);
    }
}
