//! Tests of admission control: slots, the fair queue, deadlines and the concurrency limit.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::admission::{Action, Admission, Answer, Decision};
use mintridge_core::configs::admission::Settings;
use mintridge_core::load::Upstream;
use mintridge_core::outcome::{Outcome, Reason};
use mintridge_core::request::{Arrival, Id};
use rstest::rstest;

const SERVICE_TIME: Duration = Duration::from_millis(20);

fn admission(slots: u32) -> Admission {
    let settings = Settings {
        service_time_initial: SERVICE_TIME,
        ..Settings::default()
    };
    Admission::new(settings, slots)
}

fn arrival(id: u64, client_account: &str, deadline: Instant) -> Arrival {
    Arrival {
        id: Id(id),
        client_account: Arc::from(client_account),
        deadline,
        target: deadline,
        priority: 0,
        route: Arc::from("route"),
        only_in_time: false,
    }
}

fn drain(admission: &mut Admission, now: Instant) -> Vec<Action> {
    std::iter::from_fn(|| admission.poll(now)).collect()
}

/// Returns the ids in the order of admission, finishing each admitted request immediately.
fn run_queue(admission: &mut Admission, now: Instant, mut running: Id) -> Vec<u64> {
    let mut order = Vec::new();
    loop {
        admission.finish(running);
        match admission.poll(now) {
            Some(Action::Admit(id)) => {
                order.push(id.0);
                running = id;
            }
            Some(Action::Refuse(..)) => {}
            None => return order,
        }
    }
}

#[test]
fn arrive_admits_up_to_slots_then_queues() {
    let now = Instant::now();
    let mut admission = admission(2);
    let far_deadline = now + Duration::from_secs(10);
    let decisions: Vec<Decision> = (0..3)
        .map(|id| admission.arrive(now, arrival(id, "a", far_deadline), 1.0))
        .collect();
    assert_eq!(
        decisions,
        [Decision::Admit, Decision::Admit, Decision::Queue]
    );
}

#[test]
fn arrive_refuses_requests_that_cannot_meet_their_deadline() {
    let now = Instant::now();
    let mut admission = admission(1);
    let far_deadline = now + Duration::from_secs(10);
    admission.arrive(now, arrival(0, "a", far_deadline), 1.0);
    let near_deadline = now + SERVICE_TIME;
    let Decision::Refuse(refusal) = admission.arrive(now, arrival(1, "a", near_deadline), 1.0)
    else {
        panic!("must be refused");
    };
    assert_eq!(refusal.outcome, Outcome::NotRun);
    assert_eq!(refusal.reason, Reason::Deadline);
    assert!(refusal.retry_at > now);
}

/// Guards against refusing a queued request only at its deadline, when there is no time left to try
/// another host. One request holds the only slot while another one waits.
#[test]
fn poll_refuses_waiting_before_its_deadline() {
    let now = Instant::now();
    let mut admission = admission(1);
    let deadline = now + Duration::from_millis(100);
    admission.arrive(now, arrival(0, "a", deadline), 1.0);
    admission.arrive(now, arrival(1, "a", deadline), 1.0);
    let wake_at = admission.wake_at(now).expect("one waits");
    assert!(wake_at < deadline);
    assert_eq!(drain(&mut admission, now), []);
    let refused = drain(&mut admission, wake_at);
    assert!(matches!(refused[..], [Action::Refuse(Id(1), _)]));
}

/// Guards against a large client account delaying a small one. The large account fills the queue,
/// then the small account's request arrives and must be admitted first.
#[test]
fn dequeue_is_fair_between_client_accounts() {
    let now = Instant::now();
    let mut admission = admission(1);
    let far_deadline = now + Duration::from_secs(10);
    for id in 0..4 {
        admission.arrive(now, arrival(id, "large", far_deadline), 1.0);
    }
    admission.arrive(now, arrival(10, "small", far_deadline), 1.0);
    let order = run_queue(&mut admission, now, Id(0));
    assert_eq!(order, [10, 1, 2, 3]);
}

#[rstest]
#[case::equal(1.0, 2)]
#[case::triple(3.0, 3)]
fn dequeue_follows_weights(#[case] weight: f64, #[case] heavy_in_first_four: usize) {
    let now = Instant::now();
    let settings = Settings {
        queue_least: 20,
        ..Settings::default()
    };
    let mut admission = Admission::new(settings, 1);
    let far_deadline = now + Duration::from_secs(10);
    admission.arrive(now, arrival(0, "first", far_deadline), 1.0);
    for id in 0..6 {
        admission.arrive(now, arrival(100 + id, "heavy", far_deadline), weight);
        admission.arrive(now, arrival(200 + id, "light", far_deadline), 1.0);
    }
    let order = run_queue(&mut admission, now, Id(0));
    let heavy = order[..4].iter().filter(|id| (100..200).contains(*id));
    assert_eq!(heavy.count(), heavy_in_first_four);
}

