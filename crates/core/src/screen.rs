//! Snapshot of the suspect requests that one node knows.
//!
//! [`crate::quarantine`] creates it; the entry node and the node beside the upstream check each
//! request against it.

use std::collections::HashMap;
use std::time::Instant;

use crate::fingerprint::Fingerprint;

/// Snapshot of the suspect requests that one node knows, indexed by the digest of their heads.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Screen {
    by_head: HashMap<u64, Vec<Entry>>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Entry {
    body: Option<u64>,
    /// Time from which the request may be tried; `None` if it is not in quarantine.
    trial_at: Option<Instant>,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request is not in quarantine.
    Pass,
    /// The head matches a quarantined request, and the body, not read yet, decides.
    NeedsBody,
    /// The request is in quarantine, and no trial is due before this time.
    Quarantined(Instant),
    /// The request is in quarantine, and one node may try it now.
    Trial,
}

impl FromIterator<(Fingerprint, Option<Instant>)> for Screen {
    /// Collects suspects, each with the time of its next trial if it is in quarantine.
    fn from_iter<T: IntoIterator<Item = (Fingerprint, Option<Instant>)>>(suspects: T) -> Self {
        let mut screen = Self::default();
        for (fingerprint, trial_at) in suspects {
            let entry = Entry {
                body: fingerprint.body,
                trial_at,
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
            let Some(trial_at) = entry.trial_at else {
                continue;
            };
            if entry.body.is_none() || entry.body == fingerprint.body {
                return if now < trial_at {
                    Verdict::Quarantined(trial_at)
                } else {
                    Verdict::Trial
                };
            }
            if fingerprint.body.is_none() {
                verdict = Verdict::NeedsBody;
            }
        }
        verdict
    }
}
