//! The order of waiting, replayed with the load it exists for.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::queue::Queue;
use mintridge_core::request::{Arrival, Id};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SLOTS: usize = 9;
const LENGTH: Duration = Duration::from_secs(6);

/// A kind of request: rank, arrivals a second, work, target and deadline.
#[derive(Clone, Copy)]
struct Kind {
    priority: u8,
    per_second: f64,
    work: Duration,
    target: Duration,
    deadline: Duration,
}

const URGENT: Kind = Kind {
    priority: 0,
    per_second: 30.0,
    work: Duration::from_millis(160),
    target: Duration::from_millis(400),
    deadline: Duration::from_millis(1200),
};
const COMMON: Kind = Kind {
    priority: 1,
    per_second: 50.0,
    work: Duration::from_millis(120),
    target: Duration::from_millis(400),
    deadline: Duration::from_secs(1),
};

/// Takes the next request to run.
type Take = fn(&mut Queue, Instant, &Needed) -> Option<Arrival>;
type Needed = BTreeMap<u8, Duration>;

/// The order of ranks while none has fallen behind.
fn by_rank(priority: u8) -> u8 {
    priority
}

fn by_rank_and_target(queue: &mut Queue, now: Instant, needed: &Needed) -> Option<Arrival> {
    queue.pop(now, by_rank, |arrival| needed[&arrival.priority], |_| true)
}

fn first_come(queue: &mut Queue, _: Instant, _: &Needed) -> Option<Arrival> {
    let first = queue.iter().min_by_key(|arrival| arrival.id)?.clone();
    queue.remove(first.id);
    Some(first)
}

/// Share of the requests of each rank that were answered within their target, with 1.3 times
/// the load that the slots can carry.
fn replay(take: Take) -> BTreeMap<u8, f64> {
    let start = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut arrivals: Vec<(Instant, Kind)> = Vec::new();
    for kind in [URGENT, COMMON] {
        let mut at = start;
        while at < start + LENGTH {
            let gap = -(1.0 - rng.random::<f64>()).ln() / kind.per_second;
            at += Duration::from_secs_f64(gap);
            arrivals.push((at, kind));
        }
    }
    arrivals.sort_by_key(|(at, _)| *at);
    let needed: Needed = [URGENT, COMMON].map(|k| (k.priority, k.work)).into();
    let mut queue = Queue::default();
    let mut free_at = [start; SLOTS];
    let mut asked: BTreeMap<u8, f64> = BTreeMap::new();
    let mut in_time: BTreeMap<u8, f64> = BTreeMap::new();
    let mut next = 0;
    while next < arrivals.len() || !queue.is_empty() {
        let slot = (0..SLOTS).min_by_key(|slot| free_at[*slot]).expect("slots");
        let arrives = arrivals.get(next).map(|(at, _)| *at);
        if arrives.is_some_and(|at| queue.is_empty() || at <= free_at[slot]) {
            let (at, kind) = arrivals[next];
            *asked.entry(kind.priority).or_default() += 1.0;
            queue.push(arrival(next, at, kind), 1.0);
            next += 1;
            free_at[slot] = free_at[slot].max(at);
            continue;
        }
        let now = free_at[slot];
        queue.retain(
            |waits| now + needed[&waits.priority] <= waits.deadline,
            |_| {},
        );
        let Some(runs) = take(&mut queue, now, &needed) else {
            continue;
        };
        free_at[slot] = now + needed[&runs.priority];
        if free_at[slot] <= runs.target {
            *in_time.entry(runs.priority).or_default() += 1.0;
        }
    }
    asked
        .iter()
        .map(|(rank, asked)| (*rank, in_time.get(rank).unwrap_or(&0.0) / asked))
        .collect()
}

fn arrival(number: usize, at: Instant, kind: Kind) -> Arrival {
    Arrival {
        id: Id(number as u64),
        client_account: Arc::from("a"),
        deadline: at + kind.deadline,
        target: at + kind.target,
        priority: kind.priority,
        route: Arc::from("route"),
        only_in_time: false,
    }
}

/// Callers at 1.2 times the load that the slots carry. In order of arrival nearly everybody
/// is late; with those first that can still be in time, all urgent requests are, and most of
/// the others.
#[test]
fn pop_under_overload_serves_in_time_rather_than_all_late() {
    let first_come = replay(first_come);
    let ordered = replay(by_rank_and_target);
    assert!(
        first_come[&0] < 0.3 && first_come[&1] < 0.3,
        "{first_come:?}"
    );
    assert!(ordered[&0] > 0.95, "{ordered:?}");
    assert!(ordered[&1] > 0.5, "{ordered:?}");
}

/// Only requests that will miss their target are left: they go by rank, the one that must be
/// given up first before the others.
#[test]
fn pop_takes_late_requests_by_rank_and_deadline() {
    let start = Instant::now();
    let mut queue = Queue::default();
    let late = |number: usize, kind: Kind, deadline: u64| Arrival {
        target: start,
        deadline: start + Duration::from_millis(deadline),
        ..arrival(number, start, kind)
    };
    queue.push(late(1, COMMON, 300), 1.0);
    queue.push(late(2, URGENT, 900), 1.0);
    queue.push(late(3, URGENT, 700), 1.0);
    let mut order = Vec::new();
    while let Some(next) = queue.pop(start, by_rank, |_| Duration::from_millis(100), |_| true) {
        order.push(next.id.0);
    }
    assert_eq!(order, [3, 2, 1]);
}

/// The queue is full: a request of less urgency gives way to one of more, not the reverse.
#[test]
fn displace_never_takes_the_more_urgent() {
    let start = Instant::now();
    let mut queue = Queue::default();
    queue.push(arrival(1, start, URGENT), 1.0);
    assert!(
        queue
            .displace(&arrival(2, start, COMMON), 1.0, by_rank)
            .is_none()
    );
    queue.push(arrival(3, start, COMMON), 1.0);
    let displaced = queue.displace(&arrival(4, start, URGENT), 1.0, by_rank);
    assert_eq!(displaced.map(|arrival| arrival.id), Some(Id(3)));
    assert_eq!(queue.len(), 1);
}
