//! Choice of an upstream for one request, by the node the caller spoke to.
//!
//! Every upstream's load is counted by the node beside it and carried on answers that
//! are sent anyway. Such a report is stale on arrival, and several nodes act on it at
//! once, so what this node placed since the report counts in full, and old reports
//! drain at the speed that the upstream itself reported.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::configs::placement::Settings;
use crate::load::Report;

/// Share of the full cost that keeps a joining server's part small at first.
const RAMP_STEEPNESS: f64 = 4.0;
/// Cost added to a server to be avoided, in seconds: above any real wait.
const AVOIDED_SECONDS: f64 = 60.0;

/// An upstream that may be chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// The server it runs on.
    pub server: Arc<str>,
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
}

/// Candidates of each service, with what this node knows of them.
#[derive(Debug)]
pub struct Placement {
    settings: Settings,
    services: BTreeMap<Arc<str>, Vec<Candidate>>,
    rng: ChaCha8Rng,
}

#[derive(Debug)]
struct Candidate {
    upstream: Upstream,
    report: Report,
    reported_at: Instant,
    placed_since: u32,
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
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Takes the upstreams that may be chosen now; knowledge of those that stay is kept.
    pub fn update(&mut self, now: Instant, upstreams: &[Upstream]) {
        let first = self.services.is_empty();
        let mut old = std::mem::take(&mut self.services);
        for upstream in upstreams {
            let known = old
                .get_mut(&upstream.service)
                .and_then(|candidates| take_known(candidates, &upstream.server));
            let candidate = match known {
                Some(known) => Candidate {
                    upstream: upstream.clone(),
                    ..known
                },
                None => self.join(now, upstream, first),
            };
            self.services
                .entry(Arc::clone(&upstream.service))
                .or_default()
                .push(candidate);
        }
    }

    /// Whether any server offers the service.
    #[must_use]
    pub fn knows(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// Chooses a server that is not among `tried`, and counts the request as placed.
    pub fn pick(&mut self, now: Instant, service: &str, tried: &[Arc<str>]) -> Option<Arc<str>> {
        let candidates = self.services.get_mut(service)?;
        let mut open: Vec<usize> = (0..candidates.len())
            .filter(|&index| !tried.contains(&candidates[index].upstream.server))
            .collect();
        let compared = self.settings.choices.max(1).min(open.len());
        let (compared, _) = open.partial_shuffle(&mut self.rng, compared);
        let mut best: Option<(usize, f64)> = None;
        for &mut index in compared {
            let cost = cost_of(&self.settings, &candidates[index], now);
            let jitter = 1.0 + self.rng.random::<f64>() * 0.01;
            let cost = cost * jitter;
            if best.is_none_or(|(_, least)| cost < least) {
                best = Some((index, cost));
            }
        }
        let candidate = &mut candidates[best?.0];
        candidate.outstanding += 1;
        candidate.placed_since += 1;
        Some(Arc::clone(&candidate.upstream.server))
    }

    /// A request placed by [`Self::pick`] ended.
    pub fn finish(&mut self, now: Instant, service: &str, server: &str, ending: Ending) {
        let avoid_until = now + self.settings.avoid_for;
        let Some(candidate) = self.candidate(service, server) else {
            return;
        };
        candidate.outstanding = candidate.outstanding.saturating_sub(1);
        candidate.placed_since = candidate.placed_since.min(candidate.outstanding);
        match ending {
            Ending::Answered => candidate.avoid_until = None,
            Ending::Full => {}
            Ending::Avoid => candidate.avoid_until = Some(avoid_until),
        }
    }

    /// A report arrived; it counts what was placed before it.
    pub fn reported(&mut self, now: Instant, service: &str, server: &str, report: Report) {
        let Some(candidate) = self.candidate(service, server) else {
            return;
        };
        candidate.report = report;
        candidate.reported_at = now;
        candidate.placed_since = 0;
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

    fn candidate(&mut self, service: &str, server: &str) -> Option<&mut Candidate> {
        self.services
            .get_mut(service)?
            .iter_mut()
            .find(|candidate| candidate.upstream.server.as_ref() == server)
    }

    /// A server that joins a running fleet is cold and takes its share slowly; one
    /// that is there when this node starts is taken as warm.
    fn join(&self, now: Instant, upstream: &Upstream, first: bool) -> Candidate {
        let ramp = if first {
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
            placed_since: 0,
            outstanding: 0,
            ramped_at: now + ramp,
            avoid_until: None,
        }
    }
}

fn take_known(candidates: &mut Vec<Candidate>, server: &Arc<str>) -> Option<Candidate> {
    let index = candidates
        .iter()
        .position(|candidate| &candidate.upstream.server == server)?;
    Some(candidates.swap_remove(index))
}

/// Expected time until the answer, in seconds, with a mild preference for emptier
/// upstreams among those with free slots.
fn cost_of(settings: &Settings, candidate: &Candidate, now: Instant) -> f64 {
    let service = seconds(candidate.report.service_micros);
    let limit = f64::from(candidate.report.limit.max(1));
    let load = load_of(candidate, now, service, limit);
    let wait = (load + 1.0 - limit).max(0.0) / limit * service;
    let filling = settings.spread * service * load / limit;
    let zone = if candidate.upstream.same_zone {
        0.0
    } else {
        settings.zone_cost.as_secs_f64()
    };
    let cost = (service + wait + filling) * ramp_factor(settings, candidate, now) + zone;
    if candidate.avoid_until.is_some_and(|until| now < until) {
        return cost + AVOIDED_SECONDS;
    }
    cost
}

/// Requests expected at the upstream now.
///
/// Failure: several nodes see the same low report and all choose it. Symptom: one
/// server at a time is flooded. What this node placed since counts at once, so its own
/// part of the herd stops at the next request.
fn load_of(candidate: &Candidate, now: Instant, service: f64, limit: f64) -> f64 {
    let reported = f64::from(candidate.report.in_flight + candidate.report.queued);
    let age = now.duration_since(candidate.reported_at).as_secs_f64();
    let drained = age / service.max(1e-6) * reported.min(limit);
    let left = (reported - drained).max(0.0);
    let own = f64::from(candidate.outstanding);
    (left + f64::from(candidate.placed_since)).max(own)
}

fn ramp_factor(settings: &Settings, candidate: &Candidate, now: Instant) -> f64 {
    let left = candidate.ramped_at.saturating_duration_since(now);
    if left.is_zero() || settings.ramp.is_zero() {
        return 1.0;
    }
    1.0 + RAMP_STEEPNESS * left.div_duration_f64(settings.ramp)
}

fn seconds(micros: u32) -> f64 {
    f64::from(micros) / 1e6
}

fn micros(duration: Duration) -> u32 {
    u32::try_from(duration.as_micros()).unwrap_or(u32::MAX)
}
