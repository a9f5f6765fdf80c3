//! Requests that an upstream answered lately.
//!
//! Load pattern: many callers send one and the same request, so that it is in progress wherever an
//! upstream ends. That it was answered many times before is what tells it from the one to blame.

use std::collections::{HashMap, VecDeque};

use crate::fingerprint::Fingerprint;

/// Requests remembered, the first noted going first; each costs some 60 bytes of memory.
const REQUESTS_MOST: usize = 1024;

/// How often requests were answered, for as many as fit.
#[derive(Debug, Default)]
pub struct Answered {
    times: HashMap<Fingerprint, u32>,
    order: VecDeque<Fingerprint>,
}

impl Answered {
    /// The request was answered; returns how often that is remembered by now.
    pub fn note(&mut self, fingerprint: Fingerprint) -> u32 {
        if let Some(times) = self.times.get_mut(&fingerprint) {
            *times = times.saturating_add(1);
            return *times;
        }
        if self.order.len() == REQUESTS_MOST
            && let Some(oldest) = self.order.pop_front()
        {
            self.times.remove(&oldest);
        }
        self.order.push_back(fingerprint);
        self.times.insert(fingerprint, 1);
        1
    }

    /// Whether the request is remembered.
    #[must_use]
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.times.contains_key(&fingerprint)
    }
}
