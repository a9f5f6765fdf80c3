//! Acquires and releases slots of the upstream.

use std::sync::Arc;
use std::time::Instant;

use mintridge_core::admission::Decision;
use mintridge_core::dependency;
use mintridge_core::outcome::{Reason, Refusal};
use mintridge_core::request::{Arrival, Id};
use tokio::sync::oneshot;

use super::{Guard, pace};
use crate::headers::Head;

/// A slot of the upstream, released on drop.
pub struct Slot {
    guard: Arc<Guard>,
    /// The request that has acquired the slot.
    pub id: Id,
}

impl Slot {
    /// Returns the guard of the upstream.
    pub const fn guard(&self) -> &Arc<Guard> {
        &self.guard
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.guard.state.lock().admission.finish(self.id);
        self.guard.reporting.notify_change();
        self.guard.pump();
    }
}

/// A queued request. It is cancelled if this is dropped before admission has decided, as when the
/// caller disconnects.
struct QueueEntry {
    guard: Arc<Guard>,
    id: Id,
    decided: bool,
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        if self.decided {
            return;
        }
        let mut state = self.guard.state.lock();
        state.waiters.remove(&self.id);
        state.admission.cancel(self.id);
        state.admission.finish(self.id);
        drop(state);
        self.guard.pump();
    }
}

/// The immediate result of asking admission for a slot.
enum SlotRequest {
    Admitted(Slot),
    Queued(QueueEntry, oneshot::Receiver<Result<(), Refusal>>),
}

/// Acquires a slot, waiting in the queue if necessary.
pub async fn admit(guard: &Arc<Guard>, head: &Head) -> Result<Slot, Refusal> {
    pace::refresh(guard).await;
    let (mut queue_entry, decision) = match request_slot(guard, head)? {
        SlotRequest::Admitted(slot) => return Ok(slot),
        SlotRequest::Queued(queue_entry, decision) => (queue_entry, decision),
    };
    guard.pump();
    guard.queued.notify_one();
    guard.slow_phase_wait.notify_one();
    let Ok(result) = decision.await else {
        return Err(guard.not_run(Reason::Busy));
    };
    queue_entry.decided = true;
    result?;
    Ok(Slot {
        guard: Arc::clone(guard),
        id: queue_entry.id,
    })
}

fn request_slot(guard: &Arc<Guard>, head: &Head) -> Result<SlotRequest, Refusal> {
    let now = Instant::now();
    let weight = guard.context.in_force().preset.weight(&head.client_account);
    if let Some(known) = &head.known {
        guard.adopt_known(now, known);
    }
    let max_failed = guard.context.live().admission.failed_runs_most;
    let mut state = guard.state.lock();
    if let Some(reason) = state.refusal_reason(now, &head.service) {
        return Err(state.admission.refusal(now, reason));
    }
    if let dependency::Decision::Refuse { retry_at } =
        state.dependencies.arrive(now, &head.route, max_failed)
    {
        return Err(Refusal::not_run(Reason::DependencyFailing, retry_at));
    }
    let id = Id(state.next_id);
    state.next_id += 1;
    let arrival = Arrival {
        id,
        client_account: Arc::clone(&head.client_account),
        deadline: head.deadline,
        target: head.target,
        priority: head.priority,
        route: Arc::clone(&head.route),
        only_in_time: head.only_in_time,
    };
    let guard = Arc::clone(guard);
    guard.reporting.notify_change();
    let decision = state.admission.arrive(now, arrival, weight);
    guard.notify_if_warm_up_due(&state, now);
    match decision {
        Decision::Admit => Ok(SlotRequest::Admitted(Slot { guard, id })),
        Decision::Refuse(refusal) => Err(refusal),
        Decision::Queue => {
            let (sender, receiver) = oneshot::channel();
            state.waiters.insert(id, sender);
            drop(state);
            let queue_entry = QueueEntry {
                guard,
                id,
                decided: false,
            };
            Ok(SlotRequest::Queued(queue_entry, receiver))
        }
    }
}
