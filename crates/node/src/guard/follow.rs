//! The guard's tasks: what it follows, and what time brings.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::instance;
use tokio::sync::mpsc;

use super::Guard;
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
            Heard::Left { instance } => guard.left(&instance),
        }
        guard.publish();
        guard.pump();
    }
}

impl Guard {
    pub(super) fn announced(&self, announcement: Announcement) {
        let now = Instant::now();
        let mut state = self.state.lock();
        let before = state.instance.current().cloned();
        let verdict = state
            .instance
            .heard(&announcement.instance, announcement.sequence);
        if verdict == instance::Verdict::Outdated {
            log::info!(
                instance = &*announcement.instance,
                sequence = announcement.sequence;
                "outdated announcement changes nothing"
            );
            return;
        }
        if before.as_ref() != Some(&announcement.instance) {
            state.admission.restarted();
            log::info!(
                instance = &*announcement.instance,
                service = &*announcement.service,
                slots = announcement.slots;
                "upstream announced itself"
            );
        }
        state
            .gate
            .announced(now, announcement.state == Announced::Draining);
        state.admission.set_slots(announcement.slots.max(1));
        let other_slots = announcement.slots.saturating_sub(1);
        state.pace_budget.set_slots(now, other_slots);
        state.announcement = Some(announcement);
    }

    fn left(&self, instance: &Arc<str>) {
        let now = Instant::now();
        let mut state = self.state.lock();
        let verdict = state.instance.left(instance);
        log::info!(instance = &**instance, verdict:? = verdict; "upstream says goodbye");
        if verdict == instance::Verdict::Current {
            state.gate.announced(now, true);
        }
    }
}

/// Takes what the preset in force says about this host.
async fn follow_view(guard: Arc<Guard>) {
    let mut view = guard.context.latest.view.subscribe();
    loop {
        let in_force = Arc::clone(&view.borrow_and_update().in_force);
        guard.take_preset(&in_force.preset);
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
        guard.take_preset(&guard.context.in_force().preset);
        guard.state.lock().gate.refreshed(asked_at);
    }
}

/// Refuses requests in the queue whose turn would come too late.
async fn refuse_late(guard: Arc<Guard>) {
    loop {
        let wake_at = guard.state.lock().admission.wake_at();
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
