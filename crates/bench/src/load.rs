//! Open-loop load: requests are sent on a schedule that doesn't depend on responses, so a stalled
//! system doesn't slow it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hyper::Method;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::mpsc;

use crate::caller::{Call, Caller, TimedReply};
use crate::report::Report;

/// Capacity of the queue of finished requests that await counting.
const RECORD_QUEUE_CAPACITY: usize = 65_536;

/// Targets, rate and mix of the load.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Addresses of nodes or upstreams, used in round robin order.
    pub targets: Vec<SocketAddr>,
    /// Requests per second over all targets.
    pub rate: f64,
    /// How long to send requests.
    pub duration: Duration,
    /// Services and the share of requests for each.
    pub services: Vec<(String, f64)>,
    /// Client accounts and the share of requests for each.
    pub client_accounts: Vec<(String, f64)>,
    /// Share of non-idempotent requests, 0 to 1; each is a POST with its own idempotency key.
    pub unrepeatable: f64,
    /// Timeout of each request.
    pub timeout: Duration,
    /// Request path.
    pub path: String,
    /// Seed of the random schedule and mix.
    pub seed: u64,
    /// Prefix of every request id, which keeps the ids of different runs apart.
    pub run: String,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            targets: Vec::new(),
            rate: 100.0,
            duration: Duration::from_secs(5),
            services: vec![(String::from("service"), 1.0)],
            client_accounts: vec![(String::from("client_account"), 1.0)],
            unrepeatable: 0.0,
            timeout: Duration::from_secs(5),
            path: String::from("/"),
            seed: 1,
            run: String::from("run"),
        }
    }
}

/// A request with its outcome and latency.
#[derive(Clone, Debug)]
pub struct Record {
    /// The request.
    pub call: Call,
    /// When the request was scheduled to be sent.
    pub due: Instant,
    /// Outcome as observed by the caller, with its times.
    pub timed_reply: TimedReply,
    /// Time from the scheduled start to the end of the response, so it includes any delay of the
    /// load generator itself.
    pub took: Duration,
}

/// Sends the planned load and returns a report; `inspect` is called with every record.
pub async fn run(plan: &Plan, mut inspect: impl FnMut(&Record)) -> Report {
    let (sender, mut records) = mpsc::channel(RECORD_QUEUE_CAPACITY);
    let sending = tokio::spawn(send_all(plan.clone(), sender));
    let mut report = Report::new(plan.rate, plan.duration);
    while let Some(record) = records.recv().await {
        inspect(&record);
        report.add(&record);
    }
    let _ = sending.await;
    report
}

async fn send_all(plan: Plan, records: mpsc::Sender<Record>) {
    let caller = Caller::default();
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let started_at = Instant::now();
    let mut due = started_at;
    let mut number = 0_usize;
    while due < started_at + plan.duration {
        tokio::time::sleep_until(due.into()).await;
        let call = random_call(&plan, &mut rng, number);
        let target = plan.targets[number % plan.targets.len()];
        tokio::spawn(send_one(caller.clone(), target, call, due, records.clone()));
        number += 1;
        due += random_gap(&plan, &mut rng);
    }
}

async fn send_one(
    caller: Caller,
    target: SocketAddr,
    call: Call,
    due: Instant,
    records: mpsc::Sender<Record>,
) {
    let timed_reply = caller.call(target, &call).await;
    let took = due.elapsed();
    let record = Record {
        call,
        due,
        timed_reply,
        took,
    };
    let _ = records.send(record).await;
}

/// Returns a random gap between two requests of a Poisson process, whose bursts and pauses resemble
/// those of real callers.
fn random_gap(plan: &Plan, rng: &mut ChaCha8Rng) -> Duration {
    let uniform: f64 = rng.random::<f64>().max(f64::MIN_POSITIVE);
    Duration::from_secs_f64(-uniform.ln() / plan.rate)
}

fn random_call(plan: &Plan, rng: &mut ChaCha8Rng, number: usize) -> Call {
    let is_non_idempotent = rng.random::<f64>() < plan.unrepeatable;
    let id = format!("{}-{number}", plan.run);
    Call {
        service: pick_weighted(&plan.services, rng),
        client_account: pick_weighted(&plan.client_accounts, rng),
        method: if is_non_idempotent {
            Method::POST
        } else {
            Method::GET
        },
        path: plan.path.clone(),
        key: is_non_idempotent.then(|| id.clone()),
        id,
        timeout: plan.timeout,
        ..Call::default()
    }
}

fn pick_weighted(shares: &[(String, f64)], rng: &mut ChaCha8Rng) -> String {
    let total: f64 = shares.iter().map(|(_, share)| share).sum();
    let mut remaining = rng.random::<f64>() * total;
    for (name, share) in shares {
        if remaining < *share {
            return name.clone();
        }
        remaining -= share;
    }
    shares
        .last()
        .map(|(name, _)| name.clone())
        .unwrap_or_default()
}
