//! Takes a host out, or brings it back.

use std::process::ExitCode;

use coordination::config::Change;

use super::operator::{Grounds, Target};

/// Runs `host leave NAME` or `host return NAME`.
pub fn run(action: &str, name: &str, grounds: &Grounds, target: &Target) -> ExitCode {
    let name = name.to_owned();
    match action {
        "leave" => {
            let done = format!("host {name} gets no new work");
            target.submit(Change::LeaveHost { name }, grounds, &done)
        }
        "return" => {
            let done = format!("host {name} takes work again");
            target.submit(Change::ReturnHost { name }, grounds, &done)
        }
        other => target.usage(&format!("\"{other}\" is no action: say leave or return")),
    }
}
