//! A revoked key cannot be used after the bound, and no node that the store answers, directly or
//! through other nodes, refuses keys. Includes a simulation of nodes, readers and a store.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::account::currency::{
    Answer, Currency, Heard, Moment, Peers, Question, Step, is_recent,
};
use mintridge_core::route::Version;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const BOUND: Duration = Duration::from_secs(5);

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn start() -> Moment {
    Moment {
        // Later than the start of the clock, so that ages of a day can be subtracted.
        at: Instant::now() + Duration::from_hours(48),
        suspended: Duration::ZERO,
    }
}

fn later(moment: Moment, time: Duration) -> Moment {
    let at = moment.at + time;
    Moment { at, ..moment }
}

fn answer(question: &Question, version: u64, age: Duration) -> Answer {
    Answer {
        number: question.number,
        version: Version(version),
        age,
    }
}

/// Returns what a node with these peers does; the first of them is a reader.
fn poll(node: &mut Currency, now: Moment) -> Step {
    let peers = Peers {
        hosts: &[Arc::from("reader")],
        readers: 1,
        own_rank: 1,
    };
    node.poll(now, peers)
}

/// Returns a node with version 1 that has asked one question at `now`.
fn asking(now: Moment) -> (Currency, Question) {
    let mut node = Currency::new(BOUND, 1);
    let question = poll(&mut node, now).questions.remove(0);
    (node, question)
}

/// Guards against a node that does not notice how much time has passed: in a socket buffer while the
/// process was frozen, in the answering node, or while the host was suspended.
#[rstest]
#[case::none(millis(0), millis(0), millis(0), true)]
#[case::limit(millis(2_500), millis(1_000), millis(1_000), true)]
#[case::frozen(millis(4_501), millis(0), millis(0), false)]
#[case::answerer_lapsed(millis(0), millis(4_501), millis(0), false)]
#[case::answerer_suspended_for_a_day(millis(0), Duration::from_hours(24), millis(0), false)]
#[case::suspended(millis(0), millis(0), millis(4_501), false)]
#[case::sum(millis(2_000), millis(2_000), millis(501), false)]
fn answer_counts_by_its_age(
    #[case] waited: Duration,
    #[case] stated: Duration,
    #[case] suspended: Duration,
    #[case] counts: bool,
) {
    let asked = start();
    let (mut node, question) = asking(asked);
    let mut now = later(asked, waited);
    now.suspended = suspended;
    node.record_answer(now, Version(1), answer(&question, 1, stated));
    assert_eq!(is_recent(BOUND, node.confirmed(), now), counts);
}

/// Guards against a proof that becomes younger when the two clocks are read in an unlucky moment or
/// a clock is set back.
#[test]
fn age_never_falls_when_the_clocks_differ_less() {
    let mut asked = start();
    asked.suspended = millis(5_000);
    let mut now = later(asked, millis(3_000));
    now.suspended = Duration::ZERO;
    assert_eq!(asked.age(now), millis(3_000));
}

/// Guards against answers that belong to no open question: a duplicate, one to a former process of
/// this host, or one to a question that was given up.
#[test]
fn record_answer_ignores_what_was_not_asked() {
    let asked = start();
    let (mut node, question) = asking(asked);
    let (_, of_former) = {
        let mut former = Currency::new(BOUND, 2);
        let question = poll(&mut former, asked).questions.remove(0);
        (former, question)
    };
    let fresh = |question| answer(question, 1, Duration::ZERO);
    let heard = node.record_answer(asked, Version(1), fresh(&of_former));
    assert_eq!(heard, Heard::Ignored);
    let now = later(asked, millis(4_600));
    poll(&mut node, now);
    let heard = node.record_answer(now, Version(1), fresh(&question));
    assert_eq!(heard, Heard::Ignored);
    let (mut node, question) = asking(asked);
    let heard = [0, 4_000].map(|waited| {
        node.record_answer(later(asked, millis(waited)), Version(1), fresh(&question))
    });
    assert_eq!(heard, [Heard::Confirmed, Heard::Ignored]);
}

