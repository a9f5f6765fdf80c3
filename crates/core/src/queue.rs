//! Queue of the requests that wait for a slot of an upstream.
//!
//! Load pattern: bursts of up to 1.5 times the load that an upstream can take, lasting seconds,
//! of requests with different ranks and target latencies. A first-in, first-out queue makes every
//! request late: the wait grows to what the deadlines allow, and every answer misses its target.
//! Requests that can still meet their target therefore go first, more urgent ranks before less
//! urgent ones. Requests that will miss their target get the remaining capacity, and are refused
//! once they can't meet their deadline either. Within a rank, weighted fair queueing divides the
//! turns between client accounts.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::request::{Arrival, Id};

/// Queued requests of one rank and client account.
#[derive(Debug)]
struct Lane {
    weight: f64,
    virtual_finish: f64,
    waiting: Vec<Arrival>,
}

impl Lane {
    fn backlog(&self) -> f64 {
        to_f64(self.waiting.len()) / self.weight
    }
}

/// Rank and client account of a lane.
type LaneKey = (u8, Arc<str>);

/// The next request of one client account at one position in the rank order.
struct Candidate<'a> {
    virtual_finish: f64,
    due_at: Instant,
    key: &'a LaneKey,
    index: usize,
}

impl Candidate<'_> {
    /// Merges the candidate of another lane of the same account.
    fn merge(&mut self, other: &Self) {
        self.virtual_finish = self.virtual_finish.max(other.virtual_finish);
        if other.due_at < self.due_at {
            (self.due_at, self.key, self.index) = (other.due_at, other.key, other.index);
        }
    }
}

/// Weighted fair queue of requests, ordered by rank.
#[derive(Debug, Default)]
pub struct Queue {
    lanes: BTreeMap<LaneKey, Lane>,
    length: usize,
    virtual_time: f64,
}

