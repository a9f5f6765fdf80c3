//! Waits that differ from node to node and from time to time.
//!
//! Load pattern: nodes that start together, or that lose the store together, would ask it
//! again together for ever. Here each waits a share of the full wait that follows a
//! low-discrepancy sequence from a start of its own, so that whatever the moment, some node's
//! wait ends soon: with six nodes and a wait of six seconds mostly within two.

use std::hash::{Hash, Hasher};
use std::time::Duration;

use siphasher::sip::SipHasher13;

/// Step of the sequence: the fractional part of the golden ratio.
const GOLDEN_STEP: f64 = 0.618_033_988_749_894_9;
/// Least share of the full wait.
const SHARE_LEAST: f64 = 0.5;

/// The waits of one node.
#[derive(Clone, Copy, Debug)]
pub struct Stagger {
    position: f64,
}

impl Stagger {
    /// Waits of the node on this host.
    #[must_use]
    pub fn new(host: &str) -> Self {
        let mut hasher = SipHasher13::new();
        host.hash(&mut hasher);
        let position = f64::from(u32::try_from(hasher.finish() >> 32).unwrap_or(0));
        Self {
            position: position / f64::from(u32::MAX),
        }
    }

    /// The next wait: between half and all of `full`.
    pub fn next(&mut self, full: Duration) -> Duration {
        self.position = (self.position + GOLDEN_STEP).fract();
        full.mul_f64(SHARE_LEAST + (1.0 - SHARE_LEAST) * self.position)
    }
}
