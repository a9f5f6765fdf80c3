//! Callers of a run: they keep their connections open until the process behind is gone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Method;
use mintridge_bench::caller::{Call, Caller, Told};
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;

use crate::upstream::CRASHES;

/// Share of unrepeatable requests.
const UNREPEATABLE: f64 = 0.4;
/// Share of the unrepeatable requests that carry an idempotency key.
const KEYED: f64 = 0.5;
/// One in so many unrepeatable requests brings a large body.
const LARGE_ONE_IN: u32 = 5;
/// Least size of a large body, in bytes, and how many times that the largest has: more than a
/// node keeps for a second attempt.
const LARGE: usize = 60_000;
const LARGE_TIMES: u32 = 6;
/// Time allowed to each request.
const ALLOWED: Duration = Duration::from_secs(2);

/// Time between two repeats of it.
const REPEATED_EVERY: Duration = Duration::from_millis(90);

/// A request and what its caller was told.
#[derive(Clone, Debug)]
pub struct Sent {
    /// The request.
    pub call: Call,
    /// What was told.
    pub told: Told,
    /// Where the node takes callers that it was sent to.
    pub node: SocketAddr,
    /// Time until all of it was told.
    pub took: Duration,
}

/// Where nodes take requests now; none for one that is gone.
pub type Targets = Arc<Mutex<Vec<Option<SocketAddr>>>>;

/// What callers of a run send.
#[derive(Clone, Debug)]
pub struct Load {
    /// Draws the requests.
    pub seed: u64,
    /// Begins the id of each request.
    pub run: String,
    /// Requests a second.
    pub rate: f64,
    /// Whether some bring large bodies.
    pub bodies: bool,
}

/// Sends requests until `until`, and returns all with what was told.
pub async fn run(load: Load, targets: Targets, until: Instant) -> Vec<Sent> {
    let caller = Caller::default();
    let mut rng = ChaCha8Rng::seed_from_u64(load.seed);
    let mut sending = JoinSet::new();
    let mut number = 0_u32;
    let gap = Duration::from_secs_f64(1.0 / load.rate);
    let mut due = Instant::now();
    while due < until {
        tokio::time::sleep_until(due.into()).await;
        let call = draw(&mut rng, &load, number);
        let open: Vec<SocketAddr> = targets.lock().iter().flatten().copied().collect();
        if !open.is_empty() {
            let target = open[rng.random_range(0..open.len())];
            let caller = caller.clone();
            sending.spawn(async move {
                let heard = caller.call(target, &call).await;
                Sent {
                    call,
                    told: heard.told,
                    node: target,
                    took: heard.took,
                }
            });
        }
        number += 1;
        due += gap.mul_f64(2.0 * rng.random::<f64>());
    }
    sending.join_all().await
}

/// A repeat of a request that ends upstreams.
#[derive(Clone, Debug)]
pub struct Repeat {
    /// Its own id.
    pub id: String,
    /// When it was sent.
    pub sent_at: Instant,
}

/// Sends one request that ends upstreams again and again until `until`, each time through another
/// node and under a new id, and waits for no answer before the next.
pub async fn repeat(run: String, targets: Targets, until: Instant) -> Vec<Repeat> {
    let caller = Caller::default();
    let mut sent = Vec::new();
    let mut sending = JoinSet::new();
    for number in 0.. {
        let sent_at = Instant::now();
        if sent_at > until {
            break;
        }
        let open: Vec<SocketAddr> = targets.lock().iter().flatten().copied().collect();
        if !open.is_empty() {
            let target = open[number % open.len()];
            let id = format!("{run}-repeat-{number}");
            let call = Call {
                id: id.clone(),
                path: String::from(CRASHES),
                timeout: ALLOWED,
                ..Call::default()
            };
            let caller = caller.clone();
            sending.spawn(async move { caller.call(target, &call).await });
            sent.push(Repeat { id, sent_at });
        }
        tokio::time::sleep(REPEATED_EVERY).await;
    }
    sending.join_all().await;
    sent
}

fn draw(rng: &mut ChaCha8Rng, load: &Load, number: u32) -> Call {
    let id = format!("{}-{number}", load.run);
    let unrepeatable = rng.random::<f64>() < UNREPEATABLE;
    let keyed = unrepeatable && rng.random::<f64>() < KEYED;
    let large = load.bodies && unrepeatable && number.is_multiple_of(LARGE_ONE_IN);
    Call {
        body: if large { body(number) } else { Bytes::new() },
        method: if unrepeatable {
            Method::POST
        } else {
            Method::GET
        },
        key: keyed.then(|| id.clone()),
        id,
        timeout: ALLOWED,
        ..Call::default()
    }
}

/// A large body, by the number of its request.
fn body(number: u32) -> Bytes {
    let times = 1 + number / LARGE_ONE_IN % LARGE_TIMES;
    Bytes::from(vec![0; LARGE * usize::try_from(times).unwrap_or(1)])
}
