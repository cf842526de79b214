//! Shows what an entry host knows.

use std::process::ExitCode;

use eyre::{Result, WrapErr};
use serde_json::Value;

use crate::{cli, settings};

/// What a script sees where no entry host answered.
const EXIT_UNREACHABLE: u8 = 4;

/// What a script sees where the command line is at fault.
const EXIT_USAGE: u8 = 2;

/// Prints a host's status, as a table or as JSON.
///
/// # Errors
///
/// Fails where the answer is no status.
pub fn run(flags: cli::Status) -> Result<ExitCode> {
    let Some(entry) = settings::or_env("entry", flags.entry) else {
        eprintln!("error: which entry host? give --entry IP:PORT, its admin address");
        return Ok(ExitCode::from(EXIT_USAGE));
    };
    let body = match ureq::get(format!("http://{entry}/status")).call() {
        Ok(mut answer) => answer.body_mut().read_to_string()?,
        Err(error) => {
            eprintln!("error: no status from {entry}: {error}; is it an admin address?");
            return Ok(ExitCode::from(EXIT_UNREACHABLE));
        }
    };
    let status: Value = serde_json::from_str(&body).wrap_err("the answer is no status")?;
    if flags.json {
        println!("{status}");
    } else {
        print_table(&status);
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints plain values first, then a table for each list of records.
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
