//! Simulates how a change of a document in the store reaches the nodes of one availability zone,
//! with the duties of readers and successors, reports and exchanges, while faults that the seed
//! draws strike other nodes.
//!
//! A node that no fault has touched and that the store serves must have each change in time,
//! whatever happens to the others, since it could have read the change itself.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use mintridge_core::configs::failover::Settings;
use mintridge_core::failover::{Failover, Proof, Versions};
use mintridge_core::preset::Revision;
use mintridge_core::route;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Time within which a change must be in force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(5);
/// Number of designated readers.
const READERS: usize = 2;
/// Duration of a call that the store answers.
const CALL_DURATION: Duration = Duration::from_millis(10);
/// Timeout of a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a failed read or watch.
const RETRY_DELAY: Duration = Duration::from_millis(600);
/// Maximum duration of a watch.
const WATCH_DURATION: Duration = Duration::from_secs(12);
/// Duration of an exchange with a peer that answers, and its timeout.
const EXCHANGE_DURATION: Duration = Duration::from_millis(5);
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause between two gossip rounds.
const ROUND_PERIOD: Duration = Duration::from_millis(500);
/// Number of peers to which a change is pushed.
const PUSH_PEERS: usize = 3;
/// Time after which others consider a stopped node dead.
const DEATH_DETECTION: Duration = Duration::from_millis(3_500);
/// Time after which a node that has started knows most others.
const SETTLED_AFTER: Duration = Duration::from_secs(2);
/// A node that was touched by a fault is held to the bound from this time after its end.
const CALM_AFTER: Duration = Duration::from_secs(3);
/// Percentage of datagrams that are lost.
const LOSS_PERCENT: u32 = 2;

/// How the store treats one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Service {
    Served,
    /// Calls fail at once, and watches are cut.
    Refused,
    /// Nothing is answered.
    Silent,
    /// The member of the store that serves the node answers stale reads alone.
    Stale,
}

/// What strikes a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The process ends; it starts again when the fault ends.
    Stop,
    /// The process is paused.
    Freeze,
    /// The store serves it otherwise from now on.
    Store(Service),
    /// Its watch delivers nothing, and all its other calls work.
    DeafWatch,
    /// It gets none of the exchanges that it or its peers begin, and sends datagrams.
    NoExchanges,
}

const FAULTS: [Fault; 7] = [
    Fault::Stop,
    Fault::Freeze,
    Fault::Store(Service::Refused),
    Fault::Store(Service::Silent),
    Fault::Store(Service::Stale),
    Fault::DeafWatch,
    Fault::NoExchanges,
];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Follow {
    /// The node does not follow the store.
    Off,
    Reading {
        requested_at: Instant,
        done_at: Instant,
    },
    Watching {
        is_deaf: bool,
        ends_at: Instant,
    },
    Waiting {
        until: Instant,
    },
}

/// A call by which a node checks the store.
#[derive(Clone, Copy, Debug)]
struct Check {
    requested_at: Instant,
    done_at: Instant,
    /// Whether it asks for changes; otherwise the answer may be stale.
    verifies: bool,
}

/// An exchange that this node has begun.
#[derive(Clone, Copy, Debug)]
struct Exchange {
    peer: usize,
    done_at: Instant,
}

struct Node {
    failover: Failover,
    /// A node that has just started is no reader before this time.
    settled_at: Instant,
    version: u64,
    service: Service,
    stopped_at: Option<Instant>,
    /// The faults that strike the node now.
    faults: Vec<Fault>,
    /// When the latest fault ended, or the node started.
    calm_since: Instant,
    follow: Follow,
    check: Option<Check>,
    /// Whether the store has not answered since this node began to act as a reader.
    check_failed: bool,
    is_acting: bool,
    exchanges: Vec<Exchange>,
    is_catching_up: bool,
    next_round_at: Instant,
}

struct Report {
    from: usize,
    proof: Proof,
}

