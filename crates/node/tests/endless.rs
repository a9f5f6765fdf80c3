//! Upstreams that send without end: the caller, the upstream's slot and the node's memory are kept only
//! for as long as a sound response could need.

mod common;

use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{Plan, get, hosts, start_processes, with_timeout};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use mintridge_bench::caller::Call;
use mintridge_standin::cost;
use mintridge_standin::scene::Scene;
use mintridge_standin::upstream::{CHUNKS, ENDLESS, TRICKLE};
use rstest::rstest;

const TIMEOUT_MS: u64 = 800;
/// Longest time for which a caller may get a body without end, on a busy machine.
const MAX_DURATION: Duration = Duration::from_secs(4);
/// What a node's memory may grow by, far below what upstreams send meanwhile.
const MAX_GROWTH_BYTES: u64 = 40_000_000;

async fn send(scene: &Scene, path: &str, timeout_ms: u64) -> Response<Incoming> {
    let call = Call {
        path: path.to_owned(),
        ..with_timeout(timeout_ms, get("body"))
    };
    let entry = scene.addresses(0).callers;
    let response = scene.caller.send(entry, &call, &[]).await;
    response.expect("a response")
}

/// Reads a body to its end, with a pause after each MiB; returns its length, and whether it is
/// complete.
async fn read(response: Response<Incoming>, pause: Duration) -> (usize, bool) {
    const MIB: usize = 1024 * 1024;
    let (mut body, mut length) = (response.into_body(), 0);
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return (length, false);
        };
        let before = length;
        length += frame.data_ref().map_or(0, Bytes::len);
        if length / MIB > before / MIB {
            tokio::time::sleep(pause).await;
        }
    }
    (length, true)
}

/// Guards against a body without end that keeps its caller and a slot of the upstream.
#[rstest]
#[case::fast(ENDLESS)]
#[case::trickle(TRICKLE)]
#[tokio::test]
async fn body_without_end_is_broken_off(#[case] path: &str) {
    let scene = start_processes(hosts(1)).await;
    let process = scene.process(0).id();
    let before = cost::resident_bytes(process);
    let started_at = Instant::now();
    let response = send(&scene, path, TIMEOUT_MS).await;
    assert_eq!(response.status(), StatusCode::OK);
    let reading = tokio::time::timeout(2 * MAX_DURATION, read(response, Duration::ZERO));
    let read = reading.await;
    let took = started_at.elapsed();
    assert!(matches!(read, Ok((_, false))), "{read:?}");
    assert!(took < MAX_DURATION, "{took:?}");
    let grown = cost::resident_bytes(process).saturating_sub(before);
    assert!(grown < MAX_GROWTH_BYTES, "grown by {grown} bytes");
    scene
        .wait_until_on(&[0], "its slot is free", |status| {
            status.guarded.load.in_flight == 0
        })
        .await;
}

/// Guards against breaking off a sound response that is long and read slowly, so that most of it
/// arrives after the deadline.
#[rstest]
#[case::without_length(CHUNKS)]
#[case::with_length("/bytes/")]
#[tokio::test]
async fn long_response_arrives_whole_after_the_deadline(#[case] prefix: &str) {
    const BYTES: usize = 40_000_000;
    let scene = start_processes(Plan {
        adjust: |settings| settings.callers.body_idle = Duration::from_mins(1),
        ..hosts(1)
    })
    .await;
    let started_at = Instant::now();
    let response = send(&scene, &format!("{prefix}{BYTES}"), TIMEOUT_MS).await;
    let read = read(response, Duration::from_millis(60)).await;
    assert_eq!(read, (BYTES, true));
    let took = started_at.elapsed();
    assert!(took > Duration::from_millis(2 * TIMEOUT_MS), "{took:?}");
}
