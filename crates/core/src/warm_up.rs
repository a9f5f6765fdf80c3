//! Limits the rate at which requests start in a cold upstream.
//!
//! Load pattern: an upstream that has just started, or has lost its caches while running, sustains
//! only a fraction of its usual rate for a few seconds and crashes above it. After the restart it
//! is cold again, so a fleet that loses power and receives the usual rate never recovers. Weights
//! and concurrency limits do not help: the rate follows the total load, and cold work that fails
//! ends early and frees its slot.
//!
//! Starts are therefore counted over a sliding window of one second. A warm upstream may turn cold
//! at any moment and reports that only in its answer to a check, a probe that asks for it. Until it
//! confirms that it is warm, requests started since the last confirmation are bounded as well; the
//! next check is sent long before that bound is reached.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::configs::warm_up::Settings;

/// Window over which starts are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// The upstream is checked again after the starts allowed per second divided by this.
const CHECK_DIVISOR: u32 = 4;
/// Divisor of the starts allowed per second right after this process began: the starts of its
/// predecessor, which may have ended within the same second, are not known.
const STARTUP_DIVISOR: u32 = 3;

/// Recent starts in one upstream, and whether it is cold. By default there is no bound.
#[derive(Debug, Default)]
pub struct WarmUp {
    settings: Settings,
    /// Requests per second that a cold upstream sustains; `None` if there is no bound.
    rate: Option<f64>,
    /// Starts by the previous process may be within the window until this moment.
    previous_starts_until: Option<Instant>,
    cold_until: Option<Instant>,
    /// When the upstream was last confirmed to be warm, unless that has been invalidated.
    warm_at: Option<Instant>,
    /// When the newest check that was answered was sent.
    checked_at: Option<Instant>,
    /// Starts within the window.
    starts: VecDeque<Instant>,
    /// Starts since the newest check that was answered.
    starts_since_check: usize,
}

impl WarmUp {
    /// Creates the state for an upstream of unknown state, in a process that starts now.
    #[must_use]
    pub fn new(settings: Settings, now: Instant) -> Self {
        Self {
            rate: settings.requests_per_second,
            settings,
            previous_starts_until: Some(now + WINDOW),
            ..Self::default()
        }
    }

    /// Sets the rate that a cold upstream sustains, in requests per second; `None` selects the one
    /// from the settings.
    pub fn set_rate(&mut self, rate: Option<f64>) {
        self.rate = rate.or(self.settings.requests_per_second);
    }

    /// Records the answer to a check sent at `asked_at`: how much longer the upstream stays cold.
    pub fn record_check(&mut self, asked_at: Instant, now: Instant, cold_for: Duration) {
        if self.checked_at.is_some_and(|newest| asked_at < newest) {
            return;
        }
        self.checked_at = Some(asked_at);
        self.starts_since_check =
            self.starts.len() - self.starts.partition_point(|at| *at <= asked_at);
        if cold_for.is_zero() {
            self.cold_until = None;
            self.warm_at = Some(asked_at);
        } else {
            self.cold_until = Some(now + cold_for);
            self.warm_at = None;
        }
    }

    /// Records an announcement of the upstream: how much longer it stays cold. An announcement may
    /// be seconds old, so it never proves that the upstream is warm.
    pub fn record_announcement(&mut self, now: Instant, cold_for: Duration) {
        if !cold_for.is_zero() {
            let until = now + cold_for;
            self.cold_until = self.cold_until.max(Some(until));
            self.warm_at = None;
        }
    }

    /// Resets the state after a restart of the upstream; starts in the previous instance do not
    /// count.
    pub fn reset_after_restart(&mut self) {
        self.cold_until = None;
        self.warm_at = None;
        self.starts.clear();
        self.starts_since_check = 0;
    }

    /// Records that a request starts in the upstream.
    pub fn record_start(&mut self, now: Instant) {
        if self.rate.is_none() {
            return;
        }
        while self.starts.front().is_some_and(|at| now >= *at + WINDOW) {
            self.starts.pop_front();
        }
        self.starts.push_back(now);
        self.starts_since_check += 1;
    }

    /// Whether the upstream is known to be cold.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        self.rate.is_some() && self.cold_until.is_some_and(|until| now < until)
    }

    /// Whether a check must be sent, which asks the upstream how much longer it stays cold.
    #[must_use]
    pub fn is_check_due(&self, now: Instant) -> bool {
        if self.rate.is_none() {
            return false;
        }
        let unknown = self.warm_at.is_none() && !self.is_cold(now);
        let check_after = usize::try_from(self.max_starts() / CHECK_DIVISOR).unwrap_or(usize::MAX);
        unknown || self.starts_since_check >= check_after.max(1)
    }

    /// Returns when the next request may start; `None` if it may start at once.
    #[must_use]
    pub fn next_start(&self, now: Instant) -> Option<Instant> {
        self.rate?;
        let counted_since = self.counted_since(now);
        let uncounted = self.starts.partition_point(|at| *at <= counted_since);
        let max_starts = usize::try_from(self.max_starts_at(now)).unwrap_or(usize::MAX);
        let excess = (self.starts.len() - uncounted).checked_sub(max_starts)?;
        self.starts.get(uncounted + excess).map(|at| *at + WINDOW)
    }

    /// Invalidates the last confirmation that the upstream is warm: a check becomes due, and until
    /// it is answered starts are bounded as if the upstream were cold.
    pub fn invalidate(&mut self) {
        self.warm_at = None;
    }

    /// Returns the requests per second that the upstream sustains, if it is known to be cold.
    #[must_use]
    pub fn rate(&self, now: Instant) -> Option<f64> {
        self.is_cold(now).then(|| f64::from(self.max_starts()))
    }

    /// Returns the moment up to which starts do not count: they are over a second old, or were
    /// followed by a confirmation that the upstream was warm.
    fn counted_since(&self, now: Instant) -> Instant {
        let window = now.checked_sub(WINDOW).unwrap_or(now);
        self.warm_at.map_or(window, |warm_at| warm_at.max(window))
    }

    /// Returns the maximum number of starts in any second.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn max_starts(&self) -> u32 {
        let rate = self.rate.unwrap_or(f64::INFINITY) * self.settings.rate_factor;
        (rate as u32).max(1)
    }

    /// Returns the maximum number of starts in the second before `now`.
    fn max_starts_at(&self, now: Instant) -> u32 {
        let unknown = self.previous_starts_until.is_some_and(|until| now < until);
        if unknown && self.warm_at.is_none() {
            (self.max_starts() / STARTUP_DIVISOR).max(1)
        } else {
            self.max_starts()
        }
    }
}
