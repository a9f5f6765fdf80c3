//! Watches on the documents of operators in the store: the preset in force, the routing table and,
//! together with it, the evacuated availability zones.
//!
//! The few nodes that follow the store watch each document and also read it at intervals. All other
//! nodes receive changes from them through exchanges.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::preset::Revision;
use mintridge_core::stagger::Stagger;
use mintridge_store::client::Error;
use mintridge_store::epoch::{Epoch, Epochs};
use mintridge_store::operation::{Change, Freshness, Item};
use mintridge_store::{keys, presets};
use tokio::sync::Notify;

use super::{Control, Delivery, currency, evacuations, persistence};
use crate::clock;
use crate::configs::routes::Settings;

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

/// Document of operators in the store, and how far this node knows its changes.
#[derive(Debug)]
pub struct Source {
    kind: Kind,
    key: String,
    /// Prefix of the watched keys. If it differs from the key, all items with this prefix are read.
    prefix: String,
    /// Revision of the store up to which this node knows all changes, with the epoch to which it
    /// belongs; `None` until the document has been read.
    known: Cell<Option<(Option<Epoch>, i64)>>,
    /// Whether the latest read or watch failed. Reads are then retried anyway, so that polls would
    /// only add calls to a store that is down.
    is_failing: Cell<bool>,
    /// Notified when a poll shows that the open watch has not delivered a change.
    watch_lags: Notify,
}

impl Source {
    fn new(kind: Kind, key: &str, prefix: &str) -> Rc<Self> {
        Rc::new(Self {
            kind,
            key: key.to_owned(),
            prefix: prefix.to_owned(),
            known: Cell::new(None),
            is_failing: Cell::new(false),
            watch_lags: Notify::new(),
        })
    }

    /// Returns the revision up to which this node knows all changes, in the current epoch.
    fn known_revision(&self, epochs: &Epochs) -> Option<i64> {
        let (epoch, revision) = self.known.get()?;
        (!epochs.has_changed_since(epoch)).then_some(revision)
    }

    /// Records that this node knows all changes up to a revision of this epoch.
    fn record_known(&self, epoch: Option<Epoch>, revision: i64) {
        let known = self.known.get().filter(|(before, _)| *before == epoch);
        let revision = known.map_or(revision, |(_, before)| before.max(revision));
        self.known.set(Some((epoch, revision)));
    }
}

/// Returns the documents that a node follows: the routing table, together with the evacuations, if
/// the settings name its key, and the preset in force.
pub fn sources(settings: &Settings) -> Vec<Rc<Source>> {
    let routes = settings.key.as_deref().map(|key| {
        let evacuations = settings.evacuations.as_deref().unwrap_or(key);
        Source::new(Kind::Routes, key, &common_prefix(key, evacuations))
    });
    let preset = Source::new(Kind::Preset, keys::IN_FORCE, keys::IN_FORCE);
    routes.into_iter().chain([preset]).collect()
}

/// Returns the longest common prefix of both texts.
fn common_prefix(a: &str, b: &str) -> String {
    let pairs = a.chars().zip(b.chars());
    pairs.take_while(|(a, b)| a == b).map(|(a, _)| a).collect()
}

