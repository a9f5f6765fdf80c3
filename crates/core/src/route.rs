//! The operators' routing table and the version in force on a node.
//!
//! A request matches the route of its host with the longest prefix of its path. The route
//! defines the services among which requests are split and their weights, whether a request may
//! be retried after it may have run, and its priority. A node accepts only tables of a higher
//! version.
//!
//! A well-formed document may contain a route that cannot be parsed in part because it was written
//! for a newer version of the node. The other routes apply. An unknown kind is treated as
//! non-idempotent, which is safe for every kind; any other route that cannot be parsed is kept as a
//! closed one, so that its requests are refused and do not match a route with a shorter prefix.
//! The parts that could not be parsed are reported as [`Fault`]s of the table.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::account::Directory;

/// Step of the low-discrepancy sequence that distributes requests over the services of a split:
/// the fractional part of the golden ratio.
const GOLDEN_STEP: f64 = 0.618_033_988_749_894_9;

/// Version of a routing table; a higher one replaces a lower one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Running the request again does no harm.
    Idempotent,
    /// The request may run at most once.
    #[default]
    NonIdempotent,
}

/// A service and its weight in a traffic split.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Destination {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share of the requests, relative to the other weights of the split.
    pub weight: u32,
}

/// Route of a host for one path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route, for logs.
    pub name: Arc<str>,
    /// Prefix that the request's path must have.
    pub prefix: Arc<str>,
    /// Whether a request may run more than once.
    pub kind: Kind,
    /// Services among which the requests are split.
    pub parts: Vec<Destination>,
    /// Maximum time that a caller waits for the response.
    #[serde(with = "humantime_serde")]
    pub timeout: Duration,
    /// Latency up to which a response has its full value to the caller.
    #[serde(with = "humantime_serde")]
    pub target_latency: Duration,
    /// Maximum number of upstreams to which one request may be sent.
    pub attempts: u32,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Whether requests need no key of a client account.
    #[serde(default)]
    pub anonymous: bool,
}

/// Configuration of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Path of the health check.
    pub health_path: Arc<str>,
    /// Maximum number of connections that one upstream accepts from all callers together.
    pub connections_most: u32,
    /// Request rate, per second, that one upstream can serve while it is cold.
    #[serde(default)]
    pub cold_requests_per_second: Option<f64>,
}

/// Limits on the size and the timing of callers' requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of a request's header section, in bytes.
    pub header_bytes: u64,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: u64,
    /// Timeout for a header section to arrive.
    #[serde(with = "humantime_serde")]
    pub header_within: Duration,
    /// Time after which an idle connection may be closed.
    #[serde(with = "humantime_serde")]
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 32 * 1024,
            body_bytes: 64 * 1024 * 1024,
            header_within: Duration::from_secs(5),
            idle: Duration::from_mins(1),
        }
    }
}

/// A routing table.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Table {
    /// Version of the table.
    pub version: Version,
    /// Limits on callers' requests.
    #[serde(default)]
    pub limits: Limits,
    /// Routes by host.
    pub hosts: BTreeMap<Arc<str>, Vec<Route>>,
    /// Services by name.
    #[serde(default)]
    pub services: BTreeMap<Arc<str>, Service>,
    /// Client accounts; if there are any, requests need a key of one of them.
    #[serde(rename = "client_accounts", default, skip_serializing)]
    pub accounts: Directory,
    /// Parts of the routes that could not be parsed.
    #[serde(skip)]
    pub faults: Vec<Fault>,
}

/// Part of a route that could not be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Name of the route, or its prefix if the name could not be parsed either.
    pub route: Arc<str>,
    /// Location within the route and the parse error.
    pub cause: Arc<str>,
}

impl Table {
    /// Returns the route of a request; `None` if no route matches.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        self.hosts
            .get(host)?
            .iter()
            .filter(|route| path.starts_with(route.prefix.as_ref()))
            .max_by_key(|route| route.prefix.len())
    }
}

impl Route {
    /// Creates a closed route, for one that could not be parsed: it matches its requests, but no
    /// service serves them.
    ///
    /// Failure: one route of a table contains something unknown to the node. Symptom: if the whole
    /// table were rejected, no request would be served; if the route were left out, its requests
    /// would run at the service of a shorter prefix. A route without services avoids both.
    #[must_use]
    pub fn closed(name: Arc<str>, prefix: Arc<str>) -> Self {
        Self {
            name,
            prefix,
            kind: Kind::NonIdempotent,
            parts: Vec::new(),
            timeout: Duration::ZERO,
            target_latency: Duration::ZERO,
            attempts: 0,
            priority: u8::MAX,
            anonymous: false,
        }
    }

    /// Returns the service for the request with this sequence number, counted by the node; `None`
    /// if the route is closed.
    ///
    /// Consecutive numbers are distributed evenly over the weights, so that each service gets its
    /// share within a few requests and not only on average.
    #[must_use]
    pub fn service(&self, number: u64) -> Option<&Arc<str>> {
        if let [only] = self.parts.as_slice() {
            return Some(&only.service);
        }
        let total: f64 = self.parts.iter().map(|part| f64::from(part.weight)).sum();
        let mut remaining = low_discrepancy(number) * total;
        for part in &self.parts {
            remaining -= f64::from(part.weight);
            if remaining < 0.0 {
                return Some(&part.service);
            }
        }
        self.parts.last().map(|part| &part.service)
    }
}

/// Returns an element, in `0.0..1.0`, of the low-discrepancy sequence.
#[allow(clippy::cast_precision_loss)]
fn low_discrepancy(number: u64) -> f64 {
    /// Numbers are reduced modulo this, so that the product keeps a sufficiently exact fraction.
    const PERIOD: u64 = 1 << 32;
    ((number % PERIOD) as f64 * GOLDEN_STEP).fract()
}

/// A table with the document it was parsed from, which nodes pass on unchanged.
#[derive(Clone, Default, PartialEq)]
pub struct Document {
    /// The parsed table.
    pub table: Table,
    /// The document as operators wrote it, compressed. It contains the keys of client accounts.
    pub packed: Arc<[u8]>,
}

/// Shows the table and the length of the packed document, from which keys could be unpacked.
impl fmt::Debug for Document {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Document")
            .field("table", &self.table)
            .field("packed_bytes", &self.packed.len())
            .finish()
    }
}

/// Result of offering a table to a register.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offered {
    /// The table is newer and now in force.
    Accepted,
    /// The table is the one in force, or an older one.
    NotNewer,
}

/// The routing table in force on one node.
#[derive(Debug, Default)]
pub struct Register {
    current: Option<Arc<Document>>,
}

impl Register {
    /// Puts a document in force if it is newer.
    ///
    /// Failure: a stale read, an old event or a peer that was cut off delivers an older table.
    /// Symptom: requests go to services that operators have removed from the route. Only higher
    /// versions are accepted, whatever their source.
    pub fn offer(&mut self, offered: Document) -> Offered {
        if !self.is_older_than(offered.table.version) {
            return Offered::NotNewer;
        }
        self.current = Some(Arc::new(offered));
        Offered::Accepted
    }

    /// Returns whether a table of this version would be accepted, to check before parsing it.
    #[must_use]
    pub fn is_older_than(&self, version: Version) -> bool {
        self.version() < version
    }

    /// Returns the document in force; `None` before the first one.
    #[must_use]
    pub const fn current(&self) -> Option<&Arc<Document>> {
        self.current.as_ref()
    }

    /// Returns the version in force; 0 before the first document.
    #[must_use]
    pub fn version(&self) -> Version {
        self.current
            .as_ref()
            .map_or(Version(0), |document| document.table.version)
    }
}
