//! Chooses an upstream for one request, at the node that received it from the caller.
//!
//! The load of every upstream is counted by the node beside it and attached to answers that are
//! sent anyway, so a load report is stale on arrival. The reported load has two parts: this node's
//! own requests, which it counts exactly at any moment, and those of other nodes, which finish and
//! are replaced by others within one service time. The other nodes' part is therefore used as
//! reported while the report is fresh, and decays to the mean of the compared candidates as the
//! report ages; this node's own part is never estimated.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::configs::placement::Settings;
use crate::load::{Report, slow_penalty};

/// Minimum chance that a host which has just joined is among the compared candidates.
const MIN_RAMP_CHANCE: f64 = 0.05;
/// A starting node learns of all existing hosts within this time after the first of them: through
/// the exchange in which it joins, the member table that follows, and a few gossip rounds.
const STARTUP_WINDOW: Duration = Duration::from_secs(2);
/// Cost added to a host that is avoided, in seconds; higher than any real wait.
const AVOIDANCE_PENALTY_SECONDS: f64 = 60.0;

/// An upstream that can be chosen for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Host that the upstream runs on.
    pub host: Arc<str>,
    /// Service that the upstream offers.
    pub service: Arc<str>,
    /// Maximum number of concurrent requests, as announced by the upstream.
    pub slots: u32,
    /// Whether the upstream is in this node's own availability zone.
    pub same_zone: bool,
}

/// How one attempt ended, as far as it matters for placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The upstream answered.
    Answered,
    /// The node beside the upstream refused for lack of capacity; its report carries the load.
    Full,
    /// The host refused for another reason, or the link broke: it is avoided for a while.
    Avoid,
    /// The attempt was abandoned before it ended, which says nothing about the host.
    Abandoned,
}

/// Candidates of each service, with their last reported load and this node's own requests.
#[derive(Debug)]
pub struct Placement {
    settings: Settings,
    services: BTreeMap<Arc<str>, Vec<Candidate>>,
    /// Hosts that first appear before this moment existed before this node; `None` until one has.
    startup_ends_at: Option<Instant>,
    rng: ChaCha8Rng,
}

#[derive(Debug)]
struct Candidate {
    upstream: Upstream,
    report: Report,
    reported_at: Instant,
    /// Whether a load report has ever arrived.
    has_reported: bool,
    /// Requests of other nodes, by the last report.
    others_load: f64,
    /// Requests that this node has in progress there.
    outstanding: u32,
    ramp_ends_at: Instant,
    avoid_until: Option<Instant>,
}

impl Placement {
    /// Starts without candidates; `seed` makes every choice reproducible.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            services: BTreeMap::new(),
            startup_ends_at: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Replaces the settings.
    pub fn set_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Replaces the set of candidates; those that stay keep their recorded load.
    pub fn update(&mut self, now: Instant, upstreams: &[Upstream]) {
        if upstreams.is_empty() {
            self.services.clear();
            return;
        }
        let startup_ends_at = *self.startup_ends_at.get_or_insert(now + STARTUP_WINDOW);
        let mut old = std::mem::take(&mut self.services);
        for upstream in upstreams {
            let existing = old
                .get_mut(&upstream.service)
                .and_then(|candidates| remove_candidate(candidates, &upstream.host));
            let candidate = match existing {
                Some(existing) => Candidate {
                    upstream: upstream.clone(),
                    ..existing
                },
                None => self.new_candidate(now, upstream, now < startup_ends_at),
            };
            self.services
                .entry(Arc::clone(&upstream.service))
                .or_default()
                .push(candidate);
        }
    }

