//! Moments on a clock that also counts while the host is suspended.
//!
//! The time that the host has been suspended is the difference between two clocks of the system,
//! which cannot be read at once. A delay between the two readings must never make an age smaller,
//! so there is a reading for the beginning of an age and one for its end.

use std::time::{Duration, Instant};

use mintridge_core::account::currency::Moment;
use rustix::time::{ClockId, clock_gettime};

/// Returns the current moment, or one shortly before it, from which an age is counted.
#[must_use]
pub fn start() -> Moment {
    let at = Instant::now();
    let boot = read(ClockId::Boottime);
    let steady = read(ClockId::Monotonic);
    Moment {
        at,
        suspended: boot.saturating_sub(steady),
    }
}

/// Returns the current moment, or one shortly after it, up to which an age is counted.
#[must_use]
pub fn end() -> Moment {
    end_at(Instant::now())
}

/// Returns the moment of an instant that has passed, up to which an age is counted. If the host has
/// been suspended since, the moment is that much later.
#[must_use]
pub fn end_at(at: Instant) -> Moment {
    let steady = read(ClockId::Monotonic);
    let boot = read(ClockId::Boottime);
    Moment {
        at,
        suspended: boot.saturating_sub(steady),
    }
}

fn read(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanoseconds)
}
