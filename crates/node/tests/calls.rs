//! Calls that an upstream makes while it runs a request are recognized by their deadline.

mod common;

use std::time::{Duration, Instant};

use common::{Plan, get, hosts, post_without_key, start_processes, with_timeout};
use mintridge_bench::caller::{Call, Reply};
use mintridge_core::outcome::{Outcome, Reason};
use mintridge_standin::scene::{Scene, wait_for};
use mintridge_standin::upstream::Mode;
use tokio::task::JoinHandle;

const CALLS: &str = "mintridge_calls_total";

/// Sends ten requests, whose callers wait for four seconds.
async fn send_ten(scene: &Scene, name: &str, gap: Duration) -> Vec<JoinHandle<Reply>> {
    let mut sent = Vec::new();
    for n in 0..10 {
        let (entry, caller) = (scene.addresses(0).callers, scene.caller.clone());
        let call = with_timeout(4_000, post_without_key(&format!("{name}-{n}")));
        sent.push(tokio::spawn(async move {
            caller.call(entry, &call).await.reply
        }));
        tokio::time::sleep(gap).await;
    }
    sent
}

/// Failure: runs that lose their calls are admitted without end, or their loss is not attributed to
/// the refused calls.
#[tokio::test]
async fn requests_whose_calls_are_refused_are_limited() {
    let scene = start_processes(Plan {
        adjust: |settings| settings.admission.failed_runs_most = 0.5,
        ..hosts(1)
    })
    .await;
    scene.update_behaviour(0, |behaviour| {
        behaviour.service_micros = 1_200_000;
        behaviour.manner = Mode::FailSlowly;
    });
    let first_at = Instant::now();
    let parents = send_ten(&scene, "parent", Duration::from_millis(15)).await;
    let last_at = Instant::now();
    // No host offers the called service. The deadlines sweep over those of all parents.
    let mut due = first_at + Duration::from_millis(3_990);
    while due < last_at + Duration::from_millis(4_020) {
        let left = due.saturating_duration_since(Instant::now());
        let left = u64::try_from(left.as_millis()).expect("it is short");
        let call = Call {
            service: "absent".to_owned(),
            ..with_timeout(left, get("call"))
        };
        assert!(!scene.call(0, &call).await.is_success());
        due += Duration::from_millis(3);
    }
    for parent in parents {
        assert!(!parent.await.expect("the caller lives").is_success());
    }
    let mut refused = 0;
    for reply in send_ten(&scene, "later", Duration::ZERO).await {
        if let Reply::Refused {
            reason, outcome, ..
        } = reply.await.expect("the caller lives")
            && reason == Reason::DependencyFailing
        {
            assert_eq!(outcome, Outcome::NotRun);
            refused += 1;
        }
    }
    assert_eq!(refused, 7, "three of ten are probes");
}

/// Failure: the deadline of the run that the guard records is not the one that the entry compares,
/// so that no call is recognized, or every request is.
#[tokio::test]
async fn request_with_the_deadline_of_a_run_is_its_call() {
    let scene = start_processes(hosts(1)).await;
    scene.update_behaviour(0, |behaviour| behaviour.service_micros = 1_500_000);
    let (entry, caller) = (scene.addresses(0).callers, scene.caller.clone());
    let sent_at = Instant::now();
    let parent = tokio::spawn(async move {
        let call = with_timeout(4_000, get("parent"));
        caller.call(entry, &call).await.reply
    });
    wait_for("the parent runs", || scene.runs("parent") == 1).await;
    scene.update_behaviour(0, |behaviour| behaviour.service_micros = 1_000);
    let other = with_timeout(2_000, get("other"));
    assert!(scene.call(0, &other).await.is_success());
    assert!(scene.counter(0, CALLS).await < 1.0, "not a call");
    // The test cannot state the deadline to the millisecond, so it tries some around it.
    for offset in (0..60).step_by(4) {
        let left = Duration::from_millis(3_980 + offset).saturating_sub(sent_at.elapsed());
        let left = u64::try_from(left.as_millis()).expect("it is short");
        let call = with_timeout(left, get(&format!("call-{offset}")));
        assert!(scene.call(0, &call).await.is_success());
    }
    assert!(scene.counter(0, CALLS).await >= 1.0, "no call recognized");
    assert!(parent.await.expect("the caller lives").is_success());
}
