//! The command line program: parses the arguments, runs a command and prints its error.

use std::process::ExitCode;

use crate::cli::{Cardamomvale, CardamomvaleCmd};

mod cli;
mod cmd;
mod logs;
mod settings;
mod settings_file;

/// Exit code for errors in the command line.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let cli = match Cardamomvale::from_env() {
        Ok(cli) => cli,
        Err(error) if error.is_help() => {
            println!("{error}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("{error}\nsee: cardamomvale --help");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match run(cli) {
        Ok(code) => code,
        Err(report) => {
            eprintln!("error: {report:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(cli: Cardamomvale) -> eyre::Result<ExitCode> {
    match cli.subcommand {
        CardamomvaleCmd::Entry(flags) => cmd::entry::run(flags),
        CardamomvaleCmd::Serve(flags) => cmd::serve::run(flags),
        CardamomvaleCmd::CheckSettings(flags) => Ok(cmd::check::run(&flags)),
        CardamomvaleCmd::StandIn(flags) => cmd::stand_in::run(flags),
        CardamomvaleCmd::Status(flags) => cmd::status::run(flags),
        CardamomvaleCmd::Preset(flags) => Ok(cmd::preset::run(flags)),
        CardamomvaleCmd::DataCentre(flags) => Ok(cmd::data_centre::run(flags)),
        CardamomvaleCmd::Host(flags) => Ok(cmd::host::run(flags)),
        CardamomvaleCmd::Demo(flags) => cmd::demo::run(&flags),
        CardamomvaleCmd::Load(flags) => cmd::load::run(&flags),
    }
}
