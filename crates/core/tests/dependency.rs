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
    /// Not run for want of a slot.
    shed: u32,
    refused: u32,
    /// Refused requests that make no calls, or whose calls the called service had capacity for.
    would_be_served: u32,
    /// Time of the last refusal.
    last_refusal: u32,
}

/// Ten seconds of 400 requests a second on 34 nodes; seven of ten run for 200 ms and then make two
/// calls, 50 ms apart; the others run for 300 ms.
#[derive(Clone, Copy)]
struct Plan {
    /// Whether requests are refused for the calls of earlier ones.
    judges: bool,
    /// Calls that the called service can serve in a second.
    per_second: f64,
    /// Time from which it can serve 2,000.
    recovers_at: u32,
    /// Slots of each node.
    slots: u32,
    /// Whether the requests that make calls have a route of their own.
    by_route: bool,
}

#[derive(Clone, Copy)]
struct Run {
    node: usize,
    makes_calls: bool,
    calls_left: u32,
}

struct Replay {
    plan: Plan,
    nodes: Vec<(Register, u32)>,
    due: BTreeMap<u32, Vec<Run>>,
    counts: Counts,
}

impl Replay {
    fn route(&self, makes_calls: bool) -> &'static str {
        let is_other = self.plan.by_route && !makes_calls;
        if is_other { "other" } else { ROUTE }
    }

    /// Starts, sheds or refuses a request; returns whether it was refused.
    fn arrive(&mut self, millis: u32, now: Instant, run: Run) -> bool {
        let route = self.route(run.makes_calls);
        let (register, running) = &mut self.nodes[run.node];
        if self.plan.judges && register.arrive(now, route, 0.5) != Decision::Admit {
            self.counts.refused += 1;
            self.counts.last_refusal = millis;
            self.counts.would_be_served += u32::from(!run.makes_calls);
            return true;
        }
        if *running >= self.plan.slots {
            self.counts.shed += 1;
            return false;
        }
        *running += 1;
        let work = if run.makes_calls { 200 } else { 300 };
        self.due.entry(millis + work).or_default().push(run);
        false
    }

    fn end(&mut self, now: Instant, run: Run, ending: Ending) {
        let route = Arc::from(self.route(run.makes_calls));
        let (register, running) = &mut self.nodes[run.node];
        register.record_end(now, &route, ending);
        *running -= 1;
        match ending {
            Ending::Completed => self.counts.completed += 1,
            Ending::CallsFailed => self.counts.wasted += 1,
        }
    }
}

fn replay(plan: Plan) -> Counts {
    let start = Instant::now();
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut replay = Replay {
        plan,
        nodes: (0..34).map(|_| (Register::default(), 0)).collect(),
        due: BTreeMap::new(),
        counts: Counts::default(),
    };
    let mut capacity: f64 = 0.0;
    for millis in (0..10_000).step_by(10) {
        let now = start + MILLI * millis;
        let is_down = millis < plan.recovers_at;
        let per_second = if is_down { plan.per_second } else { 2_000.0 };
        capacity += per_second / 100.0;
        let mut due = replay.due.remove(&millis).unwrap_or_default();
        while !due.is_empty() {
            let mut run = due.swap_remove(random.random_range(0..due.len()));
            if run.calls_left == 0 {
                replay.end(now, run, Ending::Completed);
            } else if capacity < 1.0 {
                replay.end(now, run, Ending::CallsFailed);
            } else {
                capacity -= 1.0;
                run.calls_left -= 1;
                replay.due.entry(millis + 50).or_default().push(run);
            }
        }
        // The service can queue calls for a tenth of a second; the rest of its capacity is lost.
        let is_unused = capacity >= per_second / 10.0 + 1.0;
        capacity = capacity.min(per_second / 10.0);
        for _ in 0..4 {
            let makes_calls = random.random_bool(0.7);
            let run = Run {
                node: random.random_range(0..replay.nodes.len()),
                makes_calls,
                calls_left: if makes_calls { 2 } else { 0 },
            };
            let is_refused = replay.arrive(millis, now, run);
            let had_capacity = is_refused && makes_calls && is_unused;
            replay.counts.would_be_served += u32::from(had_capacity);
        }
    }
    replay.counts
}

/// Failure: while most runs lose a call, their work is wasted, and so are the calls that were served;
/// or requests are refused that would have been served. The most severe cases come first.
#[rstest]
fn replay_wastes_fewer_runs(
    #[values(50.0, 100.0, 220.0)] per_second: f64,
    #[values(3, 12)] slots: u32,
    #[values(false, true)] by_route: bool,
) {
    let plan = Plan {
        judges: false,
        per_second,
        recovers_at: u32::MAX,
        slots,
        by_route,
    };
    let before = replay(plan);
    let after = replay(Plan {
        judges: true,
        ..plan
    });
    println!(
        "{per_second} {slots} {by_route} before {before:?}\n{per_second} {slots} {by_route} after  {after:?}"
    );
    assert!(after.wasted < before.wasted);
    if by_route {
        assert!(after.completed > before.completed);
        assert_eq!(after.would_be_served, 0);
    }
}

/// Failure: requests are refused long after the called service has recovered.
#[test]
fn replay_recovers_within_a_second() {
    let after = replay(Plan {
        judges: true,
        per_second: 100.0,
        recovers_at: 5_000,
        slots: 12,
        by_route: false,
    });
    println!("recovering: {after:?}");
    assert!(after.last_refusal < 6_000, "{after:?}");
}
