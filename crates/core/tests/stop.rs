//! Tests for the requests that a stopping node admits, alone and in a replay under load.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::admission::{Action, Admission, Answer, Decision};
use mintridge_core::configs::{admission, stop};
use mintridge_core::outcome::Reason;
use mintridge_core::request::{Arrival, Id};
use mintridge_core::stop::{Plan, Stop};
use rstest::rstest;

const MILLI: Duration = Duration::from_millis(1);

/// Returns the plan of a stop at `now` with this setting.
fn stop_within(now: Instant, millis: u32) -> Stop {
    let settings = stop::Settings {
        stop_within: MILLI * millis,
        ..stop::Settings::default()
    };
    Plan::new(now, &settings).into()
}

/// Failure: a request that has to end in time is refused, or one that may not is admitted.
#[rstest]
#[case::ends_before(4_999, true)]
#[case::ends_with_the_process(5_000, true)]
#[case::outlasts(5_001, false)]
#[case::outlasts_by_seconds(6_000, false)]
fn can_end_until_the_process_does(#[case] deadline_ms: u32, #[case] expected: bool) {
    let now = Instant::now();
    let deadline = now + MILLI * deadline_ms;
    assert_eq!(stop_within(now, 5_000).can_end(deadline), expected);
    assert!(Stop::default().can_end(deadline));
}

/// Failure: a stopping entry forwards a request with a deadline at which it has ended itself.
#[rstest]
#[case::ends_before(4_000, 4_000)]
#[case::no_time_for_delivery(4_900, 4_800)]
#[case::outlasts(6_000, 4_800)]
fn forwarding_deadline_leaves_time_to_answer(#[case] deadline_ms: u32, #[case] expected_ms: u32) {
    let now = Instant::now();
    let deadline = now + MILLI * deadline_ms;
    let stop = stop_within(now, 5_000);
    assert_eq!(
        stop.forwarding_deadline(deadline),
        now + MILLI * expected_ms
    );
    assert_eq!(Stop::default().forwarding_deadline(deadline), deadline);
}

/// Failure: a stopping node aborts requests while the platform still leaves them time, or is killed
/// before it has answered them. Work that goes on in the last sixth of that time may be cut.
#[rstest]
#[case::very_short(300)]
#[case::short(1_000)]
#[case::under_the_linger(2_000)]
#[case::usual(6_000)]
#[case::long(10_000)]
#[case::very_long(300_000)]
fn plan_ends_in_the_last_sixth_before_the_kill(#[case] killed_after_ms: u32) {
    let now = Instant::now();
    let killed_after = MILLI * killed_after_ms;
    let settings = stop::Settings {
        linger: MILLI * 2_200,
        killed_after: Some(killed_after),
        ..stop::Settings::default()
    };
    let plan = Plan::new(now, &settings);
    assert!(
        plan.last_answer_at >= now + killed_after * 5 / 6,
        "{plan:?}"
    );
    assert!(plan.last_answer_at < plan.ends_at, "{plan:?}");
    assert!(plan.ends_at < now + killed_after, "{plan:?}");
    // Requests that are taken last still have half of the time to end.
    assert!(plan.closes_at <= now + killed_after / 2, "{plan:?}");
    assert!(plan.closes_at <= now + settings.linger, "{plan:?}");
}

/// Guards against a change of the usual stop of six seconds.
#[test]
fn plan_of_six_seconds_keeps_its_times() {
    let now = Instant::now();
    let settings = stop::Settings {
        linger: MILLI * 2_200,
        killed_after: Some(MILLI * 6_000),
        ..stop::Settings::default()
    };
    let expected = Plan {
        closes_at: now + MILLI * 2_200,
        last_answer_at: now + MILLI * 5_300,
        ends_at: now + MILLI * 5_500,
    };
    assert_eq!(Plan::new(now, &settings), expected);
}

/// Failure: a request was queued before the signal and starts too late. It is refused at once.
#[test]
fn set_stop_refuses_queued_requests_that_outlast_it() {
    let now = Instant::now();
    let mut admission = Admission::new(admission::Settings::default(), 1);
    for (id, deadline) in [(0, 9_000), (1, 9_000), (2, 4_000)] {
        admission.arrive(now, arrival(id, KINDS[0], now, deadline), 1.0);
    }
    admission.set_stop(stop_within(now, 5_000));
    let action = admission.poll(now);
    assert!(
        matches!(action, Some(Action::Refuse(Id(1), refusal)) if refusal.reason == Reason::Leaving),
        "{action:?}"
    );
    assert_eq!(admission.poll(now), None);
}

