//! Decides whether a request may be retried, with a budget that bounds retry amplification.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::configs::retry::Settings;
use crate::outcome::{Outcome, Refusal};

/// How far an attempt got, as far as the entry node can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// No byte of the request was sent by this node.
    NeverSent,
    /// The node beside the upstream replied that it did not send the request to it.
    NotHandedOver,
    /// The request was sent, and it is not known whether it ran.
    MayHaveRun,
}

/// Token bucket that limits retries to a share of the answered requests.
///
/// Failure: all upstreams refuse at the same time. Symptom: every level of nested calls multiplies
/// the load by its number of attempts, so amplification grows exponentially with the depth. Only
/// answered requests add tokens, so when everything is refused retries stop after the burst and
/// the amplification factor falls to one.
#[derive(Debug)]
pub struct Budget {
    settings: Settings,
    share: f64,
    tokens: f64,
}

impl Budget {
    /// Creates a full bucket; `share` is the number of retries allowed per answered request.
    #[must_use]
    pub const fn new(settings: Settings, share: f64) -> Self {
        Self {
            tokens: settings.burst,
            settings,
            share,
        }
    }

    /// Replaces the settings.
    pub fn set_settings(&mut self, settings: Settings) {
        self.tokens = self.tokens.min(settings.burst);
        self.settings = settings;
    }

    /// Sets the share granted by the preset in force.
    pub const fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Adds the tokens for one answered request.
    pub const fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.settings.burst);
    }

    /// Returns whether a retry leaves the part of the bucket that is reserved for requests whose
    /// loss costs most.
    #[must_use]
    pub fn exceeds_reserve(&self) -> bool {
        self.tokens - 1.0 >= self.settings.reserved_share * self.settings.burst
    }

    /// Returns whether a further attempt may be made, and spends its token if so.
    ///
    /// `attempts` counts those already made. A non-idempotent request is retried only if it
    /// certainly did not run.
    pub fn may_retry(
        &mut self,
        now: Instant,
        deadline: Instant,
        attempts: u32,
        progress: Progress,
        idempotent: bool,
    ) -> bool {
        if attempts >= self.settings.attempts || now >= deadline {
            return false;
        }
        if progress == Progress::MayHaveRun && !idempotent {
            return false;
        }
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Returns the progress of an attempt that ended with this refusal.
#[must_use]
pub const fn progress_of(refusal: &Refusal) -> Progress {
    match refusal.outcome {
        Outcome::NotRun => Progress::NotHandedOver,
        Outcome::Unknown => Progress::MayHaveRun,
    }
}

/// Time for which the rank of a request counts as one of the ranks in use.
const RANK_PERIOD: Duration = Duration::from_secs(10);

/// The most urgent rank in use, from the requests of the current period and the one before.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ranks {
    begun_at: Option<Instant>,
    current: Option<u8>,
    previous: Option<u8>,
}

impl Ranks {
    /// Records the rank of a request; returns whether it is the most urgent one in use.
    pub fn record(&mut self, now: Instant, rank: u8) -> bool {
        let age = self.begun_at.map(|at| now.saturating_duration_since(at));
        if age.is_none_or(|age| age >= RANK_PERIOD) {
            let is_recent = age.is_some_and(|age| age < 2 * RANK_PERIOD);
            self.previous = self.current.filter(|_| is_recent);
            (self.begun_at, self.current) = (Some(now), None);
        }
        self.current = Some(self.current.map_or(rank, |current| current.min(rank)));
        self.previous.is_none_or(|previous| rank <= previous) && self.current == Some(rank)
    }
}

/// Time constant of the decay of what hosts did with requests. It spans a few requests of an entry to
/// each host, and is shorter than a burst.
const CHANCE_DECAY_TIME: Duration = Duration::from_secs(2);
/// Requests that the service as a whole counts for in the estimate of one host. An entry sends each
/// host of a large service less than one request a second.
const SERVICE_WEIGHT: f64 = 2.0;
/// Chance above which a host is likelier to run a request than to shed it.
const EVEN_CHANCE: f64 = 0.5;

/// How likely each host of a service runs a request, from what it did with recent ones.
///
/// Load pattern: all hosts of a service shed. Each retry is shed as well, and uses up the budget, so
/// that none is left when a retry would succeed. A retry is made only if another host is likelier to
/// run the request than to shed it.
#[derive(Debug, Default)]
pub struct Chances {
    service: Answers,
    hosts: HashMap<Arc<str>, Answers>,
}

/// Requests that were run and shed, with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
struct Answers {
    run: f64,
    shed: f64,
    updated_at: Option<Instant>,
}

impl Answers {
    fn decayed(self, now: Instant) -> Self {
        let age = self
            .updated_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let factor = (-age.div_duration_f64(CHANCE_DECAY_TIME)).exp();
        Self {
            run: self.run * factor,
            shed: self.shed * factor,
            updated_at: Some(now),
        }
    }

    fn record(&mut self, now: Instant, is_run: bool) {
        *self = self.decayed(now);
        if is_run {
            self.run += 1.0;
        } else {
            self.shed += 1.0;
        }
    }

    /// Share of requests run, given the share that is expected and the requests it counts for.
    fn share(self, now: Instant, expected: f64, weight: f64) -> f64 {
        let answers = self.decayed(now);
        (answers.run + expected * weight) / (answers.run + answers.shed + weight)
    }
}

impl Chances {
    /// Records whether a host ran a request that was sent to it.
    pub fn record(&mut self, now: Instant, host: &Arc<str>, is_run: bool) {
        self.service.record(now, is_run);
        if !self.hosts.contains_key(host) {
            let is_recent = |at: Instant| now < at + 5 * CHANCE_DECAY_TIME;
            self.hosts
                .retain(|_, answers| answers.updated_at.is_some_and(is_recent));
        }
        let answers = self.hosts.entry(Arc::clone(host)).or_default();
        answers.record(now, is_run);
    }

    /// Returns whether one of these hosts is likelier to run a request than to shed it. A service of
    /// which nothing is known is expected to run it.
    pub fn has_likely_host<'a>(
        &self,
        now: Instant,
        mut hosts: impl Iterator<Item = &'a Arc<str>>,
    ) -> bool {
        let of_service = self.service.share(now, 1.0, 1.0);
        hosts.any(|host| {
            let answers = self.hosts.get(host).copied().unwrap_or_default();
            answers.share(now, of_service, SERVICE_WEIGHT) > EVEN_CHANCE
        })
    }
}
