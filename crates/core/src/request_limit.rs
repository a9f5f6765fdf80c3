//! Limits the rate of requests to the one that the upstream names in its responses.
//!
//! Load pattern: an upstream in need names how many requests per second it takes from all nodes
//! together, while several times that arrive from many nodes, which learn of it at different times.
//! The node beside the upstream hands over all of its requests, so it holds the sum alone and
//! without messages.
//!
//! Starts take tokens from a bucket that is refilled at the named rate and holds a fraction of a
//! second of it, so that neither a quiet time nor a queue causes a burst. When a limit is first
//! named or lowered, the starts shortly before are charged to the bucket.
//!
//! Responses overtake each other. A lower limit counts at once; a higher one, or none, only in the
//! response to a request that was sent after the current limit was last named.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::notice::Limit;

/// The bucket holds the tokens of this time, in seconds; at least one.
const BURST_SECONDS: f64 = 0.5;
/// Starts within this time before a limit are charged to it.
const HISTORY: Duration = Duration::from_millis(1500);
/// The starts before a limit delay the next one by at most this time, in seconds.
const MAX_DEBT_SECONDS: f64 = 3.0;
/// Starts that a new process makes before the first response: its predecessor may have known of a
/// limit.
const UNCONFIRMED_STARTS: usize = 4;
/// Time after the first start at which a new process no longer waits for the first response.
const UNCONFIRMED_FOR: Duration = Duration::from_secs(2);
/// Delay after which a start is considered again that waits for the first response.
const UNCONFIRMED_RETRY: Duration = Duration::from_millis(100);
/// Minimum rate of starts per second in an upstream whose responses to checks name no limit: only
/// the response to a request shows that a limit of nearly zero has ended.
const TRIAL_RATE: f64 = 0.25;
/// The upstream is checked if no response has arrived for this long while it names a limit.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Upper bound of the wait for a token, for a limit of zero.
const MAX_WAIT_SECONDS: f64 = 3600.0;

/// Kind of request that a response answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A request of a caller.
    Request,
    /// A check by the node beside the upstream.
    Check,
}

impl Origin {
    /// Returns the label in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Check => "check",
        }
    }
}

/// A response of the upstream.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// What the response answers.
    pub origin: Origin,
    /// When the request was sent.
    pub sent_at: Instant,
    /// When the head of the response was received.
    pub received_at: Instant,
    /// The limit that the response names.
    pub limit: Limit,
}

/// The limit that one upstream names, and its recent starts. By default there is no limit.
#[derive(Debug, Default)]
pub struct RequestLimit {
    /// Whether the upstream may name a limit at all.
    is_enabled: bool,
    bucket: Option<Bucket>,
    /// Starts within [`HISTORY`].
    starts: VecDeque<Instant>,
    /// Whether this process has not received any response yet.
    is_unconfirmed: bool,
    /// Start of the current incarnation; responses to earlier requests do not count.
    reset_at: Option<Instant>,
    /// When the newest response was received that counts.
    observed_at: Option<Instant>,
    /// Whether responses to checks name limits. Otherwise they don't show that a limit has ended.
    checks_name_limit: bool,
    checked_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    rate: f64,
    tokens: f64,
    filled_at: Instant,
    /// When the rate was last named.
    named_at: Instant,
}

impl Bucket {
    fn capacity(&self) -> f64 {
        (self.rate * BURST_SECONDS).max(1.0)
    }

    fn fill(&mut self, now: Instant, rate: f64) {
        let elapsed = now.saturating_duration_since(self.filled_at);
        self.tokens = (self.tokens + rate * elapsed.as_secs_f64()).min(self.capacity());
        self.filled_at = now.max(self.filled_at);
    }
}

impl RequestLimit {
    /// Creates the state in a process that starts now beside an upstream that may name a limit.
    #[must_use]
    pub fn new() -> Self {
        Self {
            is_enabled: true,
            is_unconfirmed: true,
            ..Self::default()
        }
    }

    /// Records a response of the upstream; returns whether the limit changed.
    pub fn record(&mut self, observation: &Observation) -> bool {
        let Observation {
            sent_at,
            received_at,
            ..
        } = *observation;
        let is_outdated = self.reset_at.is_some_and(|reset_at| sent_at < reset_at)
            || self.observed_at.is_some_and(|newest| received_at < newest);
        let is_check = observation.origin == Origin::Check;
        if !self.is_enabled || is_outdated || observation.limit == Limit::Unreadable {
            return false;
        }
        if let Limit::Named(rate) = observation.limit {
            self.checks_name_limit |= is_check;
            self.confirm(received_at);
            return self.set_rate(sent_at, received_at, rate);
        }
        if is_check && !self.checks_name_limit {
            return false;
        }
        self.confirm(received_at);
        let has_ended = self.bucket.take_if(|bucket| sent_at >= bucket.named_at);
        has_ended.is_some()
    }

