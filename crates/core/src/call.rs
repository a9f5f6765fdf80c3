//! Which request in progress at the upstream an arriving request is a call of.
//!
//! Failure: a request's run makes calls to other services, and one of them is refused. Symptom: the
//! run fails and its work is wasted, although the call arrived like any other. An upstream sends its
//! calls to the entry of its own node and states in the timeout header what is left of the time of
//! the request that it runs. A request whose stated deadline equals that of a run is therefore taken
//! for its call; with several such runs, the nearest counts. Other callers' deadlines match by
//! chance only.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::request::Id;

/// How much earlier than its parent's deadline a call's may be. The time left is stated in whole
/// milliseconds, once to the upstream and once by it, so it loses up to two.
const MAX_EARLY: Duration = Duration::from_millis(3);
/// How much later than its parent's deadline a call's may be. The time for which both requests were
/// on their way is added to the deadline, and a longer tolerance matches callers' requests that
/// arrive right after the parent with the same timeout.
const MAX_LATE: Duration = Duration::from_millis(5);

/// A request in progress that may make calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parent {
    /// Identifier of the request at this node.
    pub id: Id,
    /// Its deadline.
    pub deadline: Instant,
    /// Its rank; 0 is the most urgent.
    pub rank: u8,
    /// Its route.
    pub route: Arc<str>,
}

/// Calls that a run has made so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Calls {
    /// Number of calls that were recognized.
    pub made: u32,
    /// Number of those that were refused.
    pub refused: u32,
}

/// A request in progress, and its calls.
#[derive(Debug)]
struct Run {
    parent: Parent,
    begun_at: Instant,
    calls: Calls,
}

impl Run {
    /// Returns whether a request that arrives now with this deadline may be a call of this run.
    ///
    /// Failure: a caller's request arrives within [`MAX_LATE`] of another one with the same timeout.
    /// Symptom: it is taken for a call of that one, also where upstreams make no calls. The first
    /// call of a run is therefore expected later than that.
    fn may_have_made(&self, now: Instant, deadline: Instant) -> bool {
        now > self.begun_at + MAX_LATE
            && self.parent.deadline <= deadline + MAX_EARLY
            && deadline <= self.parent.deadline + MAX_LATE
    }

    /// Difference between this deadline and that of the parent.
    fn distance(&self, deadline: Instant) -> Duration {
        let late = deadline.saturating_duration_since(self.parent.deadline);
        late.max(self.parent.deadline.saturating_duration_since(deadline))
    }
}

/// The requests in progress at the upstream, and the calls of each.
#[derive(Debug, Default)]
pub struct Register {
    runs: HashMap<Id, Run>,
    last_call_at: Option<Instant>,
}

impl Register {
    /// Records that a request is handed over to the upstream.
    pub fn begin(&mut self, now: Instant, parent: Parent) {
        let run = Run {
            begun_at: now,
            calls: Calls::default(),
            parent,
        };
        self.runs.insert(run.parent.id, run);
    }

    /// Records the end of a run.
    pub fn end(&mut self, id: Id) {
        self.runs.remove(&id);
    }

    /// Returns the parent of a request that arrives with this stated deadline, and counts its call.
    pub fn record_call(&mut self, now: Instant, deadline: Instant) -> Option<Parent> {
        let runs = self.runs.values_mut();
        let matching = runs.filter(|run| run.may_have_made(now, deadline));
        let run = matching.min_by_key(|run| (run.distance(deadline), run.parent.id))?;
        run.calls.made += 1;
        self.last_call_at = Some(now);
        Some(run.parent.clone())
    }

    /// Records that a call of this run was refused.
    pub fn record_refusal(&mut self, id: Id) {
        if let Some(run) = self.runs.get_mut(&id) {
            run.calls.refused += 1;
        }
    }

    /// Returns the calls that a run has made so far.
    #[must_use]
    pub fn calls(&self, id: Id) -> Calls {
        self.runs.get(&id).map_or(Calls::default(), |run| run.calls)
    }

    /// Returns whether a call was recognized within `period`.
    #[must_use]
    pub fn has_recent_call(&self, now: Instant, period: Duration) -> bool {
        let last = self.last_call_at;
        last.is_some_and(|last| now.saturating_duration_since(last) < period)
    }
}
