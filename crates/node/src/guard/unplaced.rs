//! Requests with a body that have no slot yet. An entry node waits here for the decision before it
//! sends the rest of the body.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::watch;

/// Requests without a slot, by request id.
#[derive(Default)]
pub struct Unplaced {
    requests: Mutex<HashMap<Arc<str>, watch::Sender<()>>>,
}

/// A request that has no slot until this is dropped.
pub struct Wait<'a> {
    unplaced: &'a Unplaced,
    request_id: Arc<str>,
}

impl Unplaced {
    /// Records a request that has arrived and waits for a slot.
    pub fn begin(&self, request_id: &Arc<str>) -> Wait<'_> {
        let request_id = Arc::clone(request_id);
        let sender = watch::Sender::new(());
        self.requests.lock().insert(Arc::clone(&request_id), sender);
        Wait {
            unplaced: self,
            request_id,
        }
    }

    /// Waits until the request has a slot or was refused. An unknown request is already decided.
    pub async fn wait_for_decision(&self, request_id: &str) {
        let receiver = self
            .requests
            .lock()
            .get(request_id)
            .map(watch::Sender::subscribe);
        let Some(mut receiver) = receiver else { return };
        // Dropping the `Wait` drops the sender.
        while receiver.changed().await.is_ok() {}
    }
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        self.unplaced.requests.lock().remove(&self.request_id);
    }
}
