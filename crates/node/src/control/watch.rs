//! Watches on the documents of operators in the store: the preset in force, the routing table and,
//! together with it, the evacuated availability zones.
//!
//! The few nodes that follow the store watch each document and also read it at intervals. All other
//! nodes receive changes from them through exchanges.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::preset::Revision;
use mintridge_core::stagger::Stagger;
use mintridge_store::client::Error;
use mintridge_store::operation::{Change, Freshness, Item};
use mintridge_store::{keys, presets};

use super::{Control, Delivery, evacuations, persistence};

/// Interval at which a node checks whether it has to follow the store.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// The same interval while the routing table is missing, since all callers are refused until then.
const MISSING_ROUTES_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Delay after a failed call. Two of them fit into the time in which a change must be in force, and
/// it limits the calls to a store that is down.
const RETRY_DELAY: Duration = Duration::from_millis(600);

/// Kind of document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Preset,
    Routes,
}

/// Location of a document in the store.
struct Source {
    kind: Kind,
    key: String,
    /// Prefix of the watched keys. If it differs from the key, all items with this prefix are read.
    prefix: String,
}

/// Follows the preset in force.
pub async fn preset(control: Rc<Control>) {
    let source = Source {
        kind: Kind::Preset,
        key: keys::IN_FORCE.to_owned(),
        prefix: keys::IN_FORCE.to_owned(),
    };
    follow(control, source).await;
}

/// Follows the routing table, together with the evacuations, if the settings name its key.
pub async fn routes(control: Rc<Control>) {
    let settings = &control.context.settings.routes;
    let Some(key) = settings.key.clone() else {
        return;
    };
    let evacuations = settings.evacuations.as_deref().unwrap_or(&key);
    let prefix = common_prefix(&key, evacuations);
    let source = Source {
        kind: Kind::Routes,
        key,
        prefix,
    };
    follow(control, source).await;
}

/// Returns the longest common prefix of both texts.
fn common_prefix(a: &str, b: &str) -> String {
    let pairs = a.chars().zip(b.chars());
    pairs.take_while(|(a, b)| a == b).map(|(a, _)| a).collect()
}

