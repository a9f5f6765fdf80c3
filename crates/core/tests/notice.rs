//! Statements of upstreams that nodes return to the node beside the upstream.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::notice::{Known, Register};
use rstest::rstest;

fn known(instance: &str, leaving: bool, requests_per_second: Option<f64>) -> Known {
    Known {
        instance: Arc::from(instance),
        born: None,
        leaving,
        requests_per_second,
    }
}

#[rstest]
#[case::leaving(known("i-7", true, None), "1,,,i-7")]
#[case::limit(known("i-7", false, Some(5.8)), "0,5.8,,i-7")]
#[case::start_time(Known { born: Some(12), ..known("i,7", true, Some(0.0)) }, "1,0,12,i,7")]
fn known_round_trips(#[case] known: Known, #[case] text: &str) {
    assert_eq!(known.to_string(), text);
    assert_eq!(text.parse(), Ok(known));
}

#[rstest]
#[case::empty("")]
#[case::short("1,,")]
#[case::flag("yes,,,i-7")]
#[case::limit("0,fast,,i-7")]
#[case::negative_limit("0,-1,,i-7")]
#[case::infinite_limit("0,inf,,i-7")]
#[case::start_time("0,,soon,i-7")]
fn known_rejects_malformed_text(#[case] text: &str) {
    assert!(text.parse::<Known>().is_err());
}

/// Guards against forgetting a statement because of a response that overtook it, and against one
/// that outlives its incarnation.
#[test]
fn record_orders_responses_that_overtake_each_other() {
    let t0 = Instant::now();
    let at = |millis| t0 + Duration::from_millis(millis);
    let host: Arc<str> = Arc::from("host");
    let mut register = Register::default();
    register.record(&host, at(0), at(100), Some(known("i-1", true, None)));
    register.record(&host, at(50), at(110), None);
    register.record(&host, at(50), at(120), Some(known("i-1", false, Some(5.0))));
    assert_eq!(register.get("host"), Some(&known("i-1", true, Some(5.0))));
    register.record(
        &host,
        at(200),
        at(300),
        Some(known("i-2", false, Some(3.0))),
    );
    assert_eq!(register.get("host"), Some(&known("i-2", false, Some(3.0))));
    register.record(&host, at(310), at(400), None);
    assert_eq!(register.get("host"), None);
}

/// Guards against forgetting a statement while the host is cut off, and against keeping those of
/// hosts that are gone.
#[test]
fn prune_keeps_recent_statements_of_hosts_that_left() {
    let t0 = Instant::now();
    let host: Arc<str> = Arc::from("host");
    let mut register = Register::default();
    register.record(&host, t0, t0, Some(known("i-1", true, None)));
    register.prune(t0 + Duration::from_mins(1), |_| false);
    assert!(register.get("host").is_some());
    register.prune(t0 + Duration::from_mins(6), |_| false);
    assert!(register.get("host").is_none());
}
