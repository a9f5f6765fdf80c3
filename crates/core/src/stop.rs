//! How much time a stopping node leaves to requests.
//!
//! Failure: a node that has received a stop signal goes on serving its upstream for seconds, so that its
//! capacity is not lost, and ends at a fixed time. Symptom: it admits requests that may run for
//! longer than that and aborts them, although other hosts could have run them. From the signal on, a
//! request is therefore admitted only if its deadline is not later than the end of the process.
//!
//! The usual service time of the route is no substitute for the deadline. A request that runs for
//! longer than usual is aborted after it has used up the time that a retry would need.
//!
//! Failure: a node ends long before the platform kills it, or is killed before its own end. Symptom:
//! requests in progress are aborted that would have ended in time, or end without an answer. All
//! times of a [`Plan`] therefore follow from when the process is killed.

use std::time::{Duration, Instant};

use crate::configs::stop::Settings;

/// Longest time between the end of the last connections and the kill, in which the process exits.
const MAX_EXIT_TIME: Duration = Duration::from_millis(500);
/// The time until the kill divided by this is the exit time where that is shorter.
const EXIT_DIVISOR: u32 = 12;
/// Longest time before the end in which the last answers are delivered to callers.
const MAX_DELIVERY_TIME: Duration = Duration::from_millis(200);
/// The time until the kill divided by this is the delivery time where that is shorter.
const DELIVERY_DIVISOR: u32 = 24;
/// Largest share of the time until the kill in which new requests are taken. The rest is left for
/// them to end.
const MAX_LINGER_SHARE: f64 = 0.4;

/// Times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// When the listener for callers closes.
    pub closes_at: Instant,
    /// When requests in progress are answered with what is known of them.
    pub last_answer_at: Instant,
    /// When the process ends with whatever is still in progress.
    pub ends_at: Instant,
}

impl Plan {
    /// Plans a stop that is requested at `now`.
    #[must_use]
    pub fn new(now: Instant, settings: &Settings) -> Self {
        let Some(killed_after) = settings.killed_after else {
            let delivery_time = MAX_DELIVERY_TIME.min(settings.stop_within);
            return Self {
                closes_at: now + settings.linger.min(settings.stop_within),
                last_answer_at: now + settings.stop_within.saturating_sub(delivery_time),
                ends_at: now + settings.stop_within,
            };
        };
        let exit_time = MAX_EXIT_TIME.min(killed_after / EXIT_DIVISOR);
        let delivery_time = MAX_DELIVERY_TIME.min(killed_after / DELIVERY_DIVISOR);
        let ends_after = killed_after.saturating_sub(exit_time);
        Self {
            closes_at: now + settings.linger.min(killed_after.mul_f64(MAX_LINGER_SHARE)),
            last_answer_at: now + ends_after.saturating_sub(delivery_time),
            ends_at: now + ends_after,
        }
    }

    /// Returns the plan of a stop that aborts all requests at once.
    #[must_use]
    pub const fn immediate(now: Instant) -> Self {
        Self {
            closes_at: now,
            last_answer_at: now,
            ends_at: now,
        }
    }
}

/// The plan of a node's stop, once one is requested.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stop {
    plan: Option<Plan>,
}

impl From<Plan> for Stop {
    fn from(plan: Plan) -> Self {
        Self { plan: Some(plan) }
    }
}

impl Stop {
    /// Returns whether the node is stopping.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.plan.is_some()
    }

    /// Returns when requests in progress are answered, if the node is stopping.
    #[must_use]
    pub fn last_answer_at(&self) -> Option<Instant> {
        self.plan.map(|plan| plan.last_answer_at)
    }

    /// Returns whether a request with this deadline ends before the process does, however long it
    /// runs.
    #[must_use]
    pub fn can_end(&self, deadline: Instant) -> bool {
        self.plan.is_none_or(|plan| deadline <= plan.ends_at)
    }

    /// Returns the deadline of a request that this node forwards for a caller: that of the caller,
    /// or an earlier one, so that the answer is delivered before the process ends.
    ///
    /// Failure: a stopping entry forwards a request with more time than it has left itself. Symptom:
    /// the upstream works on after the caller's connection has closed without an answer.
    #[must_use]
    pub fn forwarding_deadline(&self, deadline: Instant) -> Instant {
        let last_answer_at = self.last_answer_at();
        last_answer_at.map_or(deadline, |last_answer_at| deadline.min(last_answer_at))
    }
}
