//! Epochs of the store: the number of times it was restored from an older copy.
//!
//! Failure: the store is restored from a copy that is some seconds old. Symptom: writes
//! acknowledged since that copy are lost, and revisions and lease ids are issued a second time, so
//! that a number remembered from before the restoration refers to something else. A store that
//! counts its restorations sends the count in each response. What was read or leased in one epoch
//! proves nothing in a later one.

use std::sync::Arc;

use hyper::HeaderMap;
use hyper::header::HeaderName;
use tokio::sync::watch;

/// Counter that increases each time the store is restored from an older copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(pub u64);

/// Change of the epoch: the store was restored between two observations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Restoration {
    /// Epoch at the first observation.
    pub before: Epoch,
    /// Epoch at the second observation.
    pub now: Epoch,
}

impl Restoration {
    /// Compares two observations; returns `None` if the epoch did not change. The first epoch that
    /// a store reports is not a restoration.
    #[must_use]
    pub fn between(before: Option<Epoch>, now: Option<Epoch>) -> Option<Self> {
        let (before, now) = (before?, now?);
        (before != now).then_some(Self { before, now })
    }
}

/// Tracker of the newest epoch received by any call of this process.
#[derive(Clone, Debug, Default)]
pub struct Epochs {
    header: Option<HeaderName>,
    newest: Arc<watch::Sender<Option<Epoch>>>,
}

impl Epochs {
    /// Tracks the epochs that a store sends in this response header. No epoch is tracked if
    /// `header` is not a valid header name.
    #[must_use]
    pub fn from_header(header: &str) -> Self {
        Self {
            header: HeaderName::try_from(header).ok(),
            newest: Arc::default(),
        }
    }

    /// Returns the newest epoch received; `None` until the store has sent one.
    #[must_use]
    pub fn newest(&self) -> Option<Epoch> {
        *self.newest.borrow()
    }

    /// Subscribes to changes of the newest epoch.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Option<Epoch>> {
        self.newest.subscribe()
    }

    /// Returns whether the store has been restored since it was in this epoch.
    #[must_use]
    pub fn has_changed_since(&self, epoch: Option<Epoch>) -> bool {
        Restoration::between(epoch, self.newest()).is_some()
    }

    /// Waits until the store has been restored since it was in this epoch.
    pub async fn wait_for_change_since(&self, epoch: Option<Epoch>) {
        let mut newest = self.newest.subscribe();
        // This handle keeps the sender alive.
        let _ = newest
            .wait_for(|newest| Restoration::between(epoch, *newest).is_some())
            .await;
    }

    /// Records the epoch of a response; returns false if it is older than the newest epoch.
    pub(crate) fn record(&self, headers: &HeaderMap) -> bool {
        let Some(epoch) = self.parse_epoch(headers) else {
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

    fn parse_epoch(&self, headers: &HeaderMap) -> Option<Epoch> {
        let value = headers.get(self.header.as_ref()?)?.to_str().ok()?;
        value.parse().ok().map(Epoch)
    }
}
