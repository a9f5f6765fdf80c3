//! Entries in the store through which nodes find each other.
//!
//! Such an entry is called a seed and contains its node's membership record. The few designated
//! readers of each zone maintain their own seeds; a node that knows no peer reads all of them.

use std::rc::Rc;
use std::time::{Duration, Instant};

use mintridge_core::bootstrap::{self, Step};
use mintridge_core::membership::Record;
use mintridge_store::client::Error;
use mintridge_store::keys;
use mintridge_store::operation::{Freshness, Item, Put, Swap};

use super::{Control, exchange, persistence};

/// Interval at which this node checks whether work is due.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before failed calls for seeds are retried. A seed that expired during an outage of the
/// store must be written again within two seconds of the end of the outage. That leaves time for
/// two such delays, a call that times out and the calls that write the seed.
const SEEDS_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Number of seeds through which a node without peers joins at once. More than one, because a seed
/// may belong to a host that has stopped; only a few, because each host that answers sends its
/// whole table.
const MAX_CONCURRENT_JOINS: usize = 3;

/// Maintains the seeds while this node follows the store, and discovers peers there while it knows
/// none.
pub async fn run(control: Rc<Control>) {
    let mut seeds_at = Instant::now();
    loop {
        let now = Instant::now();
        if control.store_recovered.take() {
            seeds_at = now;
        }
        let snapshot = control.snapshot();
        control.log_role(now, snapshot);
        if control
            .state
            .borrow()
            .bootstrap
            .is_discovery_due(now, snapshot)
        {
            discover_peers(&control).await;
            persistence::load(&control).await;
            let now = Instant::now();
            control
                .state
                .borrow_mut()
                .bootstrap
                .schedule_discovery_retry(now);
        } else if now >= seeds_at
            && control
                .state
                .borrow()
                .bootstrap
                .follows_store(now, snapshot)
        {
            let succeeded = maintain_seeds(&control).await;
            let settings = &control.context.settings.control;
            let pause = if succeeded {
                settings.seeds_every
            } else {
                SEEDS_RETRY_DELAY
            };
            seeds_at = Instant::now() + pause;
        }
        let is_reader = control.state.borrow().table.is_designated_reader();
        if !is_reader && control.state.borrow().seed_lease.is_some() {
            remove_seed(&control).await;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Discovers peers through their seeds, first with a possibly stale read and then with the latest
/// one, and writes this node's seed if there are none.
async fn discover_peers(control: &Rc<Control>) {
    for freshness in [Freshness::MayLag, Freshness::Latest] {
        let Some(items) = list_seeds(control, freshness).await else {
            return;
        };
        let mut others: Vec<Record> = items
            .iter()
            .filter_map(|item| parse_seed(control, item))
            .filter(|record| record.host != *control.context.host())
            .collect();
        match bootstrap::next_step(freshness == Freshness::Latest, others.len()) {
            Step::Join => {
                control.state.borrow_mut().table.shuffle(&mut others);
                others.truncate(MAX_CONCURRENT_JOINS);
                if join_all(control, &others).await {
                    return;
                }
            }
            Step::ReadLatest => {}
            Step::WriteEntry => {
                ensure_seed(control).await;
            }
        }
    }
}

/// Joins through all of these hosts at once; returns whether at least one answered.
async fn join_all(control: &Rc<Control>, records: &[Record]) -> bool {
    let joining = records.iter().map(|record| async {
        let joined = exchange::join_through(control, record.control_address).await;
        if let Err(error) = &joined {
            log::debug!(host = &*record.host, error:% = error; "failed to join through a seed");
        }
        joined.is_ok()
    });
    let joined = futures_util::future::join_all(joining).await;
    joined.contains(&true)
}

/// Renews this node's seed and joins through unknown hosts; returns false if the store failed.
///
/// Failure: the store is down, and each designated reader sends all its calls twice a second.
/// Symptom: the calls of a few seconds cost as much as those of a whole day without an outage, and
/// all of them reach the store at once when it recovers. The renewal, the cheapest of the calls,
/// comes first; while it fails, no other call is sent.
async fn maintain_seeds(control: &Rc<Control>) -> bool {
    if !renew_seed(control).await || !join_unknown(control).await {
        return false;
    }
    let is_reader = control.state.borrow().table.is_designated_reader();
    !is_reader || ensure_seed(control).await
}

/// Reads the seeds and joins through hosts that are not known yet, which also merges two fleets
/// that formed separately. Returns false if the store failed.
///
/// Failure: the store loses seeds without ending their leases. Symptom: a node goes on renewing its
/// lease but can no longer be found. This node therefore checks that the list contains its own
/// seed; if a possibly stale list lacks it, the latest list decides.
async fn join_unknown(control: &Rc<Control>) -> bool {
    let own_key = keys::seed(control.context.host());
    let Some(mut items) = list_seeds(control, Freshness::MayLag).await else {
        return false;
    };
    if !items.iter().any(|item| item.key == own_key) {
        let Some(latest) = list_seeds(control, Freshness::Latest).await else {
            return false;
        };
        items = latest;
    }
    if !items.iter().any(|item| item.key == own_key) {
        control.state.borrow_mut().seed_lease = None;
    }
    let unknown: Vec<Record> = items
        .iter()
        .filter_map(|item| parse_seed(control, item))
        .filter(|record| !is_known(control, record))
        .collect();
    join_all(control, &unknown).await;
    true
}

/// Returns all seeds, or `None` if the store failed.
async fn list_seeds(control: &Rc<Control>, freshness: Freshness) -> Option<Vec<Item>> {
    let kind = match freshness {
        Freshness::Latest => "seeds",
        Freshness::MayLag => "seeds-may-lag",
    };
    control.context.metrics.store_call(kind);
    match control.store.list(keys::SEEDS, freshness).await {
        Ok(items) => Some(items),
        Err(error) => {
            log::info!(error:% = error; "failed to read the seeds");
            None
        }
    }
}

fn parse_seed(control: &Control, item: &Item) -> Option<Record> {
    let parsed = serde_json::from_slice(&item.value);
    if parsed.is_err() {
        control.context.metrics.bad_input("store-value");
        log::warn!(key = &*item.key; "failed to parse a seed");
    }
    parsed.ok()
}

fn is_known(control: &Control, record: &Record) -> bool {
    let state = control.state.borrow();
    let mut members = state.table.present();
    members.any(|member| member.host == record.host)
}

/// Renews this node's seed if it has one; returns false if the store failed.
async fn renew_seed(control: &Rc<Control>) -> bool {
    let Some(lease) = control.state.borrow().seed_lease else {
        return true;
    };
    control.context.metrics.store_call("lease");
    match control.store.keep_alive(lease).await {
        Ok(true) => true,
        Ok(false) => {
            control.state.borrow_mut().seed_lease = None;
            true
        }
        Err(error) => {
            log::info!(error:% = error; "failed to renew this node's seed");
            false
        }
    }
}

/// Writes this node's seed if it has none; returns false if the store failed.
async fn ensure_seed(control: &Rc<Control>) -> bool {
    if control.state.borrow().seed_lease.is_some() {
        return true;
    }
    let epoch = control.store.epochs().newest();
    match write_seed(control).await {
        // The store may have granted a lease of an earlier epoch to another node since.
        Ok(_) if control.store.epochs().has_changed_since(epoch) => false,
        Ok(lease) => {
            control.state.borrow_mut().seed_lease = Some(lease);
            true
        }
        Err(error) => {
            log::info!(error:% = error; "failed to write this node's seed");
            false
        }
    }
}

async fn write_seed(control: &Rc<Control>) -> Result<i64, Error> {
    let own = control.state.borrow().table.own().clone();
    let time_to_live = control.context.settings.control.seed_time_to_live;
    control.context.metrics.store_call("lease");
    let lease = control.store.grant(time_to_live).await?;
    let put = Put {
        key: keys::seed(&own.host),
        value: serde_json::to_vec(&own)?,
        lease,
    };
    let swap = Swap {
        puts: vec![put],
        ..Swap::default()
    };
    control.context.metrics.store_call("seed");
    control.store.swap(&swap).await?;
    Ok(lease)
}

/// Removes this node's seed from the store.
pub async fn remove_seed(control: &Rc<Control>) {
    let Some(lease) = control.state.borrow_mut().seed_lease.take() else {
        return;
    };
    control.context.metrics.store_call("lease");
    if let Err(error) = control.store.revoke(lease).await {
        log::debug!(error:% = error; "failed to remove this node's seed; it will expire");
    }
}
