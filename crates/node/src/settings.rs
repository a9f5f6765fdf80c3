//! Settings file of a node: JSON with comments, validated completely before the node starts.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use error_stack::{Report, ResultExt};
use mintridge_core::configs as core;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::configs;

/// All settings of a node. `host` and `availability_zone` are required; all other settings have
/// defaults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this host, unique among all hosts.
    pub host: Arc<str>,
    /// Availability zone of this host.
    pub availability_zone: Arc<str>,
    /// Addresses on which the node listens.
    #[serde(default)]
    pub listeners: configs::listeners::Settings,
    /// Control addresses of other nodes to contact when the store does not respond.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Control port of all peers, if `peers` lists their hosts with other ports.
    #[serde(default)]
    pub peers_port: Option<u16>,
    /// The platform's key-value store.
    #[serde(default)]
    pub store: configs::store::Settings,
    /// Startup and shutdown of the node.
    #[serde(default)]
    pub node: core::stop::Settings,
    /// Connections and requests of callers.
    #[serde(default)]
    pub callers: configs::callers::Settings,
    /// Connections to peers.
    #[serde(default)]
    pub link: configs::link::Settings,
    /// Calls to the upstream.
    #[serde(default)]
    pub guard: configs::guard::Settings,
    /// Headers that the upstream supports.
    #[serde(default)]
    pub upstream: configs::upstream::Settings,
    /// The routing table.
    #[serde(default)]
    pub routes: configs::routes::Settings,
    /// Thread that claims idempotency keys.
    #[serde(default)]
    pub claims: configs::claims::Settings,
    /// Communication with peers and the store.
    #[serde(default)]
    pub control: configs::control::Settings,
    /// Logs.
    #[serde(default)]
    pub logs: configs::logs::Settings,
    /// Traces.
    #[serde(default)]
    pub traces: configs::traces::Settings,
    /// Client accounts.
    #[serde(default)]
    pub accounts: core::account::Settings,
    /// Admission control for the upstream.
    #[serde(default)]
    pub admission: core::admission::Settings,
    /// Decisions on claims of idempotency keys.
    #[serde(default)]
    pub claim: core::claim::Settings,
    /// Conditions under which requests are forwarded to the upstream.
    #[serde(default)]
    pub gate: core::gate::Settings,
    /// Health of the upstream.
    #[serde(default)]
    pub health: core::health::Settings,
    /// Cluster membership.
    #[serde(default)]
    pub membership: core::membership::Settings,
    /// When a starting node reads from the store.
    #[serde(default)]
    pub bootstrap: core::bootstrap::Settings,
    /// Failover between nodes that read the store.
    #[serde(default)]
    pub failover: core::failover::Settings,
    /// Selection of an upstream for each request.
    #[serde(default)]
    pub placement: core::placement::Settings,
    /// Probes of an upstream whose health is in doubt.
    #[serde(default)]
    pub probe: core::probe::Settings,
    /// Quarantine of requests that crash upstreams.
    #[serde(default)]
    pub quarantine: core::quarantine::Settings,
    /// Retries.
    #[serde(default)]
    pub retry: core::retry::Settings,
    /// Limits for cold upstreams.
    #[serde(default)]
    pub warm_up: core::warm_up::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            host: Arc::from("host-1"),
            availability_zone: Arc::from("zone-a"),
            listeners: configs::listeners::Settings::default(),
            peers: Vec::new(),
            peers_port: None,
            store: configs::store::Settings::default(),
            node: core::stop::Settings::default(),
            callers: configs::callers::Settings::default(),
            link: configs::link::Settings::default(),
            guard: configs::guard::Settings::default(),
            upstream: configs::upstream::Settings::default(),
            routes: configs::routes::Settings::default(),
            claims: configs::claims::Settings::default(),
            control: configs::control::Settings::default(),
            logs: configs::logs::Settings::default(),
            traces: configs::traces::Settings::default(),
            accounts: core::account::Settings::default(),
            admission: core::admission::Settings::default(),
            claim: core::claim::Settings::default(),
            gate: core::gate::Settings::default(),
            health: core::health::Settings::default(),
            membership: core::membership::Settings::default(),
            bootstrap: core::bootstrap::Settings::default(),
            failover: core::failover::Settings::default(),
            placement: core::placement::Settings::default(),
            probe: core::probe::Settings::default(),
            quarantine: core::quarantine::Settings::default(),
            retry: core::retry::Settings::default(),
            warm_up: core::warm_up::Settings::default(),
        }
    }
}

