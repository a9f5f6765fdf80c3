//! Rate limit for log lines about requests.
//!
//! Load pattern: when everything fails, every request has something to log, and logging it all
//! would use the CPU time that serving requests needs. Lines beyond the quota are dropped and
//! counted, and the count is reported with the next line that fits.

use std::time::{Duration, Instant};

const WINDOW: Duration = Duration::from_secs(1);

/// Log lines used and dropped in the current one-second window.
#[derive(Debug)]
pub struct Quota {
    per_second: u32,
    window_ends_at: Instant,
    used: u32,
    dropped: u64,
}

impl Quota {
    /// Creates an unused quota whose first window starts at `now`.
    #[must_use]
    pub fn new(per_second: u32, now: Instant) -> Self {
        Self {
            per_second,
            window_ends_at: now + WINDOW,
            used: 0,
            dropped: 0,
        }
    }

    /// Takes `lines` from the quota as a whole. Returns `None` if they don't fit, otherwise the
    /// number of lines dropped since the last call that succeeded.
    pub fn try_acquire(&mut self, now: Instant, lines: u32) -> Option<u64> {
        if now >= self.window_ends_at {
            self.window_ends_at = now + WINDOW;
            self.used = 0;
        }
        if self.used.saturating_add(lines) > self.per_second {
            self.dropped += u64::from(lines);
            return None;
        }
        self.used += lines;
        Some(std::mem::take(&mut self.dropped))
    }
}
