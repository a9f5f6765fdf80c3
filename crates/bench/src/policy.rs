//! Comparison of placement policies in virtual time.
//!
//! Entries, which are the nodes that receive requests from callers, choose a host by a policy. Each
//! host runs the real admission control and admits, queues or refuses the request; it has slots,
//! service times and a varying speed. Load reports reach an entry with the replies, after the delay
//! between the zones. Other properties of the network and the life cycle of nodes are not modelled.
//! The same seed gives the same results.

mod fake;

use std::time::Duration;

use hdrhistogram::Histogram;
use mintridge_core::load::Report;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

pub use fake::run;

/// A deployment of mintridge.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Name in the printed table.
    pub name: &'static str,
    /// Number of hosts of the simulated service.
    pub hosts: usize,
    /// Slots per host.
    pub slots: u32,
    /// Number of availability zones.
    pub zones: usize,
    /// One-way network delay between zones.
    pub zone_delay: Duration,
    /// Number of entries: the nodes of all services, since each of them accepts requests.
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

/// Disturbance that a run simulates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// No disturbance.
    Even,
    /// Each host repeatedly runs at half speed for 5 to 200 ms.
    Noisy,
    /// One host is ten times slower.
    Straggler,
    /// One host refuses every request immediately.
    FailFast,
    /// One host joins after 1 s and is five times slower for the next 3 s.
    ColdStart,
    /// One client account sends ten times its share for 1 s; the others are measured.
    Burst,
    /// Half the given load, and ten times the given load for 300 ms.
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

/// Input of a placement policy.
pub struct View<'a> {
    /// Index of the entry that places the request.
    pub entry: usize,
    /// Present hosts that haven't been tried for this request.
    pub candidates: &'a [usize],
    /// Requests in flight from this entry to each host.
    pub own_in_flight: &'a [u32],
    /// Last report that this entry received from each host.
    pub reports: &'a [Report],
    /// Actual expected latency, in seconds, of a request sent to each host now. Real entries can't
    /// know it.
    pub actual_latency: &'a [f64],
    /// Random number generator.
    pub rng: &'a mut ChaCha8Rng,
}

/// A placement policy: returns the host for a request.
pub type ChooseHost = fn(&mut View<'_>) -> usize;

/// The compared policies by printed name; `None` stands for the real placement core.
pub const POLICIES: [(&str, Option<ChooseHost>); 8] = [
    ("random", Some(random)),
    ("round robin", Some(round_robin)),
    ("least own", Some(least_in_flight)),
    ("two choices, own", Some(two_choices_in_flight)),
    ("two choices, reports", Some(two_choices_reported)),
    ("least reported", Some(least_reported)),
    ("mintridge", None),
    ("all-seeing", Some(least_actual_latency)),
];

fn random(view: &mut View<'_>) -> usize {
    view.candidates[view.rng.random_range(0..view.candidates.len())]
}

/// Approximates round robin per entry: the position is the number of the entry's requests in
/// flight, offset by the entry's index and by 0 or 1 at random.
fn round_robin(view: &mut View<'_>) -> usize {
    let total: u32 = view.own_in_flight.iter().sum();
    let step = usize::try_from(total).unwrap_or(0) + view.entry;
    view.candidates[(step + view.rng.random_range(0..2)) % view.candidates.len()]
}

fn least_in_flight(view: &mut View<'_>) -> usize {
    let start = view.rng.random_range(0..view.candidates.len());
    let rotated = view.candidates[start..]
        .iter()
        .chain(&view.candidates[..start]);
    *rotated
        .min_by_key(|host| view.own_in_flight[**host])
        .unwrap_or(&0)
}

fn two_choices(view: &mut View<'_>, load: fn(&View<'_>, usize) -> u32) -> usize {
    let (a, b) = (random(view), random(view));
    if load(view, a) <= load(view, b) { a } else { b }
}

fn two_choices_in_flight(view: &mut View<'_>) -> usize {
    two_choices(view, |view, host| view.own_in_flight[host])
}

fn reported_load(view: &View<'_>, host: usize) -> u32 {
    view.reports[host].in_flight + view.reports[host].queued
}

fn two_choices_reported(view: &mut View<'_>) -> usize {
    two_choices(view, reported_load)
}

fn least_reported(view: &mut View<'_>) -> usize {
    let least = view
        .candidates
        .iter()
        .min_by_key(|host| reported_load(view, **host));
    *least.unwrap_or(&0)
}

/// Uses the actual state of all hosts, as a bound on what any policy can achieve.
fn least_actual_latency(view: &mut View<'_>) -> usize {
    let best = view
        .candidates
        .iter()
        .min_by(|a, b| view.actual_latency[**a].total_cmp(&view.actual_latency[**b]));
    *best.unwrap_or(&0)
}

/// Results of one run.
#[derive(Clone, Debug)]
pub struct Results {
    /// Latency of the measured requests that were served, in microseconds.
    pub latency: Histogram<u64>,
    /// Measured requests.
    pub requests: u64,
    /// Measured requests that were finally refused.
    pub refused: u64,
    /// Attempts of all requests, including those that aren't measured.
    pub attempts: u64,
}

impl Results {
    /// Returns a percentile of the latency, in milliseconds.
    #[must_use]
    pub fn millis(&self, percent: f64) -> f64 {
        Duration::from_micros(self.latency.value_at_percentile(percent)).as_secs_f64() * 1e3
    }
}
