//! Snapshot of the suspect requests that one node knows.
//!
//! [`crate::quarantine`] creates it; the entry node and the node beside the upstream check each
//! request against it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::fingerprint::Fingerprint;

/// Maximum retry delay in the refusal of a request in provisional quarantine, which ends as soon as
/// the node is in contact with another one.
const MAX_PROVISIONAL_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Snapshot of the suspect requests that one node knows, indexed by the digest of their heads.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Screen {
    by_head: HashMap<u64, Vec<Entry>>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Entry {
    body: Option<u64>,
    /// `None` if the request is not in quarantine.
    hold: Option<Hold>,
}

/// State of a request that is in quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// Time from which the request may be tried.
    pub trial_at: Instant,
    /// Whether the request is in quarantine on this node alone, while the node is isolated.
    pub is_provisional: bool,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request is not in quarantine.
    Pass,
    /// The head matches a quarantined request, and the body, not read yet, decides.
    NeedsBody,
    /// The request is in quarantine, and a retry makes no sense before this time.
    Quarantined(Instant),
    /// The request is in quarantine, and one node may try it now.
    Trial,
}

impl FromIterator<(Fingerprint, Option<Hold>)> for Screen {
    /// Collects suspects, each with its state if it is in quarantine.
    fn from_iter<T: IntoIterator<Item = (Fingerprint, Option<Hold>)>>(suspects: T) -> Self {
        let mut screen = Self::default();
        for (fingerprint, hold) in suspects {
            let entry = Entry {
                body: fingerprint.body,
                hold,
            };
            let same_head = screen.by_head.entry(fingerprint.head);
            same_head.or_default().push(entry);
        }
        screen
    }
}

impl Screen {
    /// Returns whether there is no suspect request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_head.is_empty()
    }

    /// Returns whether the request is a suspect, so that an answer to it may clear it.
    #[must_use]
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        let mut entry = self.by_head.get(&fingerprint.head).into_iter().flatten();
        entry.any(|entry| entry.body.is_none() || entry.body == fingerprint.body)
    }

    /// Decides whether the request passes, is refused or may be tried.
    #[must_use]
    pub fn check(&self, now: Instant, fingerprint: Fingerprint) -> Verdict {
        let mut verdict = Verdict::Pass;
        for entry in self.by_head.get(&fingerprint.head).into_iter().flatten() {
            let Some(hold) = entry.hold else {
                continue;
            };
            if entry.body.is_none() || entry.body == fingerprint.body {
                return hold.verdict(now);
            }
            if fingerprint.body.is_none() {
                verdict = Verdict::NeedsBody;
            }
        }
        verdict
    }
}

impl Hold {
    fn verdict(self, now: Instant) -> Verdict {
        if now >= self.trial_at {
            Verdict::Trial
        } else if self.is_provisional {
            Verdict::Quarantined(self.trial_at.min(now + MAX_PROVISIONAL_RETRY_DELAY))
        } else {
            Verdict::Quarantined(self.trial_at)
        }
    }
}
