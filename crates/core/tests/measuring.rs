//! The cost of probes: they are sent only to a doubtful upstream and never exceed their budget.

use std::time::{Duration, Instant};

use mintridge_core::configs;
use mintridge_core::health::{Health, Verdict};
use mintridge_core::probe::Budget;
use rstest::rstest;

const SHARE: f64 = 0.005;
const TIMEOUT: Duration = Duration::from_millis(25);

fn settings() -> configs::probe::Settings {
    configs::probe::Settings {
        timeout: TIMEOUT,
        ..configs::probe::Settings::default()
    }
}

/// Guards against probes that overdraw the budget, however long each takes and however often they
/// are requested: apart from the first probe, the upstream time spent stays within the share.
#[rstest]
#[case::normal(Duration::from_millis(6))]
#[case::fast(Duration::from_micros(100))]
#[case::hanging(TIMEOUT)]
fn reserve_keeps_probes_within_the_share(#[case] cost: Duration) {
    let started_at = Instant::now();
    let mut budget = Budget::new(settings(), SHARE, started_at);
    let mut now = started_at;
    let end = started_at + Duration::from_mins(10);
    let mut probes = 0;
    while now < end {
        match budget.reserve(now) {
            Ok(reservation) => {
                now += cost;
                budget.refund(&reservation, cost);
                probes += 1;
            }
            Err(at) => now = at.expect("the share is above zero").max(now),
        }
    }
    let allowed = TIMEOUT + (now - started_at).mul_f64(SHARE);
    assert!(probes > 10, "{probes} probes");
    assert!(
        budget.spent() <= allowed,
        "{:?} of {allowed:?}",
        budget.spent()
    );
}

/// Under light traffic the speed of the upstream's host is checked before nearly every request. It
/// answers at once, but each check is charged 6 ms; the checks take no more than the share of all
/// twelve slots, which is ten checks per second.
#[test]
fn reserve_keeps_quick_checks_within_the_share_of_all_slots() {
    let settings = configs::probe::Settings {
        cost_least: Duration::from_millis(6),
        ..settings()
    };
    let started_at = Instant::now();
    let mut budget = Budget::new(settings, SHARE, started_at);
    budget.set_slots(started_at, 12);
    let mut checks = 0;
    for milli in 0..60_000 {
        let now = started_at + Duration::from_millis(milli);
        if let Ok(reservation) = budget.reserve(now) {
            budget.refund(&reservation, Duration::from_millis(1));
            checks += 1;
        }
    }
    assert!((590..=605).contains(&checks), "{checks} checks");
    let allowed = TIMEOUT + Duration::from_mins(1).mul_f64(SHARE * 12.0);
    assert!(budget.spent() <= allowed, "{:?}", budget.spent());
}

#[test]
fn reserve_with_no_slots_earns_nothing() {
    let now = Instant::now();
    let mut budget = Budget::new(settings(), SHARE, now);
    budget.set_slots(now, 0);
    let first = budget.reserve(now).expect("the first probe is available");
    budget.refund(&first, TIMEOUT);
    let later = now + Duration::from_hours(1);
    assert_eq!(budget.reserve(later).err(), Some(None));
}

#[test]
fn reserve_with_no_share_allows_only_the_first() {
    let now = Instant::now();
    let mut budget = Budget::new(settings(), 0.0, now);
    let first = budget.reserve(now).expect("the first probe is available");
    budget.refund(&first, TIMEOUT);
    assert_eq!(
        budget.reserve(now + Duration::from_hours(1)).err(),
        Some(None)
    );
}

#[test]
fn record_requests_no_probe_while_the_upstream_answers() {
    let now = Instant::now();
    let mut health = Health::new(configs::health::Settings::default());
    for _ in 0..100 {
        health.record(now, Verdict::Answered);
        health.record(now, Verdict::Failed);
        health.record(now, Verdict::Failed);
        health.record(now, Verdict::Answered);
    }
    assert!(health.is_ready());
    assert_eq!(health.probe_at(), None);
}

#[test]
fn record_consecutive_failures_make_doubtful_until_a_probe_answers() {
    let now = Instant::now();
    let mut health = Health::new(configs::health::Settings::default());
    for _ in 0..3 {
        health.record(now, Verdict::Failed);
    }
    assert!(!health.is_ready());
    assert_eq!(health.probe_at(), Some(now));
    health.record_probe_sent();
    assert_eq!(health.probe_at(), None, "one probe at a time");
    health.record_probe_result(now, Verdict::Failed);
    assert!(health.probe_at() > Some(now));
    health.record_probe_sent();
    health.record_probe_result(now, Verdict::Answered);
    assert!(health.is_ready());
}
