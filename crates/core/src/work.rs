//! Service times of requests by route, and the share of the slots that recent requests use.
//!
//! Load pattern: short calls, whose callers wait for the answer, share an upstream with requests
//! that take ten times as long, and at any moment a quarter of the hosts is several times slower
//! than usual. A single mean over all requests doesn't predict the next one: after a long request,
//! short calls seem too long for their deadline and are refused, and each refused call fails the
//! request that depends on it. Service times are therefore recorded by route, and the time of a
//! request that started in a slow phase is scaled down to what it would have taken outside of it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::configs::admission::Settings;
use crate::ewma::Ewma;

/// Maximum number of routes with their own mean; other routes use the mean of all requests. A
/// service uses a handful of routes, but an operators' routing table may contain thousands.
const MAX_ROUTES: usize = 64;
/// A service time is capped at this multiple of the mean. A request that ran into a fault, or into
/// a slow phase that wasn't reported, doesn't predict the time of the next one.
const OUTLIER_FACTOR: f64 = 3.0;
/// Time constant of the exponential decay of the slot time of started requests. It spans about ten
/// requests of a small upstream, and is shorter than a burst, which lasts seconds.
const DECAY_TIME: Duration = Duration::from_secs(1);

/// Service times of requests in one upstream.
#[derive(Debug)]
pub struct Times {
    sample_weight: f64,
    all: Ewma,
    routes: BTreeMap<Arc<str>, Ewma>,
}

impl Times {
    /// Starts from the initial service time in the settings.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let initial = settings.service_time_initial.as_secs_f64();
        Self {
            sample_weight: settings.service_time_share,
            all: Ewma::new(initial, settings.service_time_share),
            routes: BTreeMap::new(),
        }
    }

    /// Records the service time of a request of this route. `slowness_percent` is the service time
    /// on the host when the request started, in percent of its usual one.
    pub fn record(&mut self, route: &Arc<str>, service_time: Duration, slowness_percent: u32) {
        let service_time = service_time.mul_f64(100.0 / f64::from(slowness_percent.max(100)));
        let initial = self.all.seconds();
        self.all.add(cap_outlier(service_time, self.all.mean()));
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(route) {
            return;
        }
        let sample_weight = self.sample_weight;
        let route_mean = self.routes.entry(Arc::clone(route));
        let route_mean = route_mean.or_insert_with(|| Ewma::new(initial, sample_weight));
        let service_time = cap_outlier(service_time, route_mean.mean());
        route_mean.add(service_time);
    }

    /// Expected service time of a request of this route at the host's usual pace.
    #[must_use]
    pub fn for_route(&self, route: &str) -> Duration {
        self.routes.get(route).map_or(self.all.mean(), Ewma::mean)
    }

    /// Mean service time of all requests at the host's usual pace.
    #[must_use]
    pub fn mean(&self) -> Duration {
        self.all.mean()
    }
}

fn cap_outlier(service_time: Duration, mean: Duration) -> Duration {
    service_time.min(mean.mul_f64(OUTLIER_FACTOR))
}

/// Precedence of requests: those that can still meet their target go before those that cannot, and
/// within each of the two groups more urgent ranks go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Class {
    /// Whether the request will miss its target.
    pub late: bool,
    /// Position of its rank in the current order; the lowest goes first.
    pub rank: u8,
}

/// Share of the slots that each class has used recently.
///
/// Load pattern: a request of low rank waits behind two others, and while it waits, more urgent
/// requests keep arriving and go first. Counting only the queue, it would meet its target, but the
/// later arrivals make it late. The slot time that each class used in the last second predicts how
/// much capacity remains for the classes after it.
#[derive(Debug, Default)]
pub struct Demand {
    classes: BTreeMap<Class, SlotTime>,
}

/// Slot time with exponential decay.
#[derive(Clone, Copy, Debug)]
struct SlotTime {
    seconds: f64,
    updated_at: Instant,
}

impl SlotTime {
    fn decayed_seconds(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        self.seconds * (-age.div_duration_f64(DECAY_TIME)).exp()
    }
}

impl Demand {
    /// Records the start of a request of this class with its expected service time.
    pub fn record_start(&mut self, now: Instant, class: Class, expected_time: Duration) {
        let before = self
            .classes
            .get(&class)
            .map_or(0.0, |slot_time| slot_time.decayed_seconds(now));
        let seconds = before + expected_time.as_secs_f64();
        self.classes.insert(
            class,
            SlotTime {
                seconds,
                updated_at: now,
            },
        );
    }

    /// Share of `slots` that the classes before this one use, from 0 to 1.
    #[must_use]
    pub fn share_before(&self, now: Instant, class: Class, slots: f64) -> f64 {
        let classes = self.classes.range(..class);
        let seconds: f64 = classes
            .map(|(_, slot_time)| slot_time.decayed_seconds(now))
            .sum();
        (seconds / (DECAY_TIME.as_secs_f64() * slots)).min(1.0)
    }
}
