//! The load tool: generates open-loop load from an experiment file, reports and plots it.
//!
//! docs/operators/load.md describes the experiment file.

pub mod bench;
pub mod caller;
pub mod experiment;
pub mod limit;
pub mod measure;
pub mod plan;
pub mod plot;
pub mod report;
pub mod run;
pub mod warm_up;

pub use caller::{Call, Caller, Reply, Target};
pub use experiment::{Experiment, ExperimentError};
pub use plan::{Plan, PlannedCall};
pub use report::{Report, Sample};