#[derive(Clone, Copy)]
struct Kind {
    route: &'static str,
    every_ms: u32,
    /// Service time before the signal.
    runs_ms: u32,
    /// Service time from the signal on.
    runs_stopping_ms: u32,
    deadline_ms: u32,
}

const KINDS: [Kind; 4] = [
    Kind {
        route: "short",
        every_ms: 50,
        runs_ms: 100,
        runs_stopping_ms: 100,
        deadline_ms: 3_000,
    },
    Kind {
        route: "long",
        every_ms: 900,
        runs_ms: 3_800,
        runs_stopping_ms: 3_800,
        deadline_ms: 6_000,
    },
    Kind {
        route: "varying",
        every_ms: 400,
        runs_ms: 80,
        runs_stopping_ms: 3_800,
        deadline_ms: 6_000,
    },
    Kind {
        route: "varying-until-deadline",
        every_ms: 400,
        runs_ms: 80,
        runs_stopping_ms: 3_000,
        deadline_ms: 3_000,
    },
];
const SHORT: usize = 0;
const LONG: usize = 1;
const VARYING: usize = 2;
const VARYING_UNTIL_DEADLINE: usize = 3;

fn arrival(id: u64, kind: Kind, now: Instant, deadline_ms: u32) -> Arrival {
    Arrival {
        id: Id(id),
        client_account: Arc::from("account"),
        deadline: now + MILLI * deadline_ms,
        target: now + MILLI * deadline_ms,
        priority: 0,
        route: Arc::from(kind.route),
        only_in_time: false,
    }
}

/// What became of the requests that arrived while the node was stopping, by kind.
#[derive(Debug, Default)]
struct Counts {
    refused: [u32; KINDS.len()],
    aborted: [u32; KINDS.len()],
    served: [u32; KINDS.len()],
}

/// Replays a stop 8 s after the start: requests arrive for 2.2 s more, and the process ends after
/// 5.5 s. `knows_end` is whether admission knows that; it did not before.
fn replay(knows_end: bool) -> Counts {
    const SIGNAL: u32 = 8_000;
    let (start, mut counts) = (Instant::now(), Counts::default());
    let mut admission = Admission::new(admission::Settings::default(), 24);
    let mut running: Vec<(u32, Id, usize, bool)> = Vec::new();
    let mut next_id = 0;
    for millis in 0..SIGNAL + 5_500 {
        let now = start + MILLI * millis;
        let stopping = millis >= SIGNAL;
        if knows_end && millis == SIGNAL {
            admission.set_stop(stop_within(now, 5_500));
        }
        running.retain(|&(ends, id, kind, counted)| {
            if ends > millis {
                return true;
            }
            admission.record_answer(now, id, Answer::Served);
            admission.finish(id);
            counts.served[kind] += u32::from(counted);
            false
        });
        for (index, kind) in KINDS.iter().enumerate() {
            if millis >= SIGNAL + 2_200 || millis % kind.every_ms != 0 {
                continue;
            }
            let decision =
                admission.arrive(now, arrival(next_id, *kind, now, kind.deadline_ms), 1.0);
            let runs_ms = if stopping {
                kind.runs_stopping_ms
            } else {
                kind.runs_ms
            };
            match decision {
                Decision::Admit => running.push((millis + runs_ms, Id(next_id), index, stopping)),
                Decision::Refuse(_) => counts.refused[index] += u32::from(stopping),
                Decision::Queue => panic!("the slots suffice"),
            }
            next_id += 1;
        }
    }
    for (.., kind, counted) in running {
        counts.aborted[kind] += u32::from(counted);
    }
    counts
}

/// Failure: a stop under load aborts what it admitted, or refuses what ends in time at the latest by
/// its deadline. Before the signal the varying routes only ran for a short time.
#[test]
fn stop_under_load_aborts_nothing_and_refuses_only_what_may_outlast_it() {
    let (before, after) = (replay(false), replay(true));
    println!("before: {before:?}\nafter: {after:?}");
    assert!(before.aborted[LONG] > 0, "{before:?}");
    assert!(before.aborted[VARYING] > 0, "{before:?}");
    assert_eq!(after.aborted, [0; KINDS.len()], "{after:?}");
    for kind in [SHORT, VARYING_UNTIL_DEADLINE] {
        assert_eq!(after.refused[kind], 0, "{after:?}");
        assert_eq!(after.served[kind], before.served[kind], "{after:?}");
    }
}
