//! How much of a response body is passed on after the deadline of its request.
//!
//! Load pattern: an upstream sends a body without end, fast or in trickles. Its caller's connection and
//! its slot stay in use long after the deadline. A sound upstream stops work at the deadline, so what
//! is left of its response then is complete: it arrives as fast as it is taken, and it ends. The rest
//! of a body therefore goes on only while the upstream delivers it at a rate that needs no further
//! work, and only up to a size, unless its length is known. Time in which the caller takes nothing
//! does not count.

use std::time::{Duration, Instant};

/// Rate below which a body does not arrive as if it were complete, in bytes per second. Two hosts
/// deliver many times this.
const MIN_BYTES_PER_SECOND: f64 = 1024.0 * 1024.0;

/// Why the rest of a body is not passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Excess {
    /// The upstream keeps its caller waiting.
    #[error("the rest of the response does not arrive after the deadline")]
    Wait,
    /// The body has no length and does not end.
    #[error("the response has no length and does not end after the deadline")]
    Size,
}

/// What a body is allowed after the deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Time for which the body may be waited for in all, besides what its bytes need at a low rate.
    pub wait: Duration,
    /// Bytes that a body of unknown length may have left.
    pub bytes: u64,
}

/// What one body has used after the deadline.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    deadline: Instant,
    /// Whether the length of the body is known.
    has_length: bool,
    limits: Limits,
    waited: Duration,
    bytes: u64,
}

impl Allowance {
    /// Creates the allowance of a body whose request has this deadline.
    #[must_use]
    pub const fn new(deadline: Instant, has_length: bool, limits: Limits) -> Self {
        Self {
            deadline,
            has_length,
            limits,
            waited: Duration::ZERO,
            bytes: 0,
        }
    }

    /// Returns until when the next part of the body may be waited for, if the wait began at `since`.
    #[must_use]
    pub fn wait_until(&self, since: Instant) -> Instant {
        since.max(self.deadline) + self.allowed_wait().saturating_sub(self.waited)
    }

    /// Records a part that is there at `now`, after a wait since `since` if it was waited for. A part
    /// that is found only after [`Self::wait_until`] was there before this process looked, as after a
    /// pause, so its wait does not count.
    ///
    /// # Errors
    /// If the part must not be passed on.
    pub fn record(
        &mut self,
        now: Instant,
        since: Option<Instant>,
        bytes: usize,
    ) -> Result<(), Excess> {
        if now <= self.deadline {
            return Ok(());
        }
        if let Some(since) = since.filter(|since| now <= self.wait_until(*since)) {
            self.waited += now.saturating_duration_since(since.max(self.deadline));
        }
        self.bytes += u64::try_from(bytes).unwrap_or(u64::MAX);
        if !self.has_length && self.bytes > self.limits.bytes {
            return Err(Excess::Size);
        }
        Ok(())
    }

    #[allow(clippy::cast_precision_loss)]
    fn allowed_wait(&self) -> Duration {
        let for_bytes = Duration::from_secs_f64(self.bytes as f64 / MIN_BYTES_PER_SECOND);
        self.limits.wait + for_bytes
    }
}
