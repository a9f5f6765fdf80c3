//! Decides whether a request may be retried, with a budget that bounds retry amplification.

use std::time::Instant;

use crate::configs::retry::Settings;
use crate::outcome::{Outcome, Refusal};

/// How far an attempt got, as far as the entry node can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// No byte of the request was sent by this node.
    NeverSent,
    /// The node beside the upstream replied that it did not send the request to it.
    NotHandedOver,
    /// The request was sent, and it is not known whether it ran.
    MayHaveRun,
}

/// Token bucket that limits retries to a share of the answered requests.
///
/// Failure: all upstreams refuse at the same time. Symptom: every level of nested calls multiplies
/// the load by its number of attempts, so amplification grows exponentially with the depth. Only
/// answered requests add tokens, so when everything is refused retries stop after the burst and
/// the amplification factor falls to one.
#[derive(Debug)]
pub struct Budget {
    settings: Settings,
    share: f64,
    tokens: f64,
}

impl Budget {
    /// Creates a full bucket; `share` is the number of retries allowed per answered request.
    #[must_use]
    pub const fn new(settings: Settings, share: f64) -> Self {
        Self {
            tokens: settings.burst,
            settings,
            share,
        }
    }

    /// Replaces the settings.
    pub fn set_settings(&mut self, settings: Settings) {
        self.tokens = self.tokens.min(settings.burst);
        self.settings = settings;
    }

    /// Sets the share granted by the preset in force.
    pub const fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Adds the tokens for one answered request.
    pub const fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.settings.burst);
    }

    /// Returns whether a further attempt may be made, and spends its token if so.
    ///
    /// `attempts` counts those already made. A non-idempotent request is retried only if it
    /// certainly did not run.
    pub fn may_retry(
        &mut self,
        now: Instant,
        deadline: Instant,
        attempts: u32,
        progress: Progress,
        idempotent: bool,
    ) -> bool {
        if attempts >= self.settings.attempts || now >= deadline {
            return false;
        }
        if progress == Progress::MayHaveRun && !idempotent {
            return false;
        }
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Returns the progress of an attempt that ended with this refusal.
#[must_use]
pub const fn progress_of(refusal: &Refusal) -> Progress {
    match refusal.outcome {
        Outcome::NotRun => Progress::NotHandedOver,
        Outcome::Unknown => Progress::MayHaveRun,
    }
}
