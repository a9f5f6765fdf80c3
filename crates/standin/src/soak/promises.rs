//! What must hold in every run, from what callers, upstreams and operators see.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mintridge_bench::caller::Told;

use super::callers::{Repeat, Sent};
use crate::upstream::Result as Answer;

/// A leaving upstream gets nothing new after this long.
pub const LEAVES_WITHIN: Duration = Duration::from_secs(4);

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Broken {
    /// An unrepeatable request ran more than once.
    #[error("{id} may run once and ran {runs} times")]
    RanTwice {
        /// The request.
        id: String,
        /// How often it ran.
        runs: u32,
    },
    /// A caller was told "not run" of a request that ran.
    #[error("{id} was told not run and ran")]
    RanThough {
        /// The request.
        id: String,
    },
    /// A caller got an answer that is not that of its request.
    #[error("{id} got another request's answer")]
    Foreign {
        /// The request.
        id: String,
    },
    /// Planned work cut off a request.
    #[error("{id} was cut off by planned work: {told}, {runs} runs, by {node} after {took:?}")]
    CutOff {
        /// The request.
        id: String,
        /// What its caller was told.
        told: String,
        /// How often it ran.
        runs: u32,
        /// Where its node takes callers.
        node: SocketAddr,
        /// When its caller knew.
        took: Duration,
    },
    /// What is in force on a node reverted to something older.
    #[error("version {after} came after {before} on {host}")]
    Reverted {
        /// The host.
        host: String,
        /// The version before.
        before: u64,
        /// The version after.
        after: u64,
    },
    /// A leaving upstream got new requests.
    #[error("{host} left and got {requests} requests later")]
    ServedAfterLeaving {
        /// The host.
        host: String,
        /// How many.
        requests: u64,
    },
    /// A request under which three upstreams had ended went on reaching upstreams.
    #[error("three upstreams had ended under a request, and {reached} of {sent} repeats ran later")]
    SpreadOn {
        /// Repeats sent after the news had had time to spread.
        sent: usize,
        /// How many of them ran.
        reached: u32,
    },
    /// A cold upstream got more in a second than it bears.
    #[error("{host} was cold and got {requests} requests in a second")]
    ColdOverrun {
        /// The host.
        host: String,
        /// How many.
        requests: usize,
    },
    /// After the last fault the fleet did not serve again.
    #[error("of {sent} requests after the last fault {failed} failed")]
    NotRecovered {
        /// Requests sent.
        sent: usize,
        /// How many of them got no answer.
        failed: usize,
    },
}

/// Requests a second that a cold upstream bears.
pub const COLD_RATE: u32 = 6;
/// It gets no more than this in any second: half as many again, and eight.
pub const COLD_MOST: usize = 17;

/// Checks the most that each host got in a second while it was cold.
#[must_use]
pub fn of_cold_upstreams(most: &[(String, usize)]) -> Vec<Broken> {
    let overrun = most.iter().filter(|(_, requests)| *requests > COLD_MOST);
    let broken = overrun.map(|(host, requests)| Broken::ColdOverrun {
        host: host.clone(),
        requests: *requests,
    });
    broken.collect()
}

/// Checks what callers were told against what ran.
#[must_use]
pub fn of_answers(sent: &[Sent], runs: &BTreeMap<String, u32>) -> Vec<Broken> {
    let mut broken = Vec::new();
    for Sent { call, told, .. } in sent {
        let id = call.id.clone();
        let runs = runs.get(&id).copied().unwrap_or(0);
        if call.method == hyper::Method::POST && runs > 1 {
            broken.push(Broken::RanTwice {
                id: id.clone(),
                runs,
            });
        }
        if told.is_not_run() && runs > 0 {
            broken.push(Broken::RanThough { id: id.clone() });
        }
        if let Told::Answer { body, .. } = told
            && told.is_success()
            && Answer::parse(body).is_none_or(|answer| answer.id != id)
        {
            broken.push(Broken::Foreign { id });
        }
    }
    broken
}

/// Whether a request ended without a word and did not run.
#[must_use]
pub fn ended_without_a_word(sent: &Sent, runs: &BTreeMap<String, u32>) -> bool {
    sent.told == Told::Broken { begun: false } && !runs.contains_key(&sent.call.id)
}

/// Checks that planned work cut nothing off: each caller got an answer or a refusal as not run,
/// or could not connect to a node that had ended.
#[must_use]
pub fn of_planned_work(sent: &[Sent], runs: &BTreeMap<String, u32>) -> Vec<Broken> {
    let is_cut = |sent: &&Sent| {
        let told = &sent.told;
        !told.is_success() && !told.is_not_run() && *told != Told::NoConnection
    };
    sent.iter()
        .filter(is_cut)
        .map(|sent| Broken::CutOff {
            id: sent.call.id.clone(),
            told: format!("{:?}", sent.told),
            runs: runs.get(&sent.call.id).copied().unwrap_or(0),
            node: sent.node,
            took: sent.took,
        })
        .collect()
}

/// A request under which three upstreams have ended is known everywhere after this long.
const NEWS_SPREAD_WITHIN: Duration = Duration::from_secs(3);
/// Repeats that may run after that.
const LATE_REPEATS_MOST: u32 = 3;

/// Checks that repeats of a request that ends upstreams reach few more after the third end.
#[must_use]
pub fn of_repeats(
    sent: &[Repeat],
    third_end_at: Option<Instant>,
    runs: &BTreeMap<String, u32>,
) -> Option<Broken> {
    let known_at = third_end_at? + NEWS_SPREAD_WITHIN;
    let late: Vec<&Repeat> = sent
        .iter()
        .filter(|repeat| repeat.sent_at > known_at)
        .collect();
    let ran = |repeat: &&Repeat| runs.get(&repeat.id).copied().unwrap_or(0);
    let reached = late.iter().map(ran).sum();
    (reached > LATE_REPEATS_MOST).then_some(Broken::SpreadOn {
        sent: late.len(),
        reached,
    })
}

/// What is in force on each node, watched from outside.
#[derive(Debug, Default)]
pub struct Versions {
    newest: HashMap<(String, u32), u64>,
    /// What was seen to revert.
    pub broken: Vec<Broken>,
}

impl Versions {
    /// A process of a host tells its version.
    pub fn seen(&mut self, host: &str, process: u32, version: u64) {
        let newest = self.newest.entry((host.to_owned(), process)).or_default();
        if version < *newest {
            self.broken.push(Broken::Reverted {
                host: host.to_owned(),
                before: *newest,
                after: version,
            });
        }
        *newest = version.max(*newest);
    }
}

/// An upstream that leaves, and what it had been sent when it had to be left alone.
#[derive(Debug)]
pub struct Leaving {
    /// The host.
    pub host: String,
    left_at: Instant,
    requests: Option<u64>,
}

impl Leaving {
    /// It announced that it leaves.
    #[must_use]
    pub const fn new(host: String, now: Instant) -> Self {
        Self {
            host,
            left_at: now,
            requests: None,
        }
    }

    /// It has been sent so many requests by now.
    pub fn seen(&mut self, now: Instant, requests: u64) -> Option<Broken> {
        if now < self.left_at + LEAVES_WITHIN {
            return None;
        }
        let before = *self.requests.get_or_insert(requests);
        self.requests = Some(requests);
        (requests > before).then(|| Broken::ServedAfterLeaving {
            host: self.host.clone(),
            requests: requests - before,
        })
    }
}
