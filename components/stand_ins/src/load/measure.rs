//! Runs an experiment against a site and computes its figures.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::caller::{Caller, Target};
use super::experiment::Experiment;
use super::limit::{Ideal, limit};
use super::plan::Plan;
use super::report::{Distributions, Figures, Report, Sample};
use super::run::{LoadGenerator, work_times};
use crate::history::check::{Check, Limits, Violation, check, tally};
use crate::history::{Event, Order, Outcome, Record};
use crate::site::Site;

/// All results of one run.
pub struct Measured {
    /// The calls that were planned.
    pub plan: Arc<Plan>,
    /// The results of the calls that were sent.
    pub samples: Vec<Sample>,
    /// The results of the same calls at the limit.
    pub ideals: Vec<Ideal>,
    /// The figures.
    pub summary: Summary,
    /// The violated guarantees.
    pub violations: Vec<Violation>,
}

/// The figures of a run against a site.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Summary {
    /// The callers' figures.
    pub report: Report,
    /// The callers' figures from each event to the next.
    pub phases: Vec<Phase>,
    /// The backend servers' figures.
    pub servers: Servers,
    /// The number of violations that each check found.
    pub checks: BTreeMap<String, usize>,
}

/// The figures between two events.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Phase {
    /// The start of the phase, in milliseconds from the start of the run.
    pub from_ms: u64,
    /// The end of the phase, in milliseconds from the start of the run.
    pub until_ms: u64,
    /// The callers' figures for the phase.
    pub figures: Figures,
    /// Calls that were in flight when the phase began.
    pub in_flight: u64,
    /// Calls among `in_flight` that were answered completely.
    pub in_flight_complete: u64,
}

/// The backend servers' figures.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Servers {
    /// The most calls at once at any backend server, including calls that were shed.
    pub peak: u32,
    /// Calls that arrived above a backend server's current limit.
    pub above: u64,
    /// Calls shed.
    pub shed: u64,
    /// Calls that ended before their work was done.
    pub cancelled: u64,
    /// The most connections at once at any backend server.
    pub connections: u32,
    /// Load reports sent by all backend servers.
    pub probes: u64,
    /// The fraction of all slot time that load reports took, in thousandths.
    pub probe_permille: f64,
    /// For each data centre that left, the milliseconds until the last new call there.
    pub last_call_ms: BTreeMap<String, u64>,
}

/// Runs `experiment` against the entry hosts `targets` of `site`.
///
/// # Panics
///
/// Panics outside a tokio runtime, or if `targets` is empty.
pub async fn measure(
    experiment: &Arc<Experiment>,
    site: &Arc<Site>,
    targets: &Arc<Vec<Target>>,
    policy: &str,
) -> Measured {
    let plan = Arc::new(Plan::draw(experiment));
    let caller = Caller {
        history: site.history.clone(),
    };
    let events_task = tokio::spawn(run_events(Arc::clone(experiment), Arc::clone(site)));
    let load = LoadGenerator {
        experiment: Arc::clone(experiment),
        plan: Arc::clone(&plan),
        targets: Arc::clone(targets),
        caller,
        first: 1,
        stop: Arc::default(),
    };
    let samples = load.run().await;
    events_task.abort();
    let ideals = limit(experiment, &plan, &work_times(&plan, &samples));
    let records = site.history.sorted();
    let violations = check(&records, &Limits::default());
    let report = Report::of(experiment, policy, &plan, &samples, &ideals);
    let summary = Summary {
        phases: phases(experiment, &plan, &samples, &ideals),
        servers: servers(site, &records),
        checks: by_name(&tally(&violations)),
        report,
    };
    Measured {
        plan,
        samples,
        ideals,
        summary,
        violations,
    }
}

/// Performs each event at its time, without waiting for earlier ones to end.
async fn run_events(experiment: Arc<Experiment>, site: Arc<Site>) {
    let start = tokio::time::Instant::now();
    let mut acting = tokio::task::JoinSet::new();
    for event in &experiment.events {
        tokio::time::sleep_until(start + Duration::from_millis(event.at_ms)).await;
        let (site, action) = (Arc::clone(&site), event.action.clone());
        acting.spawn(async move {
            if let Err(error) = site.perform(&action).await {
                log::warn!("E0931 event-failed action={action:?} error=\"{error}\"");
            }
        });
    }
    while acting.join_next().await.is_some() {}
}

fn phases(
    experiment: &Experiment,
    plan: &Plan,
    samples: &[Sample],
    ideals: &[Ideal],
) -> Vec<Phase> {
    let mut times = vec![experiment.warm_up * 1_000];
    times.extend(experiment.events.iter().map(|e| e.at_ms));
    times.push(experiment.seconds * 1_000);
    times.sort_unstable();
    times.dedup();
    let mut phases = Vec::new();
    for pair in times.windows(2) {
        let span = Duration::from_millis(pair[0])..Duration::from_millis(pair[1]);
        let mut distributions = Distributions::default();
        let (mut in_flight, mut in_flight_complete) = (0, 0);
        for sample in samples {
            let sent = plan.calls[sample.call].at;
            if span.contains(&sent) {
                distributions.add(sample, &ideals[sample.call]);
            }
            if sent < span.start && sent + sample.latency > span.start {
                in_flight += 1;
                in_flight_complete += u64::from(sample.outcome == Outcome::Complete);
            }
        }
        phases.push(Phase {
            in_flight,
            in_flight_complete,
            from_ms: pair[0],
            until_ms: pair[1],
            figures: distributions.figures((span.end - span.start).as_secs_f64()),
        });
    }
    phases
}

