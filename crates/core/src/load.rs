//! The load of one upstream, counted by the node beside it.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Counted load, carried on every answer and refusal of the node that counted it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Requests handed to the upstream and not yet answered.
    pub in_flight: u32,
    /// Requests waiting for a slot.
    pub queued: u32,
    /// Requests the upstream may have at once.
    pub limit: u32,
    /// Mean time of a request in the upstream, in microseconds.
    pub service_micros: u32,
    /// How long work takes on the upstream's host at this moment, in percent of the usual;
    /// 0 if it is not known.
    pub slowness_percent: u32,
}

/// Extra time that one request takes on a host that is slow at this moment.
///
/// Load pattern: neighbours on the same machine slow a host down several times, for a few
/// hundred milliseconds, again and again. Work that begins in such a phase is slow to its end,
/// whenever the phase ends; or it waits for the end of the phase. `phase` is how long a slow
/// phase is expected to go on.
#[must_use]
pub fn slow_penalty(slowness_percent: u32, service: Duration, phase: Duration) -> Duration {
    slow_loss(slowness_percent, service).min(phase)
}

/// Extra time that work takes if it begins on a host that is slow at this moment.
#[must_use]
pub fn slow_loss(slowness_percent: u32, service: Duration) -> Duration {
    service.mul_f64(f64::from(slowness_percent.saturating_sub(100)) / 100.0)
}

/// A report does not have the form written by [`fmt::Display`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a load report")]
pub struct Malformed;

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{},{},{},{},{}",
            self.in_flight, self.queued, self.limit, self.service_micros, self.slowness_percent
        )
    }
}

impl FromStr for Report {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let mut figures = text.split(',').map(|figure| figure.parse().ok());
        let mut next = || figures.next().flatten().ok_or(Malformed);
        Ok(Self {
            in_flight: next()?,
            queued: next()?,
            limit: next()?,
            service_micros: next()?,
            slowness_percent: next()?,
        })
    }
}

/// Load as the upstream itself tells it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Upstream {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait in it.
    pub waiting: u32,
    /// Requests it works on at most.
    pub slots: u32,
    /// How long work takes on its host at this moment, in percent of the usual; `None` if
    /// it does not tell.
    pub slowness_percent: Option<u32>,
}
