//! Keys of client accounts, which are kept as digests only.

use std::fmt;

/// Maximum length of a key in bytes.
pub const MAX_BYTES: usize = 256;

/// Digest of a key. Its debug output is empty, since a short key could be guessed from its digest.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Returns the digest of a key; `None` if no request can carry such a key: it is empty, longer
    /// than [`MAX_BYTES`], or contains anything but visible ASCII characters.
    #[must_use]
    pub fn of(key: &str) -> Option<Self> {
        is_valid(key.as_bytes()).then(|| Self(*blake3::hash(key.as_bytes()).as_bytes()))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Digest(..)")
    }
}

/// Returns whether a request can carry these bytes as a key.
#[must_use]
pub fn is_valid(key: &[u8]) -> bool {
    (1..=MAX_BYTES).contains(&key.len()) && key.iter().all(u8::is_ascii_graphic)
}
