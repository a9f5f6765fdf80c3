//! Large bodies reach the node beside the upstream in few round trips, and only if there is a slot.

mod common;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use common::{ENTRY, RELAYED, Scene, get, post_without_key, relayed, with_timeout};
use mintridge_bench::caller::{Call, Reply};
use mintridge_standin::relay::{Condition, Relay};
use mintridge_standin::scene::wait_for;
use mintridge_standin::upstream::Echo;

/// Size of a scanned document.
const UPLOAD_BYTES: usize = 360_000;
/// Maximum number of bytes sent for a request that has no slot yet: the beginning of its body,
/// which is needed for its fingerprint, its head, and the traffic that keeps the link alive.
const MAX_BYTES_BEFORE_SLOT: usize = 24 * 1024;

/// A host behind a relay, and an entry with an open link to it.
async fn relayed_with_open_link() -> (Scene, Arc<Relay>) {
    let (scene, relay) = relayed().await;
    assert!(scene.call(ENTRY, &get("opens-the-link")).await.is_success());
    (scene, relay)
}

fn upload(id: &str) -> Call {
    Call {
        body: Bytes::from(vec![7; UPLOAD_BYTES]),
        ..post_without_key(id)
    }
}

/// Guards against uploads that miss their deadline because they need too many round trips. A caller
/// uploads 360 KB within two seconds, while each round trip between the nodes takes 100 ms, as on a
/// machine whose threads wait that long to be scheduled. At 16 KB a round trip the upload needs 23
/// of them, and its caller gets a 504 while the upload is still in progress. The log of such a
/// machine has `attempt` lines with outcome `deadline` for one upload after the other (300 KB after
/// 2.2 s), and for almost no request without a body.
#[tokio::test]
async fn upload_takes_few_round_trips() {
    let (scene, relay) = relayed_with_open_link().await;
    relay.set(Condition::Slow(50));
    let reply = scene
        .call(ENTRY, &with_timeout(2_000, upload("upload")))
        .await;
    let Reply::Answer { body, .. } = &reply else {
        panic!("{reply:?}");
    };
    let answer = Echo::parse(body).expect("an answer of the stand-in");
    assert_eq!(answer.body_bytes, UPLOAD_BYTES as u64);
}

/// Guards against a body that is sent for a request that may still be refused. All slots of the
/// upstream are taken, so an upload waits for one. Until then only the beginning of its body is
/// sent to the host; once it has a slot the rest follows, and its caller gets the response.
#[tokio::test]
async fn body_is_not_sent_before_there_is_a_slot() {
    let (scene, relay) = relayed_with_open_link().await;
    scene.update_behaviour(RELAYED, |behaviour| behaviour.service_micros = 1_500_000);
    let entry = scene.addresses(ENTRY).callers;
    let mut running = Vec::new();
    let slots = scene.hosts[RELAYED].upstream.behaviour().slots;
    for n in 0..slots {
        let caller = scene.caller.clone();
        let call = with_timeout(10_000, get(&format!("before-{n}")));
        running.push(tokio::spawn(async move { caller.call(entry, &call).await }));
    }
    wait_for("all slots are taken", || {
        (0..slots).all(|n| scene.runs(&format!("before-{n}")) == 1)
    })
    .await;
    let before = relay.forwarded_bytes();
    let caller = scene.caller.clone();
    let waiting = tokio::spawn(async move {
        caller
            .call(entry, &with_timeout(20_000, upload("waits")))
            .await
    });
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(scene.runs("waits"), 0);
    let forwarded = relay.forwarded_bytes() - before;
    assert!(forwarded < MAX_BYTES_BEFORE_SLOT, "{forwarded} bytes");
    let timed_reply = waiting.await.expect("the caller lives");
    assert!(timed_reply.reply.is_success(), "{:?}", timed_reply.reply);
}
