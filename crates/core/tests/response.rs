//! What the status of an upstream's response says about the run of its request.

use mintridge_core::response::{denies_run, is_shed};
use rstest::rstest;

const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Guards against telling the caller of a request that ran, and may not run twice, that it did not.
#[rstest]
#[case::unavailable(503, false, true)]
#[case::too_many_requests(429, false, true)]
#[case::timeout(408, false, true)]
#[case::misdirected(421, false, true)]
#[case::repeatable(503, true, false)]
#[case::server_error(500, false, false)]
#[case::gateway_timeout(504, false, false)]
#[case::success(200, false, false)]
fn denies_run_by_status(#[case] status: u16, #[case] repeatable: bool, #[case] expected: bool) {
    assert_eq!(denies_run(&NOT_RUN, status, repeatable), expected);
}

#[test]
fn denies_run_of_no_status_where_callers_take_none_for_a_promise() {
    assert!(!denies_run(&[], 503, false));
}

/// Guards against a limit that is lowered because the runs of an upstream fail, although it states
/// which requests it sheds.
#[rstest]
#[case::unavailable(503, false, true)]
#[case::too_many_requests(429, false, true)]
#[case::stated(503, true, false)]
#[case::server_error(500, false, false)]
fn is_shed_by_status(#[case] status: u16, #[case] states_not_run: bool, #[case] expected: bool) {
    assert_eq!(is_shed(status, states_not_run), expected);
}