/// Guards against a large client account that fills the queue and keeps a small one out. The small
/// account's request is queued, and the large account's newest one is refused as not run.
#[test]
fn arrive_displaces_the_longest_backlog_when_full() {
    let now = Instant::now();
    let mut admission = admission(1);
    let far_deadline = now + Duration::from_secs(10);
    for id in 0..5 {
        admission.arrive(now, arrival(id, "large", far_deadline), 1.0);
    }
    let large = admission.arrive(now, arrival(5, "large", far_deadline), 1.0);
    assert!(matches!(large, Decision::Refuse(refusal) if refusal.reason == Reason::Busy));
    let small = admission.arrive(now, arrival(10, "small", far_deadline), 1.0);
    assert_eq!(small, Decision::Queue);
    let displaced = drain(&mut admission, now);
    assert!(
        matches!(displaced[..], [Action::Refuse(Id(4), refusal)] if refusal.outcome == Outcome::NotRun)
    );
}

#[test]
fn cancel_removes_the_request_from_the_queue() {
    let now = Instant::now();
    let mut admission = admission(1);
    let far_deadline = now + Duration::from_secs(10);
    admission.arrive(now, arrival(0, "a", far_deadline), 1.0);
    admission.arrive(now, arrival(1, "a", far_deadline), 1.0);
    admission.cancel(Id(1));
    admission.finish(Id(0));
    assert_eq!(drain(&mut admission, now), []);
    assert_eq!(admission.report(now).queued, 0);
}

#[test]
fn limit_falls_when_the_upstream_sheds_and_recovers() {
    let mut now = Instant::now();
    let mut admission = admission(10);
    let far_deadline = now + Duration::from_mins(10);
    for id in 0..3 {
        admission.arrive(now, arrival(id, "a", far_deadline), 1.0);
        admission.record_answer(now, Id(id), Answer::Shed);
        admission.finish(Id(id));
        now += Duration::from_secs(1);
    }
    let lowered = admission.report(now).limit;
    assert!(lowered < 10, "limit {lowered}");
    for id in 10..400 {
        admission.arrive(now, arrival(id, "a", far_deadline), 1.0);
        admission.record_answer(now + SERVICE_TIME, Id(id), Answer::Served);
        admission.finish(Id(id));
        now += SERVICE_TIME;
    }
    assert_eq!(admission.report(now).limit, 10);
}

#[test]
fn refuse_queued_empties_the_queue_as_not_run() {
    let now = Instant::now();
    let mut admission = admission(1);
    let far_deadline = now + Duration::from_secs(10);
    for id in 0..3 {
        admission.arrive(now, arrival(id, "a", far_deadline), 1.0);
    }
    admission.refuse_queued(now, Reason::Doubtful);
    let refused = drain(&mut admission, now);
    assert_eq!(refused.len(), 2);
    let is_not_run =
        |action: &Action| matches!(action, Action::Refuse(_, r) if r.outcome == Outcome::NotRun);
    assert!(refused.iter().all(is_not_run));
}

/// An upstream that slows down before all its slots are taken gets requests for only a share of
/// them, also after successful answers have raised the limit.
#[test]
fn arrive_admits_up_to_the_share_of_the_slots() {
    let settings = Settings {
        slots_share: 0.8,
        ..Settings::default()
    };
    let mut admission = Admission::new(settings, 12);
    let now = Instant::now();
    let admitted = |admission: &mut Admission, ids: std::ops::Range<u64>| {
        ids.filter(|id| {
            let arrival = Arrival {
                id: Id(*id),
                client_account: Arc::from("a"),
                deadline: now + Duration::from_secs(10),
                target: now + Duration::from_secs(10),
                priority: 0,
                route: Arc::from("route"),
                only_in_time: false,
            };
            admission.arrive(now, arrival, 1.0) == Decision::Admit
        })
        .count()
    };
    assert_eq!(admitted(&mut admission, 0..20), 9);
    for _ in 0..1_000 {
        admission.record_answer(now, Id(0), Answer::Served);
    }
    assert_eq!(admission.report(now).limit, 9);
}

fn with_target(id: u64, target: Instant, deadline: Instant, only_in_time: bool) -> Arrival {
    Arrival {
        target,
        only_in_time,
        ..arrival(id, "a", deadline)
    }
}

/// Several nodes choose the same upstream concurrently. A request that would be late is refused
/// immediately if another host can be tried, and queued if this is the last host.
#[rstest]
#[case::other_hosts_remain(true, Some(Reason::Late))]
#[case::last_host(false, None)]
fn arrive_refuses_late_requests_while_other_hosts_remain(
    #[case] only_in_time: bool,
    #[case] refused: Option<Reason>,
) {
    let mut admission = admission(2);
    let now = Instant::now();
    let (target, deadline) = (now + SERVICE_TIME, now + SERVICE_TIME * 50);
    for id in 0..2 {
        admission.arrive(now, with_target(id, target, deadline, true), 1.0);
    }
    let decision = admission.arrive(now, with_target(2, target, deadline, only_in_time), 1.0);
    let reason = match decision {
        Decision::Refuse(refusal) => Some(refusal.reason),
        _ => None,
    };
    assert_eq!(reason, refused);
}

