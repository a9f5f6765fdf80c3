//! Replays of an upstream under more load than it can serve, in virtual time.
//!
//! Unless a test says otherwise, there are four slots and requests of two ranks with service times
//! of 120 and 138 ms, varied by a third, at 1.3 times the load that the slots can take. Targets are
//! 300 ms, deadlines 1.2 and 1.5 s. A refused request is retried once, at the time that the refusal
//! gave; its latency counts from the first attempt.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::admission::{Action, Admission, Answer, Decision};
use mintridge_core::configs::admission::Settings;
use mintridge_core::load::Upstream;
use mintridge_core::outcome::Reason;
use mintridge_core::request::{Arrival, Id};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SLOTS: u32 = 4;
const TICK: Duration = Duration::from_millis(1);
const TICKS: u64 = 40_000;
/// Number of replays that are averaged; single replays differ by 2 %.
const SEEDS: u64 = 10;
const TARGET: Duration = Duration::from_millis(300);

/// Kind of request: the route and its load.
#[derive(Clone, Copy)]
struct Kind {
    route: &'static str,
    priority: u8,
    per_second: f64,
    service_time: Duration,
    target: Duration,
    deadline: Duration,
}

const URGENT: Kind = Kind {
    route: "urgent",
    priority: 1,
    per_second: 13.0,
    service_time: Duration::from_millis(120),
    target: TARGET,
    deadline: Duration::from_millis(1500),
};
const COMMON: Kind = Kind {
    route: "common",
    priority: 2,
    per_second: 26.0,
    service_time: Duration::from_millis(138),
    target: TARGET,
    deadline: Duration::from_millis(1200),
};

/// Calls between upstreams, uploads and payments, at 1.5 times the load that the slots can take.
const MIXED_OVERLOAD: [Kind; 3] = [
    Kind {
        route: "call",
        priority: 1,
        per_second: 60.0,
        service_time: Duration::from_millis(30),
        target: Duration::from_millis(120),
        deadline: Duration::from_millis(400),
    },
    Kind {
        route: "upload",
        priority: 1,
        per_second: 26.0,
        service_time: Duration::from_millis(140),
        target: Duration::from_millis(800),
        deadline: Duration::from_secs(3),
    },
    Kind {
        route: "payment",
        priority: 2,
        per_second: 6.0,
        service_time: Duration::from_millis(95),
        target: Duration::from_millis(250),
        deadline: Duration::from_millis(1500),
    },
];

/// One attempt of a request.
#[derive(Clone, Copy)]
struct Attempt {
    kind: Kind,
    /// Arrival of the first attempt.
    first_arrived_at: Instant,
    /// Arrival of this attempt.
    arrived_at: Instant,
    finishes_at: Option<Instant>,
}

#[derive(Default)]
struct Stats {
    requests: u32,
    in_time: u32,
    late: u32,
    /// Total time that refused attempts waited for their refusal.
    wait: Duration,
    refused: u32,
}

impl Stats {
    fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.requests)
    }

    fn mean_wait(&self) -> Duration {
        self.wait / self.refused.max(1)
    }
}

struct Replay {
    admission: Admission,
    rng: ChaCha8Rng,
    now: Instant,
    attempts: BTreeMap<Id, Attempt>,
    retries: Vec<(Instant, Attempt)>,
    stats: BTreeMap<&'static str, Stats>,
    next_id: u64,
}

impl Replay {
    fn new(seed: u64, rank_share_least: f64) -> Self {
        let settings = Settings {
            service_time_initial: Duration::from_millis(130),
            retry_after_least: Duration::from_millis(50),
            rank_share_least,
            ..Settings::default()
        };
        Self {
            admission: Admission::new(settings, SLOTS),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Instant::now(),
            attempts: BTreeMap::new(),
            retries: Vec::new(),
            stats: BTreeMap::new(),
            next_id: 0,
        }
    }

