//! How long requests take in the upstream, by route, and what share of its slots is spoken for.
//!
//! Load pattern: short calls, an answer of which their caller waits for, share an upstream with
//! work that takes ten times as long, and a quarter of the hosts is several times slower at any
//! moment. One mean over all of it says nothing about the next request: after a long one, short
//! calls look too long for their deadline and are refused, and each refused call fails the
//! request that waits for it. So times are kept by route, and what began in a slow phase counts
//! as what it would have taken outside.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::configs::admission::Settings;
use crate::ewma::Ewma;

/// Routes whose times are kept; those beyond share the mean of all. A service has a handful of
/// routes in use, a table of operators may name thousands.
const ROUTES_MOST: usize = 64;
/// One answer counts for no more than this many times the mean: a request that met a fault, or a
/// slow phase of which nothing was told, is no sign of what the next one takes.
const OUTLIER: f64 = 3.0;
/// Work begun counts towards the share of the slots that is spoken for with this memory: it spans
/// some ten requests of a small upstream, and a burst lasts seconds.
const MEMORY: Duration = Duration::from_secs(1);

/// Times of requests in one upstream.
#[derive(Debug)]
pub struct Times {
    share: f64,
    all: Ewma,
    routes: BTreeMap<Arc<str>, Ewma>,
}

impl Times {
    /// Nothing is known but the settings' assumption.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let initial = settings.service_time_initial.as_secs_f64();
        Self {
            share: settings.service_time_share,
            all: Ewma::new(initial, settings.service_time_share),
            routes: BTreeMap::new(),
        }
    }

    /// A request of this route took so long; `percent` is how slow the host was when it began,
    /// in percent of its usual pace.
    pub fn add(&mut self, route: &Arc<str>, took: Duration, percent: u32) {
        let took = took.mul_f64(100.0 / f64::from(percent.max(100)));
        let initial = self.all.seconds();
        self.all.add(within(took, self.all.mean()));
        if self.routes.len() >= ROUTES_MOST && !self.routes.contains_key(route) {
            return;
        }
        let share = self.share;
        let of_route = self.routes.entry(Arc::clone(route));
        let of_route = of_route.or_insert_with(|| Ewma::new(initial, share));
        let took = within(took, of_route.mean());
        of_route.add(took);
    }

    /// Expected time of a request of this route at the usual pace.
    #[must_use]
    pub fn of(&self, route: &str) -> Duration {
        self.routes.get(route).map_or(self.all.mean(), Ewma::mean)
    }

    /// Mean time of all requests at the usual pace.
    #[must_use]
    pub fn mean(&self) -> Duration {
        self.all.mean()
    }
}

fn within(took: Duration, mean: Duration) -> Duration {
    took.min(mean.mul_f64(OUTLIER))
}

/// What goes first: requests that can still meet their target before those that cannot, and of
/// either the more urgent rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Class {
    /// Whether it will miss its target.
    pub late: bool,
    /// Place of its rank in the order at that moment; the lowest goes first.
    pub rank: u8,
}

/// Share of the slots that each class has taken lately.
///
/// Load pattern: a request of low rank waits behind two others, and while it waits more urgent
/// ones keep coming and go first. By those that wait already it would have met its target; it is
/// late by those that come. What classes took of the slots in the last second tells how much of
/// each turn is left to those behind them.
#[derive(Debug, Default)]
pub struct Demand {
    classes: BTreeMap<Class, Taken>,
}

/// Slot time, fading.
#[derive(Clone, Copy, Debug)]
struct Taken {
    seconds: f64,
    at: Instant,
}

impl Taken {
    fn now(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.seconds * (-age.div_duration_f64(MEMORY)).exp()
    }
}

impl Demand {
    /// A request of this class began that needs so much time.
    pub fn began(&mut self, now: Instant, class: Class, needed: Duration) {
        let taken = self.classes.get(&class).map_or(0.0, |taken| taken.now(now));
        let seconds = taken + needed.as_secs_f64();
        self.classes.insert(class, Taken { seconds, at: now });
    }

    /// Share of so many slots that goes to classes before this one, 0 to 1.
    #[must_use]
    pub fn before(&self, now: Instant, class: Class, slots: f64) -> f64 {
        let before = self.classes.range(..class);
        let taken: f64 = before.map(|(_, taken)| taken.now(now)).sum();
        (taken / (MEMORY.as_secs_f64() * slots)).min(1.0)
    }
}
