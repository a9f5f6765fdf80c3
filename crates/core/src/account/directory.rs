//! The client accounts of a routing table, by key.
//!
//! Load pattern: tens of thousands of keys, and a look-up for each request on a tenth of a core.
//! Keys are looked up by their digest in a map.
//!
//! Failure: part of the listed accounts cannot be read. Symptom: if the table were taken for one
//! without accounts, requests would need no key at all. A table that lists accounts therefore
//! requires keys even if no account can be read. Where two accounts contradict each other, neither
//! is served: a request must not run on behalf of the wrong account.

use std::collections::HashMap;
use std::collections::hash_map::DefaultHasher;
use std::fmt;
use std::hash::BuildHasherDefault;
use std::sync::Arc;

use serde::de::{Deserialize, Deserializer};

use super::key::Digest;
use super::listing::{Entry, Field, Listing, Object};
use super::{ANONYMOUS, Account, Limit};

/// Maximum length of the name of an account in bytes, as of all names in headers.
const MAX_NAME_BYTES: usize = 256;
/// Least urgent priority of an account, and of a route in a table with accounts: both together make
/// up the rank, which has eight bits.
const MAX_PRIORITY: u8 = 15;

/// The fixed seed of the hasher is safe here, because digests cannot be chosen to collide in it.
type Map<K, V> = HashMap<K, V, BuildHasherDefault<DefaultHasher>>;

/// The client accounts of a routing table.
#[derive(Clone, Default, PartialEq)]
pub struct Directory {
    /// Whether the table lists accounts, including those that cannot be read.
    is_listed: bool,
    /// Priority of the most urgent account.
    most_urgent: u8,
    by_key: Map<Digest, Arc<Account>>,
    accounts: Vec<Arc<Account>>,
    faults: Vec<Fault>,
}

/// Part of the listed accounts that was left out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Name of the account, or its position in the list if the name cannot be read.
    pub account: Arc<str>,
    /// What is wrong. It never contains a value of the table.
    pub cause: &'static str,
}

impl Directory {
    /// Creates the directory of the accounts that a table lists.
    #[must_use]
    pub fn new(listing: Listing) -> Self {
        let entries = match listing.0 {
            None => return Self::default(),
            Some(Field::Read(entries)) => entries,
            Some(Field::Unreadable(_)) => {
                return Self {
                    is_listed: true,
                    faults: vec![Fault::new("", "the list of accounts is not a list")],
                    ..Self::default()
                };
            }
        };
        let mut faults = Vec::new();
        let candidates: Vec<Candidate> = entries
            .iter()
            .enumerate()
            .map(|(index, entry)| Candidate::read(index, entry, &mut faults))
            .collect();
        let accounts = accounts(&candidates, &mut faults);
        let by_key = by_key(&candidates, &accounts, &mut faults);
        let accounts: Vec<Arc<Account>> = accounts.into_iter().flatten().collect();
        let priorities = accounts.iter().map(|account| account.priority);
        Self {
            is_listed: !entries.is_empty(),
            most_urgent: priorities.min().unwrap_or(0),
            by_key,
            accounts,
            faults,
        }
    }

    /// Returns whether the routing table lists no account, so that requests need no key.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        !self.is_listed
    }

    /// Returns the account that has this key.
    #[must_use]
    pub fn resolve(&self, key: &str) -> Option<&Arc<Account>> {
        self.by_key.get(&Digest::of(key)?)
    }

    /// Iterates over the accounts, in the order of the table.
    pub fn accounts(&self) -> impl Iterator<Item = &Arc<Account>> {
        self.accounts.iter()
    }

    /// Returns the parts of the listed accounts that were left out.
    #[must_use]
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }

    /// Returns the rank of a request in the queue, from its account and the priority of its route;
    /// 0 is the most urgent. A request without an account, such as a call that an upstream makes,
    /// is as urgent as those of the most urgent account.
    #[must_use]
    pub fn rank(&self, account: Option<&Account>, route_priority: u8) -> u8 {
        if self.is_empty() {
            return route_priority;
        }
        let priority = account.map_or(self.most_urgent, |account| account.priority);
        let account_part = priority.min(MAX_PRIORITY) * (MAX_PRIORITY + 1);
        account_part + route_priority.min(MAX_PRIORITY)
    }
}

/// Shows how many accounts and keys there are, and neither keys nor digests.
impl fmt::Debug for Directory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Directory")
            .field("is_listed", &self.is_listed)
            .field("most_urgent", &self.most_urgent)
            .field("accounts", &self.accounts)
            .field("keys", &self.by_key.len())
            .field("faults", &self.faults)
            .finish()
    }
}

impl<'de> Deserialize<'de> for Directory {
    fn deserialize<D: Deserializer<'de>>(source: D) -> Result<Self, D::Error> {
        Listing::deserialize(source).map(Self::new)
    }
}

/// An account as far as it can be read. One that cannot be used still claims its name and its
/// keys, so that no other account gets them.
struct Candidate {
    /// Name, or position in the list if the name cannot be read.
    label: Arc<str>,
    has_name: bool,
    keys: Vec<Digest>,
    /// `None` if the account is left out.
    account: Option<Account>,
}

