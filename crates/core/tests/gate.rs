//! The gate: no new requests for a host that is leaving, unannounced or resuming from a pause.

use std::time::{Duration, Instant};

use mintridge_core::configs::gate::Settings;
use mintridge_core::gate::Gate;
use mintridge_core::outcome::Reason;
use rstest::rstest;

fn ready(now: Instant) -> Gate {
    let mut gate = Gate::new(Settings::default(), now);
    gate.record_announcement(now, false);
    gate
}

/// Ticks every 100 ms, as a running node does; returns the time of the last tick.
fn run(gate: &mut Gate, from: Instant, millis: u64) -> Instant {
    let mut now = from;
    for _ in 0..millis / 100 {
        now += Duration::from_millis(100);
        gate.tick(now);
    }
    now
}

#[test]
fn check_is_closed_until_announced() {
    let now = Instant::now();
    let mut gate = Gate::new(Settings::default(), now);
    assert_eq!(gate.check(now), Some(Reason::Unannounced));
    gate.record_announcement(now, false);
    assert_eq!(gate.check(now), None);
}

#[test]
fn check_closes_when_announcements_stop() {
    let now = Instant::now();
    let mut gate = ready(now);
    let later = run(&mut gate, now, 3100);
    assert_eq!(gate.check(later), Some(Reason::Unannounced));
}

#[rstest]
#[case::upstream(|gate: &mut Gate, now| gate.record_announcement(now, true))]
#[case::preset(|gate: &mut Gate, now| gate.set_preset_drain(now, true))]
#[case::signal(|gate: &mut Gate, now| gate.stop(now))]
fn check_closes_at_once_when_leaving(#[case] leave: fn(&mut Gate, Instant)) {
    let now = Instant::now();
    let mut gate = ready(now);
    leave(&mut gate, now);
    assert_eq!(gate.check(now), Some(Reason::Leaving));
    assert_eq!(
        gate.check_hand_over(now),
        None,
        "admitted before the drain: may be sent"
    );
    let later = run(&mut gate, now, 1600);
    assert_eq!(gate.check_hand_over(later), Some(Reason::Leaving));
}

#[test]
fn check_opens_again_when_the_preset_no_longer_lists_the_host() {
    let now = Instant::now();
    let mut gate = ready(now);
    gate.set_preset_drain(now, true);
    gate.set_preset_drain(now, false);
    assert_eq!(gate.check(now), None);
}

/// Guards against a node that resumes from a pause and runs requests on a host that may have left
/// meanwhile; it must refuse them as not run. The node is paused for a minute, and a request
/// arrives first. Then an exchange that began before the pause ends, and then one that began after
/// it.
#[test]
fn check_after_a_pause_waits_for_a_refresh() {
    let now = Instant::now();
    let mut gate = ready(now);
    let before = run(&mut gate, now, 500);
    let resumed_at = before + Duration::from_mins(1);
    gate.record_announcement(resumed_at, false);
    assert_eq!(gate.check(resumed_at), Some(Reason::Stale));
    assert_eq!(gate.check_hand_over(resumed_at), Some(Reason::Stale));
    gate.record_refresh(before);
    assert_eq!(
        gate.check(resumed_at),
        Some(Reason::Stale),
        "an exchange from before the pause does not open the gate"
    );
    gate.record_refresh(resumed_at);
    assert_eq!(gate.check(resumed_at), None);
}

#[test]
fn check_after_a_pause_opens_when_nobody_replies() {
    let now = Instant::now();
    let mut gate = ready(now);
    let resumed_at = now + Duration::from_mins(1);
    gate.record_announcement(resumed_at, false);
    gate.tick(resumed_at);
    let later = run(&mut gate, resumed_at, 2900);
    assert_eq!(gate.check(later), Some(Reason::Stale));
    let later = run(&mut gate, later, 200);
    gate.record_announcement(later, false);
    assert_eq!(gate.check(later), None);
}

/// Guards against an announcement that reopens the gate of an upstream whose responses state that
/// it is leaving, and against a statement that outlives its incarnation.
#[test]
fn record_leaving_response_holds_until_the_end_of_the_incarnation() {
    let t0 = Instant::now();
    let at = |millis| t0 + Duration::from_millis(millis);
    let mut gate = Gate::new(Settings::default(), t0);
    gate.record_announcement(t0, false);
    assert!(gate.record_leaving_response(at(10), at(20)));
    assert!(!gate.record_leaving_response(at(15), at(25)));
    gate.record_announcement(at(30), false);
    assert_eq!(gate.check(at(40)), Some(Reason::Leaving));
    gate.reset_after_restart(at(50));
    assert_eq!(gate.check(at(60)), None);
    assert!(!gate.record_leaving_response(at(45), at(70)));
    assert_eq!(gate.check(at(80)), None);
}

/// Guards against an upstream that lapses between two of its announcements.
#[rstest]
#[case::unknown(None, 3_000)]
#[case::frequent(Some(100), 3_000)]
#[case::rare(Some(5_000), 40_000)]
fn announcement_is_valid_until_several_are_missed(
    #[case] announced_every_ms: Option<u64>,
    #[case] expected_ms: u64,
) {
    let now = Instant::now();
    let settings = Settings {
        announced_every: announced_every_ms.map(Duration::from_millis),
        ..Settings::default()
    };
    let mut gate = Gate::new(settings, now);
    gate.record_announcement(now, false);
    let before = run(&mut gate, now, expected_ms - 100);
    assert_eq!(gate.check(before), None);
    let later = run(&mut gate, before, 100);
    assert_eq!(gate.check(later), Some(Reason::Unannounced));
}

/// Guards against a request that is sent to an upstream later than a drain may take.
#[rstest]
#[case::unknown(None, 1_500)]
#[case::long(Some(10_000), 1_500)]
#[case::short(Some(800), 400)]
fn hand_over_ends_long_before_a_drain_must(
    #[case] drained_within_ms: Option<u64>,
    #[case] expected_ms: u64,
) {
    let now = Instant::now();
    let settings = Settings {
        drained_within: drained_within_ms.map(Duration::from_millis),
        ..Settings::default()
    };
    let mut gate = Gate::new(settings, now);
    gate.record_announcement(now, true);
    let before = run(&mut gate, now, expected_ms - 100);
    assert_eq!(gate.check_hand_over(before), None);
    let later = run(&mut gate, before, 100);
    assert_eq!(gate.check_hand_over(later), Some(Reason::Leaving));
}
