//! Tests of the wire format of load reports, and of the penalty for a slow phase.

use std::time::Duration;

use mintridge_core::load::{Report, slow_penalty};
use rstest::rstest;

#[test]
fn report_round_trips() {
    let report = Report {
        in_flight: 3,
        queued: 1,
        limit: 9,
        service_micros: 120_000,
        slowness_percent: 400,
        start_delay_micros: 170_000,
    };
    assert_eq!(report.to_string().parse(), Ok(report));
}

/// Nodes of the previous version send five numbers.
#[test]
fn report_of_the_previous_version_has_no_start_delay() {
    let report = Report {
        in_flight: 1,
        queued: 2,
        limit: 3,
        service_micros: 4,
        slowness_percent: 5,
        start_delay_micros: 0,
    };
    assert_eq!("1,2,3,4,5".parse(), Ok(report));
}

#[rstest]
#[case::empty("")]
#[case::short("1,2,3,4")]
#[case::text("a,b,c,d,e")]
fn report_rejects_malformed_text(#[case] text: &str) {
    assert!(text.parse::<Report>().is_err());
}

/// The penalty of a short request is the extra time that it takes on a slow host; a long one waits
/// for the end of the slow phase instead.
#[rstest]
#[case::usual(100, 120, 0)]
#[case::unknown(0, 120, 0)]
#[case::short_work(400, 20, 60)]
#[case::long_work(400, 500, 150)]
fn slow_penalty_is_bounded_by_the_phase(
    #[case] percent: u32,
    #[case] service_ms: u64,
    #[case] expected_ms: u128,
) {
    let service = Duration::from_millis(service_ms);
    let penalty = slow_penalty(percent, service, Duration::from_millis(150));
    assert_eq!(penalty.as_millis(), expected_ms);
}
