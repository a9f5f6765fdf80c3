//! What the node processes of a scene cost, read from the kernel.

use std::fs;
use std::time::{Duration, Instant};

use crate::scene::{Running, Scene};
use crate::store::Calls;

/// Clock ticks a second in `/proc`, fixed on Linux.
const TICKS: u64 = 100;

/// Sums over all node processes, and the loopback's counter.
#[derive(Clone, Debug)]
pub struct Cost {
    at: Instant,
    nodes: u64,
    processor: Duration,
    /// Resident memory.
    pub resident_bytes: u64,
    loopback_bytes: u64,
    exchange_bytes: f64,
}

/// What was spent between two readings.
#[derive(Clone, Debug)]
pub struct Spent {
    took: Duration,
    nodes: u64,
    processor: Duration,
    resident_bytes: u64,
    loopback_bytes: u64,
    exchange_bytes: f64,
}

impl Cost {
    /// Reads the kernel's counters.
    pub async fn of(scene: &Scene) -> Self {
        let mut cost = Self {
            at: Instant::now(),
            nodes: 0,
            processor: Duration::ZERO,
            resident_bytes: 0,
            loopback_bytes: loopback_bytes(),
            exchange_bytes: 0.0,
        };
        for (index, host) in scene.hosts.iter().enumerate() {
            let Some(Running::Process(process)) = &host.node else {
                continue;
            };
            cost.nodes += 1;
            cost.processor += processor(process.id());
            cost.resident_bytes += resident(process.id());
            cost.exchange_bytes += scene.counter(index, "mintridge_exchange_bytes_total").await;
        }
        cost.at = Instant::now();
        cost
    }

    /// What was spent since an earlier reading.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Spent {
        Spent {
            took: self.at - earlier.at,
            nodes: self.nodes,
            processor: self.processor.saturating_sub(earlier.processor),
            resident_bytes: self.resident_bytes,
            loopback_bytes: self.loopback_bytes - earlier.loopback_bytes,
            exchange_bytes: self.exchange_bytes - earlier.exchange_bytes,
        }
    }

    /// Resident memory of one node, for people.
    #[must_use]
    pub fn memory(&self) -> String {
        format!("{:.1} MiB", mebibytes(self.resident_bytes, self.nodes))
    }
}

#[allow(clippy::cast_precision_loss)]
impl Spent {
    /// How long was measured.
    #[must_use]
    pub const fn seconds(&self) -> f64 {
        self.took.as_secs_f64()
    }

    /// Processor time for each of `count` calls, in microseconds.
    #[must_use]
    pub fn micros_per(&self, count: u64) -> f64 {
        self.processor.as_secs_f64() * 1e6 / count as f64
    }

    /// The cost of one node, for people.
    #[must_use]
    pub fn per_node(&self) -> String {
        let scale = self.seconds() * self.nodes as f64;
        format!(
            "core {:.2}%, memory {:.1} MiB, exchange messages {:.0} B/s, all loopback {:.0} B/s a node",
            100.0 * self.processor.as_secs_f64() / scale,
            mebibytes(self.resident_bytes, self.nodes),
            self.exchange_bytes / scale,
            self.loopback_bytes as f64 / scale,
        )
    }
}

/// Store calls between two readings, open watches included.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn calls_since(now: &Calls, earlier: &Calls) -> f64 {
    let sum = |calls: &Calls| calls.reads + calls.writes + calls.leases + calls.watches;
    (sum(now) - sum(earlier)) as f64
}

#[allow(clippy::cast_precision_loss)]
fn mebibytes(bytes: u64, nodes: u64) -> f64 {
    bytes as f64 / nodes.max(1) as f64 / 1_048_576.0
}

fn processor(pid: u32) -> Duration {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<u64> = after_name
        .split_whitespace()
        .map(|field| field.parse().unwrap_or(0))
        .collect();
    let ticks = fields.get(11).unwrap_or(&0) + fields.get(12).unwrap_or(&0);
    Duration::from_millis(ticks * 1000 / TICKS)
}

/// Resident memory of a process, in bytes; 0 if it is gone.
#[must_use]
pub fn resident(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kibibytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kibibytes.unwrap_or(0) * 1024
}

fn loopback_bytes() -> u64 {
    let devices = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = devices
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"));
    let received = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    received.unwrap_or(0)
}
