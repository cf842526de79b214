//! The schema of a preset's text: keys, types and bounds.

use std::net::SocketAddr;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::check::{Report, unsigned};

/// One key of a table.
pub(super) struct Field {
    key: &'static str,
    kind: Kind,
    required: bool,
}

/// The type of a key's value.
enum Kind {
    /// A string that is not empty.
    Text,
    /// An IP address with a port.
    Address,
    /// An integer within these bounds.
    Integer(u64, u64),
    /// One or more tables.
    Tables(&'static [Field]),
}

const MILLION: u64 = 1_000_000;
const DAY_SECONDS: u64 = 86_400;
const GIB: u64 = 1 << 30;

/// A preset's keys.
pub(super) const PRESET: &[Field] = &[
    required("name", Kind::Text),
    required("data-centre", Kind::Tables(CENTRE)),
    required("service", Kind::Tables(SERVICE)),
];

const CENTRE: &[Field] = &[required("name", Kind::Text), required("region", Kind::Text)];

/// The upper bounds catch mistakes such as seconds in place of milliseconds; no site
/// comes near them.
const SERVICE: &[Field] = &[
    required("name", Kind::Text),
    required("endpoints", Kind::Tables(ENDPOINT)),
    optional("slots", Kind::Integer(1, 10_000)),
    optional("cold-slots", Kind::Integer(1, 10_000)),
    optional("connections", Kind::Integer(1, 100_000)),
    optional("deadline-ms", Kind::Integer(1, DAY_SECONDS * 1_000)),
    optional("queue", Kind::Integer(0, MILLION)),
    optional("body-limit", Kind::Integer(0, 64 * GIB)),
    optional("retry-percent", Kind::Integer(0, 100)),
    optional("probe-cost-ms", Kind::Integer(0, 60_000)),
    optional("key-seconds", Kind::Integer(1, 30 * DAY_SECONDS)),
];

const ENDPOINT: &[Field] = &[
    required("address", Kind::Address),
    required("data-centre", Kind::Text),
];

const fn required(key: &'static str, kind: Kind) -> Field {
    Field {
        key,
        kind,
        required: true,
    }
}

const fn optional(key: &'static str, kind: Kind) -> Field {
    Field {
        key,
        kind,
        required: false,
    }
}

/// Reports unknown and missing keys, and values of the wrong type.
///
/// `start` is the offset of the table in the text.
pub(super) fn check_table(table: &DeTable, fields: &[Field], start: usize, report: &mut Report) {
    for (key, value) in table {
        match fields.iter().find(|f| f.key == key.get_ref()) {
            Some(field) => check_value(field, value, report),
            None => {
                let known: Vec<&str> = fields.iter().map(|f| f.key).collect();
                let message = format!(
                    "unknown key \"{}\": known here are {}",
                    key.get_ref(),
                    known.join(", ")
                );
                report.add(key.span().start, message);
            }
        }
    }
    for field in fields.iter().filter(|f| f.required) {
        if !table.contains_key(field.key) {
            report.add(start, format!("\"{}\" is missing here", field.key));
        }
    }
}

fn check_value(field: &Field, value: &Spanned<DeValue>, report: &mut Report) {
    let start = value.span().start;
    let key = field.key;
    let error = match (&field.kind, value.get_ref()) {
        (Kind::Text, DeValue::String(text)) if text.trim().is_empty() => {
            Some(format!("\"{key}\" is empty"))
        }
        (Kind::Text, DeValue::String(_)) => None,
        (Kind::Text, other) => Some(format!("\"{key}\" is {}: write a string", other.type_str())),
        (Kind::Address, DeValue::String(text)) => address_error(key, text),
        (Kind::Address, other) => Some(format!(
            "\"{key}\" is {}: write \"IP:port\"",
            other.type_str()
        )),
        (Kind::Integer(min, max), _) => match unsigned(value) {
            Some(n) if (*min..=*max).contains(&n) => None,
            _ => Some(format!(
                "\"{key}\" has to be a whole number from {min} to {max}"
            )),
        },
        (Kind::Tables(_), DeValue::Array(items)) if items.is_empty() => {
            Some(format!("\"{key}\" is empty: at least one is needed"))
        }
        (Kind::Tables(fields), DeValue::Array(items)) => {
            for item in items.iter() {
                check_item(key, fields, item, report);
            }
            None
        }
        (Kind::Tables(_), other) => Some(format!(
            "\"{key}\" is {}: write a list of tables",
            other.type_str()
        )),
    };
    if let Some(message) = error {
        report.add(start, message);
    }
}

fn check_item(key: &str, fields: &[Field], item: &Spanned<DeValue>, report: &mut Report) {
    let start = item.span().start;
    match item.get_ref() {
        DeValue::Table(table) => check_table(table, fields, start, report),
        other => {
            let message = format!("an entry of \"{key}\" is {}, no table", other.type_str());
            report.add(start, message);
        }
    }
}

fn address_error(key: &str, text: &str) -> Option<String> {
    match text.parse::<SocketAddr>() {
        Err(_) => Some(format!(
            "\"{key}\" \"{text}\" is not an IP address with a port, such as \"10.0.0.7:8080\""
        )),
        Ok(address) if address.port() == 0 => {
            Some(format!("\"{key}\" {address} has port 0: name the port"))
        }
        Ok(address) if address.ip().is_unspecified() => Some(format!(
            "\"{key}\" {address} names no host: write its IP address"
        )),
        Ok(_) => None,
    }
}
