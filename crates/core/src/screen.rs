//! What is held against requests on one node, as of one moment.
//!
//! [`crate::quarantine`] decides it; the entry and the node beside the upstream look each request up.

use std::collections::HashMap;
use std::time::Instant;

use crate::fingerprint::Fingerprint;

/// What requests are held to on one node, as of one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Screen {
    by_head: HashMap<u64, Vec<Listed>>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Listed {
    body: Option<u64>,
    /// When it may be tried, if it is held back.
    trial_at: Option<Instant>,
}

/// What the screen says of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing is held against it.
    Pass,
    /// Its body, not seen yet, tells whether it is one that is held back.
    BodyDecides,
    /// It is held back until then.
    Hold(Instant),
    /// It is held back, and one node may try it.
    Trial,
}

impl FromIterator<(Fingerprint, Option<Instant>)> for Screen {
    /// Suspects, each with the time of its trial if it is held back.
    fn from_iter<T: IntoIterator<Item = (Fingerprint, Option<Instant>)>>(suspects: T) -> Self {
        let mut screen = Self::default();
        for (fingerprint, trial_at) in suspects {
            let listed = Listed {
                body: fingerprint.body,
                trial_at,
            };
            let same_head = screen.by_head.entry(fingerprint.head);
            same_head.or_default().push(listed);
        }
        screen
    }
}

impl Screen {
    /// Whether nothing is known of any request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_head.is_empty()
    }

    /// Whether an answer to this request clears it of something.
    #[must_use]
    pub fn suspects(&self, fingerprint: Fingerprint) -> bool {
        let mut listed = self.by_head.get(&fingerprint.head).into_iter().flatten();
        listed.any(|listed| listed.body.is_none() || listed.body == fingerprint.body)
    }

    /// What holds for this request.
    #[must_use]
    pub fn judge(&self, now: Instant, fingerprint: Fingerprint) -> Verdict {
        let mut verdict = Verdict::Pass;
        for listed in self.by_head.get(&fingerprint.head).into_iter().flatten() {
            let Some(trial_at) = listed.trial_at else {
                continue;
            };
            if listed.body.is_none() || listed.body == fingerprint.body {
                return if now < trial_at {
                    Verdict::Hold(trial_at)
                } else {
                    Verdict::Trial
                };
            }
            if fingerprint.body.is_none() {
                verdict = Verdict::BodyDecides;
            }
        }
        verdict
    }
}
