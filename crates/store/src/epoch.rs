//! How often the store has come back from an older copy.
//!
//! Failure: the store is restored from a copy some seconds old. Symptom: what was acknowledged since
//! is gone, and revisions and leases are given out a second time, so that a number remembered from
//! before stands for something else. A store that counts its returns tells in each answer; what was
//! read or leased in one epoch proves nothing in a later one.

use std::sync::Arc;

use hyper::HeaderMap;
use hyper::header::HeaderName;
use tokio::sync::watch;

/// Rises each time the store comes back from an older copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(pub u64);

/// The store came back between two looks at its epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rise {
    /// The epoch at the first look.
    pub before: Epoch,
    /// The epoch at the second.
    pub now: Epoch,
}

impl Rise {
    /// What lies between two looks; the first epoch that a store names is no return.
    #[must_use]
    pub fn between(before: Option<Epoch>, now: Option<Epoch>) -> Option<Self> {
        let (before, now) = (before?, now?);
        (before != now).then_some(Self { before, now })
    }
}

/// The newest epoch that any call of a process has seen.
#[derive(Clone, Debug, Default)]
pub struct Epochs {
    header: Option<HeaderName>,
    newest: Arc<watch::Sender<Option<Epoch>>>,
}

impl Epochs {
    /// Epochs of a store that names them in this header of its answers; none if it is no name.
    #[must_use]
    pub fn named_in(header: &str) -> Self {
        Self {
            header: HeaderName::try_from(header).ok(),
            newest: Arc::default(),
        }
    }

    /// The newest epoch seen; `None` until the store named one.
    #[must_use]
    pub fn newest(&self) -> Option<Epoch> {
        *self.newest.borrow()
    }

    /// Follows the newest epoch.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Option<Epoch>> {
        self.newest.subscribe()
    }

    /// Whether the store has come back since it was in this epoch.
    #[must_use]
    pub fn has_risen_since(&self, epoch: Option<Epoch>) -> bool {
        Rise::between(epoch, self.newest()).is_some()
    }

    /// Waits until the store has come back since it was in this epoch.
    pub async fn risen_since(&self, epoch: Option<Epoch>) {
        let mut newest = self.newest.subscribe();
        // This handle keeps the sender alive.
        let _ = newest
            .wait_for(|newest| Rise::between(epoch, *newest).is_some())
            .await;
    }

    /// Notes the epoch of an answer; false if the answer is of an earlier one than the newest.
    pub(crate) fn note(&self, headers: &HeaderMap) -> bool {
        let Some(epoch) = self.read(headers) else {
            return true;
        };
        let mut is_current = true;
        self.newest.send_if_modified(|newest| {
            is_current = newest.is_none_or(|newest| epoch >= newest);
            let is_newer = is_current && *newest != Some(epoch);
            if is_newer {
                *newest = Some(epoch);
            }
            is_newer
        });
        is_current
    }

    fn read(&self, headers: &HeaderMap) -> Option<Epoch> {
        let written = headers.get(self.header.as_ref()?)?.to_str().ok()?;
        written.parse().ok().map(Epoch)
    }
}
