//! What an upstream states about itself in its responses, besides its load.
//!
//! The node beside the upstream applies a statement first. If it restarts, its successor knows
//! nothing, while the nodes that passed the responses on are still bound by them. They therefore
//! return the last [`Known`] statements of an upstream with each request to it, and the node beside
//! it adopts them if they are of the current incarnation.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time for which the statements of an upstream are kept after its host has left.
const RETENTION: Duration = Duration::from_mins(5);

/// Statements of one response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Whether the upstream is leaving: it takes no new requests.
    pub leaving: bool,
    /// Whether the response names a request limit.
    pub limit: Limit,
}

/// Request limit that a response names.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Limit {
    /// The response names no limit.
    #[default]
    Absent,
    /// Requests per second that the upstream takes from all nodes together; finite and not
    /// negative.
    Named(f64),
    /// The response names a limit that cannot be read. It neither sets nor ends a limit.
    Unreadable,
}

/// Parses a rate in requests per second; `None` unless it is finite and not negative.
#[must_use]
pub fn parse_rate(text: &str) -> Option<f64> {
    let rate = text.parse().ok();
    rate.filter(|rate: &f64| rate.is_finite() && *rate >= 0.0)
}

/// Statements of one incarnation of an upstream, as nodes pass them on to each other.
#[derive(Clone, Debug, PartialEq)]
pub struct Known {
    /// Instance id of the incarnation.
    pub instance: Arc<str>,
    /// Start time of the incarnation, if it reported one.
    pub born: Option<u64>,
    /// Whether it stated that it is leaving, which holds until its end.
    pub leaving: bool,
    /// The limit that it named, in requests per second.
    pub requests_per_second: Option<f64>,
}

/// Error for text that isn't written by [`Known`]'s [`fmt::Display`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("statements of an upstream are malformed")]
pub struct Malformed;

impl fmt::Display for Known {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{},", u8::from(self.leaving))?;
        if let Some(limit) = self.requests_per_second {
            write!(f, "{limit}")?;
        }
        write!(f, ",")?;
        if let Some(born) = self.born {
            write!(f, "{born}")?;
        }
        // Ids may contain commas, so the id comes last.
        write!(f, ",{}", self.instance)
    }
}

impl FromStr for Known {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let mut parts = text.splitn(4, ',');
        let mut next = || parts.next().ok_or(Malformed);
        let leaving = match next()? {
            "0" => false,
            "1" => true,
            _ => return Err(Malformed),
        };
        let requests_per_second = match next()? {
            "" => None,
            limit => Some(parse_rate(limit).ok_or(Malformed)?),
        };
        let born = match next()? {
            "" => None,
            born => Some(born.parse().map_err(|_| Malformed)?),
        };
        Ok(Self {
            instance: Arc::from(next()?),
            born,
            leaving,
            requests_per_second,
        })
    }
}

/// The last known statements of the upstreams that a node sent requests to.
#[derive(Debug, Default)]
pub struct Register {
    hosts: HashMap<Arc<str>, Entry>,
}

#[derive(Debug)]
struct Entry {
    known: Known,
    received_at: Instant,
}

impl Register {
    /// Records the statements that came with a response from the node of `host`, or that none came.
    ///
    /// Responses overtake each other, so the absence of statements counts only in the response to a
    /// request that was sent after the last statements were received.
    pub fn record(
        &mut self,
        host: &Arc<str>,
        sent_at: Instant,
        received_at: Instant,
        known: Option<Known>,
    ) {
        let previous = self.hosts.get(host);
        let Some(mut known) = known else {
            if previous.is_some_and(|previous| sent_at >= previous.received_at) {
                self.hosts.remove(host);
            }
            return;
        };
        if let Some(previous) = previous
            && previous.known.instance == known.instance
            && previous.known.born == known.born
        {
            known.leaving |= previous.known.leaving;
        }
        self.hosts
            .insert(Arc::clone(host), Entry { known, received_at });
    }

    /// Returns the last known statements of the upstream of a host.
    #[must_use]
    pub fn get(&self, host: &str) -> Option<&Known> {
        self.hosts.get(host).map(|entry| &entry.known)
    }

    /// Removes the hosts that are no longer members and whose last statements are older than the
    /// retention time. A host that returns earlier may run the same incarnation.
    pub fn prune(&mut self, now: Instant, is_member: impl Fn(&Arc<str>) -> bool) {
        self.hosts
            .retain(|host, entry| is_member(host) || now < entry.received_at + RETENTION);
    }
}
