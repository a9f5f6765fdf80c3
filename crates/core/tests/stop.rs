//! Tests for the requests that a stopping node admits, alone and in a replay under load.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::admission::{Action, Admission, Answer, Decision};
use mintridge_core::configs::admission::Settings;
use mintridge_core::outcome::Reason;
use mintridge_core::request::{Arrival, Id};
use mintridge_core::stop::{Request, Stop};
use rstest::rstest;

const MILLI: Duration = Duration::from_millis(1);

/// Failure: a request that has to end in time is refused, or one that may not is admitted.
#[rstest]
#[case::ends_before(5_000, false, None, true)]
#[case::outlasts(5_001, false, Some(100), false)]
#[case::repeatable(6_000, true, Some(100), true)]
#[case::repeatable_but_long(6_000, true, Some(5_000), false)]
#[case::repeatable_of_unknown_time(6_000, true, None, false)]
fn may_start_if_it_can_end(
    #[case] deadline: u32,
    #[case] repeatable: bool,
    #[case] longest: Option<u32>,
    #[case] expected: bool,
) {
    let now = Instant::now();
    let request = Request {
        now,
        deadline: now + MILLI * deadline,
        repeatable,
        longest: longest.map(|millis| MILLI * millis),
    };
    assert_eq!(Stop::at(now + MILLI * 5_000).may_start(&request), expected);
    assert!(Stop::default().may_start(&request));
}

/// Failure: a request was queued before the signal and starts too late. It is refused at once.
#[test]
fn set_end_refuses_queued_requests_that_outlast_it() {
    let now = Instant::now();
    let mut admission = Admission::new(Settings::default(), 1);
    for (id, deadline) in [(0, 9_000), (1, 9_000), (2, 4_000)] {
        admission.arrive(now, arrival(id, KINDS[0], now, deadline), 1.0);
    }
    admission.set_end(now + MILLI * 5_000);
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
    every: u32,
    runs: u32,
    deadline: u32,
    repeatable: bool,
}

const KINDS: [Kind; 3] = [
    Kind {
        route: "short",
        every: 50,
        runs: 100,
        deadline: 3_000,
        repeatable: false,
    },
    Kind {
        route: "long",
        every: 900,
        runs: 3_800,
        deadline: 6_000,
        repeatable: false,
    },
    Kind {
        route: "repeatable",
        every: 60,
        runs: 80,
        deadline: 6_000,
        repeatable: true,
    },
];

fn arrival(id: u64, kind: Kind, now: Instant, deadline: u32) -> Arrival {
    Arrival {
        id: Id(id),
        client_account: Arc::from("account"),
        deadline: now + MILLI * deadline,
        target: now + MILLI * deadline,
        priority: 0,
        route: Arc::from(kind.route),
        only_in_time: false,
        repeatable: kind.repeatable,
    }
}

/// What became of the requests that arrived while the node was stopping, by kind.
#[derive(Debug, Default)]
struct Counts {
    refused: [u32; 3],
    aborted: [u32; 3],
    served: [u32; 3],
}

/// Replays a stop 8 s after the start: requests arrive for 2.2 s more, and the process ends after
/// 5.5 s. `knows_end` is whether admission knows that; it did not before.
fn replay(knows_end: bool) -> Counts {
    const SIGNAL: u32 = 8_000;
    let (start, mut counts) = (Instant::now(), Counts::default());
    let mut admission = Admission::new(Settings::default(), 12);
    let mut running: Vec<(u32, Id, usize, bool)> = Vec::new();
    let mut next_id = 0;
    for millis in 0..SIGNAL + 5_500 {
        let now = start + MILLI * millis;
        let stopping = millis >= SIGNAL;
        if knows_end && millis == SIGNAL {
            admission.set_end(now + MILLI * 5_500);
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
            if millis >= SIGNAL + 2_200 || millis % kind.every != 0 {
                continue;
            }
            let decision = admission.arrive(now, arrival(next_id, *kind, now, kind.deadline), 1.0);
            match decision {
                Decision::Admit => running.push((millis + kind.runs, Id(next_id), index, stopping)),
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

/// Failure: a stop under load aborts what it admitted, or refuses what would have ended.
#[test]
fn stop_under_load_aborts_nothing_and_refuses_only_what_may_outlast_it() {
    let (before, after) = (replay(false), replay(true));
    println!("before: {before:?}\nafter: {after:?}");
    assert!(before.aborted[1] > 0, "{before:?}");
    assert_eq!(after.aborted, [0; 3], "{after:?}");
    assert_eq!([after.refused[0], after.refused[2]], [0, 0], "{after:?}");
    assert_eq!(after.served[0], before.served[0]);
}
