//! Whether a request is admitted whose run needs calls that are refused at present.
//!
//! Load pattern: the service that a route's runs call sheds more than half of its requests. Each run
//! that loses a call ends with the upstream's own 500: its work is wasted, and so are its calls that
//! were served. The node beside the upstream is the entry of these calls, so it sees both. While
//! most runs of a route fail in that way, only the share of its requests is admitted that runs were
//! completed of recently, and at least a few, which probe whether the service has recovered. With
//! fewer runs there are fewer calls, and more of them are served. Requests that would have made no
//! call are refused as well, as nothing tells them apart before they run.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time for which a run counts. The estimate recovers within it.
const WINDOW: Duration = Duration::from_secs(1);
/// Runs in the window below which nothing is refused: fewer do not show that most of them fail.
const MIN_RUNS: usize = 8;
/// Requests admitted in a window whatever happened to the runs before.
const PROBES: usize = 3;
/// Maximum number of routes that are tracked; requests of others are admitted.
const MAX_ROUTES: usize = 64;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The upstream completed it.
    Completed,
    /// The upstream answered with an error of its own after calls of the run were refused.
    CallsFailed,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is admitted.
    Admit,
    /// The request is refused, as its run would probably fail.
    Refuse {
        /// When a retry makes sense.
        retry_at: Instant,
    },
}

/// Recent runs of one route.
#[derive(Debug, Default)]
struct Route {
    ended: VecDeque<(Instant, Ending)>,
    /// Requests admitted in the window, oldest first.
    admitted: VecDeque<Instant>,
    /// Time of the last refusal, while the route is limited.
    refused_at: Option<Instant>,
    /// Part of a request that was left over when the share was applied to the last one.
    credit: f64,
}

impl Route {
    fn expire(&mut self, now: Instant) {
        let is_over = |at: Instant| now.saturating_duration_since(at) >= WINDOW;
        while self.ended.front().is_some_and(|(at, _)| is_over(*at)) {
            self.ended.pop_front();
        }
        while self.admitted.front().is_some_and(|at| is_over(*at)) {
            self.admitted.pop_front();
        }
        self.refused_at = self.refused_at.filter(|at| !is_over(*at));
    }

    fn failed(&self) -> usize {
        let failed = |(_, ending): &&(Instant, Ending)| *ending == Ending::CallsFailed;
        self.ended.iter().filter(failed).count()
    }

    /// Whether only a share is admitted: more runs fail than `max_failed`, or requests were refused
    /// recently, so that a route does not change between both with each run.
    fn is_limited(&self, max_failed: f64) -> bool {
        let failed = to_f64(self.failed()) / to_f64(self.ended.len().max(1));
        let most_fail = self.ended.len() >= MIN_RUNS && failed > max_failed;
        most_fail || self.refused_at.is_some()
    }

    /// Returns whether the next request is among the share that is admitted: as many of the
    /// requests that arrive as runs are completed of those that end.
    fn takes_turn(&mut self) -> bool {
        let completed = self.ended.len() - self.failed();
        self.credit += to_f64(completed) / to_f64(self.ended.len().max(1));
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }
}

/// Recent runs of all routes of one upstream.
#[derive(Debug, Default)]
pub struct Register {
    routes: BTreeMap<Arc<str>, Route>,
}

impl Register {
    /// Records the end of a run. Routes whose runs never lose a call are not tracked.
    pub fn record_end(&mut self, now: Instant, route: &Arc<str>, ending: Ending) {
        if !self.routes.contains_key(route) {
            if ending == Ending::Completed || self.routes.len() >= MAX_ROUTES {
                return;
            }
            self.routes.insert(Arc::clone(route), Route::default());
        }
        if let Some(runs) = self.routes.get_mut(route) {
            runs.expire(now);
            runs.ended.push_back((now, ending));
        }
    }

    /// Decides on a request that arrives. `max_failed` is the share of failed runs up to which all
    /// requests of a route are admitted.
    pub fn arrive(&mut self, now: Instant, route: &str, max_failed: f64) -> Decision {
        let Some(runs) = self.routes.get_mut(route) else {
            return Decision::Admit;
        };
        runs.expire(now);
        if runs.ended.is_empty() && runs.admitted.is_empty() && runs.refused_at.is_none() {
            self.routes.remove(route);
            return Decision::Admit;
        }
        if !runs.is_limited(max_failed) || runs.takes_turn() || runs.admitted.len() < PROBES {
            runs.admitted.push_back(now);
            return Decision::Admit;
        }
        runs.refused_at = Some(now);
        let next = runs.admitted.front();
        let retry_at = next.map_or(now, |oldest| *oldest) + WINDOW;
        Decision::Refuse { retry_at }
    }

    /// Returns whether requests of this route are limited at present.
    #[must_use]
    pub fn is_limited(&self, route: &str, max_failed: f64) -> bool {
        let runs = self.routes.get(route);
        runs.is_some_and(|runs| runs.is_limited(max_failed))
    }
}

#[allow(clippy::cast_precision_loss)]
const fn to_f64(number: usize) -> f64 {
    number as f64
}
