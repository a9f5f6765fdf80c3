//! Exponentially weighted moving average of durations.

use std::time::Duration;

/// Moving average of durations, in which every sample has the same weight when it is added.
#[derive(Clone, Copy, Debug)]
pub struct Ewma {
    seconds: f64,
    weight: f64,
}

impl Ewma {
    /// Creates an average of `initial_seconds`; `weight` in 0..=1 is the weight of one sample.
    #[must_use]
    pub const fn new(initial_seconds: f64, weight: f64) -> Self {
        Self {
            seconds: initial_seconds,
            weight,
        }
    }

    /// Adds one sample.
    pub fn add(&mut self, sample: Duration) {
        self.seconds += (sample.as_secs_f64() - self.seconds) * self.weight;
    }

    /// Returns the average, in seconds.
    #[must_use]
    pub const fn seconds(&self) -> f64 {
        self.seconds
    }

    /// Returns the average as a duration.
    #[must_use]
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.seconds.max(0.0))
    }
}
