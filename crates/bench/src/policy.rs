//! The policy bench: ways of choosing an upstream, side by side, in virtual time.
//!
//! Real cores of entries and guards meet a small fake of upstreams: slots, service times,
//! and a speed that changes. Reports reach entries late by the zone delay. There is no
//! network model and no life cycle of nodes. The same seed gives the same figures.

mod fake;

use std::time::Duration;

use hdrhistogram::Histogram;
use mintridge_core::load::Report;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

pub use fake::run;

/// A deployment of the brief.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    /// Hosts of the service looked at.
    pub hosts: usize,
    /// Slots of each.
    pub slots: u32,
    /// Availability zones.
    pub zones: usize,
    /// One way between zones.
    pub zone_delay: Duration,
    /// Entries: nodes of all its services.
    pub entries: usize,
}

/// Presse Maurice: the field-service application.
pub const PRESSE: Deployment = Deployment {
    name: "presse-maurice 9x12",
    hosts: 9,
    slots: 12,
    zones: 3,
    zone_delay: Duration::from_micros(250),
    entries: 12,
};

/// Wisła: the lot service.
pub const WISLA: Deployment = Deployment {
    name: "wisla 7x15",
    hosts: 7,
    slots: 15,
    zones: 4,
    zone_delay: Duration::from_micros(750),
    entries: 11,
};

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Nothing.
    Even,
    /// Each host now and then runs at half speed for 5 to 200 ms.
    Noisy,
    /// One host takes ten times as long.
    Straggler,
    /// One host refuses everything at once.
    FailFast,
    /// One host joins after a second, and is five times slower for three more.
    ColdStart,
    /// One client account sends ten times its share for a second; small ones are looked at.
    Burst,
    /// Arrivals are ten-fold for 300 ms.
    Auction,
}

/// All conditions.
pub const CONDITIONS: [Condition; 7] = [
    Condition::Even,
    Condition::Noisy,
    Condition::Straggler,
    Condition::FailFast,
    Condition::ColdStart,
    Condition::Burst,
    Condition::Auction,
];

/// What an entry may look at when it chooses.
pub struct View<'a> {
    /// The entry that chooses.
    pub entry: usize,
    /// Hosts not tried yet and present.
    pub open: &'a [usize],
    /// Requests of this entry on their way to or at each host.
    pub own: &'a [u32],
    /// Last report of each host that reached this entry.
    pub reports: &'a [Report],
    /// The truth: expected seconds until a request sent now is answered.
    pub truth: &'a [f64],
    /// Randomness.
    pub rng: &'a mut ChaCha8Rng,
}

/// A way of choosing; `None` stands for the real placement core.
pub type Choose = fn(&mut View<'_>) -> usize;

/// The ways compared.
pub const POLICIES: [(&str, Option<Choose>); 8] = [
    ("random", Some(random)),
    ("round robin", Some(round_robin)),
    ("least own", Some(least_own)),
    ("two choices, own", Some(two_own)),
    ("two choices, reports", Some(two_reports)),
    ("least reported", Some(least_reported)),
    ("mintridge", None),
    ("all-seeing", Some(all_seeing)),
];

fn random(view: &mut View<'_>) -> usize {
    view.open[view.rng.random_range(0..view.open.len())]
}

/// Each entry goes round on its own; the count of its requests is its place.
fn round_robin(view: &mut View<'_>) -> usize {
    let total: u32 = view.own.iter().sum();
    let step = usize::try_from(total).unwrap_or(0) + view.entry;
    view.open[(step + view.rng.random_range(0..2)) % view.open.len()]
}

fn least_own(view: &mut View<'_>) -> usize {
    let from = view.rng.random_range(0..view.open.len());
    let turned = view.open[from..].iter().chain(&view.open[..from]);
    *turned.min_by_key(|host| view.own[**host]).unwrap_or(&0)
}

fn two(view: &mut View<'_>, load: fn(&View<'_>, usize) -> u32) -> usize {
    let (a, b) = (random(view), random(view));
    if load(view, a) <= load(view, b) { a } else { b }
}

fn two_own(view: &mut View<'_>) -> usize {
    two(view, |view, host| view.own[host])
}

fn reported(view: &View<'_>, host: usize) -> u32 {
    view.reports[host].in_flight + view.reports[host].queued
}

fn two_reports(view: &mut View<'_>) -> usize {
    two(view, reported)
}

fn least_reported(view: &mut View<'_>) -> usize {
    let least = view.open.iter().min_by_key(|host| reported(view, **host));
    *least.unwrap_or(&0)
}

fn all_seeing(view: &mut View<'_>) -> usize {
    let best = view
        .open
        .iter()
        .min_by(|a, b| view.truth[**a].total_cmp(&view.truth[**b]));
    *best.unwrap_or(&0)
}

/// Figures of one run.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Latency of those answered, in microseconds.
    pub latency: Histogram<u64>,
    /// Requests looked at.
    pub requests: u64,
    /// Requests refused in the end.
    pub refused: u64,
    /// Attempts made.
    pub attempts: u64,
}

impl Figures {
    /// A percentile of the latency, in milliseconds.
    #[must_use]
    pub fn millis(&self, percent: f64) -> f64 {
        Duration::from_micros(self.latency.value_at_percentile(percent)).as_secs_f64() * 1e3
    }
}
