//! The guard's background tasks: they apply updates from other tasks and run its timers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::instance;
use tokio::sync::mpsc;

use super::{Guard, State};
use crate::announcement::{Announcement, Message, State as UpstreamState};
use crate::context::Stage;

/// Interval at which the gate's timers are checked and the state is published to other tasks.
pub const TICK: Duration = Duration::from_millis(100);

/// Starts the tasks.
pub fn start(guard: &Arc<Guard>, announcements: mpsc::Receiver<Message>) {
    tokio::spawn(apply_messages(Arc::clone(guard), announcements));
    tokio::spawn(follow_view(Arc::clone(guard)));
    tokio::spawn(follow_settings(Arc::clone(guard)));
    tokio::spawn(follow_stage(Arc::clone(guard)));
    tokio::spawn(follow_refreshes(Arc::clone(guard)));
    tokio::spawn(wake_admission(Arc::clone(guard)));
    tokio::spawn(tick(Arc::clone(guard)));
}

/// The current incarnation before a start, for the log.
pub(super) struct Previous {
    instance: Option<Arc<str>>,
    sequence: u64,
}

impl Previous {
    pub(super) fn of(state: &State) -> Self {
        Self {
            instance: state.instance.current().cloned(),
            sequence: state.instance.current_sequence(),
        }
    }
}

async fn apply_messages(guard: Arc<Guard>, mut messages: mpsc::Receiver<Message>) {
    while let Some(message) = messages.recv().await {
        match message {
            Message::Announced(announcement) => guard.apply_announcement(announcement),
            Message::Leaving { instance, born } => guard.apply_leaving(&instance, born),
        }
        guard.publish();
        guard.pump();
    }
}