impl Candidate {
    /// Reads an account, and adds what is wrong with it to the faults.
    fn read(index: usize, entry: &Field<Object<Entry>>, faults: &mut Vec<Fault>) -> Self {
        let empty = Entry::default();
        let (entry, unreadable) = match entry {
            Field::Read(Object(entry)) => (entry, None),
            Field::Unreadable(_) => (&empty, Some("not an account")),
        };
        let name = name(entry);
        let label = Arc::from(name.unwrap_or(&format!("#{}", index + 1)));
        let account = unreadable.map_or_else(|| account(entry), Err);
        let listed = match &entry.keys {
            Some(Field::Read(keys)) => keys.as_slice(),
            _ => &[],
        };
        let keys: Vec<Digest> = listed.iter().filter_map(|key| key.0).collect();
        if let Err(cause) = account {
            faults.push(Fault::new(&label, cause));
        }
        if keys.len() < listed.len() {
            faults.push(Fault::new(
                &label,
                "a key is empty, too long or not visible ASCII",
            ));
        }
        Self {
            label,
            has_name: name.is_ok(),
            keys,
            account: account.ok(),
        }
    }
}

impl Fault {
    fn new(account: &str, cause: &'static str) -> Self {
        Self {
            account: Arc::from(account),
            cause,
        }
    }
}

fn account(entry: &Entry) -> Result<Account, &'static str> {
    let name = name(entry)?;
    if !matches!(entry.keys, Some(Field::Read(_))) {
        return Err("the keys are not a list");
    }
    let priority = value(
        entry.priority.as_ref(),
        "the priority is not a whole number",
    )?;
    let priority = u8::try_from(priority.unwrap_or(0)).unwrap_or(MAX_PRIORITY);
    let per_second = rate(
        entry.requests_per_second.as_ref(),
        "the request rate is not a rate",
    )?;
    let burst = rate(
        entry.burst.as_ref(),
        "the burst is not a number of requests",
    )?;
    Ok(Account {
        name: Arc::from(name),
        priority: priority.min(MAX_PRIORITY),
        limit: (per_second > 0.0).then_some(Limit { per_second, burst }),
    })
}

/// Returns the name of an account, which has to pass through a header unchanged.
fn name(entry: &Entry) -> Result<&str, &'static str> {
    match &entry.name {
        Some(Field::Read(name)) if name.is_empty() => Err("the name is empty"),
        Some(Field::Read(name)) if name == ANONYMOUS => Err("the name is reserved"),
        Some(Field::Read(name)) if is_header_value(name) => Ok(name),
        Some(Field::Read(_)) => Err("the name is too long or not visible text"),
        Some(Field::Unreadable(_)) | None => Err("the name is not text"),
    }
}

fn is_header_value(name: &str) -> bool {
    name.len() <= MAX_NAME_BYTES && name.trim() == name && !name.contains(char::is_control)
}

/// Returns the value of an optional field, or `cause` if it cannot be read.
const fn value<T: Copy>(
    field: Option<&Field<T>>,
    cause: &'static str,
) -> Result<Option<T>, &'static str> {
    match field {
        None => Ok(None),
        Some(Field::Read(value)) => Ok(Some(*value)),
        Some(Field::Unreadable(_)) => Err(cause),
    }
}

/// Returns a number that is not negative, 0 if the field is absent.
fn rate(field: Option<&Field<f64>>, cause: &'static str) -> Result<f64, &'static str> {
    let rate = value(field, cause)?.unwrap_or(0.0);
    if rate.is_finite() && rate >= 0.0 {
        Ok(rate)
    } else {
        Err(cause)
    }
}

/// Returns the account of each candidate; `None` for those that are left out.
fn accounts(candidates: &[Candidate], faults: &mut Vec<Fault>) -> Vec<Option<Arc<Account>>> {
    let mut counts: Map<&str, u32> = Map::default();
    for candidate in candidates.iter().filter(|candidate| candidate.has_name) {
        *counts.entry(&candidate.label).or_default() += 1;
    }
    let mut account = |candidate: &Candidate| {
        let is_unique = counts
            .get(&*candidate.label)
            .is_none_or(|count| *count == 1);
        if !is_unique {
            faults.push(Fault::new(&candidate.label, "the account is listed twice"));
        }
        candidate
            .account
            .clone()
            .filter(|_| is_unique)
            .map(Arc::new)
    };
    candidates.iter().map(&mut account).collect()
}

/// Returns the account of each key that only one candidate names.
fn by_key(
    candidates: &[Candidate],
    accounts: &[Option<Arc<Account>>],
    faults: &mut Vec<Fault>,
) -> Map<Digest, Arc<Account>> {
    let mut owners: Map<Digest, Option<usize>> = Map::default();
    for (index, candidate) in candidates.iter().enumerate() {
        for digest in &candidate.keys {
            let owner = owners.entry(*digest).or_insert(Some(index));
            if *owner != Some(index) {
                *owner = None;
                faults.push(Fault::new(
                    &candidate.label,
                    "another account has the same key",
                ));
            }
        }
    }
    owners
        .into_iter()
        .filter_map(|(digest, owner)| Some((digest, Arc::clone(accounts[owner?].as_ref()?))))
        .collect()
}
