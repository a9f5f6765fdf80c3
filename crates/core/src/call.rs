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

/// The requests in progress at the upstream, and the calls of each.
#[derive(Debug, Default)]
pub struct Register {
    runs: HashMap<Id, (Parent, Calls)>,
    last_call_at: Option<Instant>,
}

impl Register {
    /// Records that a request is handed over to the upstream.
    pub fn begin(&mut self, parent: Parent) {
        self.runs.insert(parent.id, (parent, Calls::default()));
    }

    /// Records the end of a run.
    pub fn end(&mut self, id: Id) {
        self.runs.remove(&id);
    }

    /// Returns the parent of a request that arrives with this stated deadline, and counts its call.
    pub fn record_call(&mut self, now: Instant, deadline: Instant) -> Option<Parent> {
        let matching = self.runs.values_mut().filter(|(parent, _)| {
            parent.deadline <= deadline + MAX_EARLY && deadline <= parent.deadline + MAX_LATE
        });
        let distance = |parent: &Parent| {
            let late = deadline.saturating_duration_since(parent.deadline);
            late.max(parent.deadline.saturating_duration_since(deadline))
        };
        let nearest = matching.min_by_key(|(parent, _)| (distance(parent), parent.id));
        let (parent, calls) = nearest?;
        calls.made += 1;
        self.last_call_at = Some(now);
        Some(parent.clone())
    }

    /// Records that a call of this run was refused.
    pub fn record_refusal(&mut self, id: Id) {
        if let Some((_, calls)) = self.runs.get_mut(&id) {
            calls.refused += 1;
        }
    }

    /// Returns the calls that a run has made so far.
    #[must_use]
    pub fn calls(&self, id: Id) -> Calls {
        self.runs
            .get(&id)
            .map_or(Calls::default(), |(_, calls)| *calls)
    }

    /// Returns whether a call was recognized within `period`.
    #[must_use]
    pub fn has_recent_call(&self, now: Instant, period: Duration) -> bool {
        let last = self.last_call_at;
        last.is_some_and(|last| now.saturating_duration_since(last) < period)
    }
}