async fn follow(control: Rc<Control>, source: Source) {
    let kind = source.kind;
    let key = source.key.as_str();
    let mut is_failing = false;
    let mut stagger = Stagger::new(control.context.host());
    loop {
        if kind == Kind::Routes {
            read_routes_if_due(&control, &source).await;
        }
        if !control.follows_store(Instant::now()) {
            let pause = if control.snapshot().has_routes {
                POLL_INTERVAL
            } else {
                MISSING_ROUTES_POLL_INTERVAL
            };
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = control.store_health.role_changed() => {}
            }
            continue;
        }
        let result = read_and_watch(&control, &source, &mut stagger, &mut is_failing).await;
        let Err(error) = result else { continue };
        control.store_health.record_read_failure();
        if !matches!(error, Error::Compacted | Error::WatchEnded) {
            if !is_failing {
                log::warn!(
                    key = key, error:% = error;
                    "failed to follow a document in the store, retrying"
                );
            }
            is_failing = true;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Reads the routing table once if no peer has provided it in time.
async fn read_routes_if_due(control: &Rc<Control>, source: &Source) {
    let now = Instant::now();
    let snapshot = control.snapshot();
    if !control
        .state
        .borrow()
        .bootstrap
        .is_routes_read_due(now, snapshot)
    {
        return;
    }
    let key = source.key.as_str();
    match read(control, source).await {
        Ok((Some(item), _)) => control.offer_routes(Delivery::Read, &item.value, None),
        Ok((None, _)) => log::info!(key = key; "store does not contain a routing table yet"),
        Err(error) => log::info!(key = key, error:% = error; "failed to read the routing table"),
    }
    persistence::load(control).await;
    let now = Instant::now();
    control
        .state
        .borrow_mut()
        .bootstrap
        .schedule_routes_retry(now);
}

/// Reads the document and, if the prefix covers more than its key, the evacuations.
async fn read(control: &Control, source: &Source) -> Result<(Option<Item>, i64), Error> {
    control.context.metrics.store_call("read");
    if source.prefix == source.key {
        return control.store.read(&source.key).await;
    }
    let (items, revision) = control
        .store
        .list_from(&source.prefix, Freshness::Latest)
        .await?;
    evacuations::apply_listing(control, Instant::now(), &items, revision);
    let document = items.into_iter().find(|item| item.key == source.key);
    Ok((document, revision))
}

/// Reads the document, then watches it until the next read is due.
///
/// Failure: a watch stops delivering changes without failing, or its answer is lost. Symptom: a
/// change comes into force on no node. Keep-alive probes detect dead connections, and the watches
/// of the few nodes that follow the store end at different times, so the next one delivers what the
/// others lost. The key is also read at intervals, at a rate that does not grow with the size of
/// the fleet.
///
/// Failure: the store does not answer this node's calls for a while. Symptom: a watch that stayed
/// open may have missed a change. Once the store answers again, everything is read again.
///
/// Failure: the store is restored from an older copy and assigns revisions again. Symptom: a watch
/// that continues from an earlier revision never delivers changes with a lower one. A revision is
/// only used within the epoch in which it was read; in a later epoch everything is read again.
async fn read_and_watch(
    control: &Rc<Control>,
    source: &Source,
    stagger: &mut Stagger,
    is_failing: &mut bool,
) -> Result<(), Error> {
    let settings = &control.context.settings.control;
    let (kind, key) = (source.kind, source.key.as_str());
    let requested_at = Instant::now();
    let (item, mut revision) = read(control, source).await?;
    let epochs = control.store.epochs();
    let epoch = epochs.newest();
    if std::mem::take(is_failing) {
        log::info!(key = key, revision = revision; "document in the store can be read again");
        control.store_recovered.set(true);
    }
    control.mark_refreshed(requested_at);
    control.store_health.record_answer(requested_at);
    apply_read(control, kind, item).await;
    let next_read_at = requested_at + settings.store_read_every;
    while Instant::now() < next_read_at && control.follows_store(Instant::now()) {
        control.context.metrics.store_call("watch");
        let wait = match kind {
            Kind::Preset => next_read_at.saturating_duration_since(Instant::now()),
            Kind::Routes => stagger.next(settings.watch_for),
        };
        let changes = tokio::select! {
            changes = control.store.changes(&source.prefix, revision, wait) => changes?,
            () = epochs.wait_for_change_since(epoch) => return Ok(()),
            () = control.store_health.recovered() => return Ok(()),
        };
        if epochs.has_changed_since(epoch) {
            return Ok(());
        }
        revision = changes.revision.max(revision);
        for change in changes.changes {
            evacuations::apply_change(control, &change);
            if let Change::Written(item) = change
                && item.key == key
            {
                apply(control, kind, Delivery::Watch, &item.value);
            }
        }
    }
    Ok(())
}

async fn apply_read(control: &Rc<Control>, kind: Kind, item: Option<Item>) {
    let revision = item.as_ref().map_or(0, |item| item.revision);
    let stored = item.and_then(|item| apply(control, kind, Delivery::Read, &item.value));
    if kind == Kind::Preset {
        restore_preset(control, stored, revision).await;
    }
}

/// Applies a document; returns its revision if it is a valid preset.
fn apply(control: &Control, kind: Kind, delivery: Delivery, value: &[u8]) -> Option<Revision> {
    match kind {
        Kind::Preset => apply_preset(control, value),
        Kind::Routes => {
            control.offer_routes(delivery, value, None);
            None
        }
    }
}

fn apply_preset(control: &Control, value: &[u8]) -> Option<Revision> {
    match presets::parse_in_force(value) {
        Ok(document) => {
            let revision = document.revision;
            control.offer(document);
            Some(revision)
        }
        Err(error) => {
            control.context.metrics.bad_input("store-value");
            log::warn!(
                error:% = error;
                "invalid preset in the store; the current one stays in force"
            );
            None
        }
    }
}

/// Writes the preset in force back to a store that contains an older, invalid or no preset.
///
/// Failure: the store is restored from an older copy. Symptom: an operator's change is accepted
/// under a revision that is not newer than the preset in force on the nodes, so they ignore it.
/// The swap is conditional on the revision that was read. It therefore overwrites no concurrent
/// change, and a store that merely returned stale data rejects it.
async fn restore_preset(control: &Rc<Control>, stored: Option<Revision>, store_revision: i64) {
    let current = Arc::clone(control.state.borrow().register.current());
    if stored.unwrap_or_default() >= current.revision {
        return;
    }
    control.context.metrics.store_call("restore");
    match presets::restore(&control.store, &current, store_revision).await {
        Ok(true) => {
            let revision = current.revision.0;
            log::warn!(
                revision = revision;
                "store contained an older preset; the one in force was written back"
            );
        }
        Ok(false) => log::debug!("store contains a newer preset than it returned"),
        Err(error) => log::info!(error:% = error; "failed to restore the preset in the store"),
    }
}
