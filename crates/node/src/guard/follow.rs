//! The guard's tasks: what it follows, and what time brings.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::instance;
use tokio::sync::mpsc;

use super::{Guard, State};
use crate::announcement::{Announcement, Heard, State as Announced};
use crate::context::Stage;

/// How often the gate's timer runs and the state is shown to the other duties.
pub const TICK: Duration = Duration::from_millis(100);

/// Starts the tasks.
pub fn start(guard: &Arc<Guard>, announcements: mpsc::Receiver<Heard>) {
    tokio::spawn(take_announcements(Arc::clone(guard), announcements));
    tokio::spawn(follow_view(Arc::clone(guard)));
    tokio::spawn(follow_settings(Arc::clone(guard)));
    tokio::spawn(follow_stage(Arc::clone(guard)));
    tokio::spawn(follow_refreshed(Arc::clone(guard)));
    tokio::spawn(refuse_late(Arc::clone(guard)));
    tokio::spawn(tick(Arc::clone(guard)));
}

async fn take_announcements(guard: Arc<Guard>, mut ring: mpsc::Receiver<Heard>) {
    while let Some(heard) = ring.recv().await {
        match heard {
            Heard::Announced(announcement) => guard.announced(announcement),
            Heard::Left { instance, born } => guard.left(&instance, born),
        }
        guard.publish();
        guard.pump();
    }
}

impl Guard {
    pub(super) fn announced(&self, announcement: Announcement) {
        if let Some(cause) = self.foreign(&announcement) {
            self.context.metrics.bad_input("announcement");
            if self.log.admits(1) {
                log::warn!(
                    instance = &*announcement.instance,
                    address:% = announcement.address,
                    service = &*announcement.service,
                    cause = cause;
                    "announcement of something else than this upstream changes nothing"
                );
            }
            return;
        }
        let now = Instant::now();
        let mut state = self.state.lock();
        let message = instance::Message {
            instance: &announcement.instance,
            born: announcement.born,
            sequence: announcement.sequence,
        };
        let again = state.instance.current() == Some(&announcement.instance);
        match state.instance.record_message(now, message) {
            instance::Verdict::Outdated => {
                log::info!(
                    instance = &*announcement.instance,
                    born:? = announcement.born,
                    sequence = announcement.sequence;
                    "outdated announcement changes nothing"
                );
                return;
            }
            instance::Verdict::Started => {
                self.restarted(&mut state);
                log::info!(
                    instance = &*announcement.instance,
                    born:? = announcement.born,
                    same_id = again,
                    service = &*announcement.service,
                    slots = announcement.slots;
                    "upstream announced itself"
                );
            }
            instance::Verdict::Current => {}
        }
        state
            .gate
            .record_announcement(now, announcement.state == Announced::Draining);
        state.admission.set_slots(announcement.slots.max(1));
        state
            .admission
            .warm_up_mut()
            .record_announcement(now, announcement.cold_for);
        self.warm_up_due.notify_one();
        let other_slots = announcement.slots.saturating_sub(1);
        state.pace_budget.set_slots(now, other_slots);
        state.announcement = Some(announcement);
    }

    /// The upstream has started again: what was learnt of the start before does not hold, and
    /// requests in it are lost.
    pub(super) fn restarted(&self, state: &mut State) {
        self.ended_before_start(state);
        state.admission.reset_after_restart();
        state.health.reset_after_restart();
        self.upstream.restarted();
    }

    /// Why an announcement is not of the upstream beside this node, if it is not.
    ///
    /// Failure: another writer announces something under an id of its own. Symptom: the real
    /// upstream counts as succeeded, and its requests are all refused. The settings say where
    /// the upstream stands, and the routing table which services there are.
    fn foreign(&self, announcement: &Announcement) -> Option<&'static str> {
        let settings = &self.context.settings;
        let expected = settings.upstream.address;
        if expected.is_some_and(|address| address != announcement.address) {
            return Some("other address");
        }
        let routes = self.context.latest.routes.borrow();
        let services = routes.as_ref().map(|document| &document.table.services)?;
        let named = services.is_empty() || services.contains_key(&announcement.service);
        (!named).then_some("unknown service")
    }

    fn left(&self, instance: &Arc<str>, born: Option<u64>) {
        let now = Instant::now();
        let mut state = self.state.lock();
        let verdict = state.instance.record_end(now, instance, born);
        log::info!(
            instance = &**instance,
            born:? = born,
            verdict:? = verdict;
            "upstream says goodbye"
        );
        if verdict == instance::Verdict::Current {
            state.gate.record_announcement(now, true);
        }
    }
}

/// Takes what the preset in force and the evacuations say about this host.
async fn follow_view(guard: Arc<Guard>) {
    let mut view = guard.context.latest.view.subscribe();
    loop {
        let current = Arc::clone(&view.borrow_and_update());
        guard.apply_view(&current);
        if view.changed().await.is_err() {
            return;
        }
    }
}

/// Takes each settings file that was accepted.
async fn follow_settings(guard: Arc<Guard>) {
    let mut settings = guard.context.latest.settings.subscribe();
    while settings.changed().await.is_ok() {
        let current = Arc::clone(&settings.borrow_and_update());
        let admission = current.admission.clone();
        guard.state.lock().admission.set_settings(admission);
        guard.log.set_settings(&current.logs);
        guard.pump();
    }
}

async fn follow_stage(guard: Arc<Guard>) {
    let mut stage = guard.context.latest.stage.subscribe();
    let closing = |stage: &Stage| !matches!(stage, Stage::Serving | Stage::Leaving);
    let stopping = stage.wait_for(closing).await.is_ok();
    if stopping {
        guard.state.lock().gate.stop(Instant::now());
        guard.publish();
    }
}

/// Opens the gate after a pause, once what was heard has been taken in here too: the view
/// may have changed with the same news, and the gate must not open before it is applied.
async fn follow_refreshed(guard: Arc<Guard>) {
    let mut refreshed = guard.context.latest.refreshed.subscribe();
    while refreshed.changed().await.is_ok() {
        let asked_at = *refreshed.borrow_and_update();
        let view = Arc::clone(&guard.context.latest.view.borrow());
        guard.apply_view(&view);
        guard.state.lock().gate.record_refresh(asked_at);
    }
}

/// Refuses requests in the queue whose turn would come too late.
async fn refuse_late(guard: Arc<Guard>) {
    loop {
        let wake_at = guard.state.lock().admission.wake_at(Instant::now());
        match wake_at {
            Some(at) => tokio::select! {
                () = tokio::time::sleep_until(at.into()) => {}
                () = guard.queued.notified() => {}
            },
            None => guard.queued.notified().await,
        }
        guard.pump();
    }
}

async fn tick(guard: Arc<Guard>) {
    loop {
        guard.publish();
        guard.queued.notify_one();
        tokio::time::sleep(TICK).await;
    }
}