/// Why a settings file was rejected.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("{}: cannot be read", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
    },
    /// A key is unknown or missing, or a value has the wrong type or syntax.
    #[error("{}:{line}: {key}: {problem}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Line of the value, starting at 1; 0 if the parser does not report it.
        line: usize,
        /// Path of the key.
        key: String,
        /// Description of the problem, from the parser.
        problem: String,
    },
    /// A value is out of range.
    #[error("{}: {key}: {found} is outside {allowed}", path.display())]
    Range {
        /// The file.
        path: PathBuf,
        /// Path of the key.
        key: &'static str,
        /// The value found.
        found: f64,
        /// The allowed range.
        allowed: &'static str,
    },
}

/// Reads and validates a settings file.
///
/// # Errors
/// If the file cannot be read, or a key or value is invalid.
pub fn load(path: &Path) -> Result<Settings, Report<Error>> {
    let settings: Settings = read(path)?;
    check(path, &settings)?;
    Ok(settings)
}

/// Reads a file of JSON with comments.
///
/// # Errors
/// If the file cannot be read, a key is unknown or missing, or a value has the wrong type or
/// syntax.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<T, Report<Error>> {
    let text = std::fs::read_to_string(path).change_context_lazy(|| Error::Unreadable {
        path: path.to_owned(),
    })?;
    let mut deserializer = json5::Deserializer::from_str(&text);
    serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        let line = error
            .inner()
            .position()
            .map_or(0, |position| position.line + 1);
        Report::new(Error::Malformed {
            path: path.to_owned(),
            line,
            key: error.path().to_string(),
            problem: error.inner().to_string(),
        })
    })
}

/// Allowed range of one value.
struct Bound {
    key: &'static str,
    found: f64,
    min: f64,
    max: f64,
    allowed: &'static str,
}

#[allow(clippy::cast_precision_loss)]
fn bounds(settings: &Settings) -> [Bound; 13] {
    let share = |key, found| Bound {
        key,
        found,
        min: f64::MIN_POSITIVE,
        max: 1.0,
        allowed: "above 0 to 1",
    };
    let at_least_one = |key, found| Bound {
        key,
        found,
        min: 1.0,
        max: 1e6,
        allowed: "1 to 1000000",
    };
    [
        share(
            "admission.service_time_share",
            settings.admission.service_time_share,
        ),
        share(
            "admission.limit_decrease",
            settings.admission.limit_decrease,
        ),
        share("admission.slots_share", settings.admission.slots_share),
        share(
            "admission.failed_runs_most",
            settings.admission.failed_runs_most,
        ),
        share("health.fast_failure", settings.health.fast_failure),
        Bound {
            key: "retry.reserved_share",
            found: settings.retry.reserved_share,
            min: 0.0,
            max: 1.0,
            allowed: "0 to 1",
        },
        at_least_one("admission.limit_least", settings.admission.limit_least),
        at_least_one("claim.writes_per_second", settings.claim.writes_per_second),
        at_least_one("claim.writes_burst", settings.claim.writes_burst),
        at_least_one("retry.attempts", f64::from(settings.retry.attempts)),
        at_least_one("accounts.shards", f64::from(settings.accounts.shards)),
        at_least_one("claims.ring", settings.claims.ring as f64),
        Bound {
            key: "claim.batch_most",
            found: settings.claim.batch_most as f64,
            min: 1.0,
            max: mintridge_store::wire::MAX_TXN_OPERATIONS as f64,
            allowed: "1 to 128",
        },
    ]
}

fn check(path: &Path, settings: &Settings) -> Result<(), Report<Error>> {
    for bound in bounds(settings) {
        if (bound.min..=bound.max).contains(&bound.found) {
            continue;
        }
        return Err(Report::new(Error::Range {
            path: path.to_owned(),
            key: bound.key,
            found: bound.found,
            allowed: bound.allowed,
        }));
    }
    Ok(())
}