/// A simulated zone; its nodes are ordered by index.
struct Zone {
    nodes: Vec<Node>,
    now: Instant,
    rng: ChaCha8Rng,
    /// Newest version in the store.
    version: u64,
}

impl Zone {
    fn new(size: usize, seed: u64) -> Self {
        let now = Instant::now();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let nodes = (0..size).map(|_| Node::new(now, now, 1, &mut rng));
        Self {
            nodes: nodes.collect(),
            now,
            rng,
            version: 1,
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for index in 0..self.nodes.len() {
                if self.nodes[index].is_running() {
                    self.step(index);
                }
            }
        }
    }

    fn step(&mut self, index: usize) {
        self.finish_exchanges(index);
        self.update_role(index);
        self.step_follow(index);
        self.step_check(index);
        self.step_round(index);
    }

    /// Returns the number of nodes before this one that it considers alive.
    fn rank(&self, index: usize) -> usize {
        let is_alive = |node: &&Node| {
            let stopped_at = node.stopped_at;
            stopped_at.is_none_or(|at| self.now < at + DEATH_DETECTION)
        };
        self.nodes[..index].iter().filter(is_alive).count()
    }

    fn is_reader(&self, index: usize) -> bool {
        self.now >= self.nodes[index].settled_at && self.rank(index) < READERS
    }

    fn update_role(&mut self, index: usize) {
        let position = (self.rank(index) + 1).saturating_sub(READERS);
        let is_reader = self.is_reader(index);
        let node = &mut self.nodes[index];
        node.failover.update(node.versions());
        let is_acting = !is_reader && node.failover.acts_as_reader(self.now, position);
        if is_acting && !node.is_acting {
            node.check_failed = true;
        }
        node.is_acting = is_acting;
    }

    fn follows(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        self.is_reader(index) || (node.is_acting && !node.check_failed)
    }

    fn step_follow(&mut self, index: usize) {
        let follows = self.follows(index);
        let (now, newest) = (self.now, self.version);
        let node = &mut self.nodes[index];
        match node.follow {
            Follow::Off if follows => node.start_read(now),
            Follow::Off => {}
            _ if !follows => node.follow = Follow::Off,
            Follow::Reading {
                requested_at,
                done_at,
            } if now >= done_at => {
                if node.service == Service::Served {
                    node.failover.record_check(requested_at);
                    node.check_failed = false;
                    node.follow = Follow::Watching {
                        is_deaf: false,
                        ends_at: now + WATCH_DURATION.mul_f64(self.rng.random_range(0.5..1.0)),
                    };
                    self.learn(index, newest);
                    self.send_report(index);
                } else {
                    node.fail_follow(now);
                }
            }
            Follow::Reading { .. } => {}
            Follow::Watching { is_deaf, ends_at } => {
                if node.service == Service::Refused || now >= ends_at {
                    node.start_read(now);
                } else if !is_deaf && node.service == Service::Served {
                    self.learn(index, newest);
                }
            }
            Follow::Waiting { until } => {
                if now >= until {
                    node.start_read(now);
                }
            }
        }
    }

    fn step_check(&mut self, index: usize) {
        let now = self.now;
        let reads = self.is_reader(index) || self.nodes[index].is_acting;
        if let Some(check) = self.nodes[index].check {
            if now < check.done_at {
                return;
            }
            self.nodes[index].check = None;
            self.finish_check(index, check);
        }
        let rank = if self.nodes[index].is_acting {
            0
        } else {
            self.rank(index)
        };
        let node = &mut self.nodes[index];
        let verifies = matches!(node.follow, Follow::Watching { .. });
        let is_able = verifies || (node.is_acting && node.check_failed);
        if reads && is_able && now >= node.failover.check_at(now, rank) {
            node.check = Some(Check {
                requested_at: now,
                done_at: now + node.call_duration(verifies),
                verifies,
            });
        }
    }

