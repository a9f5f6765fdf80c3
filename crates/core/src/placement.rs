//! Choice of an upstream for one request, by the node the caller spoke to.
//!
//! Every upstream's load is counted by the node beside it and carried on answers that
//! are sent anyway. Such a report is stale on arrival. What it says splits in two: this
//! node's own requests, which it knows exactly at any moment, and those of others, which
//! turn over within one service time. So the others' part is believed while it is fresh
//! and relaxes to the mean of all candidates as it ages; the own part is never guessed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::configs::placement::Settings;
use crate::load::{Report, slow_penalty};

/// Chance that a host which has just joined is compared at all.
const RAMP_LEAST: f64 = 0.05;
/// A node hears of the hosts that are there within this time after the first of them: by the
/// exchange in which it joins, the table that follows, and a few rounds.
const LEARNS_FOR: Duration = Duration::from_secs(2);
/// Cost added to a host to be avoided, in seconds: above any real wait.
const AVOIDED_SECONDS: f64 = 60.0;

/// An upstream that may be chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// The host it runs on.
    pub host: Arc<str>,
    /// The service it offers.
    pub service: Arc<str>,
    /// Requests it may have at once, as announced.
    pub slots: u32,
    /// Whether it stands in this node's own availability zone.
    pub same_zone: bool,
}

/// How one attempt ended, as far as placement cares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The upstream answered.
    Answered,
    /// The node beside it refused for want of room; its report tells how much.
    Full,
    /// It refused for another cause, or the link broke: avoid it for a while.
    Avoid,
    /// It was given up before it ended, which says nothing of the host.
    GivenUp,
}

/// Candidates of each service, with what this node knows of them.
#[derive(Debug)]
pub struct Placement {
    settings: Settings,
    services: BTreeMap<Arc<str>, Vec<Candidate>>,
    /// When the hosts that were there before this node are known; `None` until the first is.
    learnt_at: Option<Instant>,
    rng: ChaCha8Rng,
}

#[derive(Debug)]
struct Candidate {
    upstream: Upstream,
    report: Report,
    reported_at: Instant,
    /// Whether it has ever told its load.
    heard: bool,
    others: f64,
    outstanding: u32,
    ramped_at: Instant,
    avoid_until: Option<Instant>,
}

impl Placement {
    /// No candidates yet; `seed` makes every choice repeatable.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            services: BTreeMap::new(),
            learnt_at: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Takes other settings.
    pub fn set_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Takes the upstreams that may be chosen now; knowledge of those that stay is kept.
    pub fn update(&mut self, now: Instant, upstreams: &[Upstream]) {
        if upstreams.is_empty() {
            self.services.clear();
            return;
        }
        let learnt_at = *self.learnt_at.get_or_insert(now + LEARNS_FOR);
        let mut old = std::mem::take(&mut self.services);
        for upstream in upstreams {
            let known = old
                .get_mut(&upstream.service)
                .and_then(|candidates| take_known(candidates, &upstream.host));
            let candidate = match known {
                Some(known) => Candidate {
                    upstream: upstream.clone(),
                    ..known
                },
                None => self.join(now, upstream, now < learnt_at),
            };
            self.services
                .entry(Arc::clone(&upstream.service))
                .or_default()
                .push(candidate);
        }
    }

