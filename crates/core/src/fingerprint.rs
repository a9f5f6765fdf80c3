//! Digests of the parts of a request that stay the same when a caller retries it.
//!
//! Every attempt of a caller has an id of its own, so ids do not show that two attempts are the
//! same request. Method, host, path, client account and body do. The body is streamed while the
//! upstream already runs the request, so it is digested incrementally.

use std::fmt;
use std::hash::{Hash, Hasher};

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

/// Maximum number of body bytes that are digested: as many as are sent to the node beside the
/// upstream before the request has a slot there. Longer bodies that share these first bytes count
/// as equal if path and client account are the same.
pub const MAX_BODY_BYTES: usize = 16 * 1024;

/// Identifies a request by its contents: retries of one request have the same fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint {
    /// Digest of everything but the body.
    pub head: u64,
    /// Digest of the body; `None` if too little of it has arrived.
    pub body: Option<u64>,
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.body {
            Some(body) => write!(f, "{:016x}-{body:016x}", self.head),
            None => write!(f, "{:016x}", self.head),
        }
    }
}

/// Returns the digest of everything in a request but its body.
#[must_use]
pub fn head(method: &str, host: &str, path_and_query: &str, client_account: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    (method, host, path_and_query, client_account).hash(&mut hasher);
    hasher.finish()
}

/// Incremental digest of a body.
#[derive(Clone, Debug)]
pub struct Body {
    hasher: SipHasher13,
    /// Number of bytes digested so far.
    digested: usize,
    /// Length of the body, if the sender declared it.
    declared_length: Option<u64>,
    is_complete: bool,
}

impl Body {
    /// Starts the digest of a body; `declared_length` is its length if the sender declared it.
    #[must_use]
    pub fn new(declared_length: Option<u64>) -> Self {
        Self {
            hasher: SipHasher13::new(),
            digested: 0,
            declared_length,
            is_complete: declared_length == Some(0),
        }
    }

    /// Adds the next part of the body.
    pub fn update(&mut self, data: &[u8]) {
        let remaining = MAX_BODY_BYTES - self.digested;
        let prefix = &data[..data.len().min(remaining)];
        self.hasher.write(prefix);
        self.digested += prefix.len();
        if u64::try_from(self.digested).ok() == self.declared_length {
            self.is_complete = true;
        }
    }

    /// Marks the end of the body.
    pub const fn finish(&mut self) {
        self.is_complete = true;
    }

    /// Returns the digest once the body has ended or its first [`MAX_BODY_BYTES`] bytes have
    /// arrived.
    #[must_use]
    pub fn digest(&self) -> Option<u64> {
        let enough = self.is_complete || self.digested == MAX_BODY_BYTES;
        enough.then(|| self.hasher.finish())
    }
}
