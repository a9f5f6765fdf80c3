//! Decides on whose behalf a request runs, from the `Authorization` field that it carries.
//!
//! Failure: a key was added to the routing table, and a node has not received that table yet.
//! Symptom: the caller gets 401 for a valid key, and does not retry. A key is therefore
//! refused as unauthorized only where no newer table may be in force.

use std::sync::Arc;

use super::{Account, Directory, key};
use crate::outcome::Reason;

/// Authentication scheme, compared case-insensitively.
const SCHEME: &[u8] = b"bearer";

/// What a request presents as its key.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Presented<'a> {
    /// No `Authorization` field.
    Missing,
    /// Several fields, another scheme, or something that cannot be a key.
    Malformed,
    /// A key.
    Key(&'a str),
}

/// What was found about the key of a request, for metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// An account has the key.
    Resolved,
    /// No account has the key.
    Unknown,
    /// The request carries no key.
    Missing,
    /// What the request carries cannot be a key.
    Malformed,
}

/// On whose behalf a request runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Caller {
    /// Account that the key belongs to; `None` for a request without one, also if the routing table
    /// lists no accounts.
    pub account: Option<Arc<Account>>,
}

impl<'a> Presented<'a> {
    /// Reads the values of all `Authorization` fields of a request.
    pub fn read(mut values: impl Iterator<Item = &'a [u8]>) -> Self {
        match (values.next(), values.next()) {
            (None, _) => Self::Missing,
            (Some(value), None) => key(value).map_or(Self::Malformed, Self::Key),
            (Some(_), Some(_)) => Self::Malformed,
        }
    }

    /// Looks the key up in the accounts of a routing table.
    #[must_use]
    pub fn find(self, directory: &Directory) -> (Caller, Finding) {
        let Self::Key(key) = self else {
            let finding = match self {
                Self::Missing => Finding::Missing,
                _ => Finding::Malformed,
            };
            return (Caller::default(), finding);
        };
        let caller = Caller {
            account: directory.resolve(key).cloned(),
        };
        let finding = match caller.account {
            Some(_) => Finding::Resolved,
            None => Finding::Unknown,
        };
        (caller, finding)
    }
}

impl Finding {
    /// Returns why a request on a route that needs a key is refused, if it is. `is_verified` tells
    /// whether no newer routing table may be in force.
    #[must_use]
    pub const fn refusal(self, is_verified: bool) -> Option<Reason> {
        match self {
            Self::Resolved => None,
            _ if is_verified => Some(Reason::Unauthorized),
            _ => Some(Reason::Unverified),
        }
    }

    /// Returns the form used in metrics and log lines.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Resolved => "resolved",
            Self::Unknown => "unknown",
            Self::Missing => "missing",
            Self::Malformed => "malformed",
        }
    }
}

/// Returns the key of an `Authorization` field (RFC 6750, section 2.1).
fn key(value: &[u8]) -> Option<&str> {
    let (scheme, rest) = value.split_at_checked(SCHEME.len())?;
    let key = rest.strip_prefix(b" ")?.trim_ascii();
    if !scheme.eq_ignore_ascii_case(SCHEME) || !key::is_valid(key) {
        return None;
    }
    std::str::from_utf8(key).ok()
}
