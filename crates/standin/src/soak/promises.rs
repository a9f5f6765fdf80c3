//! Guarantees that must hold in every run, checked on what callers, upstreams and operators
//! observe.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mintridge_bench::caller::Reply;

use super::accounts;
use super::callers::{Record, Repeat};
use crate::upstream::Echo;

/// Time after its announcement from which a leaving upstream may get no new requests.
pub const LEAVE_TIMEOUT: Duration = Duration::from_secs(4);

/// A violation of a guarantee.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A non-idempotent request ran more than once.
    #[error("{id} may run once and ran {runs} times")]
    RanTwice {
        /// The request.
        id: String,
        /// How often it ran.
        runs: u32,
    },
    /// A caller got the outcome "not run" for a request that ran.
    #[error("{id} was reported as not run and ran")]
    RanDespiteNotRun {
        /// The request.
        id: String,
    },
    /// A caller got the answer to another request.
    #[error("{id} got another request's answer")]
    ForeignAnswer {
        /// The request.
        id: String,
    },
    /// A planned operation cut off a request.
    #[error(
        "{id} was cut off by a planned operation: {result}, {runs} runs, by {node} after {took:?}"
    )]
    CutOff {
        /// The request.
        id: String,
        /// Result that its caller got.
        result: String,
        /// How often it ran.
        runs: u32,
        /// Caller address of its node.
        node: SocketAddr,
        /// Time until its caller got the result.
        took: Duration,
    },
    /// The preset in force on a node reverted to an older revision.
    #[error("revision {after} replaced {before} on {host}")]
    Reverted {
        /// The host.
        host: String,
        /// Newest revision so far.
        before: u64,
        /// The older revision that replaced it.
        after: u64,
    },
    /// A leaving upstream got new requests.
    #[error("{host} got {requests} new requests after its time to drain")]
    ServedAfterLeaving {
        /// The host.
        host: String,
        /// Number of new requests.
        requests: u64,
    },
    /// A request that had crashed three upstreams kept reaching upstreams.
    #[error("a request had crashed three upstreams, and {reached} of {sent} later repeats ran")]
    CrashesContinued {
        /// Number of repeats sent after the quarantine had time to spread.
        sent: usize,
        /// How many of them ran.
        reached: u32,
    },
    /// A cold upstream got more requests in a second than it sustains.
    #[error("{host} got {requests} requests in a second while it was cold")]
    ColdOverrun {
        /// The host.
        host: String,
        /// Number of requests.
        requests: usize,
    },
    /// An upstream that named a limit got more requests than it allows.
    #[error("{host} got {requests} requests in a window beyond the limit that it named")]
    LimitExceeded {
        /// The host.
        host: String,
        /// Number of requests beyond those that the limit allows.
        requests: usize,
    },
    /// An upstream that stated that it is leaving got requests from nodes that had passed it on.
    #[error("{host} got {requests} requests from nodes that had passed on that it is leaving")]
    ServedAfterStatement {
        /// The host.
        host: String,
        /// Number of requests.
        requests: u64,
    },
    /// A request arrived with another account than that of its key, or ran without a valid key.
    #[error("{id} arrived with the account {received:?}, expected {expected:?}")]
    WrongAccount {
        /// The request.
        id: String,
        /// Account of its key, empty for none; `None` if it must not run.
        expected: Option<String>,
        /// Account that the upstream received.
        received: String,
    },
    /// Upstreams received keys of client accounts.
    #[error("{requests} requests arrived with the key of a client account")]
    KeyPassedOn {
        /// Number of requests.
        requests: u64,
    },
    /// The fleet did not serve all requests again after the last fault.
    #[error("{failed} of {sent} requests failed after the last fault")]
    NotRecovered {
        /// Number of requests sent.
        sent: usize,
        /// Number of requests that failed.
        failed: usize,
    },
}

/// Requests per second that a cold upstream sustains.
pub const COLD_RATE: u32 = 6;
/// Maximum number of requests that a cold upstream may get in any second: 1.5 times [`COLD_RATE`],
/// plus 8.
pub const MAX_COLD_REQUESTS: usize = 17;

/// Checks the maximum number of requests that each host got in a second while it was cold.
#[must_use]
pub fn check_cold_upstreams(max_requests: &[(String, usize)]) -> Vec<Violation> {
    let overrun = max_requests
        .iter()
        .filter(|(_, requests)| *requests > MAX_COLD_REQUESTS);
    let violations = overrun.map(|(host, requests)| Violation::ColdOverrun {
        host: host.clone(),
        requests: *requests,
    });
    violations.collect()
}

/// Checks for each host the number of requests beyond the limit that its upstream named, and after
/// the upstream stated that it is leaving.
#[must_use]
pub fn check_notices(counts: &[(String, usize, u64)]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (host, limit_excess, after_leaving) in counts {
        if *limit_excess > 0 {
            violations.push(Violation::LimitExceeded {
                host: host.clone(),
                requests: *limit_excess,
            });
        }
        if *after_leaving > 0 {
            violations.push(Violation::ServedAfterStatement {
                host: host.clone(),
                requests: *after_leaving,
            });
        }
    }
    violations
}

