//! What measuring may cost: a token bucket in time of the upstream.

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
            refilled_at: now,
            spent: Duration::ZERO,
        }
    }

    /// Takes the share of upstream time that the preset in force grants.
    pub fn set_share(&mut self, now: Instant, share: f64) {
        self.refill(now);
        self.share = share;
    }

    /// Reserves one probe, or tells when there will be enough.
    ///
    /// # Errors
    /// The instant at which to ask again; `None` while the share is zero.
    pub fn reserve(&mut self, now: Instant) -> Result<Reservation, Option<Instant>> {
        self.refill(now);
        let reserved = self.settings.timeout;
        if self.tokens >= reserved {
            self.tokens -= reserved;
            self.spent += reserved;
            return Ok(Reservation { reserved });
        }
        if self.share <= 0.0 {
            return Err(None);
        }
        let missing = reserved.saturating_sub(self.tokens);
        Err(Some(
            now + missing.div_f64(self.share) + Duration::from_nanos(1),
        ))
    }

    /// Gives back what a finished probe did not use.
    pub fn settle(&mut self, reservation: &Reservation, used: Duration) {
        let unused = reservation.reserved.saturating_sub(used);
        self.spent -= unused;
        self.tokens = (self.tokens + unused).min(self.settings.timeout);
    }

    /// Upstream time spent on probes so far, reservations included.
    #[must_use]
    pub const fn spent(&self) -> Duration {
        self.spent
    }

    fn refill(&mut self, now: Instant) {
        let earned = now.duration_since(self.refilled_at).mul_f64(self.share);
        self.tokens = (self.tokens + earned).min(self.settings.timeout);
        self.refilled_at = now;
    }
}
