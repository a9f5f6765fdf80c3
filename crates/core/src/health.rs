//! Decides whether the upstream beside this node is healthy enough to receive requests.

use std::time::{Duration, Instant};

use crate::configs::health::Settings;

/// Result of one request or probe, as far as it matters for the upstream's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The upstream answered, however long it took.
    Answered,
    /// The upstream refused or broke the connection, failed immediately, or did not answer.
    Failed,
}

/// Health of the upstream, which becomes doubtful after consecutive failures.
#[derive(Debug)]
pub struct Health {
    settings: Settings,
    state: State,
}

#[derive(Debug)]
enum State {
    Ready { failures: u32 },
    Doubtful { probe_at: Instant },
    Probing,
}

impl Health {
    /// Creates the health of an upstream that is assumed to be ready.
    #[must_use]
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            state: State::Ready { failures: 0 },
        }
    }

    /// Resets the health after a restart of the upstream: failures of the previous process say
    /// nothing about the new one.
    pub const fn reset_after_restart(&mut self) {
        self.state = State::Ready { failures: 0 };
    }

    /// Records the result of a request.
    ///
    /// Failure: an upstream that fails fast looks idle. Symptom: it attracts most of the traffic
    /// and fails it. After a few consecutive failures no requests are sent to the upstream, only
    /// probes within their budget.
    pub fn record(&mut self, now: Instant, verdict: Verdict) {
        match (&mut self.state, verdict) {
            (State::Ready { failures }, Verdict::Answered) => *failures = 0,
            (State::Ready { failures }, Verdict::Failed) => {
                *failures += 1;
                if *failures >= self.settings.failures_until_doubtful {
                    self.state = State::Doubtful { probe_at: now };
                }
            }
            (State::Doubtful { .. } | State::Probing, _) => {}
        }
    }

    /// Judges a refusal by the upstream that arrived after `took`; returns `None` if it says
    /// nothing about the upstream's health.
    ///
    /// Failure: one client account sends requests that the application itself refuses. Symptom: the
    /// upstream becomes doubtful for all callers. Only a refusal that is faster than real work
    /// could be indicates a fault of the upstream rather than of the request.
    #[must_use]
    pub fn judge_refusal(&self, took: Duration, mean: Duration) -> Option<Verdict> {
        let is_fast = took < mean.mul_f64(self.settings.fast_failure);
        is_fast.then_some(Verdict::Failed)
    }

    /// Judges a request that got no answer within `waited`; returns `None` if that says nothing
    /// about the upstream's health.
    ///
    /// Failure: one client account sends requests with very short timeouts. Symptom: the upstream
    /// becomes doubtful for all callers. Only a wait that is long compared with the mean time
    /// indicates a fault of the upstream.
    #[must_use]
    pub fn judge_timeout(&self, waited: Duration, mean: Duration) -> Option<Verdict> {
        let is_overdue = waited >= mean.mul_f64(self.settings.patience);
        is_overdue.then_some(Verdict::Failed)
    }

    /// Whether requests may be sent to the upstream.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        matches!(self.state, State::Ready { .. })
    }

    /// Returns when the next probe is due, if any.
    #[must_use]
    pub const fn probe_at(&self) -> Option<Instant> {
        match self.state {
            State::Doubtful { probe_at } => Some(probe_at),
            State::Ready { .. } | State::Probing => None,
        }
    }

    /// Records that a probe is being sent.
    pub fn record_probe_sent(&mut self) {
        self.state = State::Probing;
    }

    /// Postpones the next probe until `at`, unless the upstream is ready.
    pub fn postpone_probe(&mut self, at: Instant) {
        if !self.is_ready() {
            self.state = State::Doubtful { probe_at: at };
        }
    }

    /// Records the result of a probe.
    pub fn record_probe_result(&mut self, now: Instant, verdict: Verdict) {
        self.state = match verdict {
            Verdict::Answered => State::Ready { failures: 0 },
            Verdict::Failed => State::Doubtful {
                probe_at: now + self.settings.probe_again_after,
            },
        };
    }
}
