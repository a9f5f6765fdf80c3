//! Resource usage of a scene's node processes, read from `/proc`.

use std::fs;
use std::time::{Duration, Instant};

use crate::scene::{RunningNode, Scene};
use crate::store::Calls;

/// Clock ticks per second in `/proc`, fixed on Linux.
const TICKS_PER_SECOND: u64 = 100;

/// Counters at one moment: sums over all node processes, and the bytes that the loopback device
/// has received.
#[derive(Clone, Debug)]
pub struct Cost {
    read_at: Instant,
    nodes: u64,
    cpu_time: Duration,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
    loopback_bytes: u64,
    exchange_bytes: f64,
}

/// Usage between two readings.
#[derive(Clone, Debug)]
pub struct Usage {
    elapsed: Duration,
    nodes: u64,
    cpu_time: Duration,
    resident_bytes: u64,
    loopback_bytes: u64,
    exchange_bytes: f64,
}

impl Cost {
    /// Reads the kernel's counters, and the nodes' own counters of exchange bytes.
    pub async fn read(scene: &Scene) -> Self {
        let mut cost = Self {
            read_at: Instant::now(),
            nodes: 0,
            cpu_time: Duration::ZERO,
            resident_bytes: 0,
            loopback_bytes: loopback_bytes(),
            exchange_bytes: 0.0,
        };
        for (index, host) in scene.hosts.iter().enumerate() {
            let Some(RunningNode::Process(process)) = &host.node else {
                continue;
            };
            cost.nodes += 1;
            cost.cpu_time += cpu_time(process.id());
            cost.resident_bytes += resident_bytes(process.id());
            cost.exchange_bytes += scene.counter(index, "mintridge_exchange_bytes_total").await;
        }
        cost.read_at = Instant::now();
        cost
    }

    /// Returns the usage since an earlier reading.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Usage {
        Usage {
            elapsed: self.read_at - earlier.read_at,
            nodes: self.nodes,
            cpu_time: self.cpu_time.saturating_sub(earlier.cpu_time),
            resident_bytes: self.resident_bytes,
            loopback_bytes: self.loopback_bytes - earlier.loopback_bytes,
            exchange_bytes: self.exchange_bytes - earlier.exchange_bytes,
        }
    }

    /// Formats the mean resident memory of a node.
    #[must_use]
    pub fn memory(&self) -> String {
        format!("{:.1} MiB", mebibytes(self.resident_bytes, self.nodes))
    }
}

#[allow(clippy::cast_precision_loss)]
impl Usage {
    /// Time between the readings, in seconds.
    #[must_use]
    pub const fn seconds(&self) -> f64 {
        self.elapsed.as_secs_f64()
    }

    /// CPU time per call for `count` calls, in microseconds.
    #[must_use]
    pub fn micros_per(&self, count: u64) -> f64 {
        self.cpu_time.as_secs_f64() * 1e6 / count as f64
    }

    /// Formats the mean usage of a node.
    #[must_use]
    pub fn per_node(&self) -> String {
        let scale = self.seconds() * self.nodes as f64;
        format!(
            "core {:.2}%, memory {:.1} MiB, exchange messages {:.0} B/s, all loopback {:.0} B/s a node",
            100.0 * self.cpu_time.as_secs_f64() / scale,
            mebibytes(self.resident_bytes, self.nodes),
            self.exchange_bytes / scale,
            self.loopback_bytes as f64 / scale,
        )
    }
}

/// Returns the number of store calls between two readings, including opened watches.
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

fn cpu_time(pid: u32) -> Duration {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<u64> = after_name
        .split_whitespace()
        .map(|field| field.parse().unwrap_or(0))
        .collect();
    let ticks = fields.get(11).unwrap_or(&0) + fields.get(12).unwrap_or(&0);
    Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND)
}

/// Returns the resident memory of a process in bytes, or 0 if the process is gone.
#[must_use]
pub fn resident_bytes(pid: u32) -> u64 {
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
