//! The command `data-centre`, which takes a data centre out of service or returns it.

use std::process::ExitCode;

use coordination::config::Change;

use super::operator::{Action, CommandOptions, Target};
use crate::cli;

/// Runs `data-centre leave NAME` or `data-centre return NAME`.
pub fn run(flags: cli::DataCentre) -> ExitCode {
    let target = Target::new(flags.log_address, flags.entry, flags.json);
    let options = CommandOptions {
        revision: flags.revision,
        id: flags.id,
    };
    let name = flags.name;
    let object = format!("data centre {name}");
    let action: Action = match flags.action.parse() {
        Ok(action) => action,
        Err(message) => return target.usage(&message),
    };
    let change = match action {
        Action::Leave => Change::LeaveCentre { name },
        Action::Return => Change::ReturnCentre { name },
    };
    target.submit(change, &options, &action.message(&object))
}
