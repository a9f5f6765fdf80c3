//! Whether the node beside an upstream admits new requests.
//!
//! All requests reach the upstream through its gate. Closing the gate therefore ensures that a
//! leaving host gets no new request, even from a node that does not yet know that it is leaving:
//! that node's request is refused as not run and is placed on another host.

use std::collections::BTreeSet;
use std::time::Instant;

use crate::configs::gate::Settings;
use crate::outcome::Reason;

/// State of the gate; it is open only while there is no reason to close it.
#[derive(Debug)]
pub struct Gate {
    settings: Settings,
    drain_causes: BTreeSet<Cause>,
    announced_until: Option<Instant>,
    drain_deadline: Option<Instant>,
    pause: Option<Pause>,
    /// Start of the current incarnation of the upstream.
    reset_at: Option<Instant>,
    last_tick: Instant,
}

/// Reason to send no new requests to the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Cause {
    /// This node is stopping.
    Stop,
    /// The upstream announced that it is draining.
    Upstream,
    /// The upstream stated in a response that it is leaving.
    Response,
    /// The preset in force lists the host as leaving.
    Preset,
    /// The host's availability zone has been evacuated.
    Evacuation,
}

/// A pause of this process after which no up-to-date state has been received yet.
#[derive(Debug)]
struct Pause {
    detected_at: Instant,
    expires_at: Instant,
}

impl Gate {
    /// Creates a gate that stays closed until the upstream announces itself.
    #[must_use]
    pub const fn new(settings: Settings, now: Instant) -> Self {
        Self {
            settings,
            drain_causes: BTreeSet::new(),
            announced_until: None,
            drain_deadline: None,
            pause: None,
            reset_at: None,
            last_tick: now,
        }
    }

    /// Replaces the settings; times that have begun keep their end.
    pub fn set_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Records an announcement of the upstream; `draining` is whether it reports that it is
    /// draining.
    pub fn record_announcement(&mut self, now: Instant, draining: bool) {
        self.announced_until = Some(now + self.settings.announcement_validity());
        self.set_drain(now, Cause::Upstream, draining);
    }

    /// Records that a response to a request sent at `sent_at` states that the upstream is leaving.
    /// This holds until the end of the incarnation, whatever it announces: announcements are late,
    /// and nodes that passed the response on may send it nothing new. Returns whether the state changed.
    pub fn record_leaving_response(&mut self, sent_at: Instant, now: Instant) -> bool {
        let is_outdated = self.reset_at.is_some_and(|reset_at| sent_at < reset_at);
        if is_outdated || self.states_leaving() {
            return false;
        }
        self.set_drain(now, Cause::Response, true);
        true
    }

    /// Whether the current incarnation stated in a response that it is leaving.
    #[must_use]
    pub fn states_leaving(&self) -> bool {
        self.drain_causes.contains(&Cause::Response)
    }

    /// Resets what the previous incarnation of the upstream stated in its responses.
    pub fn reset_after_restart(&mut self, now: Instant) {
        self.reset_at = Some(now);
        self.set_drain(now, Cause::Response, false);
    }

    /// Drains the upstream because this node is stopping; this cannot be undone.
    pub fn stop(&mut self, now: Instant) {
        self.set_drain(now, Cause::Stop, true);
    }

    /// Records whether the preset in force lists this host as leaving.
    pub fn set_preset_drain(&mut self, now: Instant, leaving: bool) {
        self.set_drain(now, Cause::Preset, leaving);
    }

    /// Records whether the host's availability zone has been evacuated.
    pub fn set_evacuated(&mut self, now: Instant, evacuated: bool) {
        self.set_drain(now, Cause::Evacuation, evacuated);
    }

    /// Whether the host's availability zone has been evacuated.
    #[must_use]
    pub fn is_evacuated(&self) -> bool {
        self.drain_causes.contains(&Cause::Evacuation)
    }

    /// Detects pauses of the process; a timer calls this at a short interval, and a late call means
    /// that the process was paused.
    ///
    /// Failure: a node that was paused for a minute resumes with the preset and members it knew
    /// before. Symptom: a host that was put into maintenance meanwhile runs new requests. The gap
    /// on the monotonic clock is detected before anything else is done, and the gate stays closed
    /// until a peer or the store has replied. If none replies within `wake_gives_up`, the gate
    /// opens with the state it has, because no reachable process has a newer one.
    pub fn tick(&mut self, now: Instant) {
        if now.duration_since(self.last_tick) > self.settings.pause_noticed {
            self.pause = Some(Pause {
                detected_at: now,
                expires_at: now + self.settings.wake_gives_up,
            });
        }
        self.last_tick = now;
        if self
            .pause
            .as_ref()
            .is_some_and(|pause| now >= pause.expires_at)
        {
            self.pause = None;
        }
    }

    /// Records that the state of a peer or the store was received and applied.
    ///
    /// `asked_at` is when the exchange began. An exchange that began before a pause may lack what
    /// happened during the pause, so it does not open the gate.
    pub fn record_refresh(&mut self, asked_at: Instant) {
        let Some(pause) = &self.pause else { return };
        if asked_at >= pause.detected_at {
            self.pause = None;
        }
    }

    /// Returns the reason to refuse a new request, if there is one.
    ///
    /// Calls [`Self::tick`], so that a pause is detected by the first request after it.
    pub fn check(&mut self, now: Instant) -> Option<Reason> {
        self.tick(now);
        if self.is_leaving() {
            return Some(Reason::Leaving);
        }
        if self.is_evacuated() {
            return Some(Reason::Evacuated);
        }
        if self.pause.is_some() {
            return Some(Reason::Stale);
        }
        match self.announced_until {
            Some(until) if now < until => None,
            _ => Some(Reason::Unannounced),
        }
    }

    /// Returns the reason not to send an admitted request to the upstream, if there is one.
    ///
    /// Requests admitted before the drain began may still be sent during a short grace period.
    /// After a pause none is sent, because the pause may have been longer than the grace period.
    pub fn check_hand_over(&mut self, now: Instant) -> Option<Reason> {
        self.tick(now);
        if self.pause.is_some() {
            return Some(Reason::Stale);
        }
        match self.drain_deadline {
            Some(at) if self.is_leaving() && now >= at => Some(Reason::Leaving),
            Some(at) if now >= at => Some(Reason::Evacuated),
            _ => None,
        }
    }

    fn set_drain(&mut self, now: Instant, cause: Cause, draining: bool) {
        if draining {
            self.drain_causes.insert(cause);
        } else {
            self.drain_causes.remove(&cause);
        }
        if self.drain_causes.is_empty() {
            self.drain_deadline = None;
        } else if self.drain_deadline.is_none() {
            self.drain_deadline = Some(now + self.settings.hand_over_time());
        }
    }

    /// Whether the host is leaving for any cause other than an evacuation.
    ///
    /// After an evacuation, the host serves requests again.
    ///
    /// The result is part of the host's membership record. If evacuations counted, the records of a
    /// whole availability zone would change at once.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.drain_causes
            .iter()
            .any(|cause| *cause != Cause::Evacuation)
    }
}
