//! The command line program: parse, run one command, print what went wrong.

use std::process::ExitCode;

use crate::cli::{Cardamomvale, CardamomvaleCmd, PresetCmd};
use crate::cmd::operator::{Grounds, Target};

#[allow(dead_code, reason = "the grammar names commands that land one by one")]
mod cli;
mod cmd;
mod logs;
mod settings;

/// What a script sees where the command line or a file is at fault.
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
        CardamomvaleCmd::StandIn(flags) => cmd::stand_in::run(flags),
        CardamomvaleCmd::Status(flags) => cmd::status::run(flags),
        CardamomvaleCmd::Preset(flags) => Ok(run_preset(flags)),
        CardamomvaleCmd::DataCentre(f) => {
            let grounds = Grounds {
                revision: f.revision,
                id: f.id,
            };
            let target = Target {
                log_address: f.log_address,
                entry: f.entry,
                json: f.json,
            };
            Ok(cmd::data_centre::run(&f.action, &f.name, &grounds, &target))
        }
        CardamomvaleCmd::Host(f) => {
            let grounds = Grounds {
                revision: f.revision,
                id: f.id,
            };
            let target = Target {
                log_address: f.log_address,
                entry: f.entry,
                json: f.json,
            };
            Ok(cmd::host::run(&f.action, &f.name, &grounds, &target))
        }
        CardamomvaleCmd::Demo(flags) => cmd::demo::run(&flags),
        CardamomvaleCmd::Load(flags) => cmd::load::run(&flags),
    }
}

fn run_preset(flags: cli::Preset) -> ExitCode {
    match flags.subcommand {
        PresetCmd::Check(f) => {
            let target = Target {
                log_address: None,
                entry: None,
                json: f.json,
            };
            cmd::preset::check(&f.file, &target)
        }
        PresetCmd::Put(f) => {
            let grounds = Grounds {
                revision: None,
                id: f.id,
            };
            let target = Target {
                log_address: f.log_address,
                entry: f.entry,
                json: f.json,
            };
            cmd::preset::put(&f.file, &grounds, &target)
        }
        PresetCmd::Begin(f) => {
            let target = Target {
                log_address: f.log_address,
                entry: None,
                json: f.json,
            };
            cmd::preset::begin(&f.file, &target)
        }
        PresetCmd::List(f) => {
            let target = Target {
                log_address: f.log_address,
                entry: f.entry,
                json: f.json,
            };
            cmd::preset::list(&target)
        }
        PresetCmd::Show(f) => {
            let target = Target {
                log_address: f.log_address,
                entry: f.entry,
                json: f.json,
            };
            cmd::preset::show(f.name.as_deref(), &target)
        }
        PresetCmd::Choose(f) => {
            let grounds = Grounds {
                revision: f.revision,
                id: f.id,
            };
            let target = Target {
                log_address: f.log_address,
                entry: f.entry,
                json: f.json,
            };
            cmd::preset::choose(&f.name, &grounds, &target)
        }
    }
}
