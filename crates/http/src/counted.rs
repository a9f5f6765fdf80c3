//! Counts what is open at this moment.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts one more until it is dropped.
#[derive(Debug)]
pub struct Counted(Arc<AtomicUsize>);

impl Counted {
    /// Counts one more here.
    #[must_use]
    pub fn new(open: Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self(open)
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
