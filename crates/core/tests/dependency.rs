//! Tests for the admission of requests whose calls are refused, alone and in a replay of a fleet.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::dependency::{Decision, Ending, Register};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const MILLI: Duration = Duration::from_millis(1);
const ROUTE: &str = "parent";

fn is_admitted(register: &mut Register, now: Instant) -> bool {
    register.arrive(now, ROUTE, 0.5) == Decision::Admit
}

/// Failure: a node that has just started, or that saw few failures, refuses requests.
#[test]
fn arrive_admits_without_evidence() {
    let now = Instant::now();
    let mut register = Register::default();
    assert!(is_admitted(&mut register, now));
    for _ in 0..7 {
        register.record_end(now, &Arc::from(ROUTE), Ending::CallsFailed);
    }
    assert!((0..100).all(|_| is_admitted(&mut register, now)));
}

/// Failure: all requests are refused, so that no run shows that the calls succeed again.
#[test]
fn arrive_admits_probes_while_all_runs_fail() {
    let now = Instant::now();
    let mut register = Register::default();
    for _ in 0..10 {
        register.record_end(now, &Arc::from(ROUTE), Ending::CallsFailed);
    }
    let admitted = (0..100).filter(|_| is_admitted(&mut register, now));
    assert_eq!(admitted.count(), 3);
    assert!(register.is_limited(ROUTE, 0.5));
    assert!(is_admitted(&mut register, now + MILLI * 1_000));
}

/// Failure: a route stays limited after its calls have recovered.
#[test]
fn arrive_admits_all_a_second_after_the_last_failure() {
    let now = Instant::now();
    let mut register = Register::default();
    for _ in 0..10 {
        register.record_end(now, &Arc::from(ROUTE), Ending::CallsFailed);
    }
    assert!((0..100).any(|_| !is_admitted(&mut register, now)));
    let later = now + MILLI * 1_000;
    assert!((0..100).all(|_| is_admitted(&mut register, later)));
}

/// What became of the requests of a replay.
#[derive(Debug, Default, Clone, Copy)]
struct Counts {
    completed: u32,
    wasted: u32,
    refused: u32,
    /// Refused requests that make no calls, or whose calls the called service had capacity for.
    would_be_served: u32,
    /// Time of the last refusal.
    last_refusal: u32,
}

/// Ten seconds of 400 requests a second on 34 nodes; seven of ten make two calls, 50 ms apart, to a
/// service that can serve 220 calls a second, and 2,000 from `recovers_at` on.
fn replay(judges: bool, per_second: f64, recovers_at: u32) -> Counts {
    const STEP: u32 = 10;
    let (start, mut counts) = (Instant::now(), Counts::default());
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut nodes: Vec<Register> = (0..34).map(|_| Register::default()).collect();
    let route: Arc<str> = Arc::from(ROUTE);
    let mut calls: BTreeMap<u32, Vec<(usize, u32)>> = BTreeMap::new();
    let mut capacity: f64 = 0.0;
    for millis in (0..10_000).step_by(10) {
        let now = start + MILLI * millis;
        let mut end = |nodes: &mut Vec<Register>, node: usize, ending| {
            nodes[node].record_end(now, &route, ending);
            match ending {
                Ending::Completed => counts.completed += 1,
                Ending::CallsFailed => counts.wasted += 1,
            }
        };
        capacity += if millis < recovers_at {
            per_second / 100.0
        } else {
            20.0
        };
        let mut due = calls.remove(&millis).unwrap_or_default();
        while !due.is_empty() {
            let (node, remaining) = due.swap_remove(random.random_range(0..due.len()));
            if remaining > 0 && capacity < 1.0 {
                end(&mut nodes, node, Ending::CallsFailed);
            } else if remaining > 0 {
                capacity -= 1.0;
                let next = calls.entry(millis + 5 * STEP).or_default();
                next.push((node, remaining - 1));
            } else {
                end(&mut nodes, node, Ending::Completed);
            }
        }
        let (mut refused, mut with_calls) = (0, 0);
        for _ in 0..4 {
            let node = random.random_range(0..nodes.len());
            let made = if random.random_bool(0.7) { 2 } else { 0 };
            if judges && !is_admitted(&mut nodes[node], now) {
                refused += 1;
                counts.would_be_served += u32::from(made == 0);
                with_calls += u32::from(made > 0);
                continue;
            }
            calls.entry(millis + STEP).or_default().push((node, made));
        }
        // What the service can hold over a tenth of a second; the rest of its capacity is lost.
        let held = if millis < recovers_at {
            per_second / 10.0
        } else {
            200.0
        };
        let lost = (capacity - held).max(0.0);
        capacity = capacity.min(held);
        counts.refused += refused;
        if refused > 0 {
            counts.last_refusal = millis;
            counts.would_be_served += u32::from(lost >= 1.0) * with_calls;
        }
    }
    counts
}

/// Failure: while most runs lose a call, their work is wasted, and so are the calls that were served;
/// or requests are refused that would have been served. Three of ten requests make no calls.
#[rstest]
#[case::a_tenth(50.0)]
#[case::a_fifth(100.0)]
#[case::two_fifths(220.0)]
fn replay_wastes_fewer_runs(#[case] per_second: f64) {
    let before = replay(false, per_second, u32::MAX);
    let after = replay(true, per_second, u32::MAX);
    println!("{per_second} before: {before:?}\n{per_second} after: {after:?}");
    assert!(after.wasted < before.wasted);
}

/// Failure: requests are refused long after the called service has recovered.
#[test]
fn replay_recovers_within_a_second() {
    let after = replay(true, 100.0, 5_000);
    println!("recovering: {after:?}");
    assert!(after.last_refusal < 6_000, "{after:?}");
}
