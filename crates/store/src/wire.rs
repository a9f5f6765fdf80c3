//! Shapes of the etcd v3 JSON API: bytes in base64, 64-bit numbers as text, default
//! values left out.

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
/// Most operations in one transaction, etcd's default.
pub const TXN_OPERATIONS_MOST: usize = 128;

/// Reply header: the revision of the whole store.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Header {
    /// Rises by one with each change.
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
    /// Store revision at which it was last changed.
    #[serde_as(as = "DisplayFromStr")]
    pub mod_revision: i64,
    /// Lease it hangs on, 0 for none.
    #[serde_as(as = "DisplayFromStr")]
    pub lease: i64,
}

/// Reads a key, or all keys up to `range_end`.
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
    /// Whether any member may answer by what it has, without asking the others.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub serializable: bool,
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

/// Writes a key.
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
    /// Lease it hangs on, 0 for none.
    #[serde_as(as = "DisplayFromStr")]
    pub lease: i64,
}

/// What a comparison looks at.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Target {
    /// The revision of the last change; 0 while the key is absent.
    #[default]
    Mod,
    /// The revision of the creation; 0 while the key is absent.
    Create,
    /// The value.
    Value,
}

/// How a comparison is made; mintridge uses equality alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Comparison {
    /// Both are the same.
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
    /// What is compared.
    pub target: Target,
    /// How.
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

/// All of `success` if every comparison holds, else all of `failure`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Txn {
    /// Conditions.
    pub compare: Vec<Compare>,
    /// Done if they hold.
    pub success: Vec<Operation>,
    /// Done if they do not.
    pub failure: Vec<Operation>,
}

/// Reply to one operation; only reads carry anything of use.
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
    /// Whether `success` was done.
    pub succeeded: bool,
    /// Replies in the order of the operations.
    pub responses: Vec<OperationReply>,
}

/// Asks for a lease, or is the reply that grants or renews one.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Lease {
    /// Its number; 0 lets the store choose.
    #[serde(rename = "ID")]
    #[serde_as(as = "DisplayFromStr")]
    pub id: i64,
    /// Time to live in seconds; 0 in a renewal means that it lapsed.
    #[serde(rename = "TTL")]
    #[serde_as(as = "DisplayFromStr")]
    pub ttl: i64,
}

/// A reply wrapped as one item of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Streamed<T> {
    /// The item.
    pub result: T,
}

/// Opens a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Watch {
    /// What to watch.
    pub create_request: WatchCreate,
}

/// What to watch, and from which revision on.
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
    /// First revision told; 0 for only what comes after.
    #[serde_as(as = "DisplayFromStr")]
    pub start_revision: i64,
}

/// One item of a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchReply {
    /// True in the first item.
    pub created: bool,
    /// Changes.
    pub events: Vec<Event>,
}

/// What happened to a watched key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EventKind {
    /// It was written.
    #[default]
    Put,
    /// It was deleted.
    Delete,
}

/// One change of a watched key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Event {
    /// What happened.
    #[serde(rename = "type")]
    pub kind: EventKind,
    /// The key with its new value.
    pub kv: KeyValue,
}

/// End of the range of all keys that begin with `prefix`.
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