    /// Adopts a limit of the current incarnation that another node received, unless this process has
    /// received a response of its own; returns whether the limit changed.
    ///
    /// Failure: the node restarts, and its upstream names the limit only in responses to requests.
    /// Symptom: requests at the rate of before, from nodes that know the limit.
    pub fn adopt(&mut self, now: Instant, rate: f64) -> bool {
        let may_adopt = self.is_enabled && self.observed_at.is_none() && self.bucket.is_none();
        may_adopt && self.set_rate(now, now, rate)
    }

    /// Resets the state after a restart of the upstream: its successor has named no limit yet.
    pub fn reset_after_restart(&mut self, now: Instant) {
        self.bucket = None;
        self.starts.clear();
        self.reset_at = Some(now);
        self.observed_at = None;
        self.checks_name_limit = false;
    }

    /// Records that a request starts in the upstream.
    pub fn record_start(&mut self, now: Instant) {
        if !self.is_enabled {
            return;
        }
        self.forget_old_starts(now);
        self.starts.push_back(now);
        let rate = self.refill_rate();
        if let Some(bucket) = &mut self.bucket {
            bucket.fill(now, rate);
            bucket.tokens -= 1.0;
        }
    }

    /// Returns when the next request may start; `None` if it may start at once.
    #[must_use]
    pub fn next_start(&self, now: Instant) -> Option<Instant> {
        let Some(mut bucket) = self.bucket else {
            return self.next_unconfirmed_start(now);
        };
        let rate = self.refill_rate();
        bucket.fill(now, rate);
        let missing = 1.0 - bucket.tokens;
        if missing <= f64::EPSILON {
            return None;
        }
        let wait = (missing / rate).min(MAX_WAIT_SECONDS);
        Some(now + Duration::from_secs_f64(wait))
    }

    /// Returns the limit in force, in requests per second.
    #[must_use]
    pub fn rate(&self) -> Option<f64> {
        self.bucket.map(|bucket| bucket.rate)
    }

    /// Returns the rate at which requests start, in requests per second; at least a trial from time
    /// to time if only that shows the end of the limit.
    #[must_use]
    pub fn start_rate(&self) -> Option<f64> {
        self.bucket.map(|_| self.refill_rate())
    }

    /// Whether the upstream must be checked, to learn that its limit has ended.
    #[must_use]
    pub fn is_check_due(&self, now: Instant) -> bool {
        let latest = self.observed_at.max(self.checked_at);
        let is_silent = latest.is_none_or(|latest| now >= latest + CHECK_INTERVAL);
        self.bucket.is_some() && self.checks_name_limit && is_silent
    }

    /// Records that the upstream is checked.
    pub const fn record_check(&mut self, now: Instant) {
        self.checked_at = Some(now);
    }

    fn confirm(&mut self, received_at: Instant) {
        self.is_unconfirmed = false;
        self.observed_at = Some(received_at);
    }

    /// Sets the rate that a response names; returns whether it changed.
    fn set_rate(&mut self, sent_at: Instant, received_at: Instant, rate: f64) -> bool {
        let refill_rate = self.refill_rate();
        let current = self.bucket;
        let is_lower = current.is_none_or(|current| rate < current.rate);
        let is_higher = current.is_some_and(|current| rate > current.rate);
        if is_higher && current.is_some_and(|current| sent_at < current.named_at) {
            return false;
        }
        let debt = if is_lower {
            self.debt(received_at, rate)
        } else {
            f64::NEG_INFINITY
        };
        let bucket = self.bucket.get_or_insert(Bucket {
            rate,
            tokens: 0.0,
            filled_at: received_at,
            named_at: received_at,
        });
        bucket.fill(received_at, refill_rate);
        bucket.rate = rate;
        bucket.named_at = received_at;
        bucket.tokens = bucket.tokens.min(bucket.capacity()).min(-debt);
        is_lower || is_higher
    }

    /// Returns how many of the starts before a limit exceed it.
    #[allow(clippy::cast_precision_loss)]
    fn debt(&mut self, now: Instant, rate: f64) -> f64 {
        self.forget_old_starts(now);
        let excess = self.starts.len() as f64 - rate * HISTORY.as_secs_f64();
        excess.clamp(0.0, rate * MAX_DEBT_SECONDS)
    }

    fn forget_old_starts(&mut self, now: Instant) {
        while self.starts.front().is_some_and(|at| now >= *at + HISTORY) {
            self.starts.pop_front();
        }
    }

    fn refill_rate(&self) -> f64 {
        let rate = self.bucket.map_or(0.0, |bucket| bucket.rate);
        if self.checks_name_limit {
            rate
        } else {
            rate.max(TRIAL_RATE)
        }
    }

    /// Returns when the next request may start before the first response has arrived.
    fn next_unconfirmed_start(&self, now: Instant) -> Option<Instant> {
        let first = self.starts.front()?;
        let is_waiting = self.is_unconfirmed
            && self.starts.len() >= UNCONFIRMED_STARTS
            && now < *first + UNCONFIRMED_FOR;
        is_waiting.then(|| now + UNCONFIRMED_RETRY)
    }
}