impl Guard {
    pub(super) fn apply_announcement(&self, announcement: Announcement) {
        if let Some(cause) = self.mismatch(&announcement) {
            self.context.metrics.bad_input("announcement");
            if self.log.try_acquire(1) {
                log::warn!(
                    instance = &*announcement.instance,
                    address:% = announcement.address,
                    service = &*announcement.service,
                    cause = cause;
                    "ignored an announcement of a different upstream"
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
        let previous = Previous::of(&state);
        match state.instance.record_message(now, message) {
            instance::Verdict::Outdated => {
                self.log_ignored(&state, &announcement);
                return;
            }
            instance::Verdict::Unconfirmed => {
                self.hold(&mut state, announcement);
                return;
            }
            instance::Verdict::Started => {
                self.reset_after_restart(&mut state);
                self.log_start(&previous, &announcement, "announcement");
                self.drop_ignored(&mut state);
            }
            instance::Verdict::Current => {
                Self::check_adopted(&mut state, now);
                self.recheck_leaving(&mut state, &announcement);
            }
        }
        self.apply_contents(&mut state, now, announcement);
    }

    /// Applies what an announcement of the current incarnation says.
    pub(super) fn apply_contents(
        &self,
        state: &mut State,
        now: Instant,
        announcement: Announcement,
    ) {
        state
            .gate
            .record_announcement(now, announcement.state == UpstreamState::Draining);
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

    /// Keeps an announcement until the upstream has been asked which instance runs.
    fn hold(&self, state: &mut State, announcement: Announcement) {
        self.context.metrics.announcement("held");
        if self.log.try_acquire(1) {
            log::info!(
                instance = &*announcement.instance,
                born:? = announcement.born,
                sequence = announcement.sequence,
                current:? = state.instance.current(),
                current_sequence = state.instance.current_sequence();
                "announcement of another instance; asking the upstream"
            );
        }
        let is_same = |held: &Announcement| {
            held.instance == announcement.instance && held.born == announcement.born
        };
        state.held.retain(|held| !is_same(held));
        state.held.push(announcement);
        self.drop_ignored(state);
        self.discovery_due.notify_one();
    }

    /// Applies the announcement of the incarnation that a response of the upstream confirmed.
    pub(super) fn apply_confirmed(&self, state: &mut State, now: Instant, previous: &Previous) {
        self.reset_after_restart(state);
        self.apply_held(state, now, previous);
    }

    /// Applies the held announcement of the current incarnation, if there is one.
    pub(super) fn apply_held(&self, state: &mut State, now: Instant, previous: &Previous) {
        let State { held, instance, .. } = state;
        let is_current = |held: &Announcement| {
            Some(&held.instance) == instance.current() && held.born == instance.current_born()
        };
        if let Some(found) = held.iter().rposition(is_current) {
            let announcement = held.remove(found);
            self.log_start(previous, &announcement, "check");
            self.apply_contents(state, now, announcement);
        }
    }

    /// Drops held announcements of incarnations that are not awaiting confirmation any more.
    pub(super) fn drop_ignored(&self, state: &mut State) {
        let held = std::mem::take(&mut state.held);
        let (kept, ignored) = held
            .into_iter()
            .partition(|held| state.instance.is_unconfirmed(&held.instance, held.born));
        state.held = kept;
        for announcement in &ignored {
            self.log_ignored(state, announcement);
        }
    }

    fn log_start(
        &self,
        previous: &Previous,
        announcement: &Announcement,
        confirmed_by: &'static str,
    ) {
        self.context.metrics.announcement("started");
        log::info!(
            instance = &*announcement.instance,
            born:? = announcement.born,
            sequence = announcement.sequence,
            previous:? = previous.instance,
            previous_sequence = previous.sequence,
            confirmed_by = confirmed_by,
            service = &*announcement.service,
            slots = announcement.slots;
            "upstream announced itself"
        );
    }

    fn log_ignored(&self, state: &State, announcement: &Announcement) {
        self.context.metrics.announcement("ignored");
        if self.log.try_acquire(1) {
            log::info!(
                instance = &*announcement.instance,
                born:? = announcement.born,
                sequence = announcement.sequence,
                current:? = state.instance.current(),
                current_sequence = state.instance.current_sequence();
                "ignored an outdated announcement"
            );
        }
    }

    /// Asks an upstream that stated in a health check that it is leaving, and announces that it is
    /// ready, whether it still states it.
    fn recheck_leaving(&self, state: &mut State, announcement: &Announcement) {
        let is_ready = announcement.state == UpstreamState::Ready;
        if is_ready && state.leaving_checked && state.gate.states_leaving() {
            state.leaving_recheck = true;
            self.discovery_due.notify_one();
        }
    }

    /// Resets the state after a restart of the upstream: measurements of its previous incarnation
    /// no longer apply, and the requests in progress are lost.
    pub(super) fn reset_after_restart(&self, state: &mut State) {
        self.record_crash_before_restart(state);
        let now = Instant::now();
        state.admission.reset_after_restart(now);
        state.gate.reset_after_restart(now);
        state.adopted = None;
        state.leaving_checked = false;
        state.leaving_recheck = false;
        state.health.reset_after_restart();
        self.upstream.reset_after_restart();
    }

    /// Returns why an announcement does not belong to the upstream beside this node, if so.
    ///
    /// Failure: another writer announces a different upstream under its own id. Symptom: the real
    /// upstream counts as replaced by a successor, and all its requests are refused. The settings
    /// give the upstream's address, and the routing table lists the existing services.
    fn mismatch(&self, announcement: &Announcement) -> Option<&'static str> {
        let settings = &self.context.settings;
        let expected = settings.upstream.address;
        if expected.is_some_and(|address| address != announcement.address) {
            return Some("other address");
        }
        let routes = self.context.latest.routes.borrow();
        let services = routes.as_ref().map(|document| &document.table.services)?;
        let exists = services.is_empty() || services.contains_key(&announcement.service);
        (!exists).then_some("unknown service")
    }

    fn apply_leaving(&self, instance: &Arc<str>, born: Option<u64>) {
        let now = Instant::now();
        let mut state = self.state.lock();
        let verdict = state.instance.record_end(now, instance, born);
        self.drop_ignored(&mut state);
        log::info!(
            instance = &**instance,
            born:? = born,
            verdict:? = verdict;
            "upstream announced that it is leaving"
        );
        if verdict == instance::Verdict::Current {
            state.gate.record_announcement(now, true);
        }
    }
}

/// Applies the preset in force and the evacuations to this host.
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

/// Applies each newly accepted version of the settings file.
async fn follow_settings(guard: Arc<Guard>) {
    let mut settings = guard.context.latest.settings.subscribe();
    while settings.changed().await.is_ok() {
        let current = Arc::clone(&settings.borrow_and_update());
        let mut state = guard.state.lock();
        state.admission.set_settings(current.admission.clone());
        state.gate.set_settings(current.gate.clone());
        let validity = current.gate.announcement_validity();
        state.instance.set_silence_timeout(validity);
        drop(state);
        guard.log.set_settings(&current.logs);
        guard.pump();
    }
}

async fn follow_stage(guard: Arc<Guard>) {
    let mut stage = guard.context.latest.stage.subscribe();
    loop {
        match *stage.borrow_and_update() {
            Stage::Serving => {}
            Stage::Leaving(plan) => {
                guard.state.lock().admission.set_stop(plan.into());
                guard.pump();
            }
            Stage::ClosingCallers(_) | Stage::ClosingPeers(_) | Stage::Ending => break,
        }
        if stage.changed().await.is_err() {
            return;
        }
    }
    guard.state.lock().gate.stop(Instant::now());
    guard.publish();
}

/// Reopens the gate after a pause of the process, once a refresh (an exchange with a peer or a read
/// of the store) has completed. The refresh may have changed the view, which must be applied before
/// the gate opens.
async fn follow_refreshes(guard: Arc<Guard>) {
    let mut refreshed = guard.context.latest.refreshed.subscribe();
    while refreshed.changed().await.is_ok() {
        let requested_at = *refreshed.borrow_and_update();
        let view = Arc::clone(&guard.context.latest.view.borrow());
        guard.apply_view(&view);
        guard.state.lock().gate.record_refresh(requested_at);
    }
}

/// Polls admission when a queued request can no longer finish in time, so that it is refused.
async fn wake_admission(guard: Arc<Guard>) {
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
