//! Load of one upstream, as counted by the node beside it or reported by the upstream.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Load counted by a node, which it attaches to every answer and refusal that it sends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Requests sent to the upstream and not yet finished.
    pub in_flight: u32,
    /// Requests waiting for a slot.
    pub queued: u32,
    /// Maximum number of concurrent requests in the upstream.
    pub limit: u32,
    /// Mean service time of a request in the upstream, in microseconds.
    pub service_micros: u32,
    /// Current service time on the upstream's host, in percent of the usual one; 0 if unknown.
    pub slowness_percent: u32,
    /// Time until another request may start, in microseconds, because of the limit that the
    /// upstream names; 0 if it may start at once.
    #[serde(default)]
    pub start_delay_micros: u32,
}

/// Extra time that one request takes on a host that is currently slow, either because it starts
/// now or because it waits for the end of the slow phase, whichever costs less.
///
/// Load pattern: other tenants of the same machine repeatedly slow a host down by a factor of
/// several, for a few hundred milliseconds. A request that starts in such a phase stays slow until
/// it finishes, even if the phase ends earlier. `phase` is how much longer the slow phase is
/// expected to last.
#[must_use]
pub fn slow_penalty(slowness_percent: u32, service: Duration, phase: Duration) -> Duration {
    extra_service_time(slowness_percent, service).min(phase)
}

/// Extra time that a request takes if it starts on a host that is currently slow.
#[must_use]
pub fn extra_service_time(slowness_percent: u32, service: Duration) -> Duration {
    service.mul_f64(f64::from(slowness_percent.saturating_sub(100)) / 100.0)
}

/// Error for text that isn't a report as written by [`fmt::Display`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("load report is malformed")]
pub struct Malformed;

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{},{},{},{},{},{}",
            self.in_flight,
            self.queued,
            self.limit,
            self.service_micros,
            self.slowness_percent,
            self.start_delay_micros
        )
    }
}

impl FromStr for Report {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let mut numbers = text.split(',').map(|number| number.parse().ok());
        let mut next = || numbers.next().flatten().ok_or(Malformed);
        Ok(Self {
            in_flight: next()?,
            queued: next()?,
            limit: next()?,
            service_micros: next()?,
            slowness_percent: next()?,
            // Absent from reports of nodes of the previous version.
            start_delay_micros: next().unwrap_or_default(),
        })
    }
}

/// Load as reported by the upstream itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Upstream {
    /// Requests that the upstream is processing.
    pub running: u32,
    /// Requests that are queued in the upstream.
    pub waiting: u32,
    /// Maximum number of requests that the upstream processes concurrently.
    pub slots: u32,
    /// Current service time on its host, in percent of the usual one; `None` if the upstream
    /// doesn't report it.
    pub slowness_percent: Option<u32>,
}
