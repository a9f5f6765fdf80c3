//! Simulates the failure of one zone's designated readers of the store, with the datagrams by which
//! readers report to the other nodes.

use std::time::{Duration, Instant};

use mintridge_core::configs::failover::Settings;
use mintridge_core::failover::{Failover, Proof, Versions};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Time within which some node must read the store: a change must be in force on all nodes within
/// two seconds, and the rest is left for the read and its propagation to the other nodes.
const READ_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Number of designated readers in a zone.
const READERS: usize = 2;
const STEP: Duration = Duration::from_millis(5);
/// Timeout of a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Condition of a simulated node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Condition {
    Healthy,
    /// The store does not answer the node's calls.
    Unanswered,
    /// The process has stopped.
    Stopped,
}

struct Node {
    failover: Failover,
    condition: Condition,
    /// The node waits for the store or for its next call until this time.
    busy_until: Instant,
    /// When the store last answered a call of the node.
    proof_at: Instant,
    /// When the latest report is sent once more.
    repeat_at: Option<Instant>,
    /// Whether the node acted as a reader in its last step and the store answers it.
    reads: bool,
}

/// A simulated zone; its nodes are ordered by index.
struct Zone {
    nodes: Vec<Node>,
    now: Instant,
    rng: ChaCha8Rng,
    /// Percentage of datagrams that are lost.
    loss_percent: u32,
    /// Number of calls to the store so far.
    store_calls: usize,
}

impl Zone {
    fn new(size: usize, seed: u64, loss_percent: u32) -> Self {
        let now = Instant::now();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let call_interval = Settings::default().check_every;
        let nodes = (0..size).map(|_| Node {
            failover: Failover::new(Settings::default(), now),
            condition: Condition::Healthy,
            busy_until: now + call_interval.mul_f64(rng.random()),
            proof_at: now,
            repeat_at: None,
            reads: false,
        });
        Self {
            nodes: nodes.collect(),
            now,
            rng,
            loss_percent,
            store_calls: 0,
        }
    }

    /// Runs the simulation for `time`; returns true as soon as `until` holds.
    fn run(&mut self, time: Duration, until: impl Fn(&[Node]) -> bool) -> bool {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for index in 0..self.nodes.len() {
                self.step(index);
            }
            if until(&self.nodes) {
                return true;
            }
        }
        false
    }

    fn step(&mut self, index: usize) {
        let now = self.now;
        if self.nodes[index].condition == Condition::Stopped {
            return;
        }
        if self.nodes[index].repeat_at.is_some_and(|at| now >= at) {
            self.nodes[index].repeat_at = None;
            self.send_report(index);
        }
        let node = &mut self.nodes[index];
        if now < node.busy_until {
            return;
        }
        let position = (index + 1).saturating_sub(READERS);
        let reads = position == 0 || node.failover.acts_as_reader(now, position);
        node.reads = reads && node.condition == Condition::Healthy;
        if !reads {
            return;
        }
        self.store_calls += 1;
        if node.condition == Condition::Unanswered {
            node.busy_until = now + CALL_TIMEOUT;
            return;
        }
        let settings = Settings::default();
        node.busy_until = now + settings.check_every;
        node.proof_at = now;
        node.repeat_at = Some(now + settings.report_repeated_after);
        self.send_report(index);
    }

    /// Sends a reader's report to all other nodes.
    fn send_report(&mut self, from: usize) {
        let proof = Proof {
            versions: Versions::default(),
            at: self.nodes[from].proof_at,
        };
        for (to, node) in self.nodes.iter_mut().enumerate() {
            let is_lost = self.rng.random_ratio(self.loss_percent, 100);
            if to != from && node.condition != Condition::Stopped && !is_lost {
                node.failover
                    .record_report(self.now, proof.versions, proof, from < to);
            }
        }
    }

    fn readers(&self) -> Vec<usize> {
        let nodes = self.nodes.iter().enumerate();
        let readers = nodes.filter(|(_, node)| node.reads && node.condition == Condition::Healthy);
        readers.map(|(index, _)| index).collect()
    }
}

fn has_reader(nodes: &[Node]) -> bool {
    nodes
        .iter()
        .any(|node| node.reads && node.condition == Condition::Healthy)
}

/// Guards against readers that are selected by membership alone: they would resume only when the
/// store answers them again, or seconds after a crash.
#[rstest]
#[case::one_successor_is_healthy(4, 3, Condition::Unanswered)]
#[case::last_successor_is_healthy(17, 9, Condition::Unanswered)]
#[case::all_preceding_nodes_have_stopped(17, 9, Condition::Stopped)]
#[case::large_zone(73, 8, Condition::Unanswered)]
fn acts_as_reader_soon_enough_for_a_change_to_be_in_force(
    #[case] size: usize,
    #[case] failed: usize,
    #[case] condition: Condition,
) {
    for seed in 0..50 {
        let mut zone = Zone::new(size, seed, 2);
        zone.run(Duration::from_millis(3_000 + seed * 13), |_| false);
        for node in &mut zone.nodes[..failed] {
            node.condition = condition;
        }
        let read = zone.run(READ_TIMEOUT, has_reader);
        assert!(read, "seed {seed}");
    }
}

/// Guards against other nodes that call the store while the readers report.
#[test]
fn acts_as_reader_is_false_while_readers_report() {
    for seed in 0..20 {
        let mut zone = Zone::new(17, seed, 2);
        zone.run(Duration::from_secs(2), |_| false);
        let successor_reads = |nodes: &[Node]| nodes[READERS..].iter().any(|node| node.reads);
        assert!(
            !zone.run(Duration::from_mins(1), successor_reads),
            "seed {seed}"
        );
    }
}

/// Guards against a whole zone that calls an unavailable store.
#[test]
fn acts_as_reader_limits_the_nodes_that_call_an_unavailable_store() {
    let settings = Settings::default();
    let mut zone = Zone::new(73, 1, 2);
    zone.run(Duration::from_secs(3), |_| false);
    for node in &mut zone.nodes {
        node.condition = Condition::Unanswered;
    }
    zone.store_calls = 0;
    zone.run(Duration::from_secs(5), |_| false);
    // Readers call the store for five seconds, and successors once reports are overdue after one
    // second.
    let max_calls = READERS * 11 + settings.successors * 9;
    assert!(zone.store_calls <= max_calls, "{} calls", zone.store_calls);
}

/// Guards against several nodes that act as readers indefinitely, and against two that yield to
/// each other.
#[test]
fn acts_as_reader_converges_to_one_node_and_ends_when_a_reader_recovers() {
    let mut zone = Zone::new(17, 3, 2);
    zone.run(Duration::from_secs(3), |_| false);
    zone.nodes[0].condition = Condition::Unanswered;
    zone.nodes[1].condition = Condition::Unanswered;
    zone.run(Duration::from_secs(4), |_| false);
    assert_eq!(zone.readers(), [2]);
    assert!(!zone.run(Duration::from_secs(10), |nodes| !has_reader(nodes)));
    zone.nodes[0].condition = Condition::Healthy;
    zone.run(Duration::from_secs(2), |_| false);
    assert_eq!(zone.readers(), [0]);
}
