//! Tracks the hosts asked to take one request, and which may be asked next.
//!
//! Load pattern: load reports are stale, so in a burst many nodes choose the same upstream. The
//! node beside it immediately refuses requests that it could only answer late, without involving
//! the upstream, and reports its current load; the request moves on to the next host. Only the last
//! host asked may accept it for a late answer, and that may be one that refused it before. Once the
//! target time of the request has passed no host can be in time, and the next one asked is the
//! last.

use std::sync::Arc;
use std::time::Instant;

use crate::configs::retry::Settings;
use crate::outcome::{Reason, Refusal};

/// Hosts tried for one request, and attempts that reached an upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    /// Hosts that must not be asked again.
    tried: Vec<Arc<str>>,
    /// Hosts among `tried` that refused only because their answer would have been late.
    refused_late: Vec<Arc<str>>,
    /// Number of hosts asked so far, whatever their answer.
    placements: u32,
    /// Upstreams that received the request, or may have.
    handovers: u32,
}

/// Time limits of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Due {
    /// An answer after this instant is late, but still useful.
    pub target: Instant,
    /// An answer after this instant is useless.
    pub deadline: Instant,
}

impl Attempts {
    /// Returns the hosts that must not be asked again.
    #[must_use]
    pub fn tried(&self) -> &[Arc<str>] {
        &self.tried
    }

    /// Returns the number of upstreams that received the request, or may have.
    #[must_use]
    pub const fn handovers(&self) -> u32 {
        self.handovers
    }

    /// Records that a host is asked; returns whether it must refuse the request if it could only
    /// answer late.
    pub fn record_placement(&mut self, settings: &Settings, host: &Arc<str>) -> bool {
        self.tried.push(Arc::clone(host));
        self.placements += 1;
        self.placements < settings.placements
    }

    /// Records that the upstream of the last host asked received the request, or may have.
    pub const fn record_handover(&mut self) {
        self.handovers += 1;
    }

    /// Records that the last host asked refused before its upstream received anything; returns
    /// whether another may be asked. `has_untried` returns whether there is a host besides those
    /// given.
    pub fn record_refusal(
        &mut self,
        settings: &Settings,
        now: Instant,
        due: Due,
        refusal: &Refusal,
        has_untried: impl Fn(&[Arc<str>]) -> bool,
    ) -> bool {
        let may_continue = self.placements < settings.placements && now < due.deadline;
        if !may_continue || !refusal.reason.is_host_specific() {
            return false;
        }
        if refusal.reason == Reason::Late {
            self.refused_late.extend(self.tried.last().cloned());
        }
        let next_is_last = self.placements + 1 >= settings.placements || now >= due.target;
        if next_is_last || !has_untried(&self.tried) {
            self.placements = settings.placements.saturating_sub(1);
            let refused_late = std::mem::take(&mut self.refused_late);
            self.tried.retain(|host| !refused_late.contains(host));
        }
        has_untried(&self.tried)
    }
}
