//! The command `preset`, which checks, submits, lists, shows and chooses presets.

use std::fs;
use std::path::Path;
use std::process::ExitCode;

use coordination::config::{Change, PresetErrors, parse_preset};
use state::Preset;

use super::operator::{CommandOptions, Target};
use crate::cli::{self, PresetCmd};

/// Runs one of the `preset` commands.
pub fn run(flags: cli::Preset) -> ExitCode {
    match flags.subcommand {
        PresetCmd::Check(f) => check(&f.file, &Target::new(None, None, f.json)),
        PresetCmd::Put(f) => {
            let options = CommandOptions {
                revision: None,
                id: f.id,
            };
            let target = Target::new(f.log_address, f.entry, f.json);
            put(&f.file, &options, &target)
        }
        PresetCmd::Begin(f) => begin(&f.file, &Target::new(f.log_address, None, f.json)),
        PresetCmd::List(f) => list(&Target::new(f.log_address, f.entry, f.json)),
        PresetCmd::Show(f) => {
            let target = Target::new(f.log_address, f.entry, f.json);
            show(f.name.as_deref(), &target)
        }
        PresetCmd::Choose(f) => {
            let options = CommandOptions {
                revision: f.revision,
                id: f.id,
            };
            let target = Target::new(f.log_address, f.entry, f.json);
            choose(&f.name, &options, &target)
        }
    }
}

/// Checks a preset's file without submitting it.
fn check(file: &Path, target: &Target) -> ExitCode {
    let (_, preset) = match load(file, target) {
        Ok(loaded) => loaded,
        Err(code) => return code,
    };
    let endpoints: usize = preset.services.iter().map(|s| s.endpoints.len()).sum();
    let (name, services) = (&preset.name, preset.services.len());
    match target.json {
        true => println!(
            "{}",
            serde_json::json!({ "outcome": "good", "name": name, "services": services, "endpoints": endpoints })
        ),
        false => println!("preset {name} is good: {services} services, {endpoints} endpoints"),
    }
    ExitCode::SUCCESS
}

/// Submits a preset's file; the whole preset is accepted or nothing.
fn put(file: &Path, options: &CommandOptions, target: &Target) -> ExitCode {
    match load(file, target) {
        Ok((text, preset)) => {
            let done = format!("preset {} is put", preset.name);
            target.submit(Change::PutPreset { text }, options, &done)
        }
        Err(code) => code,
    }
}

/// Starts a new configuration with a preset in force, if the store has lost the old one.
fn begin(file: &Path, target: &Target) -> ExitCode {
    match load(file, target) {
        Ok((text, preset)) => {
            let done = format!("all begins anew with preset {} in force", preset.name);
            target.begin(&text, &done)
        }
        Err(code) => code,
    }
}

/// Puts a preset in force.
fn choose(name: &str, options: &CommandOptions, target: &Target) -> ExitCode {
    let change = Change::ChoosePreset {
        name: name.to_owned(),
    };
    target.submit(change, options, &format!("preset {name} is in force"))
}

/// Lists the presets and marks the one in force; lists leaving data centres and hosts.
fn list(target: &Target) -> ExitCode {
    let config = match target.read() {
        Ok(config) => config,
        Err(code) => return code,
    };
    if target.json {
        let names: Vec<&String> = config.presets.keys().collect();
        println!(
            "{}",
            serde_json::json!({
                "revision": config.revision,
                "in-force": config.chosen,
                "presets": names,
                "leaving-data-centres": config.leaving_centres,
                "leaving-hosts": config.leaving_hosts,
            })
        );
        return ExitCode::SUCCESS;
    }
    println!("revision {}", config.revision);
    for (name, preset) in &config.presets {
        let mark = match config.chosen.as_ref() == Some(name) {
            true => "in force",
            false => "",
        };
        let endpoints: usize = preset.services.iter().map(|s| s.endpoints.len()).sum();
        let services = preset.services.len();
        println!("{name:<20} {services:>3} services {endpoints:>4} endpoints  {mark}");
    }
    if config.chosen.is_none() {
        println!("no preset is in force: put one and choose it, or see /readyz of the entry host");
    }
    for name in &config.leaving_centres {
        println!("data centre {name} is leaving");
    }
    for name in &config.leaving_hosts {
        println!("host {name} is leaving");
    }
    ExitCode::SUCCESS
}

/// Shows a preset as TOML or JSON, by default the one in force.
fn show(name: Option<&str>, target: &Target) -> ExitCode {
    let config = match target.read() {
        Ok(config) => config,
        Err(code) => return code,
    };
    let (wanted, preset) = match name {
        Some(name) => (format!("preset named {name}"), config.presets.get(name)),
        None => ("preset in force".to_owned(), config.preset()),
    };
    let Some(preset) = preset else {
        return target.usage(&format!("there is no {wanted}: see `preset list`"));
    };
    let text = match target.json {
        true => serde_json::to_string(preset).map_err(|e| e.to_string()),
        false => toml::to_string(preset).map_err(|e| e.to_string()),
    };
    match text {
        Ok(text) => {
            println!("{}", text.trim_end());
            ExitCode::SUCCESS
        }
        Err(message) => target.usage(&message),
    }
}

fn load(file: &Path, target: &Target) -> Result<(String, Preset), ExitCode> {
    let text =
        fs::read_to_string(file).map_err(|e| target.usage(&format!("{}: {e}", file.display())))?;
    match parse_preset(&text) {
        Ok(preset) => Ok((text, preset)),
        Err(errors) => Err(target.usage(&describe(file, &errors))),
    }
}

fn describe(file: &Path, errors: &PresetErrors) -> String {
    let count = errors.0.len();
    let lines: Vec<String> = errors
        .0
        .iter()
        .map(|e| format!("  {}:{}: {}", file.display(), e.line, e.message))
        .collect();
    format!("{count} faults, nothing is taken:\n{}", lines.join("\n"))
}
