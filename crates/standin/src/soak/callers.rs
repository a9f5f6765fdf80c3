//! Callers of a run: they keep their connections open until the process behind is gone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::Method;
use mintridge_bench::caller::{Call, Caller, Told};
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;

/// Share of unrepeatable requests.
const UNREPEATABLE: f64 = 0.4;
/// Share of the unrepeatable requests that carry an idempotency key.
const KEYED: f64 = 0.5;
/// Time allowed to each request.
const ALLOWED: Duration = Duration::from_secs(2);

/// A request and what its caller was told.
#[derive(Clone, Debug)]
pub struct Sent {
    /// The request.
    pub call: Call,
    /// What was told.
    pub told: Told,
}

/// Where nodes take requests now; none for one that is gone.
pub type Targets = Arc<Mutex<Vec<Option<SocketAddr>>>>;

/// Sends requests at this rate until `until`, and returns all with what was told.
pub async fn run(seed: u64, run: String, targets: Targets, rate: f64, until: Instant) -> Vec<Sent> {
    let caller = Caller::default();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut sending = JoinSet::new();
    let mut number = 0_u32;
    let gap = Duration::from_secs_f64(1.0 / rate);
    let mut due = Instant::now();
    while due < until {
        tokio::time::sleep_until(due.into()).await;
        let call = draw(&mut rng, &run, number);
        let open: Vec<SocketAddr> = targets.lock().iter().flatten().copied().collect();
        if !open.is_empty() {
            let target = open[rng.random_range(0..open.len())];
            let caller = caller.clone();
            sending.spawn(async move {
                let told = caller.call(target, &call).await.told;
                Sent { call, told }
            });
        }
        number += 1;
        due += gap.mul_f64(2.0 * rng.random::<f64>());
    }
    sending.join_all().await
}

fn draw(rng: &mut ChaCha8Rng, run: &str, number: u32) -> Call {
    let id = format!("{run}-{number}");
    let unrepeatable = rng.random::<f64>() < UNREPEATABLE;
    let keyed = unrepeatable && rng.random::<f64>() < KEYED;
    Call {
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
