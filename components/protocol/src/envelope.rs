//! The outermost form of a datagram between hosts: a version byte, and the message, which
//! is compressed if it is large.

use bytes::Bytes;
use thiserror::Error;

/// The protocol version, the first byte of each datagram.
///
/// Datagrams of any other version are refused.
const VERSION: u8 = 4;

/// The first byte of a datagram whose message is compressed.
const COMPRESSED: u8 = 0x80 | VERSION;

/// Messages from this size on, in bytes, are compressed.
///
/// Smaller ones are greetings and the like, which compression makes no smaller.
const COMPRESSED_FROM: usize = 512;

/// The largest message in bytes before compression: a snapshot of a hundred thousand
/// endpoints.
const MAX_MESSAGE_BYTES: usize = 32 * 1024 * 1024;

/// Why a datagram's message can't be read.
#[derive(Debug, Error)]
pub enum EnvelopeError {
    /// The datagram is empty or has another protocol version.
    #[error("the datagram has another protocol version")]
    OtherVersion,
    /// The datagram can't be decompressed.
    #[error("the datagram can't be decompressed: {0}")]
    Damaged(#[from] lz4_flex::block::DecompressError),
    /// The datagram announces a larger message than any that is sent.
    #[error("the datagram announces a message of more than {MAX_MESSAGE_BYTES} bytes")]
    TooLarge,
}

/// Returns the datagram of a message, compressed if it is large.
///
/// The records of endpoints are text with the same names in each, of which less than a third
/// remains.
pub(crate) fn wrap(message: &[u8]) -> Vec<u8> {
    if message.len() < COMPRESSED_FROM {
        return wrap_plain(message);
    }
    let compressed = lz4_flex::compress_prepend_size(message);
    [&[COMPRESSED], compressed.as_slice()].concat()
}

/// Returns the datagram of a message as it is.
pub(crate) fn wrap_plain(message: &[u8]) -> Vec<u8> {
    [&[VERSION], message].concat()
}

/// Returns the message of a datagram.
pub(crate) fn unwrap(datagram: &[u8]) -> Result<Bytes, EnvelopeError> {
    match datagram.split_first() {
        Some((&VERSION, message)) => Ok(Bytes::copy_from_slice(message)),
        Some((&COMPRESSED, body)) => decompress(body),
        _ => Err(EnvelopeError::OtherVersion),
    }
}

fn decompress(body: &[u8]) -> Result<Bytes, EnvelopeError> {
    let (size, block) = lz4_flex::block::uncompressed_size(body)?;
    if size > MAX_MESSAGE_BYTES {
        return Err(EnvelopeError::TooLarge);
    }
    Ok(Bytes::from(lz4_flex::block::decompress(block, size)?))
}
