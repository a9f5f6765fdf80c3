//! Trace context is propagated from the caller to the upstream.

mod common;

use common::{Plan, get, hosts, start_threads};
use mintridge_bench::caller::Caller;
use mintridge_standin::scene::Scene;
use mintridge_standin::upstream::{RECEIVED_TRACEPARENT, TRACEPARENT};
use rstest::rstest;

const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";
const SPAN: &str = "b7ad6b7169203331";

/// Sends a request with this trace context and returns the one that the upstream received.
async fn upstream_traceparent(scene: &Scene, sent: &str) -> Option<String> {
    let headers = [(TRACEPARENT, sent)];
    let caller = Caller::default();
    let response = caller
        .send(scene.addresses(0).callers, &get("traced"), &headers)
        .await?;
    let received = response.headers().get(RECEIVED_TRACEPARENT)?;
    Some(received.to_str().ok()?.to_owned())
}

#[rstest]
#[case::sampled(true)]
#[case::not_sampled(false)]
#[tokio::test]
async fn traceparent_passes_to_the_upstream(#[case] sampled: bool) {
    let adjust = if sampled {
        |settings: &mut mintridge_node::settings::Settings| settings.traces.sampled = true
    } else {
        |_: &mut mintridge_node::settings::Settings| {}
    };
    let plan = Plan { adjust, ..hosts(2) };
    let scene = start_threads(plan).await;
    let received = upstream_traceparent(&scene, &format!("00-{TRACE}-{SPAN}-01"))
        .await
        .expect("it passes");
    assert!(received.contains(TRACE), "{received}");
    assert_eq!(
        received.contains(SPAN),
        !sampled,
        "each hop has its own span: {received}"
    );
}