/// Guards against a long overload filling the queue with late requests that wait until they are
/// refused at their deadline.
#[test]
fn arrive_limits_late_requests_in_the_queue() {
    let mut admission = admission(8);
    let now = Instant::now();
    let (target, deadline) = (now + SERVICE_TIME, now + SERVICE_TIME * 50);
    let waiting = (0..40)
        .filter(|id| {
            let arrival = with_target(*id, target, deadline, false);
            admission.arrive(now, arrival, 1.0) == Decision::Queue
        })
        .count();
    assert_eq!(waiting, 4);
}

const SLOW_PHASE: Duration = Duration::from_millis(300);

/// Admission control of an upstream that reported its host as four times slower than usual; the
/// service time is 120 ms.
fn on_slow_host(now: Instant) -> Admission {
    let settings = Settings {
        service_time_initial: Duration::from_millis(120),
        slow_phase: SLOW_PHASE,
        ..Settings::default()
    };
    let mut admission = Admission::new(settings, 4);
    admission.observe_load(now, &slowness(100));
    assert!(admission.observe_load(now, &slowness(400)));
    assert!(
        !admission.observe_load(now, &slowness(400)),
        "the slowness is unchanged"
    );
    admission
}

fn slowness(percent: u32) -> Upstream {
    Upstream {
        running: 0,
        waiting: 0,
        slots: 4,
        slowness_percent: Some(percent),
    }
}

/// The host becomes four times slower. A request that can go to another host is refused even though
/// slots are free, because it would stay slow until it finishes. Once the report has expired, such
/// a request is admitted again.
#[test]
fn arrive_on_a_slow_host_refuses_requests_that_may_go_elsewhere() {
    let now = Instant::now();
    let mut admission = on_slow_host(now);
    let deadline = now + Duration::from_secs(10);
    let decision = admission.arrive(now, with_target(0, deadline, deadline, true), 1.0);
    let Decision::Refuse(refusal) = decision else {
        panic!("must go elsewhere: {decision:?}");
    };
    assert_eq!(
        (refusal.outcome, refusal.reason),
        (Outcome::NotRun, Reason::Late)
    );
    let later = now + SLOW_PHASE;
    let decision = admission.arrive(later, with_target(1, deadline, deadline, true), 1.0);
    assert_eq!(decision, Decision::Admit);
}

/// If no other host is left, the request waits for the end of the slow phase, which costs less than
/// running slowly, and starts as soon as the host is reported at its usual pace.
#[test]
fn arrive_on_a_slow_host_waits_for_the_end_of_the_phase() {
    let now = Instant::now();
    let mut admission = on_slow_host(now);
    let deadline = now + Duration::from_secs(10);
    let decision = admission.arrive(now, with_target(0, deadline, deadline, false), 1.0);
    assert_eq!(decision, Decision::Queue);
    assert_eq!(admission.poll(now), None);
    assert!(admission.is_waiting_for_slow_phase(now));
    assert_eq!(admission.wake_at(now), Some(now + SLOW_PHASE));
    let ended = now + Duration::from_millis(40);
    admission.observe_load(ended, &slowness(100));
    assert_eq!(admission.poll(ended), Some(Action::Admit(Id(0))));
}

/// Guards against waiting forever on a host that stays slow longer than any temporary phase, for
/// example because of permanent load by other tenants. Requests that can't go elsewhere start.
#[test]
fn poll_admits_on_a_host_that_stays_slow() {
    let mut now = Instant::now();
    let mut admission = on_slow_host(now);
    let deadline = now + Duration::from_secs(10);
    admission.arrive(now, with_target(0, deadline, deadline, false), 1.0);
    for _ in 0..9 {
        now += Duration::from_millis(100);
        admission.observe_load(now, &slowness(400));
        assert_eq!(admission.poll(now), None);
    }
    now += Duration::from_millis(100);
    admission.observe_load(now, &slowness(400));
    assert_eq!(admission.poll(now), Some(Action::Admit(Id(0))));
}

/// A restarted upstream is cold: requests take twice as long for seconds, and four times that in a
/// slow phase. Waiting doesn't warm the upstream, so requests start at twice the usual service
/// time and wait only for the end of the slow phase.
#[rstest]
#[case::cold(200, Decision::Admit)]
#[case::cold_and_slow(800, Decision::Queue)]
fn arrive_on_a_cold_host(#[case] percent: u32, #[case] expected: Decision) {
    let now = Instant::now();
    let mut admission = on_slow_host(now);
    admission.reset_after_restart(now);
    admission.observe_load(now, &slowness(200));
    admission.observe_load(now, &slowness(percent));
    let deadline = now + Duration::from_secs(10);
    let decision = admission.arrive(now, with_target(0, deadline, deadline, false), 1.0);
    assert_eq!(decision, expected);
    assert_eq!(admission.report(now).slowness_percent, percent);
}
