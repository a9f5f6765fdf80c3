//! Replays of response bodies that go on after the deadline of their request.

use std::time::{Duration, Instant};

use mintridge_core::late_body::{Allowance, Excess, Limits};
use rstest::rstest;

const MILLI: Duration = Duration::from_millis(1);
const MIB: usize = 1024 * 1024;
const LIMITS: Limits = Limits {
    wait: Duration::from_millis(250),
    bytes: 64 * 1024 * 1024,
};

/// A body: its parts, the time that the upstream takes for each, and the time that the caller then
/// takes to read it.
struct Body {
    parts: usize,
    part_bytes: usize,
    upstream_micros: u64,
    caller_micros: u64,
    has_length: bool,
}

/// Plays a body that begins half a second before the deadline. Returns how long after the deadline it
/// ended and how many bytes were passed on after it, and why it was cut if it was.
fn play(body: &Body) -> (Duration, usize, Option<Excess>) {
    let begun_at = Instant::now();
    let deadline = begun_at + MILLI * 500;
    let mut allowance = Allowance::new(deadline, body.has_length, LIMITS);
    let (mut now, mut passed) = (begun_at, 0);
    for _ in 0..body.parts {
        let since = now;
        now += Duration::from_micros(body.upstream_micros);
        let cut_at = allowance.wait_until(since);
        if now > cut_at {
            return (cut_at - deadline, passed, Some(Excess::Wait));
        }
        if let Err(excess) = allowance.record(now, Some(since), body.part_bytes) {
            return (now - deadline, passed, Some(excess));
        }
        if now > deadline {
            passed += body.part_bytes;
        }
        now += Duration::from_micros(body.caller_micros);
    }
    (now.saturating_duration_since(deadline), passed, None)
}

/// Guards against cutting a body that is long, or that its caller reads slowly, although the upstream
/// had it ready.
#[rstest]
#[case::ends_in_time(Body { parts: 400, part_bytes: 16, upstream_micros: 1_000, caller_micros: 0, has_length: false })]
#[case::fast(Body { parts: 1_200, part_bytes: 64 * 1024, upstream_micros: 500, caller_micros: 0, has_length: false })]
#[case::slow_link(Body { parts: 600, part_bytes: 64 * 1024, upstream_micros: 12_000, caller_micros: 0, has_length: false })]
#[case::slow_caller(Body { parts: 500, part_bytes: 64 * 1024, upstream_micros: 100, caller_micros: 500_000, has_length: false })]
#[case::long_with_length(Body { parts: 20_000, part_bytes: 64 * 1024, upstream_micros: 500, caller_micros: 500, has_length: true })]
fn sound_body_arrives_whole(#[case] body: Body) {
    let (_, _, excess) = play(&body);
    assert_eq!(excess, None);
}

/// Guards against a body without end that keeps its caller and its slot after the deadline.
#[rstest]
#[case::fast(Body { parts: usize::MAX, part_bytes: 64 * 1024, upstream_micros: 300, caller_micros: 0, has_length: false }, Excess::Size)]
#[case::trickle(Body { parts: usize::MAX, part_bytes: 100, upstream_micros: 20_000, caller_micros: 0, has_length: false }, Excess::Wait)]
#[case::trickle_with_length(Body { parts: usize::MAX, part_bytes: 100, upstream_micros: 20_000, caller_micros: 0, has_length: true }, Excess::Wait)]
#[case::silent(Body { parts: usize::MAX, part_bytes: 1, upstream_micros: 60_000_000, caller_micros: 0, has_length: false }, Excess::Wait)]
fn body_without_end_is_cut_soon_after_the_deadline(#[case] body: Body, #[case] expected: Excess) {
    let (late, passed, excess) = play(&body);
    assert_eq!(excess, Some(expected));
    assert!(late <= MILLI * 500, "{late:?}");
    assert!(passed <= 64 * MIB, "{passed} bytes");
}

/// The process is paused while it waits, and then finds that the rest of the body has arrived. Guards
/// against breaking off a response that is ready.
#[test]
fn record_passes_what_arrived_during_a_pause() {
    let deadline = Instant::now();
    let mut allowance = Allowance::new(deadline, false, LIMITS);
    let resumed_at = deadline + MILLI * 5_000;
    assert!(allowance.wait_until(deadline) < resumed_at);
    assert_eq!(allowance.record(resumed_at, Some(deadline), MIB), Ok(()));
    assert!(allowance.wait_until(resumed_at) > resumed_at + LIMITS.wait);
}
