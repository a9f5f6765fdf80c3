//! Presets: what operators edit, and the one in force.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Largest share of upstream time that a preset may grant to probes.
const PROBE_SHARE_MOST: f64 = 0.05;
/// Share of upstream time that probes may cost unless a preset says otherwise. A question after
/// the pace costs 6 ms of a slot; with six slots this buys one in 60 ms, several in a slow phase
/// of some hundred. With fewer, phases go unseen, and work that begins in them holds its slot for
/// long.
const PROBE_SHARE: f64 = 0.02;
/// Largest share of traffic that a preset may grant to second attempts.
const RETRY_SHARE_MOST: f64 = 0.5;
/// Largest weight of a client account.
const WEIGHT_MOST: f64 = 1000.0;

/// Contents of a preset.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Preset {
    /// Share of upstream time that probes may cost, 0 to 0.05.
    pub probe_share: f64,
    /// Second attempts per answered request, 0 to 0.5.
    pub retry_share: f64,
    /// Client accounts with a weight other than 1.
    pub client_accounts: BTreeMap<Arc<str>, ClientAccount>,
    /// Hosts under maintenance: they finish what they have and get nothing new.
    pub leaving: BTreeSet<Arc<str>>,
}

impl Default for Preset {
    fn default() -> Self {
        Self {
            probe_share: PROBE_SHARE,
            retry_share: 0.1,
            client_accounts: BTreeMap::new(),
            leaving: BTreeSet::new(),
        }
    }
}

/// What a preset grants to one client account.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClientAccount {
    /// Share of a full upstream relative to other client accounts, above 0 to 1000.
    pub weight: f64,
}

impl Default for ClientAccount {
    fn default() -> Self {
        Self { weight: 1.0 }
    }
}

/// A value that a preset may not hold.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{key}: {found} is outside {allowed}")]
pub struct Invalid {
    /// Path of the value.
    pub key: String,
    /// The value found.
    pub found: f64,
    /// What is allowed.
    pub allowed: &'static str,
}

impl Preset {
    /// Checks every value.
    ///
    /// # Errors
    /// The first value out of range.
    pub fn check(&self) -> Result<(), Invalid> {
        check_range(
            "probe_share",
            self.probe_share,
            0.0,
            PROBE_SHARE_MOST,
            "0 to 0.05",
        )?;
        check_range(
            "retry_share",
            self.retry_share,
            0.0,
            RETRY_SHARE_MOST,
            "0 to 0.5",
        )?;
        for (name, client_account) in &self.client_accounts {
            let key = format!("client_accounts.{name}.weight");
            let least = f64::MIN_POSITIVE;
            check_range(
                &key,
                client_account.weight,
                least,
                WEIGHT_MOST,
                "above 0 to 1000",
            )?;
        }
        Ok(())
    }

    /// Weight of a client account.
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
    least: f64,
    most: f64,
    allowed: &'static str,
) -> Result<(), Invalid> {
    if (least..=most).contains(&found) {
        return Ok(());
    }
    Err(Invalid {
        key: key.to_owned(),
        found,
        allowed,
    })
}

/// Number of a change of the preset in force; only ever rises.
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

/// The preset in force, as it stands in the store and passes between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InForce {
    /// Number of this change.
    pub revision: Revision,
    /// Name of the preset.
    pub name: Arc<str>,
    /// Its contents at the time of the change.
    pub preset: Preset,
    /// Who changed it.
    pub changed_by: Arc<str>,
    /// When, in seconds since the Unix epoch, by the changer's clock; for people only.
    pub changed_at: u64,
    /// Unique mark of the writer, by which a lost reply is settled.
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

/// What became of a document offered to a register.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offered {
    /// It is newer and now in force here.
    Taken,
    /// It is the one in force here.
    Same,
    /// It is older than the one in force here.
    Older,
    /// It has the same revision and another writer.
    Conflict,
    /// A value is out of range; the one in force stays.
    Invalid,
}

/// The preset in force on one node.
#[derive(Debug, Default)]
pub struct Register {
    current: Arc<InForce>,
}

impl Register {
    /// Takes a document if it is newer.
    ///
    /// Failure: a watch that redelivers old events, a peer that was cut off, a store
    /// that answers from before. Symptom: a preset that was replaced comes back. A
    /// node takes only higher revisions, wherever they come from, so none can.
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
        Offered::Taken
    }

    /// The preset in force here.
    #[must_use]
    pub const fn current(&self) -> &Arc<InForce> {
        &self.current
    }
}
