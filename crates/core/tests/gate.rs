//! The gate: a leaving, silent or woken host gets nothing new.

use std::time::{Duration, Instant};

use mintridge_core::configs::gate::Settings;
use mintridge_core::gate::Gate;
use mintridge_core::outcome::Reason;
use rstest::rstest;

fn ready(now: Instant) -> Gate {
    let mut gate = Gate::new(Settings::default(), now);
    gate.announced(now, false);
    gate
}

/// Ticks every 100 ms and renews the announcement, as a running node does.
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
    gate.announced(now, false);
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
#[case::upstream(|gate: &mut Gate, now| gate.announced(now, true))]
#[case::preset(|gate: &mut Gate, now| gate.set_preset_drain(now, true))]
#[case::signal(|gate: &mut Gate, now| gate.stop(now))]
fn check_closes_at_once_when_leaving(#[case] leave: fn(&mut Gate, Instant)) {
    let now = Instant::now();
    let mut gate = ready(now);
    leave(&mut gate, now);
    assert_eq!(gate.check(now), Some(Reason::Leaving));
    assert_eq!(gate.check_hand_over(now), None, "let in before: may go on");
    let later = run(&mut gate, now, 1600);
    assert_eq!(gate.check_hand_over(later), Some(Reason::Leaving));
}

#[test]
fn check_opens_again_when_the_preset_no_longer_says_leaving() {
    let now = Instant::now();
    let mut gate = ready(now);
    gate.set_preset_drain(now, true);
    gate.set_preset_drain(now, false);
    assert_eq!(gate.check(now), None);
}

/// What the caller sees: a node that was frozen refuses as not run instead of running on
/// a host that may have left meanwhile. Order: it ticks, is paused for a minute, and a
/// request comes first; then an exchange begun before the pause ends, then one begun
/// after it.
#[test]
fn check_after_a_pause_waits_for_fresh_news() {
    let now = Instant::now();
    let mut gate = ready(now);
    let before = run(&mut gate, now, 500);
    let woken = before + Duration::from_mins(1);
    gate.announced(woken, false);
    assert_eq!(gate.check(woken), Some(Reason::Stale));
    assert_eq!(gate.check_hand_over(woken), Some(Reason::Stale));
    gate.refreshed(before);
    assert_eq!(
        gate.check(woken),
        Some(Reason::Stale),
        "old news prove nothing"
    );
    gate.refreshed(woken);
    assert_eq!(gate.check(woken), None);
}

#[test]
fn check_after_a_pause_opens_when_nobody_can_be_heard() {
    let now = Instant::now();
    let mut gate = ready(now);
    let woken = now + Duration::from_mins(1);
    gate.announced(woken, false);
    gate.tick(woken);
    let later = run(&mut gate, woken, 2900);
    assert_eq!(gate.check(later), Some(Reason::Stale));
    let later = run(&mut gate, later, 200);
    gate.announced(later, false);
    assert_eq!(gate.check(later), None);
}
