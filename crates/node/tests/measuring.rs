//! Measuring the upstreams' load never costs more than its budget.

mod common;

use std::time::{Duration, Instant};

use common::{
    Plan, Replies, get, hosts, mixed_load, post_without_key, set_all_modes, start_processes,
    with_timeout,
};
use mintridge_bench::caller::Call;
use mintridge_core::preset::Preset;
use mintridge_standin::scene::Scene;
use mintridge_standin::upstream::{Mode, STATUS};
use rstest::rstest;

/// Upstream time of a node's first probe, for which its budget has enough from the start.
const FIRST_PROBE_COST: Duration = Duration::from_millis(25);

/// Time after which a node has published a change of its upstream's load.
const PUBLISHED_WITHIN: Duration = Duration::from_secs(1);

fn probes(scene: &Scene) -> u64 {
    let counts = scene.hosts.iter().map(|host| host.upstream.counts());
    counts.map(|host_counts| host_counts.probes).sum()
}

/// Without traffic and under steady traffic the upstreams must receive no probes, as nodes count
/// load from the requests themselves.
#[tokio::test]
async fn steady_traffic_costs_no_probe() {
    let scene = start_processes(hosts(3)).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let mut replies = Replies::default();
    replies.run(&mixed_load(&scene, 150.0, 2.0)).await;
    replies.all_succeeded();
    assert_eq!(probes(&scene), 0);
}

/// All upstreams fail fast and their probes hang: apart from the first probe of each node, probes
/// must use no more of the upstreams' time than the share granted by the preset.
#[tokio::test]
async fn hanging_probes_of_all_upstreams_stay_in_the_budget() {
    let scene = start_processes(hosts(3)).await;
    let started_at = Instant::now();
    for index in 0..3 {
        scene.update_behaviour(index, |behaviour| behaviour.hang_probes = true);
    }
    set_all_modes(&scene, Mode::FailFast);
    for n in 0..400 {
        scene.call(n % 3, &get(&format!("id-{n}"))).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(probes(&scene) > 3, "doubtful upstreams are probed");
    let share = Preset::default().probe_share;
    for index in 0..3 {
        let status = scene.status(index).await.expect("it answers");
        let spent = Duration::from_micros(status.guarded.probe_micros);
        let allowed =
            FIRST_PROBE_COST + started_at.elapsed().mul_f64(share) + Duration::from_millis(1);
        assert!(spent <= allowed, "{spent:?} of {allowed:?}");
    }
}

/// Requests fail because their callers set too short a timeout or because they fail slowly. The
/// upstream must not become doubtful, so that other callers are served without interruption.
#[rstest]
#[case::impatient(Mode::Serve, 50_000, 10)]
#[case::slow_failure(Mode::FailSlowly, 20_000, 5_000)]
#[tokio::test]
async fn failures_of_one_caller_make_no_upstream_doubtful(
    #[case] mode: Mode,
    #[case] service_micros: u64,
    #[case] allowed_millis: u64,
) {
    let scene = start_processes(hosts(1)).await;
    scene.update_behaviour(0, |behaviour| {
        behaviour.manner = mode;
        behaviour.service_micros = service_micros;
    });
    for n in 0..10 {
        let call = with_timeout(allowed_millis, post_without_key(&format!("failing-{n}")));
        let result = scene.call(0, &call).await;
        assert!(!result.is_success() && !result.is_not_run(), "{result:?}");
    }
    assert_eq!(
        probes(&scene),
        0,
        "the upstream is not doubtful and not probed"
    );
}

/// An upstream that states which requests it sheds ends runs with status 503 or 429. Guards against
/// taking these for shed requests, which lowers the limit until the upstream is almost unused.
#[rstest]
#[case::unavailable(503)]
#[case::too_many_requests(429)]
#[tokio::test]
async fn failed_runs_lower_no_limit(#[case] status: u16) {
    let scene = start_processes(Plan {
        adjust: |settings| settings.upstream.not_run_header = Some("x-not-run".to_owned()),
        ..hosts(1)
    })
    .await;
    let limit = || async {
        scene
            .status(0)
            .await
            .expect("it answers")
            .guarded
            .load
            .limit
    };
    let before = limit().await;
    for n in 0..20 {
        let call = Call {
            path: format!("{STATUS}{status}/100"),
            ..post_without_key(&format!("failing-{n}"))
        };
        scene.call(0, &call).await;
    }
    tokio::time::sleep(PUBLISHED_WITHIN).await;
    assert_eq!(limit().await, before);
}

/// Failed upstreams recover: probes within the budget must detect it, so that callers are served
/// again without a restart.
#[tokio::test]
async fn doubtful_upstreams_recover_without_a_restart() {
    let scene = start_processes(hosts(2)).await;
    set_all_modes(&scene, Mode::FailFast);
    for n in 0..20 {
        scene.call(n % 2, &get(&format!("id-{n}"))).await;
    }
    scene
        .wait_until("all are doubtful", |status| status.guarded.doubtful)
        .await;
    let result = scene.call(0, &get("refused")).await;
    assert!(result.is_not_run(), "{result:?}");
    set_all_modes(&scene, Mode::Serve);
    scene
        .wait_until("none is doubtful", |status| !status.guarded.doubtful)
        .await;
    assert!(scene.call(0, &get("served")).await.is_success());
}
