//! The command `check-settings`, which checks a settings file of `serve`.

use std::process::ExitCode;

use super::serve::EXIT_SETTINGS;
use crate::{cli, settings_file};

/// Checks the file; exits with 0 if it is valid, otherwise prints all errors and exits with 2.
pub fn run(flags: &cli::CheckSettings) -> ExitCode {
    match settings_file::read(&flags.file) {
        Ok(settings) => {
            println!("ok: {} in {}", settings.name, settings.data_centre);
            ExitCode::SUCCESS
        }
        Err(errors) => {
            super::serve::print_errors(&errors);
            ExitCode::from(EXIT_SETTINGS)
        }
    }
}