/// Guards against a reader that answers without a proof: after a restart, or while the store gives
/// it stale reads only, which are never recorded.
#[test]
fn age_is_stated_only_while_a_proof_counts() {
    let now = start();
    let mut reader = Currency::new(BOUND, 1);
    assert_eq!(reader.age(now), None);
    assert!(reader.record_query(now, Version(1), now));
    let stated = [0, 4_500, 4_501].map(|age| reader.age(later(now, millis(age))));
    assert_eq!(stated, [Some(millis(0)), Some(millis(4_500)), None]);
}

/// Guards against a store that was restored from a copy without the newest table, which then
/// confirms an older one, and against a newer table that is lost everywhere.
#[test]
fn record_query_does_not_confirm_a_table_older_than_one_named() {
    let asked = start();
    let (mut node, question) = asking(asked);
    let heard = node.record_answer(asked, Version(1), answer(&question, 2, Duration::ZERO));
    assert_eq!(heard, Heard::NewerTable(Arc::from("reader")));
    assert!(!node.record_query(asked, Version(1), asked));
    assert_eq!(node.confirmed(), None);
    let now = later(asked, BOUND);
    assert!(node.record_query(now, Version(1), now));
}

/// Guards against a node that waits for the next answer although the table it lacked has arrived.
#[test]
fn update_applies_the_answer_about_a_newer_table() {
    let asked = start();
    let (mut node, question) = asking(asked);
    node.record_answer(asked, Version(1), answer(&question, 2, millis(700)));
    let now = later(asked, millis(100));
    node.update(now, Version(1));
    assert_eq!(node.confirmed(), None);
    node.update(now, Version(2));
    let age = node.confirmed().map(|confirmed| confirmed.age(now));
    assert_eq!(age, Some(millis(800)));
}

const TICK: Duration = Duration::from_millis(20);
const READERS: usize = 2;
const CHECK_EVERY: Duration = Duration::from_millis(750);
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Clone, Copy)]
enum Message {
    Query { from: usize, number: u64 },
    Answer { from: usize, answer: Answer },
    Document(Version),
}

struct Node {
    currency: Currency,
    version: Version,
    reaches_store: bool,
    /// Nodes of the same group exchange datagrams.
    group: usize,
    /// The process is frozen until then; its host is suspended instead if so set.
    frozen_until: Duration,
    is_suspended: bool,
    suspended: Duration,
    /// Speed of the host's clock.
    speed: f64,
    check_at: Duration,
    /// End of the current query of the store, and when it was sent.
    query: Option<(Duration, Moment)>,
    inbox: Vec<(Duration, Message)>,
    /// Nodes that this one may ask, best first.
    hosts: Vec<Arc<str>>,
    readers: usize,
    own_rank: usize,
}

/// Returns the nodes that a node may ask, best first. A host is named by its index, and its zone is
/// the remainder.
fn hosts(index: usize, size: usize, zones: usize) -> Vec<Arc<str>> {
    let mut others: Vec<usize> = (0..size).filter(|other| *other != index).collect();
    others.sort_by_key(|other| (other % zones != index % zones, *other));
    let names = others.iter().map(|other| Arc::from(other.to_string()));
    names.collect()
}

/// A simulated fleet of hosts whose clocks have nothing in common.
struct Fleet {
    nodes: Vec<Node>,
    zones: usize,
    epoch: Instant,
    now: Duration,
    rng: ChaCha8Rng,
    loss: f64,
    store: Version,
    /// When the store acknowledged the newest table.
    written_at: Duration,
    queries: usize,
}

