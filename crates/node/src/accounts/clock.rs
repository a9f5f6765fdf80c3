//! A steady clock that also runs while the host is suspended.
//!
//! Failure: a host is suspended and resumes. Symptom: its monotonic clock has stood still, and it
//! uses tokens and counts delegations that have expired for all other nodes.

use std::sync::OnceLock;
use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};

/// Returns the current time of the clock. Its instants are ahead of [`Instant::now`] by the time for
/// which the host was suspended since the first call.
#[must_use]
pub fn now() -> Instant {
    static FIRST: OnceLock<Duration> = OnceLock::new();
    let suspended = suspended();
    let first = FIRST.get_or_init(|| suspended);
    Instant::now() + suspended.saturating_sub(*first)
}

/// Returns the instant of [`Instant::now`] that corresponds to one of this clock.
#[must_use]
pub fn to_monotonic(at: Instant) -> Instant {
    Instant::now() + at.saturating_duration_since(now())
}

/// Returns the time for which the host was suspended since it started. The clocks are read one after
/// the other, so that it may come out some microseconds too small.
fn suspended() -> Duration {
    let boot = since_start(ClockId::Boottime);
    let monotonic = since_start(ClockId::Monotonic);
    boot.saturating_sub(monotonic)
}

fn since_start(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
