//! Message types of the etcd v3 JSON API: bytes are base64, 64-bit numbers are strings, and default
//! values are omitted.

use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::{DisplayFromStr, serde_as, skip_serializing_none};

/// Path of range reads.
pub const RANGE: &str = "/v3/kv/range";
/// Path of transactions.
pub const TXN: &str = "/v3/kv/txn";
/// Path that grants a lease.
pub const GRANT: &str = "/v3/lease/grant";
/// Path that renews a lease.
pub const KEEP_ALIVE: &str = "/v3/lease/keepalive";
/// Path that ends a lease and deletes its keys.
pub const REVOKE: &str = "/v3/lease/revoke";
/// Path of watches; the reply is a stream of JSON values.
pub const WATCH: &str = "/v3/watch";
/// Maximum number of operations in one transaction, etcd's default.
pub const MAX_TXN_OPERATIONS: usize = 128;

/// Header of a reply, with the revision of the whole store.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Header {
    /// Store revision, which increases by one with each change.
    #[serde_as(as = "DisplayFromStr")]
    pub revision: i64,
}

/// One key with its value.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key.
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    /// The value.
    #[serde_as(as = "Base64")]
    pub value: Vec<u8>,
    /// Store revision at which the key was created.
    #[serde_as(as = "DisplayFromStr")]
    pub create_revision: i64,
    /// Store revision at which the key was last changed.
    #[serde_as(as = "DisplayFromStr")]
    pub mod_revision: i64,
    /// Lease to which the key is attached; 0 for none.
    #[serde_as(as = "DisplayFromStr")]
    pub lease: i64,
}

/// Request that reads a key, or all keys from `key` up to `range_end`.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Range {
    /// First key.
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    /// End of the range, exclusive; empty for one key.
    #[serde_as(as = "Base64")]
    pub range_end: Vec<u8>,
    /// Whether the member asked may reply from its own, possibly stale, state without a quorum.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub serializable: bool,
    /// Lowest revision of the last change of the keys to return; 0 for all keys.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(skip_serializing_if = "is_zero")]
    pub min_mod_revision: i64,
}

#[allow(clippy::trivially_copy_pass_by_ref)] // The signature is serde's.
const fn is_zero(revision: &i64) -> bool {
    *revision == 0
}

/// Reply to [`Range`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeReply {
    /// Revision of the store.
    pub header: Header,
    /// Keys found, in order.
    pub kvs: Vec<KeyValue>,
}

/// Operation that writes a key.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Put {
    /// The key.
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    /// The value.
    #[serde_as(as = "Base64")]
    pub value: Vec<u8>,
    /// Lease to which the key is attached; 0 for none.
    #[serde_as(as = "DisplayFromStr")]
    pub lease: i64,
}

/// Property of a key that a comparison reads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Target {
    /// The revision of the last change; 0 if the key is absent.
    #[default]
    Mod,
    /// The revision of the creation; 0 if the key is absent.
    Create,
    /// The value.
    Value,
}

/// Operator of a comparison; mintridge uses equality alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Comparison {
    /// Both operands are equal.
    #[default]
    Equal,
}

/// A condition of a transaction.
#[serde_as]
#[skip_serializing_none]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// The key.
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    /// Property that is compared.
    pub target: Target,
    /// Operator.
    pub result: Comparison,
    /// Operand for [`Target::Mod`].
    #[serde_as(as = "Option<DisplayFromStr>")]
    pub mod_revision: Option<i64>,
    /// Operand for [`Target::Create`].
    #[serde_as(as = "Option<DisplayFromStr>")]
    pub create_revision: Option<i64>,
    /// Operand for [`Target::Value`].
    #[serde_as(as = "Option<Base64>")]
    pub value: Option<Vec<u8>>,
}

/// One operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
    /// Write a key.
    #[serde(rename = "request_put")]
    Put(Put),
    /// Read keys.
    #[serde(rename = "request_range")]
    Range(Range),
    /// Delete keys.
    #[serde(rename = "request_delete_range")]
    Delete(Range),
}

/// Transaction that runs all of `success` if every comparison holds, else all of `failure`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Txn {
    /// Conditions.
    pub compare: Vec<Compare>,
    /// Operations that run if all conditions hold.
    pub success: Vec<Operation>,
    /// Operations that run if one does not.
    pub failure: Vec<Operation>,
}

/// Reply to one operation; only the replies to reads are decoded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct OperationReply {
    /// Present for [`Operation::Range`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeReply>,
}

/// Reply to [`Txn`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnReply {
    /// Revision of the store.
    pub header: Header,
    /// Whether all conditions held and `success` ran.
    pub succeeded: bool,
    /// Replies in the order of the operations.
    pub responses: Vec<OperationReply>,
}

/// Request for a lease, or the reply that grants or renews one.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Lease {
    /// Id of the lease; 0 lets the store choose one.
    #[serde(rename = "ID")]
    #[serde_as(as = "DisplayFromStr")]
    pub id: i64,
    /// Time to live in seconds; 0 in the reply to a renewal means that the lease has expired.
    #[serde(rename = "TTL")]
    #[serde_as(as = "DisplayFromStr")]
    pub ttl: i64,
}

/// One item of a streamed reply.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Streamed<T> {
    /// The item.
    pub result: T,
}

/// Request that opens a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Watch {
    /// Keys to watch.
    pub create_request: WatchCreate,
}

/// Keys to watch, and the revision from which to watch them.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// First key.
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    /// End of the range, exclusive; empty for one key.
    #[serde_as(as = "Base64")]
    pub range_end: Vec<u8>,
    /// First revision reported; 0 for changes made after the watch opened.
    #[serde_as(as = "DisplayFromStr")]
    pub start_revision: i64,
}

/// One item of a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchReply {
    /// Whether this is the first item, which confirms the watch.
    pub created: bool,
    /// Changes.
    pub events: Vec<Event>,
}

/// Kind of change of a watched key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EventKind {
    /// The key was written.
    #[default]
    Put,
    /// The key was deleted.
    Delete,
}

/// One change of a watched key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Event {
    /// Kind of the change.
    #[serde(rename = "type")]
    pub kind: EventKind,
    /// The key with its new value.
    pub kv: KeyValue,
}

/// Returns the exclusive end of the range of all keys that begin with `prefix`.
#[must_use]
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}
