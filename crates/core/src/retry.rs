//! Whether a request may be tried again, without multiplying load.

use std::time::Instant;

use crate::configs::retry::Settings;
use crate::outcome::{Outcome, Refusal};

/// How far an attempt got, as its entry node knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// No byte of the request left this node.
    NeverSent,
    /// The node beside the upstream said that it was not handed over.
    RefusedBefore,
    /// It was sent, and nothing certain is known.
    MayHaveRun,
}

/// Share of answered traffic that may be spent on second attempts.
///
/// Failure: all upstreams refuse at once. Symptom: each level of calls multiplies the
/// load by its attempts, to the power of the depth. Only answers earn tokens, so under
/// total refusal second attempts end after the burst, and the factor goes to one.
#[derive(Debug)]
pub struct Budget {
    settings: Settings,
    share: f64,
    tokens: f64,
}

impl Budget {
    /// Starts with a full burst; `share` is retries per answered request.
    #[must_use]
    pub const fn new(settings: Settings, share: f64) -> Self {
        Self {
            tokens: settings.burst,
            settings,
            share,
        }
    }

    /// Takes other settings.
    pub fn set_settings(&mut self, settings: Settings) {
        self.tokens = self.tokens.min(settings.burst);
        self.settings = settings;
    }

    /// Takes the share that the preset in force grants.
    pub const fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// A request got the upstream's answer.
    pub const fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.settings.burst);
    }

    /// Whether a further attempt may be made; takes its token if so.
    ///
    /// `attempts` counts those already made. An unrepeatable request is tried again
    /// only when it certainly did not run.
    pub fn may_retry(
        &mut self,
        now: Instant,
        deadline: Instant,
        attempts: u32,
        progress: Progress,
        repeatable: bool,
    ) -> bool {
        if attempts >= self.settings.attempts || now >= deadline {
            return false;
        }
        if progress == Progress::MayHaveRun && !repeatable {
            return false;
        }
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// The progress that a refusal stands for.
#[must_use]
pub const fn progress_of(refusal: &Refusal) -> Progress {
    match refusal.outcome {
        Outcome::NotRun => Progress::RefusedBefore,
        Outcome::Unknown => Progress::MayHaveRun,
    }
}
