//! Tests of the queue order, including a replay of an overloaded upstream.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::queue::Queue;
use mintridge_core::request::{Arrival, Id};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SLOTS: usize = 9;
const REPLAY_DURATION: Duration = Duration::from_secs(6);

/// Kind of request: rank, arrivals per second, service time, target latency and deadline.
#[derive(Clone, Copy)]
struct Kind {
    priority: u8,
    per_second: f64,
    service_time: Duration,
    target: Duration,
    deadline: Duration,
}

const URGENT: Kind = Kind {
    priority: 0,
    per_second: 30.0,
    service_time: Duration::from_millis(160),
    target: Duration::from_millis(400),
    deadline: Duration::from_millis(1200),
};
const COMMON: Kind = Kind {
    priority: 1,
    per_second: 50.0,
    service_time: Duration::from_millis(120),
    target: Duration::from_millis(400),
    deadline: Duration::from_secs(1),
};

/// Removes the next request to run from the queue.
type PopFn = fn(&mut Queue, Instant, &ServiceTimes) -> Option<Arrival>;
type ServiceTimes = BTreeMap<u8, Duration>;

/// Order of the ranks while none is underserved.
fn by_rank(priority: u8) -> u8 {
    priority
}

fn by_rank_and_target(
    queue: &mut Queue,
    now: Instant,
    service_times: &ServiceTimes,
) -> Option<Arrival> {
    queue.pop(
        now,
        by_rank,
        |arrival| service_times[&arrival.priority],
        |_| true,
    )
}

fn by_arrival(queue: &mut Queue, _: Instant, _: &ServiceTimes) -> Option<Arrival> {
    let first = queue.iter().min_by_key(|arrival| arrival.id)?.clone();
    queue.remove(first.id);
    Some(first)
}

/// Returns the share of the requests of each rank that were answered within their target, at 1.2
/// times the load that the slots can take.
fn replay(pop: PopFn) -> BTreeMap<u8, f64> {
    let start = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut arrivals: Vec<(Instant, Kind)> = Vec::new();
    for kind in [URGENT, COMMON] {
        let mut at = start;
        while at < start + REPLAY_DURATION {
            let gap = -(1.0 - rng.random::<f64>()).ln() / kind.per_second;
            at += Duration::from_secs_f64(gap);
            arrivals.push((at, kind));
        }
    }
    arrivals.sort_by_key(|(at, _)| *at);
    let service_times: ServiceTimes = [URGENT, COMMON]
        .map(|kind| (kind.priority, kind.service_time))
        .into();
    let mut queue = Queue::default();
    let mut free_at = [start; SLOTS];
    let mut requests: BTreeMap<u8, f64> = BTreeMap::new();
    let mut in_time: BTreeMap<u8, f64> = BTreeMap::new();
    let mut next = 0;
    while next < arrivals.len() || !queue.is_empty() {
        let slot = (0..SLOTS).min_by_key(|slot| free_at[*slot]).expect("slots");
        let next_arrival = arrivals.get(next).map(|(at, _)| *at);
        if next_arrival.is_some_and(|at| queue.is_empty() || at <= free_at[slot]) {
            let (at, kind) = arrivals[next];
            *requests.entry(kind.priority).or_default() += 1.0;
            queue.push(arrival(next, at, kind), 1.0);
            next += 1;
            free_at[slot] = free_at[slot].max(at);
            continue;
        }
        let now = free_at[slot];
        queue.retain(
            |request| now + service_times[&request.priority] <= request.deadline,
            |_| {},
        );
        let Some(request) = pop(&mut queue, now, &service_times) else {
            continue;
        };
        free_at[slot] = now + service_times[&request.priority];
        if free_at[slot] <= request.target {
            *in_time.entry(request.priority).or_default() += 1.0;
        }
    }
    requests
        .iter()
        .map(|(rank, requests)| (*rank, in_time.get(rank).unwrap_or(&0.0) / requests))
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

/// At 1.2 times the load that the slots can take, a first-in, first-out queue makes nearly all
/// requests late. If requests that can still meet their target go first, nearly all urgent requests
/// and most of the others meet it.
#[test]
fn pop_under_overload_meets_more_targets_than_order_of_arrival() {
    let by_arrival = replay(by_arrival);
    let ordered = replay(by_rank_and_target);
    assert!(
        by_arrival[&0] < 0.3 && by_arrival[&1] < 0.3,
        "{by_arrival:?}"
    );
    assert!(ordered[&0] > 0.95, "{ordered:?}");
    assert!(ordered[&1] > 0.5, "{ordered:?}");
}

/// Requests that will all miss their target are ordered by rank, then by deadline.
#[test]
fn pop_orders_late_requests_by_rank_and_deadline() {
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

/// In a full queue an urgent request displaces a less urgent one, but not the reverse.
#[test]
fn displace_never_removes_a_more_urgent_request() {
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
