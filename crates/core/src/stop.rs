//! Whether a request can end before the process of a stopping node does.
//!
//! Failure: a node that has received a stop signal goes on serving its upstream for seconds, so that its
//! capacity is not lost, and ends at a fixed time. Symptom: it admits requests that may run for
//! longer than that and aborts them, although other hosts could have run them. From the signal on, a
//! request is therefore admitted only if it can end in time.

use std::time::{Duration, Instant};

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

    /// Returns when a request must have started to end before the process does; `None` if it may
    /// start at any time.
    ///
    /// A request with an earlier deadline ends in time by itself. A repeatable one with a later
    /// deadline must start `longest` before the end, which is how long requests of its route may
    /// run; an error there costs a retry. Any other may not start any more: its longest run is its
    /// deadline.
    #[must_use]
    pub fn latest_start(&self, request: &Request) -> Option<Instant> {
        let ends_at = self.ends_at.filter(|ends_at| request.deadline > *ends_at)?;
        let longest = request.longest.filter(|_| request.repeatable);
        let longest = longest.unwrap_or_else(|| request.deadline.duration_since(request.now));
        Some(ends_at.checked_sub(longest).unwrap_or(request.now))
    }

    /// Returns whether a request that starts now can end before the process does.
    #[must_use]
    pub fn may_start(&self, request: &Request) -> bool {
        let latest = self.latest_start(request);
        latest.is_none_or(|latest| request.now < latest)
    }
}

/// What the decision depends on.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Time of the decision.
    pub now: Instant,
    /// Deadline of the request.
    pub deadline: Instant,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// How long requests of its route may run, by the mean and the spread of their service times;
    /// `None` if too little is known of the route.
    pub longest: Option<Duration>,
}
