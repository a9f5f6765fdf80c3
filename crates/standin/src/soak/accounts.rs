//! Client accounts of a run: the routing table that lists them, and requests with their keys.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use mintridge_bench::caller::{Call, Reply};
use mintridge_core::configs::retry;
use mintridge_core::outcome::Reason;
use mintridge_core::route::{Destination, Kind, Route, Table, Version};
use rand::{Rng, RngExt};
use serde_json::{Value, json};

/// Store key of the routing table.
pub const ROUTES: &str = "operators/routes";
/// Beginning of the paths of non-idempotent requests.
const ONCE: &str = "/once/";
/// Path of requests that need no key.
const OPEN: &str = "/open/";
/// Key that no account has.
const UNKNOWN: &str = "key-unknown";
/// Account that each caller names, without effect.
const FORGED: &str = "forged";
/// Share of the requests with a key that no account has.
const UNKNOWN_SHARE: f64 = 0.1;
/// Share of the idempotent requests that need no key.
const OPEN_SHARE: f64 = 0.2;

/// Returns the routing table of a run with this number of accounts, as operators write it.
#[must_use]
pub fn document(service: &str, accounts: u32) -> Vec<u8> {
    let routes = vec![
        route(service, "/", Kind::Idempotent),
        route(service, ONCE, Kind::NonIdempotent),
        Route {
            anonymous: true,
            ..route(service, OPEN, Kind::Idempotent)
        },
    ];
    let table = Table {
        version: Version(1),
        hosts: BTreeMap::from([(Arc::from("127.0.0.1"), routes)]),
        ..Table::default()
    };
    let mut document = json!(table);
    let account = |index| json!({"name": name(index), "keys": [key(index)], "priority": index});
    document["client_accounts"] = (0..accounts).map(account).collect::<Value>();
    document.to_string().into_bytes()
}

fn route(service: &str, prefix: &str, kind: Kind) -> Route {
    Route {
        name: Arc::from(prefix),
        prefix: Arc::from(prefix),
        kind,
        parts: vec![Destination {
            service: Arc::from(service),
            weight: 1,
        }],
        timeout: Duration::from_secs(5),
        target_latency: Duration::from_secs(5),
        attempts: retry::Settings::default().attempts,
        priority: 0,
        anonymous: false,
    }
}

fn name(index: u32) -> String {
    format!("account-{index}")
}

fn key(index: u32) -> String {
    format!("key-{index}")
}

/// Returns the call with a key, or without one on a route that needs none.
pub fn assign(rng: &mut impl Rng, accounts: u32, call: Call) -> Call {
    let is_once = call.method == Method::POST;
    let is_open = rng.random::<f64>() < OPEN_SHARE && !is_once;
    let index = rng.random_range(0..accounts);
    let is_unknown = rng.random::<f64>() < UNKNOWN_SHARE;
    let key = if is_unknown {
        UNKNOWN.to_owned()
    } else {
        key(index)
    };
    Call {
        client_account: FORGED.to_owned(),
        account_key: (!is_open).then_some(key),
        path: if is_once {
            ONCE.to_owned()
        } else if is_open {
            OPEN.to_owned()
        } else {
            call.path
        },
        ..call
    }
}

/// Returns the account with which a request has to arrive, empty for none; `None` if the request
/// must not run.
#[must_use]
pub fn expected(call: &Call) -> Option<String> {
    let Some(key) = call.account_key.as_deref() else {
        return Some(String::new());
    };
    let index = key.strip_prefix("key-")?.parse().ok()?;
    Some(name(index))
}

/// Returns whether a caller got what its key entitles it to.
#[must_use]
pub fn is_due(call: &Call, result: &Reply) -> bool {
    let is_refused = |result: &Reply| {
        matches!(
            result,
            Reply::Refused {
                reason: Reason::Unauthorized,
                ..
            }
        )
    };
    match expected(call) {
        Some(_) => result.is_success(),
        None => is_refused(result),
    }
}