    fn finish_check(&mut self, index: usize, check: Check) {
        let (now, newest) = (self.now, self.version);
        let node = &mut self.nodes[index];
        let is_answered =
            node.service == Service::Served || (node.service == Service::Stale && !check.verifies);
        if !is_answered {
            node.failover.record_failed_check(now);
            return;
        }
        node.check_failed = false;
        if !check.verifies {
            return;
        }
        node.failover.record_check(check.requested_at);
        if node.version < newest {
            node.start_read(now);
        }
        self.learn(index, newest);
        self.send_report(index);
    }

    /// Reports this node's proof to all other nodes.
    fn send_report(&mut self, from: usize) {
        let node = &self.nodes[from];
        let Some(at) = node.failover.verified_at() else {
            return;
        };
        let versions = node.versions();
        let report = Report {
            from,
            proof: Proof { versions, at },
        };
        for to in 0..self.nodes.len() {
            let is_lost = self.rng.random_ratio(LOSS_PERCENT, 100);
            if to != from && self.nodes[to].is_running() && !is_lost {
                self.receive_report(to, &report);
            }
        }
    }

    fn receive_report(&mut self, to: usize, report: &Report) {
        let now = self.now;
        let node = &mut self.nodes[to];
        let own = node.versions();
        let ahead = report.from < to;
        let counts = node.failover.record_report(now, own, report.proof, ahead);
        let is_catching_up = node.is_catching_up;
        if own.is_behind(&report.proof.versions) && !is_catching_up {
            self.nodes[to].is_catching_up = true;
            self.begin_exchange(to, report.from);
        }
        if counts && ahead && self.is_reader(to) {
            self.send_report(to);
        }
    }

    fn can_exchange(&self, a: usize, b: usize) -> bool {
        let ends = [&self.nodes[a], &self.nodes[b]];
        ends.iter()
            .all(|node| node.is_running() && node.has_exchanges())
    }

    fn exchange_duration(&self, a: usize, b: usize) -> Duration {
        if self.can_exchange(a, b) {
            EXCHANGE_DURATION
        } else {
            EXCHANGE_TIMEOUT
        }
    }

    fn begin_exchange(&mut self, index: usize, peer: usize) {
        let done_at = self.now + self.exchange_duration(index, peer);
        self.nodes[index].exchanges.push(Exchange { peer, done_at });
    }

    fn finish_exchanges(&mut self, index: usize) {
        let now = self.now;
        let exchanges = std::mem::take(&mut self.nodes[index].exchanges);
        let (done, pending): (Vec<_>, Vec<_>) =
            exchanges.into_iter().partition(|e| now >= e.done_at);
        self.nodes[index].exchanges = pending;
        for exchange in done {
            self.nodes[index].is_catching_up = false;
            if self.can_exchange(index, exchange.peer) {
                let newest = self.nodes[index]
                    .version
                    .max(self.nodes[exchange.peer].version);
                self.learn(index, newest);
                self.learn(exchange.peer, newest);
            }
        }
    }

    fn step_round(&mut self, index: usize) {
        if self.now < self.nodes[index].next_round_at {
            return;
        }
        self.nodes[index].next_round_at = self.now + ROUND_PERIOD;
        for peer in self.sample_peers(index, 1) {
            self.begin_exchange(index, peer);
        }
    }

    /// Puts a version in force on a node, which pushes it to a few peers.
    fn learn(&mut self, index: usize, version: u64) {
        if self.nodes[index].version >= version {
            return;
        }
        self.nodes[index].version = version;
        for peer in self.sample_peers(index, PUSH_PEERS) {
            self.begin_exchange(index, peer);
        }
    }

    fn sample_peers(&mut self, index: usize, count: usize) -> Vec<usize> {
        let peers = (0..self.nodes.len()).filter(|peer| *peer != index);
        peers.sample(&mut self.rng, count)
    }

