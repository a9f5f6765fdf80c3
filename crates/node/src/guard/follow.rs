//! The guard's tasks: what it follows, and what time brings.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::mpsc;

use super::Guard;
use crate::announcement::{Announcement, State as Announced};
use crate::context::Stage;

/// How often the gate's timer runs and the state is shown to the other duties.
pub const TICK: Duration = Duration::from_millis(100);

/// Starts the tasks.
pub fn start(guard: &Arc<Guard>, announcements: mpsc::Receiver<Announcement>) {
    tokio::spawn(take_announcements(Arc::clone(guard), announcements));
    tokio::spawn(follow_view(Arc::clone(guard)));
    tokio::spawn(follow_stage(Arc::clone(guard)));
    tokio::spawn(follow_refreshed(Arc::clone(guard)));
    tokio::spawn(refuse_late(Arc::clone(guard)));
    tokio::spawn(tick(Arc::clone(guard)));
}

async fn take_announcements(guard: Arc<Guard>, mut ring: mpsc::Receiver<Announcement>) {
    while let Some(announcement) = ring.recv().await {
        let now = Instant::now();
        let mut state = guard.state.lock();
        state
            .gate
            .announced(now, announcement.state == Announced::Draining);
        state.admission.set_slots(announcement.slots.max(1));
        state.announcement = Some(announcement);
        drop(state);
        guard.publish();
        guard.pump();
    }
}

/// Takes what the preset in force says about this server.
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

async fn follow_stage(guard: Arc<Guard>) {
    let mut stage = guard.context.latest.stage.subscribe();
    let stopping = stage
        .wait_for(|stage| *stage != Stage::Serving)
        .await
        .is_ok();
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
