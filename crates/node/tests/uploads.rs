//! Large bodies on their way to the node beside the upstream: few trips, and nothing for nothing.

mod common;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use common::{BEHIND, ENTRY, Scene, bare_post, get, relayed, within};
use mintridge_bench::caller::{Call, Told};
use mintridge_standin::relay::{Condition, Relay};
use mintridge_standin::scene::wait_for;
use mintridge_standin::upstream::Result as Answer;

/// Bytes of a scanned document.
const LARGE: usize = 360_000;
/// What may be carried for a request that has no slot yet: the beginning of its body, which tells
/// whose it is, with its head and what keeps the link.
const CARRIED_MOST: usize = 24 * 1024;

/// A host behind a relay, and an entry that has a link to it.
async fn linked() -> (Scene, Arc<Relay>) {
    let (scene, relay) = relayed().await;
    assert!(scene.call(ENTRY, &get("opens-the-link")).await.is_success());
    (scene, relay)
}

fn upload(id: &str) -> Call {
    Call {
        body: Bytes::from(vec![7; LARGE]),
        ..bare_post(id)
    }
}

/// A caller uploads a document of 360 KB and has two seconds. Each trip between the nodes takes a
/// tenth of a second, as on a machine whose threads wait that long for their turn. Sent 16 KB a
/// trip it takes 23 of them, and its caller is told 504 while the upload runs. The log lines of
/// such a machine: `attempt` with outcome `deadline`, of 300 KB after 2.2 s, for one upload after
/// the other, and of next to no request without a body.
#[tokio::test]
async fn upload_takes_few_trips() {
    let (scene, relay) = linked().await;
    relay.set(Condition::Slow(50));
    let told = scene.call(ENTRY, &within(2_000, upload("upload"))).await;
    let Told::Answer { body, .. } = &told else {
        panic!("{told:?}");
    };
    let answer = Answer::parse(body).expect("an answer of the stand-in");
    assert_eq!(answer.body_bytes, LARGE as u64);
}

/// Every slot of the upstream is taken, so that an upload waits for one and may be refused yet.
/// Meanwhile only the beginning of its body is carried to the host; once it has a slot the rest
/// follows, and its caller gets the answer.
#[tokio::test]
async fn upload_that_waits_is_not_carried() {
    let (scene, relay) = linked().await;
    scene.behave(BEHIND, |behaviour| behaviour.service_micros = 1_500_000);
    let entry = scene.addresses(ENTRY).callers;
    let mut running = Vec::new();
    let slots = scene.hosts[BEHIND].upstream.behaviour().slots;
    for n in 0..slots {
        let caller = scene.caller.clone();
        let call = within(10_000, get(&format!("before-{n}")));
        running.push(tokio::spawn(async move { caller.call(entry, &call).await }));
    }
    wait_for("all slots are taken", || {
        (0..slots).all(|n| scene.runs(&format!("before-{n}")) == 1)
    })
    .await;
    let before = relay.carried();
    let caller = scene.caller.clone();
    let waits =
        tokio::spawn(async move { caller.call(entry, &within(20_000, upload("waits"))).await });
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(scene.runs("waits"), 0);
    let carried = relay.carried() - before;
    assert!(carried < CARRIED_MOST, "{carried} bytes");
    let heard = waits.await.expect("the caller lives");
    assert!(heard.told.is_success(), "{:?}", heard.told);
}
