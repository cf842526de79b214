//! Plays one case of the review: `review_standin CASE FOLDER LOGS`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With
//! `TROUBLE=0` in the environment the same is done without the disruption.

mod ahead;
mod endpoint;
mod http;
mod late;
mod proxy;
mod random;
mod record;
mod site;
mod stall;
mod starve;
mod tally;
mod upload;

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder, logs] = words.as_slice() else {
        eprintln!("usage: review_standin CASE FOLDER LOGS");
        return ExitCode::from(2);
    };
    let (folder, logs) = (Path::new(folder), Path::new(logs));
    let result = match case.as_str() {
        "ahead" => ahead::run(folder, logs, trouble),
        "late" => late::run(folder, logs, trouble),
        "starve" => starve::run(folder, logs, trouble),
        "upload" => upload::run(folder, logs, trouble),
        "stall" => stall::run(folder, logs, trouble),
        _ => Err(std::io::Error::other("unknown case")),
    };
    match result {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
