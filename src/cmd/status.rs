//! The command `status`, which shows the status of an entry host or the configuration.

use std::process::ExitCode;
use std::time::Duration;

use eyre::{Result, WrapErr};
use serde_json::{Value, json};
use transport::log::read_from_store;

use super::operator::resolve;

use super::operator::{EXIT_UNREACHABLE, EXIT_USAGE};
use crate::{cli, settings};

/// Maximum time for reading the configuration from the store.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Prints a host's status, or the configuration from the store, as a table or as JSON.
///
/// # Errors
///
/// Fails if the answer isn't valid JSON.
pub fn run(flags: cli::Status) -> Result<ExitCode> {
    let entry = settings::or_env("entry", flags.entry);
    let log = settings::or_env("log-address", flags.log_address);
    let read = match (entry, log) {
        (Some(entry), _) => fetch_from_entry(&entry),
        (None, Some(log)) => fetch_from_store(&log),
        (None, None) => {
            eprintln!(
                "error: no target: give --entry IP:PORT, the admin address, or --log-address"
            );
            return Ok(ExitCode::from(EXIT_USAGE));
        }
    };
    let body = match read {
        Ok(body) => body,
        Err(message) => {
            eprintln!("error: {message}");
            return Ok(ExitCode::from(EXIT_UNREACHABLE));
        }
    };
    let status: Value = serde_json::from_str(&body).wrap_err("the status is not valid JSON")?;
    if flags.json {
        println!("{status}");
    } else {
        print_table(&status);
    }
    Ok(ExitCode::SUCCESS)
}

fn fetch_from_entry(entry: &str) -> Result<String, String> {
    let answer = ureq::get(format!("http://{entry}/status")).call();
    let describe = |error| format!("no status from {entry}: {error}; is it an admin address?");
    answer
        .and_then(|mut answer| answer.body_mut().read_to_string())
        .map_err(describe)
}

/// Returns the configuration from the store as JSON, without the status of entry hosts.
fn fetch_from_store(address: &str) -> Result<String, String> {
    let config = read_from_store(resolve(address)?, REQUEST_TIMEOUT)?;
    let members: Vec<Value> = config
        .members
        .iter()
        .map(|(key, member)| {
            json!({
                "host": member.name,
                "data_centre": member.data_centre,
                "state": if config.draining.contains(key) { "draining" } else { "member" },
                "joined": member.joined,
            })
        })
        .collect();
    let presets: Vec<&String> = config.presets.keys().collect();
    Ok(json!({
        "revision": config.revision,
        "offset": config.offset,
        "preset": config.chosen,
        "presets": presets,
        "leaving_centres": config.leaving_centres,
        "leaving_hosts": config.leaving_hosts,
        "members": members,
    })
    .to_string())
}

/// Prints simple values first, then a table for each list of objects.
fn print_table(status: &Value) {
    let Some(fields) = status.as_object() else {
        return;
    };
    for (name, value) in fields.iter().filter(|(_, value)| !is_table(value)) {
        println!("{name:<18} {}", plain(value));
    }
    for (name, value) in fields.iter().filter(|(_, value)| is_table(value)) {
        println!("\n{name}");
        print_rows(value.as_array().map(Vec::as_slice).unwrap_or_default());
    }
}

fn print_rows(rows: &[Value]) {
    let Some(first) = rows.first().and_then(Value::as_object) else {
        return;
    };
    let names: Vec<&String> = first.keys().collect();
    let mut widths: Vec<usize> = names.iter().map(|name| name.len()).collect();
    let mut cells = Vec::new();
    for row in rows {
        let line: Vec<String> = names
            .iter()
            .map(|name| plain(&row[name.as_str()]))
            .collect();
        for (width, cell) in widths.iter_mut().zip(&line) {
            *width = (*width).max(cell.len());
        }
        cells.push(line);
    }
    let head: Vec<String> = names.into_iter().cloned().collect();
    for line in std::iter::once(&head).chain(&cells) {
        let padded: Vec<String> = line
            .iter()
            .zip(&widths)
            .map(|(cell, &width)| format!("{cell:<width$}"))
            .collect();
        println!("  {}", padded.join("  ").trim_end());
    }
}

fn is_table(value: &Value) -> bool {
    value
        .as_array()
        .and_then(|rows| rows.first())
        .is_some_and(Value::is_object)
}

fn plain(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(values) if values.is_empty() => "none".to_owned(),
        Value::Array(values) => values.iter().map(plain).collect::<Vec<_>>().join(" "),
        other => other.to_string(),
    }
}
