//! Checks the whole text of a preset, so that an operator sees all its errors at once.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;

use derives::value;
use state::{DataCentreKey, EndpointKey, Preset, ServiceKey};
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::schema::{PRESET, check_table};

/// The largest text of a preset, in bytes: ten times the size of presets for large sites,
/// and small enough for one record of the log.
pub const TEXT_LIMIT: usize = 1024 * 1024;

/// One error of a preset's text.
#[value]
pub struct PresetError {
    /// The number of the line with the error, from one.
    pub line: usize,
    /// What is wrong and how to fix the error.
    pub message: String,
}

/// All errors of a preset's text, in line order.
#[value]
#[derive(Default)]
pub struct PresetErrors(pub Vec<PresetError>);

impl fmt::Display for PresetErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(PresetError::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl fmt::Display for PresetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.message)
    }
}

impl std::error::Error for PresetErrors {}

/// Parses a preset from its TOML text.
///
/// # Errors
///
/// Returns all errors with their lines; a text with errors is rejected as a whole.
pub fn parse_preset(text: &str) -> Result<Preset, PresetErrors> {
    let mut report = Report::new(text);
    if text.len() > TEXT_LIMIT {
        report.add(0, format!("the text is over {TEXT_LIMIT} bytes"));
        return Err(report.finish());
    }
    let (root, errors) = DeTable::parse_recoverable(text);
    for error in &errors {
        let start = error.span().map_or(0, |s| s.start);
        report.add(start, error.message().to_owned());
    }
    check_table(root.get_ref(), PRESET, 0, &mut report);
    check_values(root.get_ref(), &mut report);
    if !report.errors.is_empty() {
        return Err(report.finish());
    }
    toml::from_str(text).map_err(|error| {
        let start = error.span().map_or(0, |s| s.start);
        report.add(start, error.message().to_owned());
        report.finish()
    })
}

/// Collects errors by their byte offset in the text.
pub(super) struct Report<'a> {
    text: &'a str,
    errors: Vec<PresetError>,
}

impl Report<'_> {
    fn new(text: &str) -> Report<'_> {
        Report {
            text,
            errors: Vec::new(),
        }
    }

    pub(super) fn add(&mut self, start: usize, message: String) {
        let before = &self.text.as_bytes()[..start.min(self.text.len())];
        let line = 1 + before.iter().filter(|b| **b == b'\n').count();
        self.errors.push(PresetError { line, message });
    }

    fn finish(&mut self) -> PresetErrors {
        self.errors.sort_by_key(|f| f.line);
        PresetErrors(std::mem::take(&mut self.errors))
    }
}

/// A string value and its byte offset in the text.
#[derive(Clone, Copy)]
struct TextValue<'a> {
    text: &'a str,
    start: usize,
}

fn check_values(root: &DeTable, report: &mut Report) {
    let mut centres = UniqueNames::new("data centre", |n| DataCentreKey::named(n).0);
    for centre in tables(root, "data-centre") {
        if let Some(name) = text(centre, "name") {
            centres.add(name, report);
        }
    }
    let mut services = UniqueNames::new("service", |n| ServiceKey::named(n).0);
    let mut endpoints = UniqueEndpoints::default();
    for service in tables(root, "service") {
        let name = text(service, "name");
        if let Some(name) = name {
            services.add(name, report);
            check_service_name(name, report);
        }
        check_limits(service, report);
        for endpoint in tables(service, "endpoints") {
            endpoints.add(name.map_or("", |n| n.text), endpoint, report);
            check_centre(endpoint, &centres, report);
        }
    }
}

/// Rejects an endpoint in a data centre that the preset doesn't define: the endpoint
/// would stay in use when its data centre leaves.
fn check_centre(endpoint: &DeTable, centres: &UniqueNames, report: &mut Report) {
    match text(endpoint, "data-centre") {
        Some(centre) if !centres.seen.contains(centre.text) => report.add(
            centre.start,
            format!(
                "no [[data-centre]] is named \"{}\": add it or mend the name",
                centre.text
            ),
        ),
        _ => {}
    }
}

/// Rejects names that can't be the first segment of a request's path.
fn check_service_name(name: TextValue, report: &mut Report) {
    let fits = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let plain = matches!(name.text, "-" | "." | "..");
    if plain || !name.text.chars().all(fits) {
        let message = format!(
            "service name \"{}\" can't be part of a path: use letters, digits, '-', '_' and '.'",
            name.text
        );
        report.add(name.start, message);
    }
}

