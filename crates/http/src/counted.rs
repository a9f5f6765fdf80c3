//! Counter of currently open items, such as connections.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Guard that increments a counter when created and decrements it when dropped.
#[derive(Debug)]
pub struct CountGuard(Arc<AtomicUsize>);

impl CountGuard {
    /// Increments `open` until the guard is dropped.
    #[must_use]
    pub fn new(open: Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self(open)
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