    fn strike(&mut self, index: usize, fault: Fault) {
        let now = self.now;
        let node = &mut self.nodes[index];
        node.faults.push(fault);
        match fault {
            Fault::Stop => node.stopped_at = Some(now),
            Fault::Store(service) => node.service = service,
            Fault::Freeze | Fault::NoExchanges => {}
            Fault::DeafWatch => {
                if let Follow::Watching { is_deaf, .. } = &mut node.follow {
                    *is_deaf = true;
                }
            }
        }
    }

    /// Ends all faults of a node. A watch on which the store was silent stays open and delivers
    /// nothing, and a process that ended starts again with the documents of some peer.
    fn heal(&mut self, index: usize) {
        let now = self.now;
        let peers = (0..self.nodes.len()).filter(|peer| *peer != index);
        let peers = peers.filter(|peer| self.nodes[*peer].is_running());
        let peer = peers.choose(&mut self.rng);
        let version = peer.map_or(self.version, |peer| self.nodes[peer].version);
        let node = &mut self.nodes[index];
        if node.stopped_at.is_some() {
            *node = Node::new(now, now + SETTLED_AFTER, version, &mut self.rng);
            return;
        }
        if let Follow::Watching { is_deaf, .. } = &mut node.follow {
            *is_deaf |= node.service == Service::Silent;
        }
        node.service = Service::Served;
        node.faults.clear();
        node.calm_since = now;
    }

    /// Returns whether a node that no fault touches lacks the newest version.
    fn is_behind(&self, node: &Node) -> bool {
        node.faults.is_empty() && node.version < self.version
    }
}

impl Node {
    /// Creates a node that knows the others from `settled_at` on.
    fn new(now: Instant, settled_at: Instant, version: u64, rng: &mut ChaCha8Rng) -> Self {
        Self {
            failover: Failover::new(Settings::default(), settled_at),
            settled_at,
            version,
            service: Service::Served,
            stopped_at: None,
            faults: Vec::new(),
            calm_since: now,
            follow: Follow::Off,
            check: None,
            check_failed: false,
            is_acting: false,
            exchanges: Vec::new(),
            is_catching_up: false,
            next_round_at: now + ROUND_PERIOD.mul_f64(rng.random()),
        }
    }

    fn is_running(&self) -> bool {
        self.stopped_at.is_none() && !self.faults.contains(&Fault::Freeze)
    }

    fn has_exchanges(&self) -> bool {
        !self.faults.contains(&Fault::NoExchanges)
    }

    fn versions(&self) -> Versions {
        Versions {
            preset: Revision(0),
            routes: route::Version(self.version),
        }
    }

    fn start_read(&mut self, now: Instant) {
        self.follow = Follow::Reading {
            requested_at: now,
            done_at: now + self.call_duration(true),
        };
    }

    fn fail_follow(&mut self, now: Instant) {
        self.follow = Follow::Waiting {
            until: now + RETRY_DELAY,
        };
    }

    /// Returns the duration of a call, given how the store treats the node.
    fn call_duration(&self, needs_latest: bool) -> Duration {
        match self.service {
            Service::Served | Service::Refused => CALL_DURATION,
            Service::Stale if !needs_latest => CALL_DURATION,
            Service::Stale | Service::Silent => CALL_TIMEOUT,
        }
    }
}

/// Guards against calm nodes that wait for a change from others which do not have it, or cannot
/// pass it on.
#[rstest]
#[case::pair(2, 1, 0..400)]
#[case::small(4, 3, 0..800)]
#[case::readers_alone(12, 2, 0..400)]
#[case::many(12, 9, 0..400)]
#[case::large(73, 9, 0..30)]
fn change_reaches_calm_nodes_in_time(
    #[case] size: usize,
    #[case] max_struck: usize,
    #[case] seeds: std::ops::Range<u64>,
) {
    let mut failed = Vec::new();
    for seed in seeds.clone() {
        let mut zone = Zone::new(size, seed);
        zone.run(Duration::from_secs(4));
        let struck = zone.rng.random_range(1..=max_struck);
        let mut faults = BTreeSet::new();
        for index in 0..struck {
            let fault = FAULTS.iter().choose(&mut zone.rng).expect("a fault");
            zone.strike(index, *fault);
            faults.insert(format!("{index}: {fault:?}"));
            let pause = zone.rng.random_range(0..400);
            zone.run(Duration::from_millis(pause));
        }
        zone.version += 1;
        zone.run(IN_FORCE_TIMEOUT);
        if zone.nodes.iter().any(|node| zone.is_behind(node)) {
            failed.push((seed, faults));
        }
    }
    assert!(
        failed.is_empty(),
        "{} of {} seeds, the first: {:?}",
        failed.len(),
        seeds.count(),
        failed.first()
    );
}

