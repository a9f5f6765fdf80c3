//! What a few nodes of each zone do with the store, for all the others.

use std::rc::Rc;
use std::time::{Duration, Instant};

use mintridge_core::bootstrap::{self, Step};
use mintridge_core::membership::Record;
use mintridge_store::client::Error;
use mintridge_store::keys;
use mintridge_store::operation::{Freshness, Item, Put, Swap};

use super::{Control, exchange, persistence};

/// How often this node looks whether something is due.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Pause before a failed call about seeds is made again. An entry that lapsed while the store
/// was away must be back within two seconds of its return, which holds two such pauses, a
/// call that times out and the calls that write the entry.
const SEEDS_AGAIN: Duration = Duration::from_millis(500);
/// Entries joined at once by a node that knows nobody: one of them may be of a host that ended,
/// and each that answers sends its whole table.
const JOINED_AT_ONCE: usize = 3;

/// Keeps the seeds, as long as this node follows the store, and looks for others there while it
/// knows nobody.
pub async fn work(control: Rc<Control>) {
    let mut seeds_at = Instant::now();
    loop {
        let now = Instant::now();
        if control.store_regained.take() {
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
            persistence::recall(&control).await;
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
            let kept = keep_seeds(&control).await;
            let settings = &control.context.settings.control;
            let pause = if kept {
                settings.seeds_every
            } else {
                SEEDS_AGAIN
            };
            seeds_at = Instant::now() + pause;
        }
        let holder = control.state.borrow().table.is_designated_reader();
        if !holder && control.state.borrow().seed_lease.is_some() {
            leave(&control).await;
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

/// Finds others by their entries, first by a read that may lag, and writes an entry if there is
/// none.
async fn discover_peers(control: &Rc<Control>) {
    for freshness in [Freshness::MayLag, Freshness::Latest] {
        let Some(found) = list_seeds(control, freshness).await else {
            return;
        };
        let mut others: Vec<Record> = found
            .iter()
            .filter_map(|found| parse_seed(control, found))
            .filter(|record| record.host != *control.context.host())
            .collect();
        match bootstrap::next_step(freshness == Freshness::Latest, others.len()) {
            Step::Join => {
                control.state.borrow_mut().table.shuffle(&mut others);
                others.truncate(JOINED_AT_ONCE);
                if join_all(control, &others).await {
                    return;
                }
            }
            Step::ReadLatest => {}
            Step::WriteEntry => {
                keep_seed(control).await;
            }
        }
    }
}

/// Joins through each of these at once; true if one answered.
async fn join_all(control: &Rc<Control>, records: &[Record]) -> bool {
    let joining = records.iter().map(|record| async {
        let joined = exchange::join_at(control, record.control_address).await;
        if let Err(error) = &joined {
            log::debug!(host = &*record.host, error:% = error; "seed not joined");
        }
        joined.is_ok()
    });
    let joined = futures_util::future::join_all(joining).await;
    joined.contains(&true)
}

/// Renews this node's entry and finds others; false if the store failed.
///
/// Failure: the store is out, and each of the few nodes that use it asks for all it needs, twice
/// a second. Symptom: the store's bill of a quiet day is spent in seconds, and its return meets
/// all of it at once. The renewal comes first, the cheapest of these calls, and while it fails
/// nothing else is asked.
async fn keep_seeds(control: &Rc<Control>) -> bool {
    if !renew_seed(control).await || !find_others(control).await {
        return false;
    }
    let holder = control.state.borrow().table.is_designated_reader();
    !holder || keep_seed(control).await
}

/// Reads the seeds and joins those not known yet, which also merges two fleets that
/// found themselves apart.
///
/// Failure: the store takes entries away without ending their leases. Symptom: a node
/// renews its lease and can no longer be found. Its own entry must be in the list; where a list
/// that may lag lacks it, the latest one decides.
async fn find_others(control: &Rc<Control>) -> bool {
    let own_key = keys::seed(control.context.host());
    let Some(mut found) = list_seeds(control, Freshness::MayLag).await else {
        return false;
    };
    if !found.iter().any(|item| item.key == own_key) {
        let Some(latest) = list_seeds(control, Freshness::Latest).await else {
            return false;
        };
        found = latest;
    }
    if !found.iter().any(|item| item.key == own_key) {
        control.state.borrow_mut().seed_lease = None;
    }
    let unknown: Vec<Record> = found
        .iter()
        .filter_map(|found| parse_seed(control, found))
        .filter(|record| !knows(control, record))
        .collect();
    join_all(control, &unknown).await;
    true
}

/// The entries of all; `None` if the store failed.
async fn list_seeds(control: &Rc<Control>, freshness: Freshness) -> Option<Vec<Item>> {
    let kind = match freshness {
        Freshness::Latest => "seeds",
        Freshness::MayLag => "seeds-may-lag",
    };
    control.context.metrics.store_call(kind);
    match control.store.list(keys::SEEDS, freshness).await {
        Ok(found) => Some(found),
        Err(error) => {
            log::info!(error:% = error; "seeds not read");
            None
        }
    }
}

fn parse_seed(control: &Control, found: &Item) -> Option<Record> {
    let parsed = serde_json::from_slice(&found.value);
    if parsed.is_err() {
        control.context.metrics.bad_input("store-value");
        log::warn!(key = &*found.key; "seed does not parse");
    }
    parsed.ok()
}

fn knows(control: &Control, record: &Record) -> bool {
    let state = control.state.borrow();
    let mut known = state.table.present();
    known.any(|known| known.host == record.host)
}

/// Renews this node's entry among the seeds, if it has one; false if the store failed.
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
            log::info!(error:% = error; "seed not renewed");
            false
        }
    }
}

/// Writes this node's entry among the seeds, if it has none; false if the store failed.
async fn keep_seed(control: &Rc<Control>) -> bool {
    if control.state.borrow().seed_lease.is_some() {
        return true;
    }
    let epoch = control.store.epochs().newest();
    match write_seed(control).await {
        // A lease of an earlier epoch may be another node's by now.
        Ok(_) if control.store.epochs().has_risen_since(epoch) => false,
        Ok(lease) => {
            control.state.borrow_mut().seed_lease = Some(lease);
            true
        }
        Err(error) => {
            log::info!(error:% = error; "seed not written");
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

/// Takes this node's entry out of the seeds.
pub async fn leave(control: &Rc<Control>) {
    let Some(lease) = control.state.borrow_mut().seed_lease.take() else {
        return;
    };
    control.context.metrics.store_call("lease");
    if let Err(error) = control.store.revoke(lease).await {
        log::debug!(error:% = error; "seed not taken out; it lapses");
    }
}
