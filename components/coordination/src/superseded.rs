//! Finds the records of a batch that a later one makes needless.
//!
//! Each configuration that operators write is complete. When they change it many times a
//! second, hosts would otherwise spend seconds on receiving and decoding configurations
//! that are no longer in force.

use bytes::Bytes;
use derives::tag;

/// What a record of a batch holds.
#[tag]
pub enum Content {
    /// A complete state, which replaces those before it.
    State,
    /// A complete state that can't be decoded, and so replaces none.
    Invalid,
    /// Anything else.
    Other,
}

/// Replaces the states that a later one in the same batch replaces by empty records, so that
/// the offsets of the others stay the same.
///
/// `content` tells what a record holds; it is called from the last record on, and for
/// earlier ones only needs to tell states from others.
pub fn blank_superseded(records: &mut [Bytes], content: impl Fn(&Bytes) -> Content) {
    let mut is_replaced = false;
    for record in records.iter_mut().rev().filter(|r| !r.is_empty()) {
        match content(record) {
            Content::State | Content::Invalid if is_replaced => *record = Bytes::new(),
            Content::State => is_replaced = true,
            Content::Invalid | Content::Other => {}
        }
    }
}
