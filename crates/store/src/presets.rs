//! Operations on presets in the store. Each change is one compare-and-swap; when its reply is lost,
//! the outcome is determined by reading the key back.

use std::sync::Arc;

use mintridge_core::preset::{InForce, Invalid, Preset};

use crate::client::{Client, Error};
use crate::keys;
use crate::operation::{Freshness, Put, Swap, Unchanged};

/// Attempts at a write whose reply was lost and that turned out not to have taken effect.
const MAX_WRITE_ATTEMPTS: u32 = 3;

/// Reason why a change was not made, or why its outcome is unknown.
#[derive(Debug, thiserror::Error)]
pub enum ChangeError {
    /// A value is out of range.
    #[error(transparent)]
    Invalid(#[from] Invalid),
    /// No preset has this name.
    #[error("no preset is named {0}")]
    NotFound(Arc<str>),
    /// The preset is in force and cannot be deleted.
    #[error("preset {0} is in force")]
    InUse(Arc<str>),
    /// Another operator changed the preset in force first.
    #[error("{} changed it first: revision {}, preset {}", .0.changed_by, .0.revision.0, .0.name)]
    Conflict(Box<InForce>),
    /// Another operator has changed the preset since it was read.
    #[error("preset {0} was changed by somebody else since it was read")]
    Edited(Arc<str>),
    /// The store failed and the change certainly had no effect.
    #[error("not changed: {0}")]
    NotChanged(Error),
    /// The store failed and the change may or may not have taken effect.
    #[error("unknown whether the change took effect: {0}")]
    Unknown(Error),
    /// The store could not be read.
    #[error("nothing was changed: {0}")]
    ReadFailed(#[from] Error),
}

/// Author and time of a change.
#[derive(Clone, Debug)]
pub struct Author {
    /// Name shown to other operators.
    pub name: Arc<str>,
    /// Seconds since the Unix epoch.
    pub at: u64,
    /// Unique id of the change, by which its author recognizes it in the store.
    pub mark: Arc<str>,
}

/// A preset as stored.
#[derive(Clone, Debug)]
pub struct Stored {
    /// Name of the preset.
    pub name: Arc<str>,
    /// Contents of the preset.
    pub preset: Preset,
    /// Store revision of the last change; 0 if the key is absent.
    pub mod_revision: i64,
}

/// The preset in force as stored.
#[derive(Clone, Debug, Default)]
pub struct Current {
    /// The preset in force; the built-in one if none was ever written.
    pub in_force: InForce,
    /// Store revision of the last change; 0 if the key is absent.
    pub mod_revision: i64,
}

/// Reads the preset in force.
///
/// # Errors
/// If the store fails or the value does not parse.
pub async fn in_force(store: &Client) -> Result<Current, Error> {
    let Some(found) = store.get(keys::IN_FORCE).await? else {
        return Ok(Current::default());
    };
    Ok(Current {
        in_force: parse(keys::IN_FORCE, &found.value)?,
        mod_revision: found.revision,
    })
}

/// Parses the preset in force from the value that a watch or a read returned.
///
/// # Errors
/// If it does not parse.
pub fn parse_in_force(value: &[u8]) -> Result<InForce, Error> {
    parse(keys::IN_FORCE, value)
}

/// Reads one preset.
///
/// # Errors
/// If the store fails, no preset has this name, or the value does not parse.
pub async fn get(store: &Client, name: &str) -> Result<Stored, ChangeError> {
    let key = keys::preset(name);
    let Some(found) = store.get(&key).await? else {
        return Err(ChangeError::NotFound(Arc::from(name)));
    };
    Ok(Stored {
        name: Arc::from(name),
        preset: parse(&key, &found.value)?,
        mod_revision: found.revision,
    })
}

/// Reads all presets.
///
/// # Errors
/// If the store fails or the value does not parse.
pub async fn list(store: &Client) -> Result<Vec<Stored>, Error> {
    let found = store.list(keys::PRESETS, Freshness::Latest).await?;
    found
        .into_iter()
        .map(|found| {
            let name = found.key.strip_prefix(keys::PRESETS);
            Ok(Stored {
                name: Arc::from(name.unwrap_or(&found.key)),
                preset: parse(&found.key, &found.value)?,
                mod_revision: found.revision,
            })
        })
        .collect()
}

/// Writes a preset. If it is the one in force, the same transaction puts its new contents in force.
///
/// `expected` is the store revision on which the edit is based; `None` overwrites any revision.
/// Returns the new preset in force if the change affects it.
///
/// # Errors
/// See [`ChangeError`].
pub async fn put(
    store: &Client,
    name: &str,
    preset: Preset,
    expected: Option<i64>,
    author: &Author,
) -> Result<Option<InForce>, ChangeError> {
    preset.check()?;
    let current = in_force(store).await?;
    let key = keys::preset(name);
    let found = store.get(&key).await?.map_or(0, |found| found.revision);
    if expected.is_some_and(|expected| expected != found) {
        return Err(ChangeError::Edited(Arc::from(name)));
    }
    let contents = serde_json::to_vec(&preset).map_err(Error::from)?;
    let mut change = Swap {
        expected: vec![unchanged(&key, found), unchanged_in_force(&current)],
        puts: vec![unleased_put(&key, contents)],
        deletes: vec![],
    };
    if current.in_force.name.as_ref() != name {
        swap_preset(store, &change, &key, found).await?;
        return Ok(None);
    }
    let next = next_in_force(&current, name, preset, author);
    change.puts.push(in_force_put(&next)?);
    swap_in_force(store, change, next).await.map(Some)
}

/// Puts a preset in force.
///
/// # Errors
/// See [`ChangeError`].
pub async fn activate(store: &Client, name: &str, author: &Author) -> Result<InForce, ChangeError> {
    let stored = get(store, name).await?;
    let current = in_force(store).await?;
    activate_from(store, &stored, &current, author).await
}

/// Puts a preset in force if neither it nor the preset in force has changed since `current` was
/// read.
///
/// # Errors
/// See [`ChangeError`].
pub async fn activate_from(
    store: &Client,
    stored: &Stored,
    current: &Current,
    author: &Author,
) -> Result<InForce, ChangeError> {
    let next = next_in_force(current, &stored.name, stored.preset.clone(), author);
    let change = Swap {
        expected: vec![
            unchanged(&keys::preset(&stored.name), stored.mod_revision),
            unchanged_in_force(current),
        ],
        puts: vec![in_force_put(&next)?],
        deletes: vec![],
    };
    swap_in_force(store, change, next).await
}

/// Writes the preset in force back to a store that contains an older, an invalid or no preset.
/// Returns false and writes nothing if the store revision of its key is no longer `mod_revision`.
///
/// # Errors
/// If the call fails.
pub async fn restore(store: &Client, document: &InForce, mod_revision: i64) -> Result<bool, Error> {
    let change = Swap {
        expected: vec![unchanged(keys::IN_FORCE, mod_revision)],
        puts: vec![in_force_put(document)?],
        deletes: vec![],
    };
    store.swap(&change).await
}

/// Deletes a preset that is not in force.
///
/// # Errors
/// See [`ChangeError`].
pub async fn delete(store: &Client, name: &str) -> Result<(), ChangeError> {
    let stored = get(store, name).await?;
    let current = in_force(store).await?;
    if current.in_force.name.as_ref() == name {
        return Err(ChangeError::InUse(Arc::from(name)));
    }
    let key = keys::preset(name);
    let change = Swap {
        expected: vec![
            unchanged(&key, stored.mod_revision),
            unchanged_in_force(&current),
        ],
        puts: vec![],
        deletes: vec![key.clone()],
    };
    swap_preset(store, &change, &key, stored.mod_revision).await
}

/// Writes the preset in force, and determines the outcome if the reply is lost.
///
/// Failure: the write takes effect and its reply is lost. Symptom: the command reports a failure,
/// the operator repeats the change, and thereby reverts what another operator changed in between.
/// The writer's mark in the stored value tells whose write took effect.
async fn swap_in_force(
    store: &Client,
    change: Swap,
    next: InForce,
) -> Result<InForce, ChangeError> {
    let mut last_error = None;
    for _ in 0..MAX_WRITE_ATTEMPTS {
        match store.swap(&change).await {
            Ok(true) => return Ok(next),
            Ok(_) => return resolve_mismatch(store, next).await,
            Err(error) if error.proves_no_effect() && last_error.is_none() => {
                return Err(ChangeError::NotChanged(error));
            }
            Err(error) => last_error = Some(error),
        }
        match in_force(store).await {
            Ok(current) if current.in_force.mark == next.mark => return Ok(next),
            Ok(current) if current.in_force.revision >= next.revision => {
                return Err(ChangeError::Conflict(Box::new(current.in_force)));
            }
            Ok(_) => {}
            Err(error) => last_error = Some(error),
        }
    }
    match last_error {
        Some(error) => Err(ChangeError::Unknown(error)),
        None => resolve_mismatch(store, next).await,
    }
}

/// Determines why the conditions of a swap did not hold: because of another operator's change, or
/// because an earlier attempt of this one took effect.
async fn resolve_mismatch(store: &Client, next: InForce) -> Result<InForce, ChangeError> {
    let current = in_force(store).await.map_err(ChangeError::Unknown)?;
    if current.in_force.mark == next.mark {
        return Ok(next);
    }
    if current.in_force.revision >= next.revision {
        return Err(ChangeError::Conflict(Box::new(current.in_force)));
    }
    Err(ChangeError::Edited(next.name))
}

/// Writes or deletes a preset, which carries no mark. If the reply is lost, the key's revision and
/// value tell whether the change took effect.
async fn swap_preset(
    store: &Client,
    change: &Swap,
    key: &str,
    revision_before: i64,
) -> Result<(), ChangeError> {
    let error = match store.swap(change).await {
        Ok(true) => return Ok(()),
        Ok(false) => return Err(ChangeError::Edited(Arc::from(key))),
        Err(error) if error.proves_no_effect() => return Err(ChangeError::NotChanged(error)),
        Err(error) => error,
    };
    let found = store.get(key).await.map_err(ChangeError::Unknown)?;
    let (revision_now, value) = found.map_or((0, vec![]), |found| (found.revision, found.value));
    let is_stored = |put: &Put| put.key == key && put.value == value;
    let was_deleted = revision_now == 0 && change.deletes.iter().any(|deleted| deleted == key);
    let is_own = was_deleted || change.puts.iter().any(is_stored);
    if revision_now != revision_before && is_own {
        return Ok(());
    }
    Err(ChangeError::Unknown(error))
}

fn next_in_force(current: &Current, name: &str, preset: Preset, author: &Author) -> InForce {
    InForce {
        revision: current.in_force.revision.next(),
        name: Arc::from(name),
        preset,
        changed_by: Arc::clone(&author.name),
        changed_at: author.at,
        mark: Arc::clone(&author.mark),
    }
}

fn in_force_put(next: &InForce) -> Result<Put, Error> {
    Ok(unleased_put(keys::IN_FORCE, serde_json::to_vec(next)?))
}

fn unleased_put(key: &str, value: Vec<u8>) -> Put {
    Put {
        key: key.to_owned(),
        value,
        lease: 0,
    }
}

fn unchanged_in_force(current: &Current) -> Unchanged {
    unchanged(keys::IN_FORCE, current.mod_revision)
}

fn unchanged(key: &str, revision: i64) -> Unchanged {
    Unchanged {
        key: key.to_owned(),
        revision,
    }
}

fn parse<T: serde::de::DeserializeOwned>(key: &str, value: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(value).map_err(|source| Error::Value {
        key: key.to_owned(),
        source,
    })
}
