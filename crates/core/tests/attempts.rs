//! On which hosts one request is placed, and when hosts that refused it may be tried again.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::attempts::{Attempts, Due};
use mintridge_core::configs::retry::Settings;
use mintridge_core::outcome::{Reason, Refusal};
use rstest::rstest;

const HOSTS: [&str; 4] = ["a", "b", "c", "d"];

fn settings() -> Settings {
    Settings {
        placements: 3,
        ..Settings::default()
    }
}

/// Time limits whose target is the deadline itself.
const fn due(deadline: Instant) -> Due {
    Due {
        target: deadline,
        deadline,
    }
}

/// Places a request on one host after another, each of which refuses it for the given reason.
/// Returns these hosts, and whether each had to refuse if it could only answer late.
fn place_on_hosts(hosts: usize, reasons: &[Reason]) -> Vec<(&'static str, bool)> {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(1);
    let mut attempts = Attempts::default();
    let mut placed = Vec::new();
    for reason in reasons {
        let untried = HOSTS[..hosts]
            .iter()
            .find(|host| !attempts.tried().iter().any(|tried| **tried == ***host));
        let host = untried.expect("a host is untried");
        let only_in_time = attempts.record_placement(&settings(), &Arc::from(*host));
        placed.push((*host, only_in_time));
        let refusal = Refusal::not_run(*reason, now);
        let has_untried = |tried: &[Arc<str>]| {
            let mut all = HOSTS[..hosts].iter();
            all.any(|host| !tried.iter().any(|tried| **tried == **host))
        };
        if !attempts.record_refusal(&settings(), now, due(deadline), &refusal, has_untried) {
            break;
        }
    }
    placed
}

/// In a burst all hosts could only answer late. Two placements require an answer in time; the third
/// accepts a late answer, and may be on a host that refused before.
#[rstest]
#[case::enough_hosts(4, &[Reason::Late; 5], &[("a", true), ("b", true), ("a", false)])]
#[case::one_host(1, &[Reason::Late; 5], &[("a", true), ("a", false)])]
#[case::full(4, &[Reason::Busy; 5], &[("a", true), ("b", true), ("c", false)])]
#[case::late_then_leaving(2, &[Reason::Late, Reason::Leaving, Reason::Late], &[("a", true), ("b", true), ("a", false)])]
#[case::refused_everywhere(4, &[Reason::BadRequest], &[("a", true)])]
fn record_refusal_continues_while_another_host_may_answer(
    #[case] hosts: usize,
    #[case] reasons: &[Reason],
    #[case] expected: &[(&str, bool)],
) {
    assert_eq!(place_on_hosts(hosts, reasons), expected);
}

#[test]
fn record_refusal_stops_at_the_deadline() {
    let now = Instant::now();
    let mut attempts = Attempts::default();
    attempts.record_placement(&settings(), &Arc::from("a"));
    let refusal = Refusal::not_run(Reason::Busy, now);
    assert!(!attempts.record_refusal(&settings(), now, due(now), &refusal, |_| true));
}

/// A request waits at a host until its target has passed and is then refused as late. No host can
/// be in time any more, so the next placement is the last and accepts a late answer.
#[test]
fn record_refusal_allows_one_more_host_after_the_target() {
    let now = Instant::now();
    let mut attempts = Attempts::default();
    assert!(attempts.record_placement(&settings(), &Arc::from("a")));
    let refusal = Refusal::not_run(Reason::Late, now);
    let passed = Due {
        target: now,
        deadline: now + Duration::from_secs(1),
    };
    assert!(attempts.record_refusal(&settings(), now, passed, &refusal, |_| true));
    assert!(!attempts.record_placement(&settings(), &Arc::from("b")));
    assert!(!attempts.record_refusal(&settings(), now, passed, &refusal, |_| true));
}
