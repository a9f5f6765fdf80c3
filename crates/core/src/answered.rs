//! Requests that an upstream has answered recently.
//!
//! Load pattern: many callers send the same request, so it is in progress wherever an upstream
//! crashes. Only its many earlier answers distinguish it from the request that causes the crashes.

use std::collections::{HashMap, VecDeque};

use crate::fingerprint::Fingerprint;

/// Maximum number of requests stored; the one recorded first is evicted first. Each takes about 60
/// bytes of memory.
const MAX_REQUESTS: usize = 1024;

/// Bounded count of answers per request.
#[derive(Debug, Default)]
pub struct Answered {
    counts: HashMap<Fingerprint, u32>,
    order: VecDeque<Fingerprint>,
}

impl Answered {
    /// Records an answer and returns the number of answers stored for the request.
    pub fn record(&mut self, fingerprint: Fingerprint) -> u32 {
        if let Some(count) = self.counts.get_mut(&fingerprint) {
            *count = count.saturating_add(1);
            return *count;
        }
        if self.order.len() == MAX_REQUESTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.counts.remove(&oldest);
        }
        self.order.push_back(fingerprint);
        self.counts.insert(fingerprint, 1);
        1
    }

    /// Returns whether an answer to the request is stored.
    #[must_use]
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.counts.contains_key(&fingerprint)
    }
}
