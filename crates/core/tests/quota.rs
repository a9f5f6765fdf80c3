//! Tests of the rate limit for log lines.

use std::time::{Duration, Instant};

use mintridge_core::quota::Quota;

/// When everything fails at once, lines stay within the quota, and the next second reports how many
/// were dropped.
#[test]
fn try_acquire_counts_dropped_lines() {
    let start = Instant::now();
    let mut quota = Quota::new(10, start);
    let granted = (0..100)
        .filter(|_| quota.try_acquire(start, 2).is_some())
        .count();
    assert_eq!(granted, 5);
    let later = start + Duration::from_secs(1);
    assert_eq!(quota.try_acquire(later, 2), Some(190));
    assert_eq!(quota.try_acquire(later, 2), Some(0));
}
