//! Outcome and reason sent to a caller that does not get the upstream's response.

use std::time::Instant;

use serde::{Deserialize, Serialize};

/// Whether a request may have had an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request was not run by an upstream and will not be.
    NotRun,
    /// The request was sent to an upstream, or may have been; its effect is unknown.
    Unknown,
}

impl Outcome {
    /// Returns the form used in headers and problem details.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Reason for which a request was refused or abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// All slots are in use and the client account's share of the queue is full.
    Busy,
    /// The request's deadline has passed or cannot be met.
    Deadline,
    /// The response would miss its target latency, and another host may be faster.
    Late,
    /// The host is draining and accepts no new requests.
    Leaving,
    /// The host's availability zone has been evacuated.
    Evacuated,
    /// The upstream has failed repeatedly and is being probed.
    Doubtful,
    /// The upstream has not announced itself, or its last announcement has expired.
    Unannounced,
    /// The node was paused and has not received up-to-date state from a peer or the store since.
    Stale,
    /// No host offers the service.
    NoUpstream,
    /// The store did not confirm the idempotency key.
    StoreUnavailable,
    /// The idempotency key was used before.
    Duplicate,
    /// The connection to the node or the upstream broke before the response.
    LinkLost,
    /// The upstream did not accept a connection.
    Unreachable,
    /// The request is malformed or lacks a required header.
    BadRequest,
    /// The upstream reported that it did not run the request.
    Shed,
    /// Another instance of the upstream than expected is listening at the address.
    Misdirected,
    /// The response received is not the response to this request.
    ForeignAnswer,
    /// The node has no routing table yet.
    Unconfigured,
    /// The routing table has no route for the request.
    NoRoute,
    /// The store has not confirmed recently that there is no newer routing table, and the one in
    /// force has no route for the request, no account with its key, or one whose key may have been
    /// revoked.
    Unverified,
    /// The request is in quarantine: upstreams crashed while they ran it.
    Quarantined,
    /// The request lacks a key of a client account, or no account has its key.
    Unauthorized,
    /// The client account has sent more requests than its limit allows.
    RateLimited,
    /// Most calls that the upstream makes for such requests fail.
    DependencyFailing,
    /// The upstream ran the request and ended it with a status that callers take for "not run".
    RunFailed,
}

impl Reason {
    /// All reasons, for metrics with a bounded label set.
    pub const ALL: [Self; 25] = [
        Self::Busy,
        Self::Deadline,
        Self::Late,
        Self::Leaving,
        Self::Evacuated,
        Self::Doubtful,
        Self::Unannounced,
        Self::Stale,
        Self::NoUpstream,
        Self::StoreUnavailable,
        Self::Duplicate,
        Self::LinkLost,
        Self::Unreachable,
        Self::BadRequest,
        Self::Shed,
        Self::Misdirected,
        Self::ForeignAnswer,
        Self::Unconfigured,
        Self::NoRoute,
        Self::Unverified,
        Self::Quarantined,
        Self::Unauthorized,
        Self::RateLimited,
        Self::DependencyFailing,
        Self::RunFailed,
    ];

    /// Returns the form used in headers, problem details and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Deadline => "deadline",
            Self::Late => "late",
            Self::Leaving => "leaving",
            Self::Evacuated => "evacuated",
            Self::Doubtful => "doubtful",
            Self::Unannounced => "unannounced",
            Self::Stale => "stale",
            Self::NoUpstream => "no-upstream",
            Self::StoreUnavailable => "store-unavailable",
            Self::Duplicate => "duplicate",
            Self::LinkLost => "link-lost",
            Self::Unreachable => "unreachable",
            Self::BadRequest => "bad-request",
            Self::Shed => "shed",
            Self::Misdirected => "misdirected",
            Self::ForeignAnswer => "foreign-answer",
            Self::Unconfigured => "unconfigured",
            Self::NoRoute => "no-route",
            Self::Unverified => "unverified",
            Self::Quarantined => "quarantined",
            Self::Unauthorized => "unauthorized",
            Self::RateLimited => "rate-limited",
            Self::DependencyFailing => "dependency-failing",
            Self::RunFailed => "run-failed",
        }
    }

    /// Parses the form written by [`Reason::as_str`].
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| reason.as_str() == text)
    }

    /// Returns whether the reason concerns one host only, so that another may accept the request.
    #[must_use]
    pub const fn is_host_specific(self) -> bool {
        matches!(
            self,
            Self::Busy
                | Self::Deadline
                | Self::Late
                | Self::Leaving
                | Self::Evacuated
                | Self::Doubtful
                | Self::Unannounced
                | Self::Stale
                | Self::Unreachable
                | Self::Shed
                | Self::Misdirected
        )
    }
}

/// Response that the load balancer gives in place of the upstream's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request may have had an effect.
    pub outcome: Outcome,
    /// Reason for the refusal.
    pub reason: Reason,
    /// Earliest time at which a retry makes sense.
    pub retry_at: Instant,
}

impl Refusal {
    /// Creates a refusal of a request that was not run.
    #[must_use]
    pub const fn not_run(reason: Reason, retry_at: Instant) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
            retry_at,
        }
    }

    /// Creates a refusal of a request that may have run.
    #[must_use]
    pub const fn unknown(reason: Reason, retry_at: Instant) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reason,
            retry_at,
        }
    }

    /// Returns whether the request never reached an upstream, so that placing it on another host
    /// repeats no work.
    #[must_use]
    pub const fn never_reached_upstream(&self) -> bool {
        let reached = matches!(self.reason, Reason::Shed | Reason::Misdirected);
        matches!(self.outcome, Outcome::NotRun) && !reached
    }

    /// Returns the HTTP status of this refusal.
    ///
    /// 429 is reserved for a client account that has filled its own share of the queue or has
    /// exceeded its limit; 409 follows
    /// the Idempotency-Key draft; the rest are RFC 9110 gateway statuses.
    #[must_use]
    pub const fn status(&self) -> u16 {
        match (self.outcome, self.reason) {
            (Outcome::NotRun, Reason::Busy | Reason::RateLimited) => 429,
            (Outcome::NotRun, Reason::BadRequest) => 400,
            (Outcome::NotRun, Reason::Unauthorized) => 401,
            (Outcome::NotRun, Reason::NoRoute) => 404,
            (Outcome::NotRun, _) => 503,
            (Outcome::Unknown, Reason::Duplicate) => 409,
            (Outcome::Unknown, Reason::Deadline) => 504,
            (Outcome::Unknown, _) => 502,
        }
    }
}
