//! Checks a settings file of an entry host on the platform.

use std::process::ExitCode;

use super::serve::EXIT_SETTINGS;
use crate::{cli, host_file};

/// Ends with 0 where the file is whole, and with 2 and all its faults where not.
pub fn run(flags: &cli::CheckSettings) -> ExitCode {
    match host_file::read(&flags.file) {
        Ok(settings) => {
            println!("ok: {} in {}", settings.name, settings.data_centre);
            ExitCode::SUCCESS
        }
        Err(faults) => {
            super::serve::tell(&faults);
            ExitCode::from(EXIT_SETTINGS)
        }
    }
}
