//! Share of the requests of each rank that start in time, compared with all ranks.
//!
//! Load pattern: a service is overloaded for many seconds, and its more urgent requests alone take
//! nearly all slots. With strict priority the least urgent rank gets almost nothing: with three
//! ranks at 1.5 times the load that the slots can take, one in two hundred of its requests is in
//! time, although it needs only a seventh of the slots. A rank whose requests start in time far
//! less often than those of all ranks together is therefore treated as most urgent, ordered by
//! target among the most urgent requests, until it has caught up to a minimum share.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time constant of the exponential decay of the counts. A small upstream gets about three
/// requests per second of a rank, so about ten of them count; overload lasts longer than that.
const DECAY_TIME: Duration = Duration::from_secs(3);
/// A rank with a lower decayed request count than this isn't evaluated: a single refused request
/// of a rank with very few requests may be chance.
const MIN_REQUESTS: f64 = 2.0;

/// Recent results of the requests of each rank.
#[derive(Debug, Default)]
pub struct Shares {
    ranks: BTreeMap<u8, Tally>,
}

/// Request counts with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    requests: f64,
    in_time: f64,
    updated_at: Option<Instant>,
}

impl Tally {
    fn decayed(self, now: Instant) -> Self {
        let age = self.updated_at.map(|at| now.saturating_duration_since(at));
        let decay = age.map_or(1.0, |age| (-age.div_duration_f64(DECAY_TIME)).exp());
        Self {
            requests: self.requests * decay,
            in_time: self.in_time * decay,
            updated_at: Some(now),
        }
    }
}

impl Shares {
    /// Records one request of a rank. `in_time` is true if the request started while it could
    /// still meet its target, and false if it started late, or was refused and no other host will
    /// be tried.
    pub fn record(&mut self, now: Instant, priority: u8, in_time: bool) {
        let tally = self.ranks.entry(priority).or_default();
        *tally = tally.decayed(now);
        tally.requests += 1.0;
        if in_time {
            tally.in_time += 1.0;
        }
    }

    /// Returns a function from priority to current position in the order; the lowest goes first.
    /// A rank gets the position of the most urgent one while its share of requests that start in
    /// time is less than `min_share` times that of all ranks together.
    pub fn order(&self, now: Instant, min_share: f64) -> impl Fn(u8) -> u8 + use<> {
        let tallies = self.ranks.iter();
        let tallies = tallies.map(|(priority, tally)| (*priority, tally.decayed(now)));
        let tallies: Vec<(u8, Tally)> = tallies.collect();
        let requests: f64 = tallies.iter().map(|(_, tally)| tally.requests).sum();
        let in_time: f64 = tallies.iter().map(|(_, tally)| tally.in_time).sum();
        let is_underserved = |tally: &Tally| {
            tally.requests >= MIN_REQUESTS
                && tally.in_time * requests < min_share * in_time * tally.requests
        };
        let underserved: Vec<u8> = tallies
            .iter()
            .filter(|(_, tally)| is_underserved(tally))
            .map(|(priority, _)| *priority)
            .collect();
        let most_urgent = self.ranks.keys().next().copied().unwrap_or(0);
        move |priority| {
            if underserved.contains(&priority) {
                most_urgent
            } else {
                priority
            }
        }
    }
}
