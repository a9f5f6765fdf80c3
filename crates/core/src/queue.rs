//! Order of the requests that wait beside an upstream.
//!
//! Load pattern: bursts to half as much again as an upstream can take, lasting seconds, of
//! requests with different ranks and target latencies. First in, first out makes everybody
//! late: the wait settles at what the deadlines allow, and every answer comes after its
//! target. So requests that can still meet their target go first, the more urgent rank
//! before the less urgent; those that cannot take what is left over, and are given up when
//! they can no longer meet their deadline either. Within a rank turns are dealt fairly
//! between client accounts by their weights.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::request::{Arrival, Id};

/// Requests of one rank and client account; `tag` is its virtual finish time.
#[derive(Debug)]
struct Lane {
    weight: f64,
    tag: f64,
    waiting: Vec<Arrival>,
}

impl Lane {
    fn backlog(&self) -> f64 {
        count(self.waiting.len()) / self.weight
    }
}

/// Rank, then client account.
type Key = (u8, Arc<str>);

/// What one client account could run next at one place in the order.
struct Candidate<'a> {
    tag: f64,
    instant: Instant,
    key: &'a Key,
    index: usize,
}

impl Candidate<'_> {
    /// Takes in another lane of the account.
    fn join(&mut self, other: &Self) {
        self.tag = self.tag.max(other.tag);
        if other.instant < self.instant {
            (self.instant, self.key, self.index) = (other.instant, other.key, other.index);
        }
    }
}

/// Requests that wait.
#[derive(Debug, Default)]
pub struct Queue {
    lanes: BTreeMap<Key, Lane>,
    length: usize,
    virtual_time: f64,
}