    fn run(mut self, kinds: &[Kind]) -> BTreeMap<&'static str, Stats> {
        for _ in 0..TICKS {
            self.now += TICK;
            self.finish();
            for &kind in kinds {
                if self.rng.random::<f64>() < kind.per_second * TICK.as_secs_f64() {
                    self.stats.entry(kind.route).or_default().requests += 1;
                    self.arrive(kind, self.now);
                }
            }
            let now = self.now;
            let due: Vec<Attempt> = self
                .retries
                .extract_if(.., |(at, _)| *at <= now)
                .map(|(_, attempt)| attempt)
                .collect();
            for attempt in due {
                self.arrive(attempt.kind, attempt.first_arrived_at);
            }
        }
        self.stats
    }

    fn arrive(&mut self, kind: Kind, first_arrived_at: Instant) {
        let id = Id(self.next_id);
        self.next_id += 1;
        let attempt = Attempt {
            kind,
            first_arrived_at,
            arrived_at: self.now,
            finishes_at: None,
        };
        self.attempts.insert(id, attempt);
        let arrival = Arrival {
            id,
            client_account: Arc::from("client_account"),
            deadline: first_arrived_at + kind.deadline,
            target: self.now + kind.target,
            priority: kind.priority,
            route: Arc::from(kind.route),
            only_in_time: false,
        };
        match self.admission.arrive(self.now, arrival, 1.0) {
            Decision::Admit => self.start(id),
            Decision::Queue => {}
            Decision::Refuse(refusal) => self.record_refusal(id, refusal.retry_at),
        }
        self.apply_actions();
    }

    fn apply_actions(&mut self) {
        while let Some(action) = self.admission.poll(self.now) {
            match action {
                Action::Admit(id) => self.start(id),
                Action::Refuse(id, refusal) => self.record_refusal(id, refusal.retry_at),
            }
        }
    }

    fn start(&mut self, id: Id) {
        let variation = 0.67 + 0.66 * self.rng.random::<f64>();
        let attempt = self.attempts.get_mut(&id).expect("it arrived");
        attempt.finishes_at = Some(self.now + attempt.kind.service_time.mul_f64(variation));
    }

    fn record_refusal(&mut self, id: Id, retry_at: Instant) {
        let attempt = self.attempts.remove(&id).expect("it arrived");
        let stats = self.stats.entry(attempt.kind.route).or_default();
        stats.refused += 1;
        stats.wait += self.now - attempt.arrived_at;
        if attempt.first_arrived_at == attempt.arrived_at {
            self.retries.push((retry_at, attempt));
        }
    }

    fn finish(&mut self) {
        let now = self.now;
        let is_done = |attempt: &Attempt| attempt.finishes_at.is_some_and(|at| at <= now);
        let done: Vec<Id> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| is_done(attempt))
            .map(|(id, _)| *id)
            .collect();
        for id in done {
            let attempt = self.attempts.remove(&id).expect("it ran");
            self.admission.record_answer(now, id, Answer::Served);
            self.admission.finish(id);
            let stats = self.stats.entry(attempt.kind.route).or_default();
            if now <= attempt.first_arrived_at + attempt.kind.target {
                stats.in_time += 1;
            } else {
                stats.late += 1;
            }
        }
        self.apply_actions();
    }
}

/// Guards against a wrong wait estimate in a long burst. When every queued request counted as ahead
/// of a new one, and late ones stayed queued, 0.390 of the common requests met their target. The
/// estimate from requests that go first and more urgent ones still to arrive, with few late ones
/// queued, yields 0.423, and as many urgent ones in time as before.
#[test]
fn arrive_under_overload_meets_most_targets() {
    let seeds = 1..=SEEDS;
    let replay = |seed| Replay::new(seed, Settings::default().rank_share_least);
    let replays: Vec<_> = seeds
        .map(|seed| replay(seed).run(&[URGENT, COMMON]))
        .collect();
    let mean = |value_of: fn(&Stats) -> f64, route: &str| {
        let all = replays.iter().map(|stats| value_of(&stats[route]));
        all.sum::<f64>() / f64::from(u32::try_from(SEEDS).expect("a few"))
    };
    let urgent = mean(Stats::in_time_share, "urgent");
    let common = mean(Stats::in_time_share, "common");
    assert!(urgent > 0.99, "{urgent}");
    assert!(common > 0.41, "{common}");
    let wait = mean(|stats| stats.mean_wait().as_secs_f64(), "common");
    assert!(wait < TARGET.as_secs_f64() / 4.0, "{wait}");
}

