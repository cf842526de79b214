//! The command `host`, which takes a host out of service or returns it.

use std::process::ExitCode;

use coordination::config::Change;

use super::operator::{Action, CommandOptions, Target};
use crate::cli;

/// Runs `host leave NAME` or `host return NAME`.
pub fn run(flags: cli::Host) -> ExitCode {
    let target = Target::new(flags.log_address, flags.entry, flags.json);
    let options = CommandOptions {
        revision: flags.revision,
        id: flags.id,
    };
    let name = flags.name;
    let object = format!("host {name}");
    let action: Action = match flags.action.parse() {
        Ok(action) => action,
        Err(message) => return target.usage(&message),
    };
    let change = match action {
        Action::Leave => Change::LeaveHost { name },
        Action::Return => Change::ReturnHost { name },
    };
    target.submit(change, &options, &action.message(&object))
}
