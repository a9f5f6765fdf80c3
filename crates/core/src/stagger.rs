//! Staggered delays that differ between nodes and between attempts.
//!
//! Load pattern: nodes that start together, or that lose the store together, would keep calling
//! it at the same moments indefinitely. Each node instead waits a share of the full delay. The
//! share follows a low-discrepancy sequence that starts at a different position on each node, so
//! that at any moment the delay of some node ends soon: with six nodes and a delay of six seconds
//! usually within two seconds.

use std::hash::{Hash, Hasher};
use std::time::Duration;

use siphasher::sip::SipHasher13;

/// Step of the sequence: the fractional part of the golden ratio.
const GOLDEN_STEP: f64 = 0.618_033_988_749_894_9;
/// Minimum share of the full delay.
const MIN_SHARE: f64 = 0.5;

/// Sequence of delays of one node.
#[derive(Clone, Copy, Debug)]
pub struct Stagger {
    position: f64,
}

impl Stagger {
    /// Creates the sequence of the node on `host`.
    #[must_use]
    pub fn new(host: &str) -> Self {
        let mut hasher = SipHasher13::new();
        host.hash(&mut hasher);
        let position = f64::from(u32::try_from(hasher.finish() >> 32).unwrap_or(0));
        Self {
            position: position / f64::from(u32::MAX),
        }
    }

    /// Returns the next delay, between half of `full` and `full`.
    pub fn next(&mut self, full: Duration) -> Duration {
        self.position = (self.position + GOLDEN_STEP).fract();
        full.mul_f64(MIN_SHARE + (1.0 - MIN_SHARE) * self.position)
    }
}
