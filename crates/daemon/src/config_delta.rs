//! Compression of a configuration for its transfer between daemons.
//!
//! Two versions differ in a few lines of a document of up to a megabyte, so a document is compressed
//! against a version that the receiver has.

use std::io::{self, Read, Write};
use xxhash_rust::xxh3::xxh3_64;
use zstd::stream::{read, write};

/// The compression level of zstd, from 1 to 22.
const LEVEL: i32 = 3;

/// The range of the base-2 logarithm of the distance in bytes at which repetitions are found.
const WINDOW_LOG_RANGE: std::ops::RangeInclusive<u32> = 10..=26;

/// The maximum size of a document, in bytes.
pub const DOCUMENT_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Identifies the content of a document.
pub fn digest(document: &[u8]) -> u64 {
    xxh3_64(document)
}

/// Compresses a document against `base`, which is empty if the receiver has none.
///
/// # Errors
///
/// The compressor fails.
pub fn encode(base: &[u8], document: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = write::Encoder::with_ref_prefix(Vec::new(), LEVEL, base)?;
    encoder.window_log(window_log(base.len() + document.len()))?;
    encoder.long_distance_matching(true)?;
    encoder.write_all(document)?;
    encoder.finish()
}

/// Restores a document that was compressed against `base`.
///
/// # Errors
///
/// The content is malformed, was compressed against another base, or is larger than
/// [`DOCUMENT_MAX_BYTES`].
pub fn decode(base: &[u8], content: &[u8]) -> io::Result<Vec<u8>> {
    let mut decoder = read::Decoder::with_ref_prefix(content, base)?;
    decoder.window_log_max(*WINDOW_LOG_RANGE.end())?;
    let mut document = Vec::new();
    let limit = u64::try_from(DOCUMENT_MAX_BYTES).unwrap_or(u64::MAX);
    decoder.take(limit.saturating_add(1)).read_to_end(&mut document)?;
    if document.len() > DOCUMENT_MAX_BYTES {
        return Err(io::Error::other(format!("document exceeds {DOCUMENT_MAX_BYTES} bytes")));
    }
    Ok(document)
}

/// The smallest window that covers so many bytes.
fn window_log(bytes: usize) -> u32 {
    let log = bytes.next_power_of_two().trailing_zeros();
    log.clamp(*WINDOW_LOG_RANGE.start(), *WINDOW_LOG_RANGE.end())
}

#[cfg(test)]
mod tests;
