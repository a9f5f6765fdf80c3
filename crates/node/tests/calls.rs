//! Calls that an upstream makes while it runs a request are recognized by their deadline.

mod common;

use std::time::{Duration, Instant};

use common::{get, hosts, start_processes, with_timeout};
use mintridge_standin::scene::wait_for;

const CALLS: &str = "mintridge_calls_total";

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
