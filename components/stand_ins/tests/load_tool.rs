//! The load tool sends the calls of the experiment file and measures from their planned start.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use stand_ins::backend::{Backend, Knobs, Options};
use stand_ins::history::check::{Limits, Tally, check};
use stand_ins::history::{History, Outcome};
use stand_ins::load::limit::limit;
use stand_ins::load::plot::{Curve, Timeline, draw};
use stand_ins::load::report::TimeHistogram;
use stand_ins::load::run::{LoadGenerator, work_times};
use stand_ins::load::{Caller, Experiment, ExperimentError, Plan, Report, Sample, Target};

const EXPERIMENT: &str = r#"
name = "small"
seed = 3
seconds = 1

[deployment]
entry-hosts = 2
region = "midlands"
data-centres = ["trent", "soar"]

[[deployment.service]]
name = "hallboard"
endpoints = 2
slots = 50

[[flow]]
service = "hallboard"
arrivals = { rate = 200.0 }
work = { exponential = 5.0 }
size = 40000

[[flow]]
service = "hallboard"
method = "POST"
arrivals = { rate = 50.0 }
work = { fixed = 1.0 }
keyed = true
repeats = 0.5
"#;

struct RunResult {
    experiment: Arc<Experiment>,
    plan: Arc<Plan>,
    samples: Vec<Sample>,
    history: History,
}

/// Runs the small experiment directly against two backend servers.
async fn run_small(knobs: Knobs) -> RunResult {
    let experiment = Arc::new(Experiment::parse(EXPERIMENT).unwrap());
    let plan = Arc::new(Plan::draw(&experiment));
    let history = History::default();
    let start = |_| {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let options = Options {
            slots: 50,
            ..Options::default()
        };
        let backend = Backend::start(listener, options, history.clone()).unwrap();
        backend.set(&knobs);
        backend
    };
    let backends: Vec<Backend> = (0..2).map(start).collect();
    let target = |b: &Backend| Target::new(b.address().to_string(), b.address());
    let targets = Arc::new(backends.iter().map(target).collect());
    let caller = Caller {
        history: history.clone(),
    };
    let load = LoadGenerator {
        experiment: Arc::clone(&experiment),
        plan: Arc::clone(&plan),
        targets,
        caller,
        first: 1,
        stop: Arc::default(),
    };
    let samples = load.run().await;
    RunResult {
        experiment,
        plan,
        samples,
        history,
    }
}

#[test]
fn same_plan() {
    let experiment = Experiment::parse(EXPERIMENT).unwrap();
    assert_eq!(Plan::draw(&experiment), Plan::draw(&experiment));
}

#[test]
fn all_errors_named() {
    let text = EXPERIMENT
        .replace("entry-hosts = 2", "entry-hosts = 0")
        .replace("service = \"hallboard\"\nmethod", "service = \"x\"\nmethod");
    let Err(ExperimentError::Invalid(errors)) = Experiment::parse(&text) else {
        panic!("the errors were not found");
    };
    assert_eq!(errors.len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn all_answered() {
    let ran = run_small(Knobs::default()).await;
    assert_eq!(ran.samples.len(), ran.plan.calls.len());
    assert!(ran.samples.iter().all(|s| s.outcome == Outcome::Complete));
    let tally = Tally::of(&ran.history.sorted());
    assert_eq!(tally.complete, ran.plan.calls.len() as u64);
    let work = work_times(&ran.plan, &ran.samples);
    let ideals = limit(&ran.experiment, &ran.plan, &work);
    let report = Report::of(&ran.experiment, "none", &ran.plan, &ran.samples, &ideals);
    assert_eq!(report.all.complete, tally.complete);
    let mut times = TimeHistogram::default();
    times.add(Duration::from_millis(3));
    let curve = Curve {
        label: "one".to_owned(),
        times: &times,
    };
    let timeline = Timeline {
        experiment: &ran.experiment,
        plan: &ran.plan,
        samples: &ran.samples,
    };
    assert!(draw(&[curve], &timeline).unwrap().starts_with("<svg"));
}

#[tokio::test(flavor = "multi_thread")]
async fn second_run_found() {
    // Without entry hosts nothing deduplicates by key, so the work of repeats runs twice.
    let ran = run_small(Knobs::default()).await;
    let errors = check(&ran.history.sorted(), &Limits::default());
    assert!(!errors.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_answers_seen() {
    let ran = run_small(Knobs {
        cut_answers: Some(5),
        ..Knobs::default()
    })
    .await;
    let broken = ran.samples.iter().filter(|s| s.outcome == Outcome::Broken);
    assert_eq!(broken.count(), 10);
}

#[test]
fn limit_waits() {
    let text = EXPERIMENT
        .replace("slots = 50", "slots = 1")
        .replace("exponential = 5.0", "fixed = 5.0");
    let experiment = Experiment::parse(&text).unwrap();
    let plan = Plan::draw(&experiment);
    let planned: Vec<Duration> = plan.calls.iter().map(|c| c.work).collect();
    let ideals = limit(&experiment, &plan, &planned);
    assert!(ideals.iter().any(|i| !i.wait.is_zero()));
    let busy: Duration = planned.iter().sum();
    assert!(busy < Duration::from_secs(2));
    let waits = ideals.iter().zip(&planned);
    assert!(
        waits
            .clone()
            .all(|(i, work)| i.latency == Some(i.wait + *work))
    );
}

#[test]
fn long_times() {
    let mut times = TimeHistogram::default();
    times.add(Duration::from_millis(1));
    times.add(Duration::from_secs(20));
    let max = times.quantiles().max;
    assert!((19_900.0..20_100.0).contains(&max), "{max}");
}
