//! Documents of operators that are followed in the store: the preset in force, the routing table
//! and, together with it, the evacuated availability zones.
//!
//! The few nodes that use the store watch each document and read it beside the watch; all
//! others learn of a change from them by exchange.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::preset::Revision;
use mintridge_core::stagger::Stagger;
use mintridge_store::client::Error;
use mintridge_store::operation::{Change, Freshness, Item};
use mintridge_store::{keys, presets};

use super::{Control, evacuations, persistence};

/// How often a node looks whether it has begun to use the store.
const LOOK_EVERY: Duration = Duration::from_millis(250);
/// The same while the routing table is not known: until then all callers are refused.
const LOOK_FOR_ROUTES_EVERY: Duration = Duration::from_millis(20);
/// Pause after a failed call: two fit into the time in which a change must be in force, and a
/// store that is out is asked no more often than that.
const AGAIN_AFTER: Duration = Duration::from_millis(600);

/// What is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Preset,
    Routes,
}

/// Where a document lies.
struct Source {
    kind: Kind,
    key: String,
    /// What is watched; where it is more than the key, all that begins with it is read.
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

/// Follows the routing table, if the settings name its key, and the evacuations with it.
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

/// The longest text that both begin with.
fn common_prefix(one: &str, other: &str) -> String {
    let pairs = one.chars().zip(other.chars());
    pairs
        .take_while(|(one, other)| one == other)
        .map(|(one, _)| one)
        .collect()
}

async fn follow(control: Rc<Control>, source: Source) {
    let kind = source.kind;
    let key = source.key.as_str();
    let mut lost = false;
    let mut stagger = Stagger::new(control.context.host());
    loop {
        if kind == Kind::Routes {
            read_first(&control, &source).await;
        }
        if !control.follows_store(Instant::now()) {
            let pause = if control.snapshot().has_routes {
                LOOK_EVERY
            } else {
                LOOK_FOR_ROUTES_EVERY
            };
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = control.reach.changed() => {}
            }
            continue;
        }
        let ended = read_and_watch(&control, &source, &mut stagger, &mut lost).await;
        let Err(error) = ended else { continue };
        control.reach.failed();
        if !matches!(error, Error::Compacted | Error::Cut) {
            if !lost {
                log::warn!(key = key, error:% = error; "store lost");
            }
            lost = true;
        }
        tokio::time::sleep(AGAIN_AFTER).await;
    }
}

/// Reads the routing table once, if it is time to do without peers that have it.
async fn read_first(control: &Rc<Control>, source: &Source) {
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
        Ok((Some(item), _)) => control.offer_routes("store", &item.value, None),
        Ok((None, _)) => log::info!(key = key; "no routing table in the store yet"),
        Err(error) => log::info!(key = key, error:% = error; "routing table not read"),
    }
    persistence::recall(control).await;
    let now = Instant::now();
    control
        .state
        .borrow_mut()
        .bootstrap
        .schedule_routes_retry(now);
}

/// Reads the document, and what lies beside it under the prefix.
async fn read(control: &Control, source: &Source) -> Result<(Option<Item>, i64), Error> {
    control.context.metrics.store_call("read");
    if source.prefix == source.key {
        return control.store.read(&source.key).await;
    }
    let (items, read_at) = control
        .store
        .list_from(&source.prefix, Freshness::Latest)
        .await?;
    evacuations::listed(control, Instant::now(), &items, read_at);
    let document = items.into_iter().find(|item| item.key == source.key);
    Ok((document, read_at))
}

/// Reads the document, then watches it until the next read is due.
///
/// Failure: a watch falls silent without breaking, or its answer is lost. Symptom: a change
/// is in force nowhere. Silent connections are found by probes, and the watches of the few
/// nodes that use the store end at different times: the next one brings what the others lost.
/// Beside them the key is read at a rate that does not follow the size of the fleet.
///
/// Failure: the store leaves this node's calls unanswered for a while. Symptom: the watch that was
/// open goes on and may have missed a change. Once the store answers again, all is read anew.
///
/// Failure: the store comes back from an older copy and gives revisions out again. Symptom: a
/// watch that goes on from a revision of before never hears of what is written under a lower one.
/// A revision is used within the epoch in which it was read; in a later one all is read anew.
async fn read_and_watch(
    control: &Rc<Control>,
    source: &Source,
    stagger: &mut Stagger,
    lost: &mut bool,
) -> Result<(), Error> {
    let settings = &control.context.settings.control;
    let (kind, key) = (source.kind, source.key.as_str());
    let asked_at = Instant::now();
    let (found, mut read_at) = read(control, source).await?;
    let epochs = control.store.epochs();
    let epoch = epochs.newest();
    if std::mem::take(lost) {
        log::info!(key = key, revision = read_at; "store regained");
        control.store_regained.set(true);
    }
    control.heard(asked_at);
    control.reach.answered(asked_at);
    take_read(control, kind, found).await;
    let read_again_at = asked_at + settings.store_read_every;
    while Instant::now() < read_again_at && control.follows_store(Instant::now()) {
        control.context.metrics.store_call("watch");
        let wait = match kind {
            Kind::Preset => read_again_at.saturating_duration_since(Instant::now()),
            Kind::Routes => stagger.next(settings.watch_for),
        };
        let changes = tokio::select! {
            changes = control.store.changes(&source.prefix, read_at, wait) => changes?,
            () = epochs.risen_since(epoch) => return Ok(()),
            () = control.reach.back() => return Ok(()),
        };
        if epochs.has_risen_since(epoch) {
            return Ok(());
        }
        read_at = changes.read_at.max(read_at);
        for change in changes.changes {
            evacuations::changed(control, &change);
            if let Change::Written(item) = change
                && item.key == key
            {
                take(control, kind, &item.value);
            }
        }
    }
    Ok(())
}

async fn take_read(control: &Rc<Control>, kind: Kind, found: Option<Item>) {
    let revision = found.as_ref().map_or(0, |item| item.revision);
    let stored = found.and_then(|item| take(control, kind, &item.value));
    if kind == Kind::Preset {
        bring_up_to_date(control, stored, revision).await;
    }
}

/// Takes in a document; returns the revision of a preset.
fn take(control: &Control, kind: Kind, value: &[u8]) -> Option<Revision> {
    match kind {
        Kind::Preset => take_preset(control, value),
        Kind::Routes => {
            control.offer_routes("store", value, None);
            None
        }
    }
}

fn take_preset(control: &Control, value: &[u8]) -> Option<Revision> {
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
async fn bring_up_to_date(control: &Rc<Control>, stored: Option<Revision>, store_revision: i64) {
    let current = Arc::clone(control.state.borrow().register.current());
    if stored.unwrap_or_default() >= current.revision {
        return;
    }
    control.context.metrics.store_call("restore");
    match presets::restore(&control.store, &current, store_revision).await {
        Ok(true) => {
            let revision = current.revision.0;
            log::warn!(revision = revision; "the store held an older preset; put back");
        }
        Ok(false) => log::debug!("the store holds something newer than it answered"),
        Err(error) => log::info!(error:% = error; "older preset in the store stays"),
    }
}