fn servers(site: &Site, records: &[Record]) -> Servers {
    let mut servers = Servers {
        last_call_ms: last_calls(records),
        ..Servers::default()
    };
    let first = records.first().map_or(0, |r| r.at);
    let length = records.last().map_or(0, |r| r.at) - first;
    let slots: u32 = site
        .deployment
        .services
        .iter()
        .map(|s| s.slots * s.endpoints)
        .sum();
    for backend in site.all_backends() {
        let counts = backend.counts();
        servers.peak = servers.peak.max(counts.peak);
        servers.above += counts.above;
        servers.shed += counts.shed;
        servers.cancelled += counts.cancelled;
        servers.connections = servers.connections.max(counts.peak_connections);
    }
    let mut cost = 0;
    for record in records {
        if let Event::Probed { cost_us, .. } = record.event {
            servers.probes += 1;
            cost += cost_us;
        }
    }
    servers.probe_permille = 1_000.0 * cost as f64 / (length as f64 * f64::from(slots)).max(1.0);
    servers
}

/// Returns the milliseconds from each accepted leaving of a data centre to its last new call.
fn last_calls(records: &[Record]) -> BTreeMap<String, u64> {
    let mut centres = BTreeMap::new();
    let mut left = BTreeMap::new();
    let mut last = BTreeMap::new();
    for record in records {
        match &record.event {
            Event::Endpoint {
                endpoint,
                data_centre,
                ..
            } => {
                centres.insert(*endpoint, data_centre);
            }
            Event::Ordered {
                order: Order::CentreLeaves,
                name,
                ..
            } => {
                left.insert(name, record.at);
                last.entry(name.clone()).or_insert(0);
            }
            Event::Asked {
                order: Order::CentreReturns,
                name,
            } => {
                left.remove(name);
            }
            Event::Received { endpoint, .. } => {
                let centre = centres.get(endpoint).copied();
                let since = centre.and_then(|c| Some((c, left.get(c)?)));
                if let Some((centre, since)) = since {
                    last.insert(centre.clone(), (record.at - since) / 1_000);
                }
            }
            _ => {}
        }
    }
    last
}

fn by_name(tally: &BTreeMap<Check, usize>) -> BTreeMap<String, usize> {
    tally.iter().map(|(c, n)| (format!("{c:?}"), *n)).collect()
}

impl Summary {
    /// Returns the first line of the table that [`Summary::row`] fills.
    pub fn heading() -> String {
        let columns = [
            "policy",
            "calls",
            "refused",
            "unknown",
            "broken",
            "p50",
            "p99",
            "p99.9",
            "wait99",
            "wait99.9",
            "above",
            "peak",
            "probes‰",
        ];
        columns.map(|c| format!("{c:>9}")).join(" ")
    }

    /// Returns one line of the table, with times in milliseconds.
    pub fn row(&self) -> String {
        let (all, servers) = (&self.report.all, &self.servers);
        let cells = [
            self.report.policy.clone(),
            all.calls.to_string(),
            all.refused.to_string(),
            all.unknown.to_string(),
            (all.broken + all.unreachable).to_string(),
            format!("{:.1}", all.latency.p50),
            format!("{:.1}", all.latency.p99),
            format!("{:.1}", all.latency.p999),
            format!("{:.1}", all.wait.p99),
            format!("{:.1}", all.wait.p999),
            servers.above.to_string(),
            servers.peak.to_string(),
            format!("{:.2}", servers.probe_permille),
        ];
        cells.map(|c| format!("{c:>9}")).join(" ")
    }

    /// Returns a line with the callers' figures for each phase.
    pub fn phase_rows(&self) -> Vec<String> {
        let row = |phase: &Phase| {
            let f = &phase.figures;
            format!(
                "{:>6} to {:>6} ms  {:>6} calls  {:>5} refused ({} at the limit)  {} failed  p50 {:.1}  p99 {:.1} (limit {:.1})  wait99 {:.1}  in flight at the start {}, of these answered completely {}",
                phase.from_ms,
                phase.until_ms,
                f.calls,
                f.refused,
                f.limit_refused,
                f.unknown + f.broken + f.unreachable,
                f.latency.p50,
                f.latency.p99,
                f.limit_latency.p99,
                f.wait.p99,
                phase.in_flight,
                phase.in_flight_complete,
            )
        };
        self.phases.iter().map(row).collect()
    }

    /// Returns the line of the table for the limit.
    pub fn limit_row(&self) -> String {
        let all = &self.report.all;
        let cells = [
            "limit".to_owned(),
            all.calls.to_string(),
            all.limit_refused.to_string(),
            "0".to_owned(),
            "0".to_owned(),
            format!("{:.1}", all.limit_latency.p50),
            format!("{:.1}", all.limit_latency.p99),
            format!("{:.1}", all.limit_latency.p999),
            format!("{:.1}", all.limit_wait.p99),
            format!("{:.1}", all.limit_wait.p999),
        ];
        cells.map(|c| format!("{c:>9}")).join(" ")
    }
}