/// Share of the requests of each route that are in time, and that of all routes together.
fn in_time_by_route(rank_share_least: f64) -> (BTreeMap<&'static str, f64>, f64) {
    let mut sums: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
    for seed in 1..=SEEDS {
        for (route, stats) in Replay::new(seed, rank_share_least).run(&MIXED_OVERLOAD) {
            let sum = sums.entry(route).or_default();
            sum.0 += f64::from(stats.in_time);
            sum.1 += f64::from(stats.requests);
        }
    }
    let all = sums
        .values()
        .fold((0.0, 0.0), |all, sum| (all.0 + sum.0, all.1 + sum.1));
    let by_route = sums.iter().map(|(route, sum)| (*route, sum.0 / sum.1));
    (by_route.collect(), all.0 / all.1)
}

/// Guards against starvation of the least urgent rank in a long overload. With strict priority
/// almost no payment is in time, because calls and uploads take all slots. With a minimum share per
/// rank, payments are in time at least 0.3 times as often as all requests, and the others lose
/// little.
#[test]
fn arrive_does_not_starve_the_least_urgent_rank() {
    let (by_rank, _) = in_time_by_route(0.0);
    let (by_share, all) = in_time_by_route(Settings::default().rank_share_least);
    assert!(by_rank["payment"] < 0.01, "{by_rank:?}");
    assert!(by_share["payment"] > 0.3 * all, "{by_share:?} of {all}");
    for route in ["call", "upload"] {
        let ratio = by_share[route] / by_rank[route];
        assert!(ratio > 0.9, "{route}: {by_rank:?} {by_share:?}");
    }
}

/// Guards against estimating short calls by the mean of all routes. Calls of 22 ms and uploads of
/// 110 ms have the same rank, and the host becomes four times slower. A call then takes 88 ms, has
/// 230 ms until its deadline, and no other host is left. By the mean of both routes it was refused,
/// and the request that depended on it failed. By its own route it is queued or admitted.
#[test]
fn arrive_estimates_service_times_by_route() {
    let mut now = Instant::now();
    let settings = Settings {
        slow_phase: Duration::from_millis(300),
        service_time_initial: Duration::from_millis(100),
        ..Settings::default()
    };
    let mut admission = Admission::new(settings, SLOTS);
    let report_slowness = |admission: &mut Admission, now: Instant, percent: u32| {
        let load = Upstream {
            slots: SLOTS,
            slowness_percent: Some(percent),
            ..Upstream::default()
        };
        admission.observe_load(now, &load);
    };
    let arrival = |id: u64, now: Instant, route: &str, millis: u64| Arrival {
        id: Id(id),
        client_account: Arc::from("client_account"),
        deadline: now + Duration::from_millis(millis),
        target: now + Duration::from_millis(100),
        priority: 1,
        route: Arc::from(route),
        only_in_time: false,
    };
    for id in 0..200 {
        report_slowness(&mut admission, now, 100);
        let (route, service_time) = if id % 4 == 0 || id >= 195 {
            ("upload", 110)
        } else {
            ("call", 22)
        };
        admission.arrive(now, arrival(id, now, route, 1_500), 1.0);
        now += Duration::from_millis(service_time);
        admission.record_answer(now, Id(id), Answer::Served);
        admission.finish(Id(id));
    }
    report_slowness(&mut admission, now, 400);
    for id in 200..206 {
        let decision = admission.arrive(now, arrival(id, now, "call", 230), 1.0);
        let refused =
            matches!(decision, Decision::Refuse(refusal) if refusal.reason == Reason::Deadline);
        assert!(!refused, "{decision:?}");
    }
}
