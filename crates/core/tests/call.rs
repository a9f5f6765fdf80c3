//! Tests for matching calls to the requests whose runs make them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::call::{Calls, Parent, Register};
use mintridge_core::request::Id;
use rstest::rstest;

fn parent(id: u64, deadline: Instant) -> Parent {
    Parent {
        id: Id(id),
        deadline,
        rank: 1,
        route: Arc::from("parent"),
    }
}

/// Failure: a call is not recognized because of the time on its way, or a caller's request is taken
/// for a call.
#[rstest]
#[case::same(1_000, Some(1))]
#[case::truncated(997, Some(1))]
#[case::delayed(1_005, Some(1))]
#[case::earlier(996, None)]
#[case::later_than_all(1_020, None)]
#[case::nearer_to_the_second(1_008, Some(2))]
fn record_call_returns_the_nearest_parent(#[case] deadline: u64, #[case] expected: Option<u64>) {
    let now = Instant::now();
    let at = |millis| now + Duration::from_millis(millis);
    let mut register = Register::default();
    register.begin(now, parent(1, at(1_000)));
    register.begin(now, parent(2, at(1_010)));
    let found = register.record_call(at(6), at(deadline));
    assert_eq!(found.map(|parent| parent.id.0), expected);
}

/// Failure: a request that arrives after the end of a run is taken for its call.
#[test]
fn end_forgets_the_run_and_its_calls() {
    let now = Instant::now();
    let mut register = Register::default();
    register.begin(now, parent(1, now));
    let later = now + Duration::from_millis(6);
    assert!(register.record_call(later, now).is_some());
    register.record_refusal(Id(1));
    let calls = Calls {
        made: 1,
        refused: 1,
    };
    assert_eq!(register.calls(Id(1)), calls);
    register.end(Id(1));
    register.record_refusal(Id(1));
    assert_eq!(register.calls(Id(1)), Calls::default());
    assert_eq!(register.record_call(later, now), None);
    assert!(register.has_recent_call(now, Duration::from_secs(1)));
}

/// Failure: a caller's request that follows another one with the same timeout is taken for its call.
#[test]
fn record_call_ignores_requests_right_after_the_parent() {
    let now = Instant::now();
    let timeout = Duration::from_secs(1);
    for gap in (0..10).map(Duration::from_millis) {
        let mut register = Register::default();
        register.begin(now, parent(1, now + timeout));
        let follower = now + gap;
        assert_eq!(register.record_call(follower, follower + timeout), None);
    }
}