impl Queue {
    /// Requests that wait.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.length
    }

    /// Whether none waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// All that wait, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arrival> {
        self.lanes.values().flat_map(|lane| &lane.waiting)
    }

    /// Adds a request.
    pub fn push(&mut self, arrival: Arrival, weight: f64) {
        self.lane(&arrival, weight).waiting.push(arrival);
        self.length += 1;
    }

    /// Takes the request whose turn it is; `order` is the order among ranks, `needed` the time
    /// that a request needs, and `may_begin` tells whether one that needs so much may begin now.
    pub fn pop(
        &mut self,
        now: Instant,
        order: impl Fn(u8) -> u8,
        needed: impl Fn(&Arrival) -> Duration,
        may_begin: impl Fn(Duration) -> bool,
    ) -> Option<Arrival> {
        let open = |arrival: &Arrival| may_begin(needed(arrival));
        let timely = |arrival: &Arrival| now + needed(arrival) <= arrival.target;
        let (key, index) = self
            .first(order, |arrival| {
                (open(arrival) && timely(arrival)).then_some(arrival.target)
            })
            .or_else(|| {
                let deadline = |arrival: &Arrival| open(arrival).then_some(arrival.deadline);
                self.first(|priority| priority, deadline)
            })?;
        let lane = self.lanes.get_mut(&key)?;
        let arrival = lane.waiting.remove(index);
        let weight = lane.weight;
        self.length -= 1;
        self.charge(&arrival, weight);
        Some(arrival)
    }

    /// The request that goes first: of the first rank by the order, of the client account that
    /// was served least by its weight, the one with the earliest instant.
    ///
    /// An account may have several lanes of one place in the order; between its own requests
    /// the instant decides alone.
    fn first(
        &self,
        order: impl Fn(u8) -> u8,
        instant: impl Fn(&Arrival) -> Option<Instant>,
    ) -> Option<(Key, usize)> {
        let mut accounts: BTreeMap<(u8, &Arc<str>), Candidate<'_>> = BTreeMap::new();
        for (key, lane) in &self.lanes {
            let instants = lane.waiting.iter().enumerate();
            let instants = instants.filter_map(|(i, arrival)| Some((instant(arrival)?, i)));
            let Some((instant, index)) = instants.min() else {
                continue;
            };
            let found = Candidate {
                tag: lane.tag,
                instant,
                key,
                index,
            };
            accounts
                .entry((order(key.0), &key.1))
                .and_modify(|candidate| candidate.join(&found))
                .or_insert(found);
        }
        let (rank, _) = *accounts.keys().next()?;
        let of_rank = accounts.iter().take_while(|((other, _), _)| *other == rank);
        let first = of_rank.min_by(|(_, a), (_, b)| a.tag.total_cmp(&b.tag));
        first.map(|(_, candidate)| (candidate.key.clone(), candidate.index))
    }

    /// Takes out one request; false if it does not wait.
    pub fn remove(&mut self, id: Id) -> bool {
        let before = self.length;
        self.retain(|arrival| arrival.id != id, |_| {});
        self.length < before
    }

    /// Takes out all that do not hold a condition.
    pub fn retain(&mut self, holds: impl Fn(&Arrival) -> bool, mut taken: impl FnMut(&Arrival)) {
        for lane in self.lanes.values_mut() {
            let before = lane.waiting.len();
            lane.waiting.retain(|arrival| {
                let holds = holds(arrival);
                if !holds {
                    taken(arrival);
                }
                holds
            });
            self.length -= before - lane.waiting.len();
        }
    }

    /// Turns before one more request of this rank and client account gets its own, among those
    /// that are counted.
    ///
    /// All of ranks that come before it in the order go first. Between its own requests each
    /// other account with a backlog gets its turns, but no more of them than it has waiting.
    #[must_use]
    pub fn turns_before(
        &self,
        arrival: &Arrival,
        weight: f64,
        order: impl Fn(u8) -> u8,
        counts: impl Fn(&Arrival) -> bool,
    ) -> f64 {
        let waiting = |lane: &Lane| lane.waiting.iter().filter(|other| counts(other)).count();
        let key = key_of(arrival);
        let own = self.lanes.get(&key).map_or(0, waiting);
        let rounds = count(own + 1) / weight;
        let rank = order(arrival.priority);
        let others = self.lanes.iter().filter(|(other, _)| **other != key);
        let others = others.map(|(other, lane)| match order(other.0).cmp(&rank) {
            Ordering::Less => count(waiting(lane)),
            Ordering::Equal => count(waiting(lane)).min(rounds * lane.weight),
            Ordering::Greater => 0.0,
        });
        count(own) + others.sum::<f64>()
    }

    /// Makes room in a full queue: takes out the newest of the longest backlog of the least
    /// urgent rank, if that is less urgent or longer than the newcomer's own.
    ///
    /// Failure: one client account sends ten times its share, or work of little urgency
    /// fills the queue. Symptom: small accounts and urgent requests are refused. Who fills
    /// the queue pays instead, so a large account waits behind itself.
    pub fn displace(
        &mut self,
        newcomer: &Arrival,
        weight: f64,
        order: impl Fn(u8) -> u8,
    ) -> Option<Arrival> {
        let own = self.lanes.get(&key_of(newcomer));
        let own_backlog = count(own.map_or(0, |lane| lane.waiting.len()) + 1) / weight;
        let filled = self.lanes.iter_mut();
        let filled = filled.filter(|(_, lane)| !lane.waiting.is_empty());
        let (key, longest) = filled.max_by(|(a, left), (b, right)| {
            let ranks = order(a.0).cmp(&order(b.0));
            ranks.then(left.backlog().total_cmp(&right.backlog()))
        })?;
        let pays = match order(key.0).cmp(&order(newcomer.priority)) {
            Ordering::Greater => true,
            Ordering::Equal => longest.backlog() > own_backlog,
            Ordering::Less => false,
        };
        if !pays {
            return None;
        }
        let displaced = longest.waiting.pop()?;
        self.length -= 1;
        Some(displaced)
    }

    /// Counts one turn against a lane, and forgets lanes that are even.
    pub fn charge(&mut self, arrival: &Arrival, weight: f64) {
        let lane = self.lane(arrival, weight);
        let started = lane.tag;
        lane.tag += 1.0 / weight;
        self.virtual_time = self.virtual_time.max(started);
        let even = self.virtual_time;
        self.lanes
            .retain(|_, lane| !lane.waiting.is_empty() || lane.tag > even);
    }

    fn lane(&mut self, arrival: &Arrival, weight: f64) -> &mut Lane {
        let virtual_time = self.virtual_time;
        let lane = self.lanes.entry(key_of(arrival)).or_insert_with(|| Lane {
            weight,
            tag: virtual_time,
            waiting: Vec::new(),
        });
        lane.weight = weight;
        if lane.waiting.is_empty() {
            lane.tag = lane.tag.max(virtual_time);
        }
        lane
    }
}

fn key_of(arrival: &Arrival) -> Key {
    (arrival.priority, Arc::clone(&arrival.client_account))
}

#[allow(clippy::cast_precision_loss)]
const fn count(number: usize) -> f64 {
    number as f64
}
