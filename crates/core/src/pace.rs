//! Tracks how fast the upstream's host is at this moment, relative to its own baseline.
//!
//! Load pattern: at any moment a quarter of the hosts is several times slower for a few hundred
//! milliseconds, and work that starts in such a slow phase stays slow to its end. What matters is
//! the speed relative to the host's own baseline: a host that is cold after a start, or has
//! permanent noisy neighbours, is slower than others, but waiting does not help. A slow phase that
//! lasts much longer than usual therefore becomes the new baseline.
//!
//! The upstream reports its host's pace as slowness: the time that work currently takes, in percent
//! of the usual time.

use std::time::{Duration, Instant};

use crate::configs::admission::Settings;
use crate::load::{extra_service_time, slow_penalty};

/// A slow phase that has lasted for more than this many expected phases counts as permanent. Where
/// each phase continues with a probability of a quarter, one in sixty lasts that long.
const MAX_SLOW_PHASES: u32 = 3;
/// A host is in a slow phase when work takes at least this many percent of its baseline.
const SLOW_THRESHOLD_PERCENT: u32 = 150;
/// Upper bound of the first baseline. An upstream that has just started takes up to twice the usual
/// time, so the first observation of a host becomes its baseline up to this value.
const MAX_COLD_PERCENT: u32 = 200;
/// Work on a host that is not known to be slow takes this many percent of its baseline.
const DEFAULT_PERCENT: u32 = 100;

/// Speed of the upstream's host, as reported by the upstream.
#[derive(Debug, Default)]
pub struct Pace {
    latest: Option<Observation>,
}

/// The last report of the upstream.
#[derive(Clone, Copy, Debug)]
struct Observation {
    /// Reported time that work takes, in percent of the usual time.
    reported_percent: u32,
    at: Instant,
    /// Slowness reported while the host is not in a slow phase.
    baseline_percent: u32,
    /// Start of the slow phase that the host is in, if any.
    slow_since: Option<Instant>,
}

impl Observation {
    /// Creates the observation that follows `previous`; a slow phase that outlasts `max_slow_phase`
    /// becomes the baseline.
    fn following(
        previous: Option<Self>,
        now: Instant,
        percent: u32,
        max_slow_phase: Duration,
    ) -> Self {
        let baseline_percent = previous.map_or(MAX_COLD_PERCENT, |last| last.baseline_percent);
        let observation = Self {
            reported_percent: percent,
            at: now,
            baseline_percent: baseline_percent.min(percent),
            slow_since: None,
        };
        if observation.relative_percent() < SLOW_THRESHOLD_PERCENT {
            return observation;
        }
        let slow_since = previous.and_then(|last| last.slow_since).unwrap_or(now);
        if now > slow_since + max_slow_phase {
            return Self {
                baseline_percent: percent,
                ..observation
            };
        }
        Self {
            slow_since: Some(slow_since),
            ..observation
        }
    }

    /// Returns the time that work takes, in percent of the baseline.
    fn relative_percent(&self) -> u32 {
        self.reported_percent.saturating_mul(100) / self.baseline_percent.max(1)
    }
}

impl Pace {
    /// Records the slowness in percent that the upstream reports; `None` if it does not report it.
    pub fn observe(&mut self, settings: &Settings, now: Instant, percent: Option<u32>) {
        let max_slow_phase = settings.slow_phase * MAX_SLOW_PHASES;
        self.latest = percent
            .map(|percent| Observation::following(self.latest, now, percent, max_slow_phase));
    }

    /// Whether the last report is recent enough to start work based on it.
    #[must_use]
    pub fn is_fresh(&self, settings: &Settings, now: Instant) -> bool {
        self.latest
            .is_some_and(|latest| now < latest.at + settings.pace_fresh)
    }

    /// Returns the reported slowness in percent; 0 if there is no unexpired report.
    #[must_use]
    pub fn reported_percent(&self, settings: &Settings, now: Instant) -> u32 {
        self.unexpired(settings, now)
            .map_or(0, |latest| latest.reported_percent)
    }

    /// Returns how long work takes, in percent of the host's baseline, if the host is in a slow
    /// phase.
    #[must_use]
    pub fn slow_percent(&self, settings: &Settings, now: Instant) -> Option<u32> {
        let latest = self.unexpired(settings, now)?;
        latest.slow_since.map(|_| latest.relative_percent())
    }

    /// Returns how long work takes that starts now, in percent of the host's baseline.
    #[must_use]
    pub fn relative_percent(&self, settings: &Settings, now: Instant) -> u32 {
        self.slow_percent(settings, now).unwrap_or(DEFAULT_PERCENT)
    }

    /// Returns when the report of a slow phase expires, if the last report is one.
    #[must_use]
    pub fn slow_report_expires_at(&self, settings: &Settings) -> Option<Instant> {
        let latest = self.latest.filter(|latest| latest.slow_since.is_some())?;
        Some(latest.at + settings.slow_phase)
    }

    /// Returns a predicate on the time that work needs: true if the work should start now, false if
    /// waiting for the end of the slow phase costs less.
    pub fn start_policy(
        &self,
        settings: &Settings,
        now: Instant,
    ) -> impl Fn(Duration) -> bool + use<> {
        let percent = self.relative_percent(settings, now);
        let phase = settings.slow_phase;
        move |needed| extra_service_time(percent, needed) <= phase
    }

    /// Returns the extra time of work that needs the given time and starts now, or waits for the
    /// end of the slow phase if that costs less.
    #[must_use]
    pub fn penalty(&self, settings: &Settings, now: Instant, needed: Duration) -> Duration {
        slow_penalty(
            self.relative_percent(settings, now),
            needed,
            settings.slow_phase,
        )
    }

    /// Returns the last report unless it is older than a slow phase, as one may have begun or ended
    /// since.
    fn unexpired(&self, settings: &Settings, now: Instant) -> Option<Observation> {
        self.latest
            .filter(|latest| now < latest.at + settings.slow_phase)
    }
}