/// Rejects limits that contradict each other.
fn check_limits(service: &DeTable, report: &mut Report) {
    let slots = number(service, "slots").map_or(6, |n| n.0);
    let deadline = number(service, "deadline-ms").map_or(10_000, |n| n.0);
    match number(service, "cold-slots") {
        Some((cold, start)) if cold > slots => report.add(
            start,
            format!("cold-slots {cold} is over slots {slots}: a cold endpoint can't bear more"),
        ),
        _ => {}
    }
    match number(service, "connections") {
        Some((connections, start)) if connections < slots => report.add(
            start,
            format!("connections {connections} is under slots {slots}: each call needs one"),
        ),
        _ => {}
    }
    match number(service, "key-seconds") {
        Some((seconds, start)) if seconds.saturating_mul(1_000) < deadline => report.add(
            start,
            format!(
                "key-seconds {seconds} is shorter than deadline-ms {deadline}: \
                 a key would be forgotten while its call runs"
            ),
        ),
        _ => {}
    }
}

/// Finds duplicate names, and different names with the same key.
struct UniqueNames {
    what: &'static str,
    key: fn(&str) -> u64,
    seen: BTreeSet<String>,
    keys: BTreeMap<u64, String>,
}

impl UniqueNames {
    fn new(what: &'static str, key: fn(&str) -> u64) -> UniqueNames {
        UniqueNames {
            what,
            key,
            seen: BTreeSet::new(),
            keys: BTreeMap::new(),
        }
    }

    fn add(&mut self, name: TextValue, report: &mut Report) {
        let what = self.what;
        if !self.seen.insert(name.text.to_owned()) {
            let message = format!("{what} \"{}\" appears twice", name.text);
            report.add(name.start, message);
            return;
        }
        let key = (self.key)(name.text);
        if let Some(other) = self.keys.insert(key, name.text.to_owned()) {
            let message = format!(
                "{what} \"{}\" has the same key as \"{other}\": rename one",
                name.text
            );
            report.add(name.start, message);
        }
    }
}

/// Finds duplicate addresses.
///
/// A backend server listed in two services would get the slots of both, which is more
/// than the server can bear.
#[derive(Default)]
struct UniqueEndpoints {
    addresses: BTreeMap<SocketAddr, String>,
    keys: BTreeMap<EndpointKey, SocketAddr>,
}

impl UniqueEndpoints {
    fn add(&mut self, service: &str, endpoint: &DeTable, report: &mut Report) {
        let Some(value) = text(endpoint, "address") else {
            return;
        };
        let Ok(address) = value.text.parse::<SocketAddr>() else {
            return;
        };
        if let Some(other) = self.addresses.insert(address, service.to_owned()) {
            let message = format!(
                "address {address} appears twice, first in service \"{other}\": \
                 its slots would be counted twice"
            );
            report.add(value.start, message);
            return;
        }
        let key = EndpointKey::of(service, address);
        if let Some(other) = self.keys.insert(key, address) {
            let message = format!("address {address} has the same key as {other}: change one");
            report.add(value.start, message);
        }
    }
}

fn tables<'a>(table: &'a DeTable<'a>, key: &str) -> impl Iterator<Item = &'a DeTable<'a>> {
    let array = table.get(key).and_then(|v| v.get_ref().as_array());
    let items = array.map(|a| a.iter()).into_iter().flatten();
    items.filter_map(|v| v.get_ref().as_table())
}

fn text<'a>(table: &'a DeTable<'a>, key: &str) -> Option<TextValue<'a>> {
    let value = table.get(key)?;
    Some(TextValue {
        text: value.get_ref().as_str()?,
        start: value.span().start,
    })
}

fn number(table: &DeTable, key: &str) -> Option<(u64, usize)> {
    let value = table.get(key)?;
    Some((unsigned(value)?, value.span().start))
}

/// Returns the value as an integer if it is one and not negative.
pub(super) fn unsigned(value: &Spanned<DeValue>) -> Option<u64> {
    let integer = value.get_ref().as_integer()?;
    u64::from_str_radix(integer.as_str(), integer.radix()).ok()
}