    /// Whether any host offers the service.
    #[must_use]
    pub fn has_service(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// Whether the service has a host that is not among `tried`.
    #[must_use]
    pub fn has_untried(&self, service: &str, tried: &[Arc<str>]) -> bool {
        let mut candidates = self.services.get(service).into_iter().flatten();
        candidates.any(|candidate| !tried.contains(&candidate.upstream.host))
    }

    /// Chooses a host that is not among `tried` and counts the request as placed there.
    pub fn pick(&mut self, now: Instant, service: &str, tried: &[Arc<str>]) -> Option<Arc<str>> {
        let candidates = self.services.get_mut(service)?;
        let compared = sample(&self.settings, &mut self.rng, candidates, now, tried);
        let averages = Averages::of(candidates, &compared);
        let mut best: Option<(usize, f64)> = None;
        for index in compared {
            let cost = expected_cost(&self.settings, &candidates[index], &averages, now);
            if best.is_none_or(|(_, best_cost)| cost < best_cost) {
                best = Some((index, cost));
            }
        }
        let candidate = &mut candidates[best?.0];
        candidate.outstanding += 1;
        Some(Arc::clone(&candidate.upstream.host))
    }

    /// Counts a request as placed on the given host; returns false if the host is unknown.
    pub fn place_on(&mut self, service: &str, host: &str) -> bool {
        let Some(candidate) = self.candidate(service, host) else {
            return false;
        };
        candidate.outstanding += 1;
        true
    }

    /// Returns the hosts of a service.
    pub fn hosts(&self, service: &str) -> impl Iterator<Item = &Arc<str>> {
        let candidates = self.services.get(service).into_iter().flatten();
        candidates.map(|candidate| &candidate.upstream.host)
    }

    /// Records the end of a request placed by [`Self::pick`] or [`Self::place_on`].
    pub fn finish(&mut self, now: Instant, service: &str, host: &str, ending: Ending) {
        let avoid_until = now + self.settings.avoid_for;
        let Some(candidate) = self.candidate(service, host) else {
            return;
        };
        candidate.outstanding = candidate.outstanding.saturating_sub(1);
        match ending {
            Ending::Answered => candidate.avoid_until = None,
            Ending::Full | Ending::Abandoned => {}
            Ending::Avoid => candidate.avoid_until = Some(avoid_until),
        }
    }

    /// Records a load report; requests beyond this node's own are attributed to other nodes.
    pub fn record_report(&mut self, now: Instant, service: &str, host: &str, report: Report) {
        let Some(candidate) = self.candidate(service, host) else {
            return;
        };
        candidate.report = report;
        candidate.reported_at = now;
        candidate.has_reported = true;
        let total = f64::from(report.in_flight + report.queued);
        candidate.others_load = (total - f64::from(candidate.outstanding)).max(0.0);
    }

    /// Returns the last load report of an upstream and when it arrived, for logs.
    #[must_use]
    pub fn last_report(&self, service: &str, host: &str) -> Option<(Report, Instant)> {
        let mut candidates = self.services.get(service)?.iter();
        let candidate = candidates.find(|candidate| candidate.upstream.host.as_ref() == host)?;
        Some((candidate.report, candidate.reported_at))
    }

    /// Returns the candidates of each service with their last load report and the number of this
    /// node's requests in progress there, for operators.
    pub fn candidates(&self) -> impl Iterator<Item = (&Upstream, &Report, u32)> {
        self.services.values().flatten().map(|candidate| {
            (
                &candidate.upstream,
                &candidate.report,
                candidate.outstanding,
            )
        })
    }

    fn candidate(&mut self, service: &str, host: &str) -> Option<&mut Candidate> {
        self.services
            .get_mut(service)?
            .iter_mut()
            .find(|candidate| candidate.upstream.host.as_ref() == host)
    }

    /// Creates a candidate. A host that joins a running fleet is cold and its share of the traffic
    /// grows slowly; one that already exists when this node starts counts as warm.
    ///
    /// Failure: a starting node learns of its hosts in two steps and treats those of the second
    /// step as new. Symptom: for seconds nearly all of its requests go to the few of the first.
    fn new_candidate(&self, now: Instant, upstream: &Upstream, is_warm: bool) -> Candidate {
        let ramp = if is_warm {
            Duration::ZERO
        } else {
            self.settings.ramp
        };
        Candidate {
            upstream: upstream.clone(),
            report: Report {
                limit: upstream.slots,
                service_micros: micros(self.settings.service_time_initial),
                ..Report::default()
            },
            reported_at: now,
            has_reported: false,
            others_load: 0.0,
            outstanding: 0,
            ramp_ends_at: now + ramp,
            avoid_until: None,
        }
    }
}

fn remove_candidate(candidates: &mut Vec<Candidate>, host: &Arc<str>) -> Option<Candidate> {
    let index = candidates
        .iter()
        .position(|candidate| &candidate.upstream.host == host)?;
    Some(candidates.swap_remove(index))
}

/// Samples the candidates that one choice compares, in random order.
///
/// A host that has just joined is included with a chance that grows to one over the ramp, so its
/// share of the traffic grows with it, whatever the load of the other hosts.
///
/// Load pattern: a service has a few hundred hosts in several zones. A random sample of eight
/// contains one or two hosts of the node's zone or none, so one request in six leaves the zone
/// although it has capacity, and a node reaches each host so rarely that it has no recent load
/// report of it. Most of the sample is therefore taken from the node's zone, as far as it has
/// enough hosts; the rest shows whether other zones are better.
fn sample(
    settings: &Settings,
    rng: &mut ChaCha8Rng,
    candidates: &[Candidate],
    now: Instant,
    tried: &[Arc<str>],
) -> Vec<usize> {
    let is_untried = |index: &usize| !tried.contains(&candidates[*index].upstream.host);
    let mut untried: Vec<usize> = (0..candidates.len()).filter(is_untried).collect();
    untried.shuffle(rng);
    let passes_ramp = |index: &usize| {
        let chance = ramp_chance(settings, &candidates[*index], now);
        chance >= 1.0 || rng.random::<f64>() < chance
    };
    let mut compared: Vec<usize> = untried.iter().copied().filter(passes_ramp).collect();
    if compared.is_empty() {
        compared = untried;
    }
    let choices = settings.choices.max(1);
    let in_own_zone = |index: &usize| candidates[*index].upstream.same_zone;
    let (inside, outside): (Vec<usize>, Vec<usize>) = compared.into_iter().partition(in_own_zone);
    let max_inside = choices.saturating_sub(settings.choices_outside.min(outside.len()));
    let inside = inside.into_iter().take(max_inside);
    inside.chain(outside).take(choices).collect()
}

/// Averages over the compared candidates.
struct Averages {
    /// Mean number of other nodes' requests.
    mean_others_load: f64,
    /// Median service time, in seconds.
    median_service_time: f64,
}

impl Averages {
    fn of(candidates: &[Candidate], compared: &[usize]) -> Self {
        let count = f64::from(u32::try_from(compared.len().max(1)).unwrap_or(u32::MAX));
        let others_load: f64 = compared
            .iter()
            .map(|index| candidates[*index].others_load)
            .sum();
        let mut service_times: Vec<u32> = compared
            .iter()
            .map(|index| candidates[*index].report.service_micros)
            .collect();
        service_times.sort_unstable();
        let median = service_times
            .get(service_times.len() / 2)
            .copied()
            .unwrap_or(0);
        Self {
            mean_others_load: others_load / count,
            median_service_time: seconds(median),
        }
    }
}

/// Returns the expected time until the answer, in seconds, with a mild preference for emptier
/// upstreams among those with free slots.
fn expected_cost(
    settings: &Settings,
    candidate: &Candidate,
    averages: &Averages,
    now: Instant,
) -> f64 {
    let age = now.duration_since(candidate.reported_at);
    let service_time = expected_service_time(settings, candidate, averages, age);
    let limit = f64::from(candidate.report.limit.max(1));
    let load = expected_load(candidate, averages, age);
    let wait = (load + 1.0 - limit).max(0.0) / limit * service_time;
    let fill_cost = settings.spread * service_time * load / limit;
    let zone_cost = if candidate.upstream.same_zone {
        0.0
    } else {
        settings.zone_cost.as_secs_f64()
    };
    let cost = service_time
        + wait
        + fill_cost
        + zone_cost
        + expected_slowness(settings, candidate, service_time, age)
        + expected_start_delay(candidate, age);
    if candidate.avoid_until.is_some_and(|until| now < until) {
        return cost + AVOIDANCE_PENALTY_SECONDS;
    }
    cost
}

/// Returns the expected time of a request in the upstream, in seconds.
///
/// Reported means differ by chance, and following every difference sends the traffic of all nodes
/// to the host with the lowest last report. Only a straggler, slower than the median of its peers
/// by a clear factor, counts as slower, and the difference decays with the age of its report, so
/// that an occasional request finds out whether the host has recovered.
fn expected_service_time(
    settings: &Settings,
    candidate: &Candidate,
    averages: &Averages,
    age: Duration,
) -> f64 {
    let reported = seconds(candidate.report.service_micros);
    let median = averages.median_service_time;
    let decay = (-age.as_secs_f64() / settings.straggler_fades.as_secs_f64()).exp();
    let decayed = median + (reported - median) * decay;
    if decayed > median * settings.straggler_factor {
        decayed
    } else {
        median
    }
}

/// Returns the extra time expected because the host may be in a slow phase, in seconds.
///
/// Slow phases begin and end on their own, so the reported slowness decays with the age of the
/// report to the slowness expected of any host: a host that reported itself fast a moment ago is
/// better than one with an old report.
///
/// Failure: a host joins, or returns from maintenance, while the others are in steady use and
/// report that they are fast. Symptom: it is expected to be slower than all of them, gets no
/// requests, and so never reports otherwise. Until its first report it gets no penalty.
fn expected_slowness(
    settings: &Settings,
    candidate: &Candidate,
    service_time: f64,
    age: Duration,
) -> f64 {
    if !candidate.has_reported {
        return 0.0;
    }
    let service_time = Duration::from_secs_f64(service_time);
    let penalty = |percent| slow_penalty(percent, service_time, settings.slow_phase).as_secs_f64();
    let reported = penalty(candidate.report.slowness_percent);
    let expected = penalty(settings.slow_percent) * settings.slow_share;
    let freshness = (-age.as_secs_f64() / settings.slow_phase.as_secs_f64()).exp();
    reported * freshness + expected * (1.0 - freshness)
}

/// Returns how long the limit that the upstream names still delays the start of a request, in
/// seconds.
fn expected_start_delay(candidate: &Candidate, age: Duration) -> f64 {
    let reported = Duration::from_micros(candidate.report.start_delay_micros.into());
    reported.saturating_sub(age).as_secs_f64()
}

/// Returns the number of requests expected at the upstream now.
///
/// Failure: several nodes see the same report of a low load and all choose that host. Symptom: one
/// host at a time is overloaded. This node's own requests count immediately, and the reported
/// requests of other nodes count for no longer than they take to turn over.
fn expected_load(candidate: &Candidate, averages: &Averages, age: Duration) -> f64 {
    let turnover = averages.median_service_time.max(1e-6);
    let freshness = (-age.as_secs_f64() / turnover).exp();
    let others_load =
        candidate.others_load * freshness + averages.mean_others_load * (1.0 - freshness);
    others_load + f64::from(candidate.outstanding)
}

fn ramp_chance(settings: &Settings, candidate: &Candidate, now: Instant) -> f64 {
    let left = candidate.ramp_ends_at.saturating_duration_since(now);
    if left.is_zero() || settings.ramp.is_zero() {
        return 1.0;
    }
    (1.0 - left.div_duration_f64(settings.ramp)).max(MIN_RAMP_CHANCE)
}

fn seconds(micros: u32) -> f64 {
    f64::from(micros) / 1e6
}

fn micros(duration: Duration) -> u32 {
    u32::try_from(duration.as_micros()).unwrap_or(u32::MAX)
}
