//! Finds the records of a batch that a later one makes needless.
//!
//! Each configuration that operators write is complete. When they change it many times a
//! second, hosts would otherwise spend seconds on receiving and decoding configurations
//! that are no longer in force.

use bytes::Bytes;

/// Replaces the states that a later one in the same batch replaces by empty records, so that
/// the offsets of the others stay the same.
///
/// `state` returns the complete state that a record holds, if any. `is_valid` tells whether a
/// state can be decoded: one that can't replaces none. It is called for the newest states
/// only, until one is valid.
pub fn blank_superseded<T>(
    records: &mut [Bytes],
    state: impl Fn(&Bytes) -> Option<T>,
    is_valid: impl Fn(&T) -> bool,
) {
    let mut is_replaced = false;
    for record in records.iter_mut().rev().filter(|r| !r.is_empty()) {
        match state(record) {
            None => {}
            Some(_) if is_replaced => *record = Bytes::new(),
            Some(state) => is_replaced = is_valid(&state),
        }
    }
}
