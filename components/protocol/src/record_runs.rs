//! Encodes which records of an update are renewals, as the lengths of runs.
//!
//! Endpoints renew their entries every few seconds. A renewal is an empty record, and an
//! update has thousands of them in a row.

use bytes::Bytes;
use thiserror::Error;

/// The lengths of runs don't fit the records.
#[derive(Debug, Error)]
#[error("the datagram has {0} records, and names another number")]
pub struct RunsError(usize);

/// The most records and renewals in an update; far more than are written between two reads.
const MAX_RECORDS: usize = 1_000_000;

/// Returns the lengths of the runs of records and renewals, by turns, or nothing if there
/// are no renewals.
pub(crate) fn lengths(records: &[Bytes]) -> Vec<u32> {
    if !records.iter().any(Bytes::is_empty) {
        return Vec::new();
    }
    let mut runs = Vec::new();
    let mut renews = false;
    let mut length = 0;
    for record in records {
        if record.is_empty() != renews {
            runs.push(length);
            renews = !renews;
            length = 0;
        }
        length += 1;
    }
    runs.push(length);
    runs
}

/// Returns the records with their renewals, which are empty.
pub(crate) fn expand(records: Vec<Bytes>, runs: &[u32]) -> Result<Vec<Bytes>, RunsError> {
    if runs.is_empty() {
        return Ok(records);
    }
    let count = records.len();
    let mut all = Vec::new();
    let mut changed = records.into_iter();
    for (number, run) in runs.iter().enumerate() {
        let length = usize::try_from(*run).unwrap_or(usize::MAX);
        if length > MAX_RECORDS - all.len() {
            return Err(RunsError(count));
        }
        match number % 2 {
            0 => all.extend(changed.by_ref().take(length)),
            _ => all.resize(all.len() + length, Bytes::new()),
        }
    }
    let named: u64 = runs.iter().step_by(2).map(|run| u64::from(*run)).sum();
    match named == count as u64 {
        true => Ok(all),
        false => Err(RunsError(count)),
    }
}
