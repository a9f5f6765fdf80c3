//! Report of a load run: outcomes, latency percentiles and the distribution over hosts.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::caller::Reply;
use crate::load::Record;

/// Maximum latency recorded, in microseconds.
const MAX_LATENCY_MICROS: u64 = 120_000_000;
/// Precision of recorded latencies, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Latency percentiles in the report.
const PERCENTILES: [(&str, f64); 5] = [
    ("p50", 50.0),
    ("p90", 90.0),
    ("p99", 99.0),
    ("p99.9", 99.9),
    ("most", 100.0),
];

/// Results of a load run.
#[derive(Clone, Debug)]
pub struct Report {
    rate: f64,
    duration: Duration,
    latency: Histogram<u64>,
    outcomes: BTreeMap<String, u64>,
    hosts: BTreeMap<String, u64>,
    sent: u64,
}

/// Machine-readable form of a report.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Planned requests per second.
    pub rate: f64,
    /// Requests sent.
    pub sent: u64,
    /// Requests by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Responses by host.
    pub hosts: BTreeMap<String, u64>,
    /// Latency of successful responses in milliseconds, by percentile.
    pub latency_millis: BTreeMap<&'static str, f64>,
}

impl Report {
    /// Creates an empty report.
    ///
    /// # Panics
    /// Never: the histogram bounds are valid constants.
    #[must_use]
    pub fn new(rate: f64, duration: Duration) -> Self {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
        Self {
            rate,
            duration,
            latency: latency.expect("constant bounds are valid"),
            outcomes: BTreeMap::new(),
            hosts: BTreeMap::new(),
            sent: 0,
        }
    }

    /// Adds the record of one request.
    pub fn add(&mut self, record: &Record) {
        self.sent += 1;
        let outcome = match &record.timed_reply.reply {
            Reply::Answer { status, host, .. } => {
                *self.hosts.entry(host.clone()).or_default() += 1;
                if status.is_success() {
                    let micros = u64::try_from(record.took.as_micros()).unwrap_or(u64::MAX);
                    self.latency.saturating_record(micros.max(1));
                }
                format!("answered {}", status.as_u16())
            }
            Reply::Refused {
                outcome, reason, ..
            } => {
                format!("{}: {}", outcome.as_str(), reason.as_str())
            }
            Reply::Broken { begun: true } => String::from("broken off"),
            Reply::Broken { begun: false } => String::from("no answer"),
            Reply::TimedOut => String::from("silence"),
            Reply::NoConnection => String::from("no connection"),
        };
        *self.outcomes.entry(outcome).or_default() += 1;
    }

    /// Number of requests sent.
    #[must_use]
    pub const fn sent(&self) -> u64 {
        self.sent
    }

    /// Number of requests with the given outcome.
    #[must_use]
    pub fn outcome(&self, name: &str) -> u64 {
        self.outcomes.get(name).copied().unwrap_or(0)
    }

    /// Returns a percentile of the latency of successful responses.
    #[must_use]
    pub fn percentile(&self, percent: f64) -> Duration {
        Duration::from_micros(self.latency.value_at_percentile(percent))
    }

    /// Returns the machine-readable form of the report.
    #[must_use]
    pub fn summary(&self) -> Summary {
        let latency = PERCENTILES
            .iter()
            .map(|(name, percent)| (*name, self.percentile(*percent).as_secs_f64() * 1e3));
        Summary {
            rate: self.rate,
            sent: self.sent,
            outcomes: self.outcomes.clone(),
            hosts: self.hosts.clone(),
            latency_millis: latency.collect(),
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} requests, {:.0} a second for {:.0} s",
            self.sent,
            self.rate,
            self.duration.as_secs_f64()
        )?;
        for (outcome, count) in &self.outcomes {
            writeln!(f, "  {outcome:<28} {count:>9}")?;
        }
        writeln!(f, "answers by host")?;
        for (host, count) in &self.hosts {
            writeln!(f, "  {host:<28} {count:>9}")?;
        }
        writeln!(f, "latency of successful answers")?;
        for (name, percent) in PERCENTILES {
            let millis = self.percentile(percent).as_secs_f64() * 1e3;
            writeln!(f, "  {name:<28} {millis:>9.2} ms")?;
        }
        Ok(())
    }
}