/// A fault of one node, and when it ends.
struct Strike {
    index: usize,
    ends_at: Instant,
}

/// Guards against nodes that stay behind after faults have ended, while faults strike other nodes
/// and changes come in series.
#[rstest]
#[case::pair(2, 0..150)]
#[case::small(4, 0..150)]
#[case::many(12, 0..60)]
fn changes_reach_nodes_that_have_recovered(
    #[case] size: usize,
    #[case] seeds: std::ops::Range<u64>,
) {
    let mut failed = Vec::new();
    for seed in seeds.clone() {
        if let Some(failure) = play_series(size, seed) {
            failed.push((seed, failure));
        }
    }
    assert!(
        failed.is_empty(),
        "{} of {} seeds, the first: {:?}",
        failed.len(),
        seeds.count(),
        failed.first()
    );
}

/// Plays 20 seconds of changes and faults; returns the first violation.
fn play_series(size: usize, seed: u64) -> Option<String> {
    let mut zone = Zone::new(size, seed);
    zone.run(Duration::from_secs(3));
    let (mut changes, mut strikes, mut log) = (Vec::new(), Vec::<Strike>::new(), Vec::new());
    let start = zone.now;
    while zone.now < start + Duration::from_secs(20) {
        zone.run(Duration::from_millis(100));
        let now = zone.now;
        let (ended, active) = strikes
            .into_iter()
            .partition(|strike| now >= strike.ends_at);
        strikes = active;
        for strike in ended as Vec<Strike> {
            zone.heal(strike.index);
        }
        let is_struck = zone.rng.random_ratio(1, 8);
        let calm = (0..size).filter(|index| zone.nodes[*index].faults.is_empty());
        if let Some(index) = calm.choose(&mut zone.rng)
            && is_struck
            && strikes.len() + 1 < size
        {
            let fault = *FAULTS.iter().choose(&mut zone.rng).expect("a fault");
            let millis = zone.rng.random_range(200..4_000);
            let ends_at = now + Duration::from_millis(millis);
            zone.strike(index, fault);
            strikes.push(Strike { index, ends_at });
            let at = millis_since(start, now);
            log.push(format!("{at}: {index} {fault:?} for {millis}"));
        }
        if zone.rng.random_ratio(1, 5) {
            zone.version += 1;
            changes.push((now, zone.version));
        }
        let due = changes.iter().rev();
        let mut due = due.filter(|(acknowledged_at, _)| now >= *acknowledged_at + IN_FORCE_TIMEOUT);
        let Some((acknowledged_at, version)) = due.next() else {
            continue;
        };
        for (index, node) in zone.nodes.iter().enumerate() {
            let is_calm = node.faults.is_empty() && now >= node.calm_since + CALM_AFTER;
            if is_calm && node.version < *version {
                let (at, acknowledged_at) = (
                    millis_since(start, now),
                    millis_since(start, *acknowledged_at),
                );
                return Some(format!(
                    "node {index} has {} at {at}, {version} was acknowledged at {acknowledged_at}; {log:#?}",
                    node.version
                ));
            }
        }
    }
    None
}

fn millis_since(start: Instant, now: Instant) -> u128 {
    now.saturating_duration_since(start).as_millis()
}
