//! Every experiment file in the repository is valid.

use stand_ins::load::{Experiment, Plan};

#[rstest::rstest]
fn readable(#[files("../../experiments/*.toml")] file: std::path::PathBuf) {
    let text = std::fs::read_to_string(&file).unwrap();
    let experiment = Experiment::parse(&text).unwrap();
    assert!(!Plan::draw(&experiment).calls.is_empty());
    assert_eq!(
        file.file_stem().unwrap().to_str(),
        Some(experiment.name.as_str())
    );
}
