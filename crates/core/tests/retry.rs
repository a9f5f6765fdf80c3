//! Second attempts: only where safe, and without multiplying load.

use std::time::{Duration, Instant};

use mintridge_core::configs::retry::Settings;
use mintridge_core::retry::{Budget, Progress};
use rstest::rstest;

#[rstest]
#[case::never_sent_unrepeatable(Progress::NeverSent, false, true)]
#[case::refused_unrepeatable(Progress::RefusedBefore, false, true)]
#[case::may_have_run_unrepeatable(Progress::MayHaveRun, false, false)]
#[case::may_have_run_repeatable(Progress::MayHaveRun, true, true)]
fn may_retry_never_runs_an_unrepeatable_request_twice(
    #[case] progress: Progress,
    #[case] repeatable: bool,
    #[case] allowed: bool,
) {
    let now = Instant::now();
    let mut budget = Budget::new(Settings::default(), 0.1);
    let deadline = now + Duration::from_secs(1);
    assert_eq!(
        budget.may_retry(now, deadline, 1, progress, repeatable),
        allowed
    );
}

#[rstest]
#[case::in_time(1, 10, true)]
#[case::too_late(1, 0, false)]
#[case::too_many(3, 10, false)]
fn may_retry_keeps_to_deadline_and_attempts(
    #[case] attempts: u32,
    #[case] left_millis: u64,
    #[case] allowed: bool,
) {
    let now = Instant::now();
    let mut budget = Budget::new(Settings::default(), 0.1);
    let deadline = now + Duration::from_millis(left_millis);
    let retried = budget.may_retry(now, deadline, attempts, Progress::NeverSent, false);
    assert_eq!(retried, allowed);
}

/// What the upstreams see: when all refuse, each level of calls adds second attempts
/// only until its burst is spent. Over 21 levels and many requests the work is then no
/// more than the requests themselves, where three attempts each at every level would be
/// three to the power of 21.
#[test]
fn may_retry_under_total_refusal_ends_after_the_burst() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(10);
    let mut budget = Budget::new(Settings::default(), 0.1);
    let mut attempts = 0_u32;
    let requests = 1000;
    for _ in 0..requests {
        let mut made = 1;
        while budget.may_retry(now, deadline, made, Progress::RefusedBefore, true) {
            made += 1;
        }
        attempts += made;
    }
    assert_eq!(attempts, requests + 10);
}

/// What the deepest upstreams see when they refuse all: over 21 levels, each with its own
/// budget, every level that may tries again, and each further try repeats all calls below
/// it. The bursts bound the sum: work at the deepest level stays within a quarter more.
#[test]
fn may_retry_over_levels_keeps_amplification_bounded() {
    const LEVELS: usize = 21;
    const REQUESTS: u32 = 1_000;
    let mut budgets: Vec<Budget> = (0..LEVELS)
        .map(|_| Budget::new(Settings::default(), 0.1))
        .collect();
    let mut deepest = 0;
    for _ in 0..REQUESTS {
        deepest += call(&mut budgets);
    }
    assert!(
        deepest <= REQUESTS * 5 / 4,
        "{deepest} calls for {REQUESTS} requests"
    );
}

/// Calls that reach the deepest level for one call at the first of these levels.
fn call(levels: &mut [Budget]) -> u32 {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(10);
    let Some((budget, below)) = levels.split_first_mut() else {
        return 1;
    };
    let mut reached = call(below);
    let mut attempts = 1;
    while budget.may_retry(now, deadline, attempts, Progress::MayHaveRun, true) {
        attempts += 1;
        reached += call(below);
    }
    reached
}

#[test]
fn may_retry_in_steady_traffic_stays_under_the_share() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(10);
    let mut budget = Budget::new(Settings::default(), 0.1);
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.earn();
        if budget.may_retry(now, deadline, 1, Progress::RefusedBefore, true) {
            retries += 1;
        }
    }
    assert!(retries <= 1_000 + 10, "{retries} second attempts");
}
