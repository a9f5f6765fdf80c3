//! Limits the request rate of each client account over all nodes.
//!
//! Load pattern: an account sends a few requests a second to each of many nodes, or floods some of
//! them, while nodes crash, restart and lose contact with each other. In any window the requests
//! that run must stay below the limit plus a small overshoot, and an account below its limit must
//! not be refused, although no single node sees its traffic.
//!
//! Each node has a share of every limit, one part in the number of hosts. It delegates its share
//! for some seconds to the owner of the account's shard, one of the nodes. The owner keeps one
//! bucket for each account, filled at the rate of the shares delegated to it, and grants tokens,
//! which expire. These rules bound the requests:
//!
//! - The shares add up to at most one, and each counts at one owner at a time ([`Client`]).
//! - A bucket starts empty and holds at most its shares' part of the burst ([`Pool`]).
//! - A request runs only within the life of its token ([`Terms`]).
//!
//! A window therefore has at most the tokens of its own time, those of the life of a token before
//! it, and one burst.

mod client;
mod fleet;
mod holding;
mod pool;
mod shard;
mod terms;

use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use siphasher::sip::SipHasher13;

use super::Limit;

pub use self::client::{Client, Decision, Statistics, Token};
pub use self::pool::Pool;
pub use self::terms::Terms;

/// How long a delegation counts after the owner sent the answer that it repeats. Two asks in a row
/// may be lost before it lapses.
pub const DELEGATION_LIFE: Duration = Duration::from_millis(1_500);
/// Time that a node waits in addition before it takes its share back, for clocks that run at
/// different speeds.
pub const DELEGATION_MARGIN: Duration = Duration::from_millis(250);
/// How long a node has been a member before its share counts: a delegation of its former process
/// lapses by then, and the other nodes know it and have repeated their delegations with shares that
/// leave room for its own.
pub const SETTLED_AFTER: Duration = Duration::from_secs(2);
/// Maximum number of accounts in one message, so that it fits into 1,024 bytes.
pub const MAX_ENTRIES: usize = 14;

/// Identifies an account in messages: 48 bits of a hash of its name, so that the length of a message
/// does not depend on names. Two of 10,000 accounts share a key with a probability below 1 in
/// 5,000,000; they would share a bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);

impl Key {
    /// Returns the key of the account with this name.
    #[must_use]
    pub fn new(account: &str) -> Self {
        let mut hasher = SipHasher13::new();
        account.hash(&mut hasher);
        Self(hasher.finish() >> 16)
    }

    /// Returns the shard of the account.
    #[must_use]
    pub fn shard(self, shards: u32) -> u32 {
        let shard = self.0 % u64::from(shards.max(1));
        u32::try_from(shard).unwrap_or(0)
    }
}

/// Limits of all accounts that have one.
pub type Limits = HashMap<Key, Limit>;

/// Message of a node to the owner of a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Host of the node that asks.
    pub from: Arc<str>,
    /// Incarnation of that node.
    pub incarnation: u64,
    /// Number of the message; each message of an incarnation has a higher one.
    pub sequence: u64,
    /// Shard that the message is about.
    pub shard: u32,
    /// Number of hosts that the node knows; its share is one part in so many.
    pub hosts: u32,
    /// Set if the node delegates its share: the latest answer that it received from the owner.
    pub delegation: Option<AnswerId>,
    /// Whether the node takes its share back; the owner's answer shows that it no longer counts.
    pub release: bool,
    /// Tokens asked for and returned.
    pub entries: Vec<Entry>,
}

/// Identifies an answer of an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerId {
    /// Incarnation of the owner.
    pub incarnation: u64,
    /// Number of the answer: the milliseconds for which the owner had run.
    pub number: u64,
}

/// What a node asks for and returns of one account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The account.
    pub key: Key,
    /// Tokens for requests that wait.
    pub needed: u32,
    /// Tokens ahead of demand.
    pub spare: u32,
    /// Unused tokens that the node returns to the owner that granted them.
    pub returned: Option<Returned>,
}

/// Unused tokens.
///
/// Failure: returned tokens arrive after the owner has stopped counting them. Symptom: they are
/// credited against tokens of other nodes, and outlive the time that the bound allows for. They
/// therefore name the answer that granted them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Returned {
    /// Number of tokens.
    pub tokens: u32,
    /// The answer that granted them, the earliest if there are several.
    pub granted: AnswerId,
}

/// Answer of an owner to an [`Ask`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Host of the owner.
    pub from: Arc<str>,
    /// This answer.
    pub id: AnswerId,
    /// Number of the ask.
    pub sequence: u64,
    /// Number of hosts that the owner knows.
    pub hosts: u32,
    /// Tokens granted.
    pub grants: Vec<Grant>,
}

/// Tokens granted to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The account.
    pub key: Key,
    /// Number of tokens.
    pub tokens: u32,
    /// How long after they were asked for the tokens may be used.
    pub life: Duration,
    /// If fewer tokens were granted than are needed, the time until more are available.
    pub wait: Option<Duration>,
}
