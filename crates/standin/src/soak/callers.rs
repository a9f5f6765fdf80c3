//! Load of a run, sent over connections that stay open until the node's process is gone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Method;
use mintridge_bench::caller::{Call, Caller, Reply};
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;

use super::accounts;
use crate::upstream::CRASHES;

/// Share of non-idempotent requests.
const NON_IDEMPOTENT_SHARE: f64 = 0.4;
/// Share of the non-idempotent requests that carry an idempotency key.
const KEYED_SHARE: f64 = 0.5;
/// A non-idempotent request carries a large body if its number is a multiple of this.
const LARGE_BODY_ONE_IN: u32 = 5;
/// Size of the smallest large body.
const MIN_LARGE_BODY_BYTES: usize = 60_000;
/// Size of the largest body, in multiples of the smallest: more than a node buffers for a second
/// attempt.
const MAX_LARGE_BODY_FACTOR: u32 = 6;
/// Timeout of each request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two repeats of the crashing request.
const REPEAT_INTERVAL: Duration = Duration::from_millis(90);

/// A request and its result.
#[derive(Clone, Debug)]
pub struct Record {
    /// The request.
    pub call: Call,
    /// Result that the caller got.
    pub result: Reply,
    /// Caller address of the node that the request was sent to.
    pub node: SocketAddr,
    /// Time until the result was complete.
    pub took: Duration,
}

/// Caller address of each node; `None` while the node's process is gone.
pub type Targets = Arc<Mutex<Vec<Option<SocketAddr>>>>;

/// Load that callers generate.
#[derive(Clone, Debug)]
pub struct Load {
    /// Seed of the requests.
    pub seed: u64,
    /// Prefix of all request ids.
    pub id_prefix: String,
    /// Requests per second.
    pub rate: f64,
    /// Whether some requests carry large bodies.
    pub bodies: bool,
    /// Number of client accounts with whose keys requests are sent; without keys if 0.
    pub accounts: u32,
}

/// Sends requests until `until` and returns all of them with their results.
pub async fn run(load: Load, targets: Targets, until: Instant) -> Vec<Record> {
    let caller = Caller::default();
    let mut rng = ChaCha8Rng::seed_from_u64(load.seed);
    let mut sending = JoinSet::new();
    let mut number = 0_u32;
    let gap = Duration::from_secs_f64(1.0 / load.rate);
    let mut due = Instant::now();
    while due < until {
        tokio::time::sleep_until(due.into()).await;
        let mut call = draw(&mut rng, &load, number);
        if load.accounts > 0 {
            call = accounts::assign(&mut rng, load.accounts, call);
        }
        let reachable: Vec<SocketAddr> = targets.lock().iter().flatten().copied().collect();
        if !reachable.is_empty() {
            let target = reachable[rng.random_range(0..reachable.len())];
            let caller = caller.clone();
            sending.spawn(async move {
                let reply = caller.call(target, &call).await;
                Record {
                    call,
                    result: reply.reply,
                    node: target,
                    took: reply.took,
                }
            });
        }
        number += 1;
        due += gap.mul_f64(2.0 * rng.random::<f64>());
    }
    sending.join_all().await
}

/// One repeat of a request that crashes upstreams.
#[derive(Clone, Debug)]
pub struct Repeat {
    /// Id of this repeat.
    pub id: String,
    /// When the repeat was sent.
    pub sent_at: Instant,
}

/// Repeats a request that crashes upstreams until `until`, each time through the next node and
/// with a new id, without waiting for responses.
pub async fn repeat(id_prefix: String, targets: Targets, until: Instant) -> Vec<Repeat> {
    let caller = Caller::default();
    let mut sent = Vec::new();
    let mut sending = JoinSet::new();
    for number in 0.. {
        let sent_at = Instant::now();
        if sent_at > until {
            break;
        }
        let reachable: Vec<SocketAddr> = targets.lock().iter().flatten().copied().collect();
        if !reachable.is_empty() {
            let target = reachable[number % reachable.len()];
            let id = format!("{id_prefix}-repeat-{number}");
            let call = Call {
                id: id.clone(),
                path: String::from(CRASHES),
                timeout: REQUEST_TIMEOUT,
                ..Call::default()
            };
            let caller = caller.clone();
            sending.spawn(async move { caller.call(target, &call).await });
            sent.push(Repeat { id, sent_at });
        }
        tokio::time::sleep(REPEAT_INTERVAL).await;
    }
    sending.join_all().await;
    sent
}

fn draw(rng: &mut ChaCha8Rng, load: &Load, number: u32) -> Call {
    let id = format!("{}-{number}", load.id_prefix);
    let non_idempotent = rng.random::<f64>() < NON_IDEMPOTENT_SHARE;
    let keyed = non_idempotent && rng.random::<f64>() < KEYED_SHARE;
    let large = load.bodies && non_idempotent && number.is_multiple_of(LARGE_BODY_ONE_IN);
    Call {
        body: if large { body(number) } else { Bytes::new() },
        method: if non_idempotent {
            Method::POST
        } else {
            Method::GET
        },
        key: keyed.then(|| id.clone()),
        id,
        timeout: REQUEST_TIMEOUT,
        ..Call::default()
    }
}

/// Large body of a request; its size follows from the number of the request.
fn body(number: u32) -> Bytes {
    let factor = 1 + number / LARGE_BODY_ONE_IN % MAX_LARGE_BODY_FACTOR;
    Bytes::from(vec![
        0;
        MIN_LARGE_BODY_BYTES
            * usize::try_from(factor).unwrap_or(1)
    ])
}
