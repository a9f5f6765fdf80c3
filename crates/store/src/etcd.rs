//! Dialect of etcd's v3 JSON API.

use std::time::Duration;

use hyper::{Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::client::Error;
use crate::dialect::{Call, Dialect, HttpResponse};
use crate::operation::{Change, Changes, Freshness, Item, Operation, Page, Reply, Swap, Unchanged};
use crate::wire;

/// Dialect of etcd's v3 JSON API.
pub const DIALECT: Dialect = Dialect {
    call,
    reply,
    endless_watch: true,
};

fn call(operation: &Operation) -> Result<Call, Error> {
    match operation {
        Operation::Get { key } => {
            let range = wire::Range {
                key: key.as_bytes().to_vec(),
                ..wire::Range::default()
            };
            post(wire::RANGE, &range)
        }
        Operation::List {
            prefix, freshness, ..
        } => {
            let range = wire::Range {
                key: prefix.as_bytes().to_vec(),
                range_end: wire::prefix_end(prefix.as_bytes()),
                serializable: *freshness == Freshness::MayLag,
                ..wire::Range::default()
            };
            post(wire::RANGE, &range)
        }
        Operation::Poll { prefix, after } => {
            let range = wire::Range {
                key: prefix.as_bytes().to_vec(),
                range_end: wire::prefix_end(prefix.as_bytes()),
                min_mod_revision: after + 1,
                ..wire::Range::default()
            };
            post(wire::RANGE, &range)
        }
        Operation::Changes { prefix, after, .. } => {
            let watch = wire::Watch {
                create_request: wire::WatchCreate {
                    key: prefix.as_bytes().to_vec(),
                    range_end: wire::prefix_end(prefix.as_bytes()),
                    start_revision: after + 1,
                },
            };
            post(wire::WATCH, &watch)
        }
        Operation::Swap(swap) => post(wire::TXN, &transaction(swap)),
        Operation::Grant { time_to_live } => post(wire::GRANT, &lease(0, *time_to_live)),
        Operation::Renew { lease: id } => post(wire::KEEP_ALIVE, &lease(*id, Duration::ZERO)),
        Operation::Revoke { lease: id } => post(wire::REVOKE, &lease(*id, Duration::ZERO)),
    }
}

fn reply(operation: &Operation, response: HttpResponse<'_>) -> Result<Option<Reply>, Error> {
    if !response.status.is_success() {
        return Err(status_error(response.status));
    }
    if let Operation::Changes { .. } = operation {
        return read_watch(response);
    }
    if !response.complete {
        return Ok(None);
    }
    let reply = match operation {
        Operation::Get { .. } | Operation::List { .. } => {
            let range: wire::RangeReply = parse(response)?;
            Reply::Page(Page {
                items: range.kvs.into_iter().map(item).collect(),
                more: false,
                revision: range.header.revision,
            })
        }
        Operation::Poll { .. } => {
            let range: wire::RangeReply = parse(response)?;
            let written = range.kvs.into_iter().map(item).map(Change::Written);
            Reply::Changes(Changes {
                changes: written.collect(),
                revision: range.header.revision,
            })
        }
        Operation::Swap(_) => {
            let transaction: wire::TxnReply = parse(response)?;
            Reply::Swapped(transaction.succeeded)
        }
        Operation::Grant { .. } => {
            let granted: wire::Lease = parse(response)?;
            Reply::Granted { lease: granted.id }
        }
        Operation::Renew { .. } => {
            let renewed: wire::Streamed<wire::Lease> = parse(response)?;
            Reply::Renewed(renewed.result.ttl > 0)
        }
        Operation::Revoke { .. } | Operation::Changes { .. } => Reply::Revoked,
    };
    Ok(Some(reply))
}

/// Returns the error for a status other than success.
///
/// An etcd cluster whose members cannot reach each other replies 503 or 504 to writes that may
/// still take effect. Only a client error (4xx) proves that a write had no effect.
#[must_use]
pub fn status_error(status: StatusCode) -> Error {
    if status.is_client_error() {
        Error::Rejected(status)
    } else {
        Error::Status(status)
    }
}

/// Returns the first item of the watch stream that contains changes.
fn read_watch(response: HttpResponse<'_>) -> Result<Option<Reply>, Error> {
    let mut items = serde_json::Deserializer::from_slice(response.body).into_iter();
    loop {
        let item: wire::Streamed<wire::WatchReply> = match items.next() {
            Some(Ok(item)) => item,
            Some(Err(error)) if !error.is_eof() => return Err(Error::Malformed(error)),
            Some(Err(_)) | None if response.complete => return Err(Error::WatchEnded),
            Some(Err(_)) | None => return Ok(None),
        };
        let events: Vec<wire::Event> = item.result.events;
        let Some(revision) = events.iter().map(|event| event.kv.mod_revision).max() else {
            continue;
        };
        return Ok(Some(Reply::Changes(Changes {
            changes: events.into_iter().map(change).collect(),
            revision,
        })));
    }
}

fn change(event: wire::Event) -> Change {
    let item = item(event.kv);
    if event.kind == wire::EventKind::Delete {
        Change::Deleted {
            key: item.key,
            revision: item.revision,
        }
    } else {
        Change::Written(item)
    }
}

fn item(entry: wire::KeyValue) -> Item {
    Item {
        key: String::from_utf8_lossy(&entry.key).into_owned(),
        value: entry.value,
        revision: entry.mod_revision,
    }
}

fn transaction(swap: &Swap) -> wire::Txn {
    let puts = swap.puts.iter().map(|put| {
        wire::Operation::Put(wire::Put {
            key: put.key.as_bytes().to_vec(),
            value: put.value.clone(),
            lease: put.lease,
        })
    });
    let deletes = swap.deletes.iter().map(|key| {
        wire::Operation::Delete(wire::Range {
            key: key.as_bytes().to_vec(),
            ..wire::Range::default()
        })
    });
    wire::Txn {
        compare: swap.expected.iter().map(unchanged).collect(),
        success: puts.chain(deletes).collect(),
        failure: vec![],
    }
}

fn unchanged(condition: &Unchanged) -> wire::Compare {
    wire::Compare {
        key: condition.key.as_bytes().to_vec(),
        target: wire::Target::Mod,
        mod_revision: Some(condition.revision),
        ..wire::Compare::default()
    }
}

fn lease(id: i64, time_to_live: Duration) -> wire::Lease {
    wire::Lease {
        id,
        ttl: i64::try_from(time_to_live.as_secs()).unwrap_or(i64::MAX),
    }
}

fn post(path: &str, body: &impl Serialize) -> Result<Call, Error> {
    Ok(Call {
        method: Method::POST,
        path: path.to_owned(),
        body: serde_json::to_vec(body)?,
    })
}

fn parse<T: DeserializeOwned>(response: HttpResponse<'_>) -> Result<T, Error> {
    Ok(serde_json::from_slice(response.body)?)
}
