//! Retries are made only where they are safe, and do not multiply the load.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::configs::retry::Settings;
use mintridge_core::retry::{Budget, Chances, Progress, Ranks};
use rstest::rstest;

#[rstest]
#[case::never_sent_non_idempotent(Progress::NeverSent, false, true)]
#[case::not_handed_over_non_idempotent(Progress::NotHandedOver, false, true)]
#[case::may_have_run_non_idempotent(Progress::MayHaveRun, false, false)]
#[case::may_have_run_idempotent(Progress::MayHaveRun, true, true)]
fn may_retry_never_runs_a_non_idempotent_request_twice(
    #[case] progress: Progress,
    #[case] idempotent: bool,
    #[case] allowed: bool,
) {
    let now = Instant::now();
    let mut budget = Budget::new(Settings::default(), 0.1);
    let deadline = now + Duration::from_secs(1);
    assert_eq!(
        budget.may_retry(now, deadline, 1, progress, idempotent),
        allowed
    );
}

#[rstest]
#[case::before_the_deadline(1, 10, true)]
#[case::at_the_deadline(1, 0, false)]
#[case::too_many_attempts(3, 10, false)]
fn may_retry_respects_deadline_and_attempts(
    #[case] attempts: u32,
    #[case] remaining_millis: u64,
    #[case] allowed: bool,
) {
    let now = Instant::now();
    let mut budget = Budget::new(Settings::default(), 0.1);
    let deadline = now + Duration::from_millis(remaining_millis);
    let retried = budget.may_retry(now, deadline, attempts, Progress::NeverSent, false);
    assert_eq!(retried, allowed);
}

/// Guards against retry amplification when all upstreams refuse: each level of calls retries only
/// until its burst is spent. Three attempts at every one of 21 levels would multiply the load by
/// three to the power of 21; with the budget it stays close to the number of requests.
#[test]
fn may_retry_stops_after_the_burst_when_all_refuse() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(10);
    let mut budget = Budget::new(Settings::default(), 0.1);
    let mut attempts = 0_u32;
    let requests = 1000;
    for _ in 0..requests {
        let mut attempts_made = 1;
        while budget.may_retry(now, deadline, attempts_made, Progress::NotHandedOver, true) {
            attempts_made += 1;
        }
        attempts += attempts_made;
    }
    assert_eq!(attempts, requests + 10);
}

/// Guards against retry amplification over 21 levels, each with its own budget, when the deepest
/// upstreams refuse everything: every level retries as far as it may, and each retry repeats all
/// calls below it. The bursts bound the total: the load at the deepest level grows by at most a
/// quarter.
#[test]
fn may_retry_over_levels_keeps_amplification_bounded() {
    const LEVELS: usize = 21;
    const REQUESTS: u32 = 1_000;
    let mut budgets: Vec<Budget> = (0..LEVELS)
        .map(|_| Budget::new(Settings::default(), 0.1))
        .collect();
    let mut deepest_calls = 0;
    for _ in 0..REQUESTS {
        deepest_calls += call(&mut budgets);
    }
    assert!(
        deepest_calls <= REQUESTS * 5 / 4,
        "{deepest_calls} calls for {REQUESTS} requests"
    );
}

/// Returns the calls that reach the deepest level for one call at the first of these levels.
fn call(levels: &mut [Budget]) -> u32 {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(10);
    let Some((budget, below)) = levels.split_first_mut() else {
        return 1;
    };
    let mut deepest_calls = call(below);
    let mut attempts = 1;
    while budget.may_retry(now, deadline, attempts, Progress::MayHaveRun, true) {
        attempts += 1;
        deepest_calls += call(below);
    }
    deepest_calls
}

#[test]
fn may_retry_in_steady_traffic_stays_within_the_share() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(10);
    let mut budget = Budget::new(Settings::default(), 0.1);
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.deposit();
        if budget.may_retry(now, deadline, 1, Progress::NotHandedOver, true) {
            retries += 1;
        }
    }
    assert!(retries <= 1_000 + 10, "{retries} retries");
}

/// Failure: retries of other requests use up the budget before a call or an urgent request needs it.
#[test]
fn exceeds_reserve_leaves_half_of_the_burst() {
    let now = Instant::now();
    let settings = Settings {
        burst: 4.0,
        reserved_share: 0.5,
        ..Settings::default()
    };
    let mut budget = Budget::new(settings, 0.1);
    let deadline = now + Duration::from_secs(1);
    let mut others = 0;
    while budget.exceeds_reserve() {
        assert!(budget.may_retry(now, deadline, 1, Progress::NotHandedOver, true));
        others += 1;
    }
    assert_eq!(others, 2);
    assert!(budget.may_retry(now, deadline, 1, Progress::NotHandedOver, true));
}

/// Failure: the reserve is open to a rank that is not the most urgent, or to none after urgent
/// requests have ceased.
#[test]
fn record_rank_returns_whether_it_is_the_most_urgent() {
    let now = Instant::now();
    let mut ranks = Ranks::default();
    assert!(ranks.record(now, 3));
    assert!(ranks.record(now, 1));
    assert!(!ranks.record(now, 3));
    assert!(!ranks.record(now + Duration::from_secs(11), 3));
    assert!(ranks.record(now + Duration::from_secs(22), 3));
}

/// Failure: all hosts shed, and each request is retried in vain; or a retry that would succeed is
/// not made.
#[test]
fn has_likely_host_if_not_all_shed() {
    let now = Instant::now();
    let hosts: Vec<Arc<str>> = ["a", "b", "c"].map(Arc::from).to_vec();
    let mut chances = Chances::default();
    assert!(chances.has_likely_host(now, hosts.iter()));
    for _ in 0..4 {
        for host in &hosts {
            chances.record(now, host, false);
        }
    }
    assert!(!chances.has_likely_host(now, hosts.iter()));
    for _ in 0..8 {
        chances.record(now, &hosts[2], true);
    }
    assert!(chances.has_likely_host(now, hosts.iter()));
    assert!(!chances.has_likely_host(now, hosts[..2].iter()));
    let later = now + Duration::from_secs(20);
    assert!(chances.has_likely_host(later, hosts[..2].iter()));
}

/// Failure: the entries of a fleet together retry more than 0.2 of the requests in ten seconds and 184.
/// On the first deployment, 59 entries send 6,440 requests in that time to two services.
#[test]
fn may_retry_over_a_fleet_stays_within_its_bound() {
    const REQUESTS: usize = 6_440;
    let now = Instant::now();
    let deadline = now + Duration::from_secs(10);
    let settings = Settings {
        burst: 2.0,
        reserved_share: 0.5,
        ..Settings::default()
    };
    let mut budgets: Vec<Budget> = (0..59 * 2)
        .map(|_| Budget::new(settings.clone(), 0.1))
        .collect();
    let mut retries = 0;
    for number in 0..REQUESTS {
        let budget = &mut budgets[number % (59 * 2)];
        if budget.may_retry(now, deadline, 1, Progress::NotHandedOver, true) {
            retries += 1;
        }
        budget.deposit();
    }
    assert!(retries <= REQUESTS / 5 + 184, "{retries} retries");
}