impl Fleet {
    fn new(size: usize, zones: usize, loss: f64, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let nodes = (0..size).map(|index| Node {
            hosts: hosts(index, size, zones),
            readers: READERS - usize::from(index / zones < READERS),
            own_rank: index / zones,
            currency: Currency::new(BOUND, rng.random()),
            version: Version(1),
            reaches_store: true,
            group: 0,
            frozen_until: Duration::ZERO,
            is_suspended: false,
            suspended: Duration::ZERO,
            speed: rng.random_range(0.98..1.02),
            check_at: CHECK_EVERY.mul_f64(rng.random()),
            query: None,
            inbox: Vec::new(),
        });
        Self {
            nodes: nodes.collect(),
            zones,
            epoch: start().at,
            now: Duration::ZERO,
            rng,
            loss,
            store: Version(1),
            written_at: Duration::ZERO,
            queries: 0,
        }
    }

    fn moment(&self, index: usize) -> Moment {
        let node = &self.nodes[index];
        let offset = Duration::from_secs(1_000) * u32::try_from(index).expect("few nodes");
        let at = self.epoch + offset + self.now.saturating_sub(node.suspended).mul_f64(node.speed);
        let suspended = node.suspended.mul_f64(node.speed);
        Moment { at, suspended }
    }

    /// Runs for `time`, and calls `check` for each running node after each of its steps.
    fn run(&mut self, time: Duration, check: impl Fn(&Self, usize, bool)) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            for index in 0..self.nodes.len() {
                let node = &mut self.nodes[index];
                if self.now < node.frozen_until {
                    if node.is_suspended {
                        node.suspended += TICK;
                    }
                    continue;
                }
                self.step(index);
                let confirmed = self.nodes[index].currency.confirmed();
                let usable = is_recent(BOUND, confirmed, self.moment(index));
                let node = &self.nodes[index];
                let is_over = self.now > self.written_at + BOUND;
                assert!(
                    !(usable && is_over && node.version < self.store),
                    "node {index} uses {:?} at {:?}, {:?} written at {:?}",
                    node.version,
                    self.now,
                    self.store,
                    self.written_at,
                );
                check(self, index, usable);
            }
        }
    }

    fn step(&mut self, index: usize) {
        let now = self.moment(index);
        let inbox = std::mem::take(&mut self.nodes[index].inbox);
        let (due, waiting) = inbox.into_iter().partition(|(at, _)| *at <= self.now);
        self.nodes[index].inbox = waiting;
        for (_, message) in due {
            self.receive(index, now, message);
        }
        let node = &mut self.nodes[index];
        let peers = Peers {
            hosts: &node.hosts,
            readers: node.readers,
            own_rank: node.own_rank,
        };
        node.currency.update(now, node.version);
        if peers.own_rank < READERS && self.now >= node.check_at {
            node.check_at = self.now + CHECK_EVERY;
            if node.reaches_store {
                node.version = node.version.max(self.store);
                node.currency.record_query(now, node.version, now);
            }
        }
        if let Some((_, queried)) = node.query.take_if(|(end, _)| self.now >= *end) {
            let counted = node.reaches_store && {
                node.version = node.version.max(self.store);
                node.currency.record_query(now, node.version, queried)
            };
            node.currency.end_query(now.at, counted);
        }
        if now.at < node.currency.poll_at(now, peers) {
            return;
        }
        let step = node.currency.poll(now, peers);
        if step.queries_store {
            let took = if node.reaches_store {
                millis(20)
            } else {
                CALL_TIMEOUT
            };
            node.query = Some((self.now + took, now));
            self.queries += 1;
        }
        for Question { number, host } in step.questions {
            let query = Message::Query {
                from: index,
                number,
            };
            self.send(index, host.parse().expect("an index"), query);
        }
    }

    fn receive(&mut self, index: usize, now: Moment, message: Message) {
        let node = &mut self.nodes[index];
        match message {
            Message::Query { from, number } => {
                if let Some(age) = node.currency.age(now) {
                    let version = node.version;
                    let answer = Answer {
                        number,
                        version,
                        age,
                    };
                    self.send(
                        index,
                        from,
                        Message::Answer {
                            from: index,
                            answer,
                        },
                    );
                }
            }
            Message::Answer { from, answer } => {
                let heard = node.currency.record_answer(now, node.version, answer);
                if matches!(heard, Heard::NewerTable(_)) {
                    self.send(from, index, Message::Document(answer.version));
                }
            }
            Message::Document(version) => node.version = node.version.max(version),
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let is_cut = self.nodes[from].group != self.nodes[to].group;
        if is_cut || self.rng.random_bool(self.loss) {
            return;
        }
        // One in a hundred is very late.
        let is_late = self.rng.random_bool(0.01);
        let delay = self.rng.random_range(1..if is_late { 6_000 } else { 20 });
        let arrives_at = self.now + millis(delay);
        self.nodes[to].inbox.push((arrives_at, message));
    }

    fn write(&mut self) {
        self.store.0 += 1;
        self.written_at = self.now;
    }

    /// Applies a random fault to a random node, or ends all faults of one.
    fn disturb(&mut self) {
        let size = self.nodes.len();
        let index = self.rng.random_range(0..size);
        let until = self.now + millis(self.rng.random_range(100..12_000));
        let kind = self.rng.random_range(0..6);
        let node = &mut self.nodes[index];
        match kind {
            0 | 1 => {
                node.frozen_until = until;
                node.is_suspended = kind == 1;
            }
            2 => node.reaches_store = !node.reaches_store,
            3 => node.group = self.rng.random_range(0..3),
            4 => node.currency = Currency::new(BOUND, self.rng.random()),
            _ => (node.group, node.reaches_store) = (0, true),
        }
    }
}