impl Queue {
    /// Number of queued requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.length
    }

    /// Returns whether no request is queued.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Iterates over all queued requests, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arrival> {
        self.lanes.values().flat_map(|lane| &lane.waiting)
    }

    /// Adds a request.
    pub fn push(&mut self, arrival: Arrival, weight: f64) {
        self.lane(&arrival, weight).waiting.push(arrival);
        self.length += 1;
    }

    /// Removes and returns the request whose turn it is. `order` maps a priority to its position
    /// among the ranks, `expected_time` returns the expected service time of a request, and
    /// `may_begin` returns whether a request with that service time may start now.
    pub fn pop(
        &mut self,
        now: Instant,
        order: impl Fn(u8) -> u8,
        expected_time: impl Fn(&Arrival) -> Duration,
        may_begin: impl Fn(Duration) -> bool,
    ) -> Option<Arrival> {
        let may_start = |arrival: &Arrival| may_begin(expected_time(arrival));
        let meets_target = |arrival: &Arrival| now + expected_time(arrival) <= arrival.target;
        let (key, index) = self
            .first(order, |arrival| {
                (may_start(arrival) && meets_target(arrival)).then_some(arrival.target)
            })
            .or_else(|| {
                let deadline = |arrival: &Arrival| may_start(arrival).then_some(arrival.deadline);
                self.first(|priority| priority, deadline)
            })?;
        let lane = self.lanes.get_mut(&key)?;
        let arrival = lane.waiting.remove(index);
        let weight = lane.weight;
        self.length -= 1;
        self.charge(&arrival, weight);
        Some(arrival)
    }

    /// Finds the request that goes first: in the first rank of `order`, the client account that
    /// has been served least relative to its weight, and of that account the request that is due
    /// earliest. Requests for which `due_at` returns `None` are skipped.
    ///
    /// An account may have several lanes at the same position in the order. Among the account's
    /// own requests only the due time decides.
    fn first(
        &self,
        order: impl Fn(u8) -> u8,
        due_at: impl Fn(&Arrival) -> Option<Instant>,
    ) -> Option<(LaneKey, usize)> {
        let mut accounts: BTreeMap<(u8, &Arc<str>), Candidate<'_>> = BTreeMap::new();
        for (key, lane) in &self.lanes {
            let due_times = lane.waiting.iter().enumerate();
            let due_times = due_times.filter_map(|(i, arrival)| Some((due_at(arrival)?, i)));
            let Some((due_at, index)) = due_times.min() else {
                continue;
            };
            let lane_candidate = Candidate {
                virtual_finish: lane.virtual_finish,
                due_at,
                key,
                index,
            };
            accounts
                .entry((order(key.0), &key.1))
                .and_modify(|candidate| candidate.merge(&lane_candidate))
                .or_insert(lane_candidate);
        }
        let (rank, _) = *accounts.keys().next()?;
        let of_rank = accounts.iter().take_while(|((other, _), _)| *other == rank);
        let first = of_rank.min_by(|(_, a), (_, b)| a.virtual_finish.total_cmp(&b.virtual_finish));
        first.map(|(_, candidate)| (candidate.key.clone(), candidate.index))
    }

    /// Removes one request; returns false if it isn't queued.
    pub fn remove(&mut self, id: Id) -> bool {
        let before = self.length;
        self.retain(|arrival| arrival.id != id, |_| {});
        self.length < before
    }

    /// Removes all requests for which `keep` returns false, and calls `on_removed` with each.
    pub fn retain(
        &mut self,
        keep: impl Fn(&Arrival) -> bool,
        mut on_removed: impl FnMut(&Arrival),
    ) {
        for lane in self.lanes.values_mut() {
            let before = lane.waiting.len();
            lane.waiting.retain(|arrival| {
                let keep = keep(arrival);
                if !keep {
                    on_removed(arrival);
                }
                keep
            });
            self.length -= before - lane.waiting.len();
        }
    }

    /// Estimates how many queued requests run before a new request of this rank and client
    /// account. Only requests for which `counts` returns true are included.
    ///
    /// All requests of ranks earlier in the order go first. Between two requests of this account,
    /// every other account of the same rank gets the turns that its weight gives it, but no more
    /// than it has queued.
    #[must_use]
    pub fn turns_before(
        &self,
        arrival: &Arrival,
        weight: f64,
        order: impl Fn(u8) -> u8,
        counts: impl Fn(&Arrival) -> bool,
    ) -> f64 {
        let waiting = |lane: &Lane| lane.waiting.iter().filter(|other| counts(other)).count();
        let key = lane_key(arrival);
        let own = self.lanes.get(&key).map_or(0, waiting);
        let rounds = to_f64(own + 1) / weight;
        let rank = order(arrival.priority);
        let others = self.lanes.iter().filter(|(other, _)| **other != key);
        let others = others.map(|(other, lane)| match order(other.0).cmp(&rank) {
            Ordering::Less => to_f64(waiting(lane)),
            Ordering::Equal => to_f64(waiting(lane)).min(rounds * lane.weight),
            Ordering::Greater => 0.0,
        });
        to_f64(own) + others.sum::<f64>()
    }

    /// Makes room in a full queue: removes the newest request of the longest backlog in the least
    /// urgent rank, if that rank is less urgent than the new request's or that backlog is longer
    /// than the one of its account.
    ///
    /// Failure: one client account sends ten times its share, or less urgent requests fill the
    /// queue. Symptom: requests of small accounts and urgent requests are refused. Removing from
    /// the longest backlog makes the account that fills the queue bear the refusals.
    pub fn displace(
        &mut self,
        newcomer: &Arrival,
        weight: f64,
        order: impl Fn(u8) -> u8,
    ) -> Option<Arrival> {
        let own = self.lanes.get(&lane_key(newcomer));
        let own_backlog = to_f64(own.map_or(0, |lane| lane.waiting.len()) + 1) / weight;
        let occupied = self.lanes.iter_mut();
        let occupied = occupied.filter(|(_, lane)| !lane.waiting.is_empty());
        let (key, longest) = occupied.max_by(|(a, left), (b, right)| {
            let ranks = order(a.0).cmp(&order(b.0));
            ranks.then(left.backlog().total_cmp(&right.backlog()))
        })?;
        let may_displace = match order(key.0).cmp(&order(newcomer.priority)) {
            Ordering::Greater => true,
            Ordering::Equal => longest.backlog() > own_backlog,
            Ordering::Less => false,
        };
        if !may_displace {
            return None;
        }
        let displaced = longest.waiting.pop()?;
        self.length -= 1;
        Some(displaced)
    }

    /// Charges one turn to a lane. Removes empty lanes that have caught up with the virtual time,
    /// as they hold no information.
    pub fn charge(&mut self, arrival: &Arrival, weight: f64) {
        let lane = self.lane(arrival, weight);
        let virtual_start = lane.virtual_finish;
        lane.virtual_finish += 1.0 / weight;
        self.virtual_time = self.virtual_time.max(virtual_start);
        let virtual_time = self.virtual_time;
        self.lanes
            .retain(|_, lane| !lane.waiting.is_empty() || lane.virtual_finish > virtual_time);
    }

    fn lane(&mut self, arrival: &Arrival, weight: f64) -> &mut Lane {
        let virtual_time = self.virtual_time;
        let lane = self.lanes.entry(lane_key(arrival)).or_insert_with(|| Lane {
            weight,
            virtual_finish: virtual_time,
            waiting: Vec::new(),
        });
        lane.weight = weight;
        if lane.waiting.is_empty() {
            lane.virtual_finish = lane.virtual_finish.max(virtual_time);
        }
        lane
    }
}

fn lane_key(arrival: &Arrival) -> LaneKey {
    (arrival.priority, Arc::clone(&arrival.client_account))
}

#[allow(clippy::cast_precision_loss)]
const fn to_f64(number: usize) -> f64 {
    number as f64
}
