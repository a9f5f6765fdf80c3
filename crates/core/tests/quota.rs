//! Lines a second, and what is told of those beyond.

use std::time::{Duration, Instant};

use mintridge_core::quota::Quota;

/// Everything fails at once: lines stay within the quota, and the next second tells how many
/// were left out.
#[test]
fn take_counts_what_goes_beyond() {
    let start = Instant::now();
    let mut quota = Quota::new(10, start);
    let granted = (0..100).filter(|_| quota.take(start, 2).is_some()).count();
    assert_eq!(granted, 5);
    let later = start + Duration::from_secs(1);
    assert_eq!(quota.take(later, 2), Some(190));
    assert_eq!(quota.take(later, 2), Some(0));
}
