//! A member of the store's cluster that can be partitioned from the others.
//!
//! A partitioned member still accepts connections. It answers reads that may be stale from the data
//! it has. All other calls need the other members and get no reply, and watches deliver nothing
//! until the partition ends.

use std::collections::BTreeMap;
use std::sync::Arc;

use mintridge_store::wire;
use tokio::sync::watch;

use super::Store;

/// Keys of the store with their values.
pub(super) type Keys = BTreeMap<Vec<u8>, wire::KeyValue>;

/// A member through which some of the store's clients reach it.
#[derive(Debug, Default)]
pub struct Member {
    /// The data that the member has while it is partitioned; `None` while it is not.
    stale_data: watch::Sender<Option<Arc<Keys>>>,
}

impl Member {
    /// Partitions the member from the others.
    pub fn partition(&self, store: &Store) {
        let keys = store.inner.lock().data.keys.clone();
        self.stale_data.send_replace(Some(Arc::new(keys)));
    }

    /// Ends the partition.
    pub fn reconnect(&self) {
        self.stale_data.send_replace(None);
    }

    /// Returns the data of a partitioned member.
    pub(super) fn stale_data(&self) -> Option<Arc<Keys>> {
        self.stale_data.borrow().clone()
    }

    /// Waits until the member is not partitioned.
    pub(super) async fn connected(&self) {
        let mut stale_data = self.stale_data.subscribe();
        // The sender outlives the wait.
        let _ = stale_data.wait_for(Option::is_none).await;
    }
}
