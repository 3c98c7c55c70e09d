//! Compression of responses that routers relay to each other.
//!
//! A configuration takes up to half a megabyte, of which all routers of a zone get each version from its readers.

use std::io;
use std::io::{Read, Write};

use bytes::Bytes;
use chestnutpick_types::size;
use flate2::{read, write};
use snafu::Snafu;

/// Name of the encoding in headers.
pub const ENCODING: &str = "gzip";

/// Size from which a response is compressed.
pub const MIN_SIZE: size::Bytes = size::Bytes(16 << 10);

/// Reason why content cannot be decompressed.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
pub enum Error {
    /// The content is not in the encoding.
    #[snafu(display("the content is not valid {ENCODING}: {reason}"))]
    Invalid {
        /// Description of the error.
        reason: String,
    },
    /// The decompressed content would be too large.
    #[snafu(display("the decompressed content exceeds {limit}"))]
    TooLarge {
        /// Maximum size.
        limit: size::Bytes,
    },
}

/// Compresses content, at the level that takes the least time.
///
/// ```
/// use chestnutpick_router::compression;
/// assert!(compression::compress(&[b'a'; 50_000]).len() < 1_000);
/// ```
pub fn compress(content: &[u8]) -> Bytes {
    let mut encoder = write::GzEncoder::new(Vec::new(), flate2::Compression::fast());
    // Writing to a vector cannot fail.
    let _ = encoder.write_all(content);
    encoder.finish().unwrap_or_default().into()
}

/// Decompresses content whose decompressed size is at most `limit`.
///
/// # Errors
///
/// Returns [`Error`].
///
/// ```
/// use chestnutpick_router::compression;
/// use chestnutpick_types::size;
/// let compressed = compression::compress(b"content");
/// assert_eq!(compression::decompress(&compressed, size::Bytes(7)).unwrap(), "content");
/// assert!(compression::decompress(&compressed, size::Bytes(6)).is_err());
/// ```
pub fn decompress(compressed: &[u8], limit: size::Bytes) -> Result<Bytes, Error> {
    let mut content = Vec::new();
    // One byte more than the limit shows that there is more.
    let mut decoder = read::GzDecoder::new(compressed).take(limit.0.saturating_add(1));
    decoder.read_to_end(&mut content).map_err(|reason| invalid(&reason))?;
    if size::Bytes::of_len(content.len()) > limit {
        return TooLargeSnafu { limit }.fail();
    }
    Ok(content.into())
}

fn invalid(reason: &io::Error) -> Error {
    Error::Invalid { reason: reason.to_string() }
}
