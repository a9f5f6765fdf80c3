//! What stays the same when a caller sends a request again.
//!
//! Each attempt of a caller has an id of its own, so ids cannot tell that two requests are one and
//! the same. Method, host, path, client account and body can. The body passes through while the
//! request is already in the upstream, so it is digested as it comes.

use std::fmt;
use std::hash::{Hash, Hasher};

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

/// Bytes of a body that are digested, whatever its length: as many as pass to the node beside the
/// upstream before it has to take any. Longer bodies of one path and client account that begin
/// alike are taken for the same.
pub const BODY_MOST: usize = 16 * 1024;

/// Tells requests with different contents apart, and repeats of one request not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint {
    /// Digest of all but the body.
    pub head: u64,
    /// Digest of the body; `None` if too little of it came to tell.
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

/// Digest of all of a request but its body.
#[must_use]
pub fn head(method: &str, host: &str, path_and_query: &str, client_account: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    (method, host, path_and_query, client_account).hash(&mut hasher);
    hasher.finish()
}

/// A body as it passes.
#[derive(Clone, Debug)]
pub struct Body {
    hasher: SipHasher13,
    taken: usize,
    /// Its length, if its sender told.
    declared: Option<u64>,
    ended: bool,
}

impl Body {
    /// Nothing has passed yet.
    #[must_use]
    pub fn new(declared: Option<u64>) -> Self {
        Self {
            hasher: SipHasher13::new(),
            taken: 0,
            declared,
            ended: declared == Some(0),
        }
    }

    /// A part has passed.
    pub fn take(&mut self, data: &[u8]) {
        let room = BODY_MOST - self.taken;
        let digested = &data[..data.len().min(room)];
        self.hasher.write(digested);
        self.taken += digested.len();
        if u64::try_from(self.taken).ok() == self.declared {
            self.ended = true;
        }
    }

    /// It has passed whole.
    pub const fn end(&mut self) {
        self.ended = true;
    }

    /// Its digest, once enough of it has passed.
    #[must_use]
    pub fn digest(&self) -> Option<u64> {
        let enough = self.ended || self.taken == BODY_MOST;
        enough.then(|| self.hasher.finish())
    }
}
