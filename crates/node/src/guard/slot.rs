//! Waiting for a slot of the upstream, holding it, and giving it back.

use std::sync::Arc;
use std::time::Instant;

use mintridge_core::admission::Decision;
use mintridge_core::outcome::{Reason, Refusal};
use mintridge_core::request::{Arrival, Id};
use tokio::sync::oneshot;

use super::{Guard, pace};
use crate::headers::Head;

/// A slot of the upstream, given back when dropped.
pub struct Slot {
    guard: Arc<Guard>,
    /// The request that holds it.
    pub id: Id,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.guard.state.lock().admission.finish(self.id);
        self.guard.reporting.changed();
        self.guard.pump();
    }
}

/// A place in the queue, given up when its caller goes away.
struct Place {
    guard: Arc<Guard>,
    id: Id,
    settled: bool,
}

impl Drop for Place {
    fn drop(&mut self) {
        if self.settled {
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

/// What admission said at once.
enum Entered {
    Admitted(Slot),
    Queued(Place, oneshot::Receiver<Result<(), Refusal>>),
}

/// Waits for a slot.
pub async fn admit(guard: &Arc<Guard>, head: &Head) -> Result<Slot, Refusal> {
    pace::refresh(guard).await;
    let (mut place, admitted) = match enter(guard, head)? {
        Entered::Admitted(slot) => return Ok(slot),
        Entered::Queued(place, admitted) => (place, admitted),
    };
    guard.pump();
    guard.queued.notify_one();
    guard.pace_held.notify_one();
    let Ok(settled) = admitted.await else {
        return Err(guard.not_run(Reason::Busy));
    };
    place.settled = true;
    settled?;
    Ok(Slot {
        guard: Arc::clone(guard),
        id: place.id,
    })
}

fn enter(guard: &Arc<Guard>, head: &Head) -> Result<Entered, Refusal> {
    let now = Instant::now();
    let weight = guard.context.in_force().preset.weight(&head.client_account);
    let mut state = guard.state.lock();
    if let Some(reason) = state.closed(now, &head.service) {
        return Err(state.admission.refusal(now, reason));
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
    guard.reporting.changed();
    let decision = state.admission.arrive(now, arrival, weight);
    guard.check_warm_up(&state, now);
    match decision {
        Decision::Admit => Ok(Entered::Admitted(Slot { guard, id })),
        Decision::Refuse(refusal) => Err(refusal),
        Decision::Queue => {
            let (sender, admitted) = oneshot::channel();
            state.waiters.insert(id, sender);
            drop(state);
            let place = Place {
                guard,
                id,
                settled: false,
            };
            Ok(Entered::Queued(place, admitted))
        }
    }
}