    /// Whether any host offers the service.
    #[must_use]
    pub fn knows(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// Whether there is a host that is not among `tried`.
    #[must_use]
    pub fn has_untried(&self, service: &str, tried: &[Arc<str>]) -> bool {
        let mut candidates = self.services.get(service).into_iter().flatten();
        candidates.any(|candidate| !tried.contains(&candidate.upstream.host))
    }

    /// Chooses a host that is not among `tried`, and counts the request as placed.
    pub fn pick(&mut self, now: Instant, service: &str, tried: &[Arc<str>]) -> Option<Arc<str>> {
        let candidates = self.services.get_mut(service)?;
        let compared = draw(&self.settings, &mut self.rng, candidates, now, tried);
        let peers = Peers::of(candidates, &compared);
        let mut best: Option<(usize, f64)> = None;
        for index in compared {
            let cost = cost_of(&self.settings, &candidates[index], &peers, now);
            if best.is_none_or(|(_, least)| cost < least) {
                best = Some((index, cost));
            }
        }
        let candidate = &mut candidates[best?.0];
        candidate.outstanding += 1;
        Some(Arc::clone(&candidate.upstream.host))
    }

    /// Counts a request as placed on this host, whatever others offer; false if it is unknown.
    pub fn place_on(&mut self, service: &str, host: &str) -> bool {
        let Some(candidate) = self.candidate(service, host) else {
            return false;
        };
        candidate.outstanding += 1;
        true
    }

    /// Hosts of a service.
    pub fn hosts(&self, service: &str) -> impl Iterator<Item = &Arc<str>> {
        let candidates = self.services.get(service).into_iter().flatten();
        candidates.map(|candidate| &candidate.upstream.host)
    }

    /// A request placed by [`Self::pick`] or [`Self::place_on`] ended.
    pub fn finish(&mut self, now: Instant, service: &str, host: &str, ending: Ending) {
        let avoid_until = now + self.settings.avoid_for;
        let Some(candidate) = self.candidate(service, host) else {
            return;
        };
        candidate.outstanding = candidate.outstanding.saturating_sub(1);
        match ending {
            Ending::Answered => candidate.avoid_until = None,
            Ending::Full | Ending::GivenUp => {}
            Ending::Avoid => candidate.avoid_until = Some(avoid_until),
        }
    }

    /// A report arrived: what it counts beyond this node's own requests is others'.
    pub fn reported(&mut self, now: Instant, service: &str, host: &str, report: Report) {
        let Some(candidate) = self.candidate(service, host) else {
            return;
        };
        candidate.report = report;
        candidate.reported_at = now;
        candidate.heard = true;
        let counted = f64::from(report.in_flight + report.queued);
        candidate.others = (counted - f64::from(candidate.outstanding)).max(0.0);
    }

    /// What is known of an upstream and since when, for logs.
    #[must_use]
    pub fn known(&self, service: &str, host: &str) -> Option<(Report, Instant)> {
        let mut candidates = self.services.get(service)?.iter();
        let known = candidates.find(|candidate| candidate.upstream.host.as_ref() == host)?;
        Some((known.report, known.reported_at))
    }

    /// The candidates of each service with their last report, for operators.
    pub fn view(&self) -> impl Iterator<Item = (&Upstream, &Report, u32)> {
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

    /// A host that joins a running fleet is cold and takes its share slowly; one
    /// that is there when this node starts is taken as warm.
    ///
    /// Failure: a node that starts hears of its hosts in two steps, and takes those of the second
    /// for new. Symptom: for seconds nearly all of its requests go to the few of the first.
    fn join(&self, now: Instant, upstream: &Upstream, was_there: bool) -> Candidate {
        let ramp = if was_there {
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
            heard: false,
            others: 0.0,
            outstanding: 0,
            ramped_at: now + ramp,
            avoid_until: None,
        }
    }
}

fn take_known(candidates: &mut Vec<Candidate>, host: &Arc<str>) -> Option<Candidate> {
    let index = candidates
        .iter()
        .position(|candidate| &candidate.upstream.host == host)?;
    Some(candidates.swap_remove(index))
}

/// Draws the candidates that one choice compares, in random order.
///
/// A host that joined takes part with a chance that grows to one over the ramp, so its
/// share grows with it, whatever the others' load.
///
/// Load pattern: a service of some hundred hosts in several zones. Eight drawn at random hold one
/// or two of the own zone or none, so one request in six leaves it though there is room inside,
/// and a node meets each host so rarely that it knows nothing of it. Most of those drawn are hosts of
/// the own zone, as far as there are, and the others show whether it is better elsewhere.
fn draw(
    settings: &Settings,
    rng: &mut ChaCha8Rng,
    candidates: &[Candidate],
    now: Instant,
    tried: &[Arc<str>],
) -> Vec<usize> {
    let is_open = |index: &usize| !tried.contains(&candidates[*index].upstream.host);
    let mut open: Vec<usize> = (0..candidates.len()).filter(is_open).collect();
    open.shuffle(rng);
    let warm = |index: &usize| {
        let chance = ramp_chance(settings, &candidates[*index], now);
        chance >= 1.0 || rng.random::<f64>() < chance
    };
    let mut compared: Vec<usize> = open.iter().copied().filter(warm).collect();
    if compared.is_empty() {
        compared = open;
    }
    let choices = settings.choices.max(1);
    let near = |index: &usize| candidates[*index].upstream.same_zone;
    let (inside, outside): (Vec<usize>, Vec<usize>) = compared.into_iter().partition(near);
    let most_inside = choices.saturating_sub(settings.choices_outside.min(outside.len()));
    let inside = inside.into_iter().take(most_inside);
    inside.chain(outside).take(choices).collect()
}

/// What the compared candidates have in common.
struct Peers {
    others_mean: f64,
    service_median: f64,
}

impl Peers {
    fn of(candidates: &[Candidate], compared: &[usize]) -> Self {
        let count = f64::from(u32::try_from(compared.len().max(1)).unwrap_or(u32::MAX));
        let others: f64 = compared.iter().map(|index| candidates[*index].others).sum();
        let mut services: Vec<u32> = compared
            .iter()
            .map(|index| candidates[*index].report.service_micros)
            .collect();
        services.sort_unstable();
        let median = services.get(services.len() / 2).copied().unwrap_or(0);
        Self {
            others_mean: others / count,
            service_median: seconds(median),
        }
    }
}

/// Expected time until the answer, in seconds, with a mild preference for emptier
/// upstreams among those with free slots.
fn cost_of(settings: &Settings, candidate: &Candidate, peers: &Peers, now: Instant) -> f64 {
    let age = now.duration_since(candidate.reported_at);
    let service = service_of(settings, candidate, peers, age);
    let limit = f64::from(candidate.report.limit.max(1));
    let load = load_of(candidate, peers, age);
    let wait = (load + 1.0 - limit).max(0.0) / limit * service;
    let filling = settings.spread * service * load / limit;
    let zone = if candidate.upstream.same_zone {
        0.0
    } else {
        settings.zone_cost.as_secs_f64()
    };
    let cost = service + wait + filling + zone + slow_of(settings, candidate, service, age);
    if candidate.avoid_until.is_some_and(|until| now < until) {
        return cost + AVOIDED_SECONDS;
    }
    cost
}

/// Expected time of a request in the upstream.
///
/// Reported means differ by chance, and following every difference sends the traffic of
/// all nodes to whoever was lucky last. Only a straggler, slower than its peers by a
/// clear factor, is taken as slower, and the suspicion fades with the report's age, so
/// that one request now and then finds out whether it has recovered.
fn service_of(settings: &Settings, candidate: &Candidate, peers: &Peers, age: Duration) -> f64 {
    let reported = seconds(candidate.report.service_micros);
    let median = peers.service_median;
    let fading = (-age.as_secs_f64() / settings.straggler_fades.as_secs_f64()).exp();
    let believed = median + (reported - median) * fading;
    if believed > median * settings.straggler_factor {
        believed
    } else {
        median
    }
}

/// Extra time expected because the host may be slow, in seconds.
///
/// Slow phases come and go by themselves, so what was told is believed less the older it is,
/// and what is expected of any host takes its place: one that was told fast a moment ago is
/// better than one of which nothing was heard for long.
///
/// Failure: a host joins, or comes back from maintenance, while the others are in steady use and
/// told fast. Symptom: it is expected to be slower than all of them, gets nothing, and so never
/// tells otherwise. Until it has told its load for the first time nothing is held against it.
fn slow_of(settings: &Settings, candidate: &Candidate, service: f64, age: Duration) -> f64 {
    if !candidate.heard {
        return 0.0;
    }
    let service = Duration::from_secs_f64(service);
    let penalty = |percent| slow_penalty(percent, service, settings.slow_phase).as_secs_f64();
    let told = penalty(candidate.report.slowness_percent);
    let expected = penalty(settings.slow_percent) * settings.slow_share;
    let fresh = (-age.as_secs_f64() / settings.slow_phase.as_secs_f64()).exp();
    told * fresh + expected * (1.0 - fresh)
}

/// Requests expected at the upstream now.
///
/// Failure: several nodes see the same low report and all choose it. Symptom: one host
/// at a time is flooded. The own part counts at once, and the others' part is believed
/// for no longer than it takes them to turn over.
fn load_of(candidate: &Candidate, peers: &Peers, age: Duration) -> f64 {
    let turnover = peers.service_median.max(1e-6);
    let fresh = (-age.as_secs_f64() / turnover).exp();
    let others = candidate.others * fresh + peers.others_mean * (1.0 - fresh);
    others + f64::from(candidate.outstanding)
}

fn ramp_chance(settings: &Settings, candidate: &Candidate, now: Instant) -> f64 {
    let left = candidate.ramped_at.saturating_duration_since(now);
    if left.is_zero() || settings.ramp.is_zero() {
        return 1.0;
    }
    (1.0 - left.div_duration_f64(settings.ramp)).max(RAMP_LEAST)
}

fn seconds(micros: u32) -> f64 {
    f64::from(micros) / 1e6
}

fn micros(duration: Duration) -> u32 {
    u32::try_from(duration.as_micros()).unwrap_or(u32::MAX)
}
