//! A steady clock that also runs while the host is suspended.
//!
//! Failure: a host is suspended and resumes. Symptom: its monotonic clock has stood still, and it
//! uses tokens and counts delegations that have expired for all other nodes.

use std::sync::OnceLock;
use std::time::{Duration, Instant};

use crate::clock;

/// Returns the current time of the clock. Its instants are ahead of [`Instant::now`] by the time for
/// which the host was suspended since the first call.
#[must_use]
pub fn now() -> Instant {
    static FIRST: OnceLock<Duration> = OnceLock::new();
    let moment = clock::end();
    let first = FIRST.get_or_init(|| moment.suspended);
    moment.at + moment.suspended.saturating_sub(*first)
}

/// Returns the instant of [`Instant::now`] that corresponds to one of this clock.
#[must_use]
pub fn to_monotonic(at: Instant) -> Instant {
    Instant::now() + at.saturating_duration_since(now())
}