/// Checks the results that callers got against the requests that ran.
#[must_use]
pub fn check_answers(records: &[Record], runs: &BTreeMap<String, u32>) -> Vec<Violation> {
    let mut violations = Vec::new();
    for Record { call, result, .. } in records {
        let id = call.id.clone();
        let runs = runs.get(&id).copied().unwrap_or(0);
        if call.method == hyper::Method::POST && runs > 1 {
            violations.push(Violation::RanTwice {
                id: id.clone(),
                runs,
            });
        }
        if result.is_not_run() && runs > 0 {
            violations.push(Violation::RanDespiteNotRun { id: id.clone() });
        }
        if let Reply::Answer { body, .. } = result
            && result.is_success()
            && Echo::parse(body).is_none_or(|answer| answer.id != id)
        {
            violations.push(Violation::ForeignAnswer { id });
        }
    }
    violations
}

/// What upstreams recorded of the accounts and keys of requests.
#[derive(Clone, Debug, Default)]
pub struct Arrivals {
    /// Accounts with which a request arrived, by request id.
    pub accounts: HashMap<String, Vec<String>>,
    /// Number of requests with a key.
    pub keys: u64,
}

/// Checks that each request arrived with the account of its key and without the key.
#[must_use]
pub fn check_accounts(records: &[Record], arrivals: &Arrivals) -> Vec<Violation> {
    let mut violations = Vec::new();
    if arrivals.keys > 0 {
        violations.push(Violation::KeyPassedOn {
            requests: arrivals.keys,
        });
    }
    for record in records {
        let expected = accounts::expected(&record.call);
        let received = arrivals.accounts.get(&record.call.id).into_iter().flatten();
        let wrong = received.filter(|received| expected.as_ref() != Some(received));
        violations.extend(wrong.map(|received| Violation::WrongAccount {
            id: record.call.id.clone(),
            expected: expected.clone(),
            received: received.clone(),
        }));
    }
    violations
}

/// Whether a connection closed without a response and its request did not run.
#[must_use]
pub fn is_closed_unanswered(record: &Record, runs: &BTreeMap<String, u32>) -> bool {
    record.result == Reply::Broken { begun: false } && !runs.contains_key(&record.call.id)
}

/// Checks that planned operations cut off no request: each caller got a successful answer or a
/// refusal as not run, or could not connect because the node's process had ended.
#[must_use]
pub fn check_planned_work(records: &[Record], runs: &BTreeMap<String, u32>) -> Vec<Violation> {
    let is_cut_off = |record: &&Record| {
        let result = &record.result;
        !result.is_success() && !result.is_not_run() && *result != Reply::NoConnection
    };
    records
        .iter()
        .filter(is_cut_off)
        .map(|record| Violation::CutOff {
            id: record.call.id.clone(),
            result: format!("{:?}", record.result),
            runs: runs.get(&record.call.id).copied().unwrap_or(0),
            node: record.node,
            took: record.took,
        })
        .collect()
}

/// Time after its third crash within which all nodes know that a request is quarantined.
const QUARANTINE_SPREAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of repeats that may run after [`QUARANTINE_SPREAD_TIMEOUT`].
const MAX_LATE_REPEATS: u32 = 3;

/// Checks that few repeats of a request that crashes upstreams run once its quarantine after the
/// third crash has had time to spread.
#[must_use]
pub fn check_repeats(
    repeats: &[Repeat],
    third_crash_at: Option<Instant>,
    runs: &BTreeMap<String, u32>,
) -> Option<Violation> {
    let quarantined_at = third_crash_at? + QUARANTINE_SPREAD_TIMEOUT;
    let late: Vec<&Repeat> = repeats
        .iter()
        .filter(|repeat| repeat.sent_at > quarantined_at)
        .collect();
    let ran = |repeat: &&Repeat| runs.get(&repeat.id).copied().unwrap_or(0);
    let reached = late.iter().map(ran).sum();
    (reached > MAX_LATE_REPEATS).then_some(Violation::CrashesContinued {
        sent: late.len(),
        reached,
    })
}

/// Preset revisions in force on the nodes, as observed from outside.
#[derive(Debug, Default)]
pub struct Revisions {
    newest: HashMap<(String, u32), u64>,
    /// Reversals that were observed.
    pub violations: Vec<Violation>,
}

impl Revisions {
    /// Records the revision that a process of a host reports.
    pub fn record(&mut self, host: &str, process: u32, revision: u64) {
        let newest = self.newest.entry((host.to_owned(), process)).or_default();
        if revision < *newest {
            self.violations.push(Violation::Reverted {
                host: host.to_owned(),
                before: *newest,
                after: revision,
            });
        }
        *newest = revision.max(*newest);
    }
}

/// A leaving upstream and its request count, checked once [`LEAVE_TIMEOUT`] is over.
#[derive(Debug)]
pub struct Leaving {
    /// The host.
    pub host: String,
    announced_at: Instant,
    requests: Option<u64>,
}

impl Leaving {
    /// Creates the state of an upstream that announced at `now` that it leaves.
    #[must_use]
    pub const fn new(host: String, now: Instant) -> Self {
        Self {
            host,
            announced_at: now,
            requests: None,
        }
    }

    /// Checks the number of requests that the upstream has got until `now`.
    pub fn check(&mut self, now: Instant, requests: u64) -> Option<Violation> {
        if now < self.announced_at + LEAVE_TIMEOUT {
            return None;
        }
        let before = *self.requests.get_or_insert(requests);
        self.requests = Some(requests);
        (requests > before).then(|| Violation::ServedAfterLeaving {
            host: self.host.clone(),
            requests: requests - before,
        })
    }
}