/// Guards against a key that is used after the bound, whatever fails. The check is in the fleet's
/// `run`.
#[test]
fn revoked_key_is_not_used_after_the_bound() {
    let mut revoked_while_refused = 0_usize;
    for seed in 0..40 {
        let mut fleet = Fleet::new(24, 3, 0.1, seed);
        for _ in 0..30 {
            fleet.disturb();
            fleet.disturb();
            // Each revocation has more than the bound until the next.
            if fleet.now > fleet.written_at + BOUND * 2 {
                fleet.write();
            }
            fleet.run(millis(1_000), |_, _, _| ());
        }
        let outdated = fleet.nodes.iter().filter(|node| node.version < fleet.store);
        revoked_while_refused += outdated.count();
    }
    // Some nodes do miss revocations, so that the check has something to find.
    assert!(revoked_while_refused > 20, "{revoked_while_refused}");
}

/// Which nodes the store answers, and which reach each other.
#[derive(Clone, Copy, Debug)]
enum Ways {
    /// The store answers every node, and no datagram arrives.
    StoreAlone,
    /// The store answers one node only, the last.
    OneNode,
    /// The store answers one node of each of four groups that are cut off from each other.
    OneNodeOfFour,
    /// The store answers all nodes of one zone and none of the others.
    OneZone,
}

impl Ways {
    fn apply(self, fleet: &mut Fleet) {
        let (size, zones) = (fleet.nodes.len(), fleet.zones);
        for (index, node) in fleet.nodes.iter_mut().enumerate() {
            (node.group, node.reaches_store) = match self {
                Self::StoreAlone => (index, true),
                Self::OneNode => (0, index == size - 1),
                Self::OneNodeOfFour => (
                    index / 7 % 4,
                    (size - 28..).step_by(7).take(4).any(|n| n == index),
                ),
                Self::OneZone => (0, index % zones == 1),
            };
        }
    }
}

/// Guards against keys that are refused at a node that the store answers, directly or through other
/// nodes, while datagrams get lost and tables change.
#[rstest]
fn node_with_a_way_to_the_store_refuses_no_key(
    #[values(Ways::StoreAlone, Ways::OneNode, Ways::OneNodeOfFour, Ways::OneZone)] ways: Ways,
    #[values(59, 150)] size: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = Fleet::new(size, 4, 0.05, seed);
    fleet.run(millis(3_000), |_, _, _| ());
    ways.apply(&mut fleet);
    for _ in 0..3 {
        fleet.write();
        fleet.run(millis(6_000), |fleet, index, usable| {
            assert!(usable, "node {index} at {:?}", fleet.now);
        });
    }
}
