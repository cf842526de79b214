//! Takes a data centre out, or brings it back.

use std::process::ExitCode;

use coordination::config::Change;

use super::operator::{Grounds, Target};

/// Runs `data-centre leave NAME` or `data-centre return NAME`.
pub fn run(action: &str, name: &str, grounds: &Grounds, target: &Target) -> ExitCode {
    let name = name.to_owned();
    match action {
        "leave" => {
            let done = format!("data centre {name} gets no new work");
            target.submit(Change::LeaveCentre { name }, grounds, &done)
        }
        "return" => {
            let done = format!("data centre {name} takes work again");
            target.submit(Change::ReturnCentre { name }, grounds, &done)
        }
        other => target.usage(&format!("\"{other}\" is no action: say leave or return")),
    }
}
