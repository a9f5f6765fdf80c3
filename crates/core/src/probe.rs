//! Limits the cost of probes: a token bucket filled with a share of the upstream's slot time.

use std::time::{Duration, Instant};

use crate::configs::probe::Settings;

/// Token bucket of upstream time; every probe reserves its worst case before it is sent.
///
/// Failure: probes hang. Symptom: each costs its whole timeout, and a budget that is charged
/// afterwards is overdrawn by all of them. Reserving the timeout first and refunding the unused
/// part keeps the total within the budget whatever the probes do.
#[derive(Debug)]
pub struct Budget {
    settings: Settings,
    share: f64,
    slots: u32,
    tokens: Duration,
    refilled_at: Instant,
    spent: Duration,
}

/// Upstream time reserved for one probe; refunded in part by [`Budget::refund`].
#[derive(Debug)]
#[must_use = "a reservation that is not refunded is spent in full"]
pub struct Reservation {
    reserved: Duration,
}

impl Budget {
    /// Creates a bucket with enough for one probe, so that the first probe can be sent at once.
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

    /// Sets the share of upstream time granted by the preset in force.
    pub fn set_share(&mut self, now: Instant, share: f64) {
        self.refill(now);
        self.share = share;
    }

    /// Sets the number of slots of which the share is taken.
    pub fn set_slots(&mut self, now: Instant, slots: u32) {
        self.refill(now);
        self.slots = slots;
    }

    /// Reserves the time for one probe.
    ///
    /// # Errors
    /// Returns when the budget will suffice, or `None` if the bucket is not being refilled.
    pub fn reserve(&mut self, now: Instant) -> Result<Reservation, Option<Instant>> {
        self.refill(now);
        let reserved = self.settings.timeout;
        if self.tokens >= reserved {
            self.tokens -= reserved;
            self.spent += reserved;
            return Ok(Reservation { reserved });
        }
        if self.refill_rate() <= 0.0 {
            return Err(None);
        }
        let missing = reserved.saturating_sub(self.tokens);
        Err(Some(
            now + missing.div_f64(self.refill_rate()) + Duration::from_nanos(1),
        ))
    }

    /// Refunds the part of a reservation that a finished probe did not use. Each probe is charged
    /// with at least the minimum cost, since the upstream's work on a probe is not limited to the
    /// time that the node waits for the answer.
    pub fn refund(&mut self, reservation: &Reservation, used: Duration) {
        let used = used.max(self.settings.cost_least);
        let unused = reservation.reserved.saturating_sub(used);
        self.spent -= unused;
        self.tokens = (self.tokens + unused).min(self.settings.timeout);
    }

    /// Returns the upstream time spent on probes so far, including open reservations.
    #[must_use]
    pub const fn spent(&self) -> Duration {
        self.spent
    }

    /// Returns the slot time added to the bucket per unit of time.
    fn refill_rate(&self) -> f64 {
        self.share * f64::from(self.slots)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.duration_since(self.refilled_at);
        let refill = elapsed.mul_f64(self.refill_rate());
        self.tokens = (self.tokens + refill).min(self.settings.timeout);
        self.refilled_at = now;
    }
}
