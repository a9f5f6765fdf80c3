//! What measuring may cost: a token bucket in time of the upstream's slots.

use std::time::{Duration, Instant};

use crate::configs::probe::Settings;

/// Bucket of upstream time; a probe reserves its worst case before it is sent.
///
/// Failure: probes that hang. Symptom: each costs its whole timeout, and a budget
/// that is charged afterwards is overdrawn by all of them. Reserving the timeout
/// first and refunding what was not used keeps the sum under the budget whatever the
/// probes do.
#[derive(Debug)]
pub struct Budget {
    settings: Settings,
    share: f64,
    slots: u32,
    tokens: Duration,
    refilled_at: Instant,
    spent: Duration,
}

/// Upstream time reserved for one probe.
#[derive(Debug)]
#[must_use = "an unsettled reservation is spent in full"]
pub struct Reservation {
    reserved: Duration,
}

impl Budget {
    /// Starts with one probe's worth, so that a first doubt is settled at once.
    #[must_use]
    pub const fn new(settings: Settings, share: f64, now: Instant) -> Self {
        Self {
            tokens: settings.timeout,
            settings,
            share,
            slots: 1,
            refilled_at: now,
            spent: Duration::ZERO,
        }
    }

    /// Takes the share of upstream time that the preset in force grants.
    pub fn set_share(&mut self, now: Instant, share: f64) {
        self.refill(now);
        self.share = share;
    }

    /// Takes the number of slots whose time is shared.
    pub fn set_slots(&mut self, now: Instant, slots: u32) {
        self.refill(now);
        self.slots = slots;
    }

    /// Reserves one probe, or tells when there will be enough.
    ///
    /// # Errors
    /// The instant at which to ask again; `None` while nothing is earned.
    pub fn reserve(&mut self, now: Instant) -> Result<Reservation, Option<Instant>> {
        self.refill(now);
        let reserved = self.settings.timeout;
        if self.tokens >= reserved {
            self.tokens -= reserved;
            self.spent += reserved;
            return Ok(Reservation { reserved });
        }
        if self.earned_share() <= 0.0 {
            return Err(None);
        }
        let missing = reserved.saturating_sub(self.tokens);
        Err(Some(
            now + missing.div_f64(self.earned_share()) + Duration::from_nanos(1),
        ))
    }

    /// Gives back what a finished probe did not use; each is charged with the least cost at
    /// least, since the upstream works on it also where nobody waits.
    pub fn settle(&mut self, reservation: &Reservation, used: Duration) {
        let used = used.max(self.settings.cost_least);
        let unused = reservation.reserved.saturating_sub(used);
        self.spent -= unused;
        self.tokens = (self.tokens + unused).min(self.settings.timeout);
    }

    /// Upstream time spent on probes so far, reservations included.
    #[must_use]
    pub const fn spent(&self) -> Duration {
        self.spent
    }

    /// Slot time earned in a unit of time.
    fn earned_share(&self) -> f64 {
        self.share * f64::from(self.slots)
    }

    fn refill(&mut self, now: Instant) {
        let since = now.duration_since(self.refilled_at);
        let earned = since.mul_f64(self.earned_share());
        self.tokens = (self.tokens + earned).min(self.settings.timeout);
        self.refilled_at = now;
    }
}
