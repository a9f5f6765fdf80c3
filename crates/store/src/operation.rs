//! Operations on a store and their replies, independent of its HTTP dialect.

use std::time::Duration;

/// One key with its value.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Store revision of the last change.
    pub revision: i64,
}

/// Change reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A key was written.
    Written(Item),
    /// A key was deleted, or expired with its lease.
    Deleted {
        /// The key.
        key: String,
        /// Store revision of the deletion.
        revision: i64,
    },
}

/// A write of one key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Lease to which the key is attached; 0 for none.
    pub lease: i64,
}

/// Condition of a [`Swap`]: the key has not changed since this revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Unchanged {
    /// The key.
    pub key: String,
    /// Store revision of the last change; 0 if the key is absent.
    pub revision: i64,
}

/// Compare-and-swap: writes that are applied atomically if every condition holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Swap {
    /// Conditions that must all hold.
    pub expected: Vec<Unchanged>,
    /// Keys to write.
    pub puts: Vec<Put>,
    /// Keys to delete.
    pub deletes: Vec<String>,
}

/// Consistency required of a read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Freshness {
    /// The read returns all writes that were acknowledged before it.
    #[default]
    Latest,
    /// The read may lack writes of the last seconds, and costs the store far less.
    MayLag,
}

/// Operation on the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Read one key.
    Get {
        /// The key.
        key: String,
    },
    /// Read a page of the keys that begin with a prefix.
    List {
        /// The prefix.
        prefix: String,
        /// Key after which the page begins; empty for the first page.
        after: String,
        /// Consistency required of the page.
        freshness: Freshness,
    },
    /// Wait for a change of a key that begins with a prefix.
    Changes {
        /// The prefix.
        prefix: String,
        /// Revision after which changes are reported.
        after: i64,
        /// How long to wait for a change.
        wait: Duration,
    },
    /// Read the keys that begin with a prefix and were written after a revision, without waiting.
    Poll {
        /// The prefix.
        prefix: String,
        /// Revision after which changes are reported.
        after: i64,
    },
    /// Write keys if all conditions hold.
    Swap(Swap),
    /// Grant a lease.
    Grant {
        /// Its time to live.
        time_to_live: Duration,
    },
    /// Renew a lease.
    Renew {
        /// The lease.
        lease: i64,
    },
    /// End a lease and delete its keys.
    Revoke {
        /// The lease.
        lease: i64,
    },
}

/// A page of items and the revision at which it was read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The items, in order of their keys.
    pub items: Vec<Item>,
    /// Whether more items follow the last one.
    pub more: bool,
    /// Store revision of the read.
    pub revision: i64,
}

/// Changes in the order of their revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The changes; empty if the wait ended without any.
    pub changes: Vec<Change>,
    /// Revision from which the next watch resumes.
    pub revision: i64,
}

/// Reply to an [`Operation`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Reply to [`Operation::Get`] and [`Operation::List`].
    Page(Page),
    /// Reply to [`Operation::Changes`] and [`Operation::Poll`].
    Changes(Changes),
    /// Reply to [`Operation::Swap`]: whether the conditions held and the writes were applied.
    Swapped(bool),
    /// Reply to [`Operation::Grant`].
    Granted {
        /// The lease.
        lease: i64,
    },
    /// Reply to [`Operation::Renew`]: false if the lease had expired.
    Renewed(bool),
    /// Reply to [`Operation::Revoke`].
    Revoked,
}
