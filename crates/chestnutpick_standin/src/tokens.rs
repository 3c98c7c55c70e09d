//! Texts and counts of tokens in the engine stand-in.
//!
//! The text of a token is a function of the content digest of the weights, the prompt and the index. A client can
//! therefore detect a response that comes from other weights, belongs to another prompt or has shifted tokens.

use chestnutpick_types::digest::{Digest, Hasher};

/// Bytes of a prompt per token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Returns the number of tokens of a prompt: its length in bytes divided by [`BYTES_PER_TOKEN`], rounded up.
///
/// ```
/// use chestnutpick_standin::tokens;
/// assert_eq!(tokens::count("restore"), 2);
/// assert_eq!(tokens::count(""), 0);
/// ```
pub fn count(prompt: &str) -> u64 {
    u64::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u64::MAX)
}

/// Returns the text of the token at `index`; `content` is the digest of all bytes of the weights.
///
/// ```
/// use chestnutpick_standin::tokens;
/// use chestnutpick_types::digest::Digest;
/// let content = Digest::of(b"weights");
/// assert_ne!(tokens::text(&content, "prompt", 0), tokens::text(&content, "prompt", 1));
/// ```
pub fn text(content: &Digest, prompt: &str, index: u64) -> String {
    text_for_digest(content, &Digest::of(prompt.as_bytes()), index)
}

/// Returns the same text as [`text`] for a prompt that is given by its digest.
///
/// ```
/// use chestnutpick_standin::tokens;
/// use chestnutpick_types::digest::Digest;
/// let content = Digest::of(b"weights");
/// let token = tokens::text_for_digest(&content, &Digest::of(b"prompt"), 3);
/// assert_eq!(token, tokens::text(&content, "prompt", 3));
/// ```
pub fn text_for_digest(content: &Digest, prompt: &Digest, index: u64) -> String {
    let mut hasher = Hasher::default();
    hasher.update(content.as_bytes());
    hasher.update(prompt.as_bytes());
    hasher.update(&index.to_le_bytes());
    format!("{:08x} ", hasher.finish().prefix() >> 32)
}
