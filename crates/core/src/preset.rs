//! Presets, which operators edit, and the preset in force.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Maximum share of upstream time that a preset may grant to probes.
const MAX_PROBE_SHARE: f64 = 0.05;
/// Default share of upstream time that probes may use. A pace probe costs 6 ms of a slot; on an
/// upstream with six slots this share pays for one probe every 60 ms, which is several during a
/// slow phase of a few hundred milliseconds. With fewer probes slow phases go undetected, and
/// requests that start in one occupy their slot for a long time.
const DEFAULT_PROBE_SHARE: f64 = 0.02;
/// Maximum share of traffic that a preset may grant to retries.
const MAX_RETRY_SHARE: f64 = 0.5;
/// Maximum weight of a client account.
const MAX_WEIGHT: f64 = 1000.0;

/// Contents of a preset.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Preset {
    /// Share of upstream time that probes may use, 0 to 0.05.
    pub probe_share: f64,
    /// Retries per answered request, 0 to 0.5.
    pub retry_share: f64,
    /// Client accounts with a weight other than 1.
    pub client_accounts: BTreeMap<Arc<str>, ClientAccount>,
    /// Hosts under maintenance: they finish their requests in progress and get no new ones.
    pub leaving: BTreeSet<Arc<str>>,
}

impl Default for Preset {
    fn default() -> Self {
        Self {
            probe_share: DEFAULT_PROBE_SHARE,
            retry_share: 0.1,
            client_accounts: BTreeMap::new(),
            leaving: BTreeSet::new(),
        }
    }
}

/// Settings of a preset for one client account.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClientAccount {
    /// Weight in the fair queue of an upstream relative to other client accounts, above 0 to 1000.
    pub weight: f64,
}

impl Default for ClientAccount {
    fn default() -> Self {
        Self { weight: 1.0 }
    }
}

/// A value of a preset that is out of range.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{key}: {found} is outside {allowed}")]
pub struct Invalid {
    /// Path of the value within the preset.
    pub key: String,
    /// The value found.
    pub found: f64,
    /// The allowed range.
    pub allowed: &'static str,
}

impl Preset {
    /// Checks that every value is in range.
    ///
    /// # Errors
    /// Returns the first value that is out of range.
    pub fn check(&self) -> Result<(), Invalid> {
        check_range(
            "probe_share",
            self.probe_share,
            0.0,
            MAX_PROBE_SHARE,
            "0 to 0.05",
        )?;
        check_range(
            "retry_share",
            self.retry_share,
            0.0,
            MAX_RETRY_SHARE,
            "0 to 0.5",
        )?;
        for (name, client_account) in &self.client_accounts {
            let key = format!("client_accounts.{name}.weight");
            let min = f64::MIN_POSITIVE;
            check_range(
                &key,
                client_account.weight,
                min,
                MAX_WEIGHT,
                "above 0 to 1000",
            )?;
        }
        Ok(())
    }

    /// Weight of a client account; 1 if the preset does not list it.
    #[must_use]
    pub fn weight(&self, client_account: &str) -> f64 {
        self.client_accounts
            .get(client_account)
            .map_or(1.0, |client_account| client_account.weight)
    }
}

fn check_range(
    key: &str,
    found: f64,
    min: f64,
    max: f64,
    allowed: &'static str,
) -> Result<(), Invalid> {
    if (min..=max).contains(&found) {
        return Ok(());
    }
    Err(Invalid {
        key: key.to_owned(),
        found,
        allowed,
    })
}

/// Number of a change of the preset in force; it only increases.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// The revision after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// The preset in force, as it is stored and exchanged between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InForce {
    /// Number of this change.
    pub revision: Revision,
    /// Name of the preset.
    pub name: Arc<str>,
    /// Contents of the preset at the time of the change.
    pub preset: Preset,
    /// Who changed it.
    pub changed_by: Arc<str>,
    /// Time of the change in seconds since the Unix epoch, by the clock of whoever made it; shown
    /// to operators only.
    pub changed_at: u64,
    /// Unique mark of the writer; after a lost reply it shows whether the stored change is the
    /// writer's own.
    pub mark: Arc<str>,
}

impl Default for InForce {
    fn default() -> Self {
        Self {
            revision: Revision(0),
            name: Arc::from("built-in"),
            preset: Preset::default(),
            changed_by: Arc::from("mintridge"),
            changed_at: 0,
            mark: Arc::from(""),
        }
    }
}

/// Result of offering a document to a [`Register`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offered {
    /// The document is newer and now in force on this node.
    Accepted,
    /// The document is already in force on this node.
    Same,
    /// The document is older than the one in force on this node.
    Older,
    /// The document has the revision of the one in force but was written by another writer.
    Conflict,
    /// A value of the document is out of range; the document in force stays.
    Invalid,
}

/// The preset in force on one node.
#[derive(Debug, Default)]
pub struct Register {
    current: Arc<InForce>,
}

impl Register {
    /// Puts a document in force if it is newer.
    ///
    /// Failure: a watch redelivers old events, a peer was disconnected, or the store returns stale
    /// data. Symptom: a preset that was replaced comes into force again. A node accepts only higher
    /// revisions, whatever their source, so this cannot happen.
    pub fn offer(&mut self, offered: InForce) -> Offered {
        if offered.revision < self.current.revision {
            return Offered::Older;
        }
        if offered.revision == self.current.revision {
            return if offered.mark == self.current.mark {
                Offered::Same
            } else {
                Offered::Conflict
            };
        }
        if offered.preset.check().is_err() {
            return Offered::Invalid;
        }
        self.current = Arc::new(offered);
        Offered::Accepted
    }

    /// The preset in force on this node.
    #[must_use]
    pub const fn current(&self) -> &Arc<InForce> {
        &self.current
    }
}
