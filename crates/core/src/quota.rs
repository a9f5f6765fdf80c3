//! How many lines about requests may be logged in a second.
//!
//! Load pattern: when everything fails, every request has something to tell, and telling it
//! all would take the processor time that serving needs. What goes beyond the quota is
//! counted, and the count is told with the next line.

use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

/// Lines of one second.
#[derive(Debug)]
pub struct Quota {
    per_second: u32,
    ends_at: Instant,
    used: u32,
    dropped: u64,
}

impl Quota {
    /// A full quota.
    #[must_use]
    pub fn new(per_second: u32, now: Instant) -> Self {
        Self {
            per_second,
            ends_at: now + SECOND,
            used: 0,
            dropped: 0,
        }
    }

    /// Asks for some lines at once; `None` if they do not fit, else how many were dropped
    /// since the last that did.
    pub fn take(&mut self, now: Instant, lines: u32) -> Option<u64> {
        if now >= self.ends_at {
            self.ends_at = now + SECOND;
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
