//! An exponentially weighted moving average of durations.

use std::time::Duration;

/// Mean of recent durations; each sample moves it by a fixed share.
#[derive(Clone, Copy, Debug)]
pub struct Ewma {
    seconds: f64,
    share: f64,
}

impl Ewma {
    /// Starts at `initial`; `share` in 0..=1 is the weight of one sample.
    #[must_use]
    pub const fn new(initial_seconds: f64, share: f64) -> Self {
        Self {
            seconds: initial_seconds,
            share,
        }
    }

    /// Takes one sample in.
    pub fn add(&mut self, sample: Duration) {
        self.seconds += (sample.as_secs_f64() - self.seconds) * self.share;
    }

    /// The mean, in seconds.
    #[must_use]
    pub const fn seconds(&self) -> f64 {
        self.seconds
    }

    /// The mean, as a duration.
    #[must_use]
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.seconds.max(0.0))
    }
}