/// Follows a document while this node reads the store.
pub async fn follow(control: Rc<Control>, source: Rc<Source>) {
    let mut stagger = Stagger::new(control.context.host());
    loop {
        if source.kind == Kind::Routes {
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
        let read_at = Instant::now();
        let read = read_document(&control, &source).await;
        let failure = match read {
            Ok(()) => {
                if source.is_failing.take() {
                    log::info!(key = &*source.key; "document in the store can be read again");
                    control.store_recovered.set(true);
                }
                let watched = watch_document(&control, &source, read_at, &mut stagger).await;
                watched.err().map(|error| (error, read_at))
            }
            Err(error) => Some((error, Instant::now())),
        };
        let Some((error, failed_at)) = failure else {
            continue;
        };
        let is_expected = matches!(error, Error::Compacted | Error::WatchEnded);
        if !is_expected && !source.is_failing.replace(true) {
            log::warn!(
                key = &*source.key, error:% = error;
                "failed to follow a document in the store, retrying"
            );
        }
        // A watch that ends long after the read is followed by the next read without a delay.
        tokio::time::sleep_until((failed_at + RETRY_DELAY).into()).await;
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

/// Reads the document and puts it in force.
///
/// Failure: the store is restored from an older copy and assigns revisions again. Symptom: a watch
/// that continues from an earlier revision never delivers changes with a lower one. A revision is
/// only used within the epoch in which it was read; in a later epoch everything is read again.
async fn read_document(control: &Rc<Control>, source: &Source) -> Result<(), Error> {
    let epochs = control.store.epochs();
    loop {
        let epoch = epochs.newest();
        let queried = clock::start();
        let requested_at = queried.at;
        let (item, revision) = read(control, source).await?;
        if epochs.has_changed_since(epoch) {
            continue;
        }
        let known = (epochs.newest(), revision);
        control.mark_refreshed(requested_at);
        control.store_health.record_answer(requested_at);
        apply_read(control, source.kind, item).await;
        source.known.set(Some(known));
        if source.kind == Kind::Routes && !epochs.has_changed_since(epoch) {
            currency::record_query(control, queried);
        }
        control.store_health.record_read();
        return Ok(());
    }
}

/// Watches the document until the next read is due.
///
/// Failure: a watch stops delivering changes without failing, or its answer is lost. Symptom: a
/// change comes into force on no node. Keep-alive probes detect dead connections, checks of the
/// store poll for changes that the watch did not deliver, and the key is also read at intervals, at
/// rates that do not grow with the size of the fleet.
///
/// Failure: the store does not answer this node's calls for a while. Symptom: a watch that stayed
/// open may have missed a change. Once the store answers again, everything is read again.
async fn watch_document(
    control: &Rc<Control>,
    source: &Source,
    read_at: Instant,
    stagger: &mut Stagger,
) -> Result<(), Error> {
    let settings = &control.context.settings.control;
    let epochs = control.store.epochs();
    let next_read_at = read_at + settings.store_read_every;
    while Instant::now() < next_read_at && control.follows_store(Instant::now()) {
        let epoch = epochs.newest();
        let Some(revision) = source.known_revision(epochs) else {
            return Ok(());
        };
        control.context.metrics.store_call("watch");
        let wait = match source.kind {
            Kind::Preset => next_read_at.saturating_duration_since(Instant::now()),
            Kind::Routes => stagger.next(settings.watch_for),
        };
        let changes = tokio::select! {
            changes = control.store.changes(&source.prefix, revision, wait) => changes?,
            () = epochs.wait_for_change_since(epoch) => return Ok(()),
            () = source.watch_lags.notified() => return Ok(()),
            () = control.store_health.recovered() => return Ok(()),
        };
        if epochs.has_changed_since(epoch) {
            return Ok(());
        }
        apply_changes(control, source, Delivery::Watch, changes.changes);
        source.record_known(epoch, changes.revision);
    }
    Ok(())
}

/// Returns whether all documents have been read, so that they can be polled.
pub fn can_poll(control: &Control) -> bool {
    let epochs = control.store.epochs();
    let mut sources = control.sources.iter();
    sources.all(|source| !source.is_failing.get() && source.known_revision(epochs).is_some())
}

/// Polls the store for changes that no watch has delivered, and applies them. Returns true if this
/// node then has all changes that were acknowledged before the call.
pub async fn poll(control: &Rc<Control>) -> Result<bool, Error> {
    let epochs = control.store.epochs();
    let epoch = epochs.newest();
    let mut store_revision = None;
    for source in &control.sources {
        let Some(known) = source.known_revision(epochs) else {
            return Ok(false);
        };
        if store_revision.is_some_and(|revision| revision <= known) {
            continue;
        }
        let Some(revision) = poll_source(control, source, epoch, known).await? else {
            return Ok(false);
        };
        store_revision = Some(revision);
    }
    Ok(true)
}

/// Polls the store for changes of the routing table, or reads it if the node does not know up to which
/// revision it has all changes. Records a proof if this node then has all changes of the table that
/// were acknowledged before the call.
pub async fn poll_routes(control: &Rc<Control>) -> Result<(), Error> {
    let mut sources = control.sources.iter();
    let Some(source) = sources.find(|source| source.kind == Kind::Routes) else {
        return Ok(());
    };
    let epochs = control.store.epochs();
    let (queried, epoch) = (clock::start(), epochs.newest());
    if let Some(known) = source.known_revision(epochs)
        && poll_source(control, source, epoch, known).await?.is_some()
    {
        currency::record_query(control, queried);
        return Ok(());
    }
    read_document(control, source).await
}

/// Polls the store for changes of one document after a revision, and applies them. Returns the
/// revision up to which this node then has all changes; `None` if the document has to be read.
async fn poll_source(
    control: &Rc<Control>,
    source: &Source,
    epoch: Option<Epoch>,
    known: i64,
) -> Result<Option<i64>, Error> {
    control.context.metrics.store_call("poll");
    let changes = match control.store.poll(&source.prefix, known).await {
        Err(Error::Compacted) => {
            source.known.set(None);
            source.watch_lags.notify_waiters();
            return Ok(None);
        }
        result => result?,
    };
    if control.store.epochs().has_changed_since(epoch) {
        return Ok(None);
    }
    if !changes.changes.is_empty() {
        apply_changes(control, source, Delivery::Poll, changes.changes);
        source.watch_lags.notify_waiters();
    }
    source.record_known(epoch, changes.revision);
    Ok(Some(changes.revision))
}

/// Applies changes that a watch or a poll of the store returned.
fn apply_changes(control: &Control, source: &Source, delivery: Delivery, changes: Vec<Change>) {
    for change in changes {
        evacuations::apply_change(control, &change);
        if let Change::Written(item) = change
            && item.key == source.key
        {
            apply(control, source.kind, delivery, &item.value);
        }
    }
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
