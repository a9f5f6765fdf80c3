//! How much time a stopping node leaves to requests.
//!
//! Failure: a node that has received a stop signal goes on serving its upstream for seconds, so that its
//! capacity is not lost, and ends at a fixed time. Symptom: it admits requests that may run for
//! longer than that and aborts them, although other hosts could have run them. From the signal on, a
//! request is therefore admitted only if its deadline is not later than the end of the process.
//!
//! The usual service time of the route is no substitute for the deadline. A request that runs for
//! longer than usual is aborted after it has used up the time that a retry would need.

use std::time::{Duration, Instant};

/// Time before the end of the process in which the last answers are delivered to callers.
const DELIVERY_TIME: Duration = Duration::from_millis(200);

/// Time at which the process ends, once it is known.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stop {
    ends_at: Option<Instant>,
}

impl Stop {
    /// Creates the state of a node that ends at `ends_at`.
    #[must_use]
    pub const fn at(ends_at: Instant) -> Self {
        Self {
            ends_at: Some(ends_at),
        }
    }

    /// Returns whether the node is stopping.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.ends_at.is_some()
    }

    /// Returns whether a request with this deadline ends before the process does, however long it
    /// runs.
    #[must_use]
    pub fn can_end(&self, deadline: Instant) -> bool {
        self.ends_at.is_none_or(|ends_at| deadline <= ends_at)
    }

    /// Returns the deadline of a request that this node forwards for a caller: that of the caller,
    /// or an earlier one, so that the answer is delivered before the process ends.
    ///
    /// Failure: a stopping entry forwards a request with more time than it has left itself. Symptom:
    /// the upstream works on after the caller's connection has closed without an answer.
    #[must_use]
    pub fn forwarding_deadline(&self, deadline: Instant) -> Instant {
        let last_answer_at = |ends_at: Instant| ends_at.checked_sub(DELIVERY_TIME);
        let last_answer_at = self.ends_at.and_then(last_answer_at);
        last_answer_at.map_or(deadline, |last_answer_at| deadline.min(last_answer_at))
    }
}
