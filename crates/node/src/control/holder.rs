//! What a few nodes of each zone do with the store, for all the others.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::membership::Record;
use mintridge_core::preset::Revision;
use mintridge_store::client::Error;
use mintridge_store::{keys, presets, wire};

use super::{Control, exchange};

/// How often this node looks whether it has become, or ceased to be, a holder.
const LOOK_EVERY: Duration = Duration::from_millis(500);
/// Pause before a broken watch is opened again.
const WATCH_AGAIN: Duration = Duration::from_millis(500);

/// Reads the preset in force and keeps the seeds, as long as this node holds.
///
/// A node that hears no peer reads the store too: it may be cut off from them alone.
pub async fn work(control: Rc<Control>) {
    let settings = &control.context.settings.control;
    let mut read_at = Instant::now();
    let mut seeds_at = Instant::now();
    loop {
        let now = Instant::now();
        let holder = control.state.borrow().table.is_holder();
        let wanted = holder || control.is_isolated(now);
        if wanted && now >= read_at {
            read_at = now + settings.store_read_every;
            read_in_force(&control).await;
        }
        if wanted && now >= seeds_at {
            seeds_at = now + settings.seeds_every;
            find_others(&control).await;
            if holder {
                keep_seed(&control).await;
            }
        }
        if !holder && control.state.borrow().seed_lease.is_some() {
            leave(&control).await;
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

/// Watches the preset in force, as long as this node holds.
pub async fn watch(control: Rc<Control>) {
    loop {
        if control.state.borrow().table.is_holder() {
            control.context.metrics.store_call("watch");
            if let Err(error) = watch_once(&control).await {
                log::debug!(error:% = error; "watch ended");
            }
        }
        tokio::time::sleep(WATCH_AGAIN).await;
    }
}

async fn watch_once(control: &Rc<Control>) -> Result<(), Error> {
    let mut watch = control.store.watch(keys::IN_FORCE).await?;
    while control.state.borrow().table.is_holder() {
        let look_again = tokio::time::sleep(LOOK_EVERY);
        let changes = tokio::select! {
            changes = watch.next() => changes?,
            () = look_again => continue,
        };
        for change in changes {
            take_document(control, &change.value);
        }
    }
    Ok(())
}

/// Failure: a watch falls silent without breaking. Symptom: a change is in force
/// nowhere. The holders read the key as well, at a rate that does not follow the fleet.
async fn read_in_force(control: &Rc<Control>) {
    let asked_at = Instant::now();
    control.context.metrics.store_call("read");
    let found = match control.store.get(keys::IN_FORCE).await {
        Ok(found) => found,
        Err(error) => {
            log::info!(error:% = error; "store not read");
            return;
        }
    };
    let (stored, mod_revision) = match &found {
        Some(found) => (take_document(control, &found.value), found.mod_revision),
        None => (None, 0),
    };
    control.heard(asked_at);
    bring_up_to_date(control, stored, mod_revision).await;
}

/// Takes in a document, and returns its revision if it is one.
fn take_document(control: &Control, value: &[u8]) -> Option<Revision> {
    match presets::parse_in_force(value) {
        Ok(document) => {
            let revision = document.revision;
            control.offer(document);
            Some(revision)
        }
        Err(error) => {
            control.context.metrics.bad_input("store-value");
            log::warn!(error:% = error; "the preset in force stays");
            None
        }
    }
}

/// Puts back what is in force into a store that holds something older, or nothing of use.
///
/// Failure: the store comes back from before. Symptom: an operator's change is accepted
/// under a revision that nodes have passed, and they ignore it. The swap is bound to what
/// was read, so it undoes no change that came in between, and a store that merely answers
/// from before refuses it.
async fn bring_up_to_date(control: &Rc<Control>, stored: Option<Revision>, mod_revision: i64) {
    let current = Arc::clone(control.state.borrow().register.current());
    if stored.unwrap_or_default() >= current.revision {
        return;
    }
    control.context.metrics.store_call("restore");
    match presets::restore(&control.store, &current, mod_revision).await {
        Ok(true) => {
            let revision = current.revision.0;
            log::warn!(revision = revision; "the store held an older preset; put back");
        }
        Ok(false) => log::debug!("the store holds something newer than it answered"),
        Err(error) => log::info!(error:% = error; "older preset in the store stays"),
    }
}

/// Reads the seeds and joins those not known yet, which also merges two fleets that
/// found themselves apart.
async fn find_others(control: &Rc<Control>) {
    control.context.metrics.store_call("seeds");
    let found = match control.store.list(keys::SEEDS).await {
        Ok(found) => found,
        Err(error) => {
            log::info!(error:% = error; "seeds not read");
            return;
        }
    };
    for record in found.iter().filter_map(|found| parse_seed(control, found)) {
        if knows(control, &record) {
            continue;
        }
        if let Err(error) = exchange::join_at(control, record.control_address).await {
            log::debug!(server = &*record.server, error:% = error; "seed not joined");
        }
    }
}

fn parse_seed(control: &Control, found: &wire::KeyValue) -> Option<Record> {
    let parsed = serde_json::from_slice(&found.value);
    if parsed.is_err() {
        control.context.metrics.bad_input("store-value");
        log::warn!(key:% = String::from_utf8_lossy(&found.key); "seed does not parse");
    }
    parsed.ok()
}

fn knows(control: &Control, record: &Record) -> bool {
    let state = control.state.borrow();
    let mut known = state.table.present();
    known.any(|known| known.server == record.server)
}

/// Writes or renews this node's entry among the seeds.
async fn keep_seed(control: &Rc<Control>) {
    let lease = control.state.borrow().seed_lease;
    if let Some(lease) = lease {
        control.context.metrics.store_call("lease");
        match control.store.keep_alive(lease).await {
            Ok(true) | Err(_) => return,
            Ok(false) => control.state.borrow_mut().seed_lease = None,
        }
    }
    match write_seed(control).await {
        Ok(lease) => control.state.borrow_mut().seed_lease = Some(lease),
        Err(error) => log::info!(error:% = error; "seed not written"),
    }
}

async fn write_seed(control: &Rc<Control>) -> Result<i64, Error> {
    let own = control.state.borrow().table.own().clone();
    let time_to_live = control.context.settings.control.seed_time_to_live;
    control.context.metrics.store_call("lease");
    let lease = control.store.grant(time_to_live).await?;
    let put = wire::Put {
        key: keys::seed(&own.server).into(),
        value: serde_json::to_vec(&own)?,
        lease: lease.id,
    };
    let txn = wire::Txn {
        success: vec![wire::Operation::Put(put)],
        ..wire::Txn::default()
    };
    control.context.metrics.store_call("seed");
    control.store.txn(&txn).await?;
    Ok(lease.id)
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
