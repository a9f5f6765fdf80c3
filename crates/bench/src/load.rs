//! Open-loop load: requests leave on a schedule that a stalled system does not slow.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hyper::Method;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::mpsc;

use crate::caller::{Call, Caller, Heard};
use crate::report::Report;

/// Answers that may wait to be counted.
const COUNTING_RING: usize = 65_536;

/// What to send, to whom, how fast.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Nodes, or upstreams, that take the requests in turn.
    pub targets: Vec<SocketAddr>,
    /// Requests a second over all targets.
    pub rate: f64,
    /// How long to send.
    pub duration: Duration,
    /// Services and the share of requests for each.
    pub services: Vec<(String, f64)>,
    /// Client accounts and the share of requests of each.
    pub client_accounts: Vec<(String, f64)>,
    /// Share of unrepeatable requests, each with its own idempotency key.
    pub unrepeatable: f64,
    /// Time allowed to each.
    pub timeout: Duration,
    /// Path asked for.
    pub path: String,
    /// Seed of the schedule and the mix.
    pub seed: u64,
    /// Begins every request's id, so that runs differ.
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

/// One request with what its caller was told.
#[derive(Clone, Debug)]
pub struct Record {
    /// The request.
    pub call: Call,
    /// When it should have left.
    pub due: Instant,
    /// What was told.
    pub heard: Heard,
    /// Time from when it should have left until its answer ended: includes any delay of
    /// the sender itself.
    pub took: Duration,
}

/// Sends by the plan and reports; every record also goes to `inspect`.
pub async fn run(plan: &Plan, mut inspect: impl FnMut(&Record)) -> Report {
    let (sender, mut records) = mpsc::channel(COUNTING_RING);
    let sending = tokio::spawn(send(plan.clone(), sender));
    let mut report = Report::new(plan.rate, plan.duration);
    while let Some(record) = records.recv().await {
        inspect(&record);
        report.add(&record);
    }
    let _ = sending.await;
    report
}

async fn send(plan: Plan, records: mpsc::Sender<Record>) {
    let caller = Caller::default();
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let began = Instant::now();
    let mut due = began;
    let mut number = 0_usize;
    while due < began + plan.duration {
        tokio::time::sleep_until(due.into()).await;
        let call = draw(&plan, &mut rng, number);
        let target = plan.targets[number % plan.targets.len()];
        tokio::spawn(one(caller.clone(), target, call, due, records.clone()));
        number += 1;
        due += gap(&plan, &mut rng);
    }
}

async fn one(
    caller: Caller,
    target: SocketAddr,
    call: Call,
    due: Instant,
    records: mpsc::Sender<Record>,
) {
    let heard = caller.call(target, &call).await;
    let took = due.elapsed();
    let record = Record {
        call,
        due,
        heard,
        took,
    };
    let _ = records.send(record).await;
}

/// Gaps of a Poisson process: bursts and lulls as real callers make them.
fn gap(plan: &Plan, rng: &mut ChaCha8Rng) -> Duration {
    let uniform: f64 = rng.random::<f64>().max(f64::MIN_POSITIVE);
    Duration::from_secs_f64(-uniform.ln() / plan.rate)
}

fn draw(plan: &Plan, rng: &mut ChaCha8Rng, number: usize) -> Call {
    let unrepeatable = rng.random::<f64>() < plan.unrepeatable;
    let id = format!("{}-{number}", plan.run);
    Call {
        service: weighted(&plan.services, rng),
        client_account: weighted(&plan.client_accounts, rng),
        method: if unrepeatable {
            Method::POST
        } else {
            Method::GET
        },
        path: plan.path.clone(),
        key: unrepeatable.then(|| id.clone()),
        id,
        timeout: plan.timeout,
        ..Call::default()
    }
}

fn weighted(shares: &[(String, f64)], rng: &mut ChaCha8Rng) -> String {
    let total: f64 = shares.iter().map(|(_, share)| share).sum();
    let mut left = rng.random::<f64>() * total;
    for (name, share) in shares {
        if left < *share {
            return name.clone();
        }
        left -= share;
    }
    shares
        .last()
        .map(|(name, _)| name.clone())
        .unwrap_or_default()
}
