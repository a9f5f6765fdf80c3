//! A caller receives the complete response to its own request, or can see that it is incomplete.

mod common;

use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{
    ENTRY, Plan, RELAYED, Replies, get, hosts, is_broken, mixed_load, post, relayed,
    start_processes, start_processes_with_entry, start_threads, with_timeout,
};
use hyper::Method;
use mintridge_bench::caller::{Call, Reply};
use mintridge_core::outcome::{Outcome, Reason};
use mintridge_node::settings::Settings;
use mintridge_standin::relay::Condition;
use mintridge_standin::scene::wait_for;
use mintridge_standin::upstream::{Echo, Mode};
use rstest::rstest;
use rustix::process::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

fn bytes(length: usize) -> Call {
    Call {
        path: format!("/bytes/{length}"),
        timeout: Duration::from_secs(30),
        ..get("bytes")
    }
}

#[rstest]
#[case::nothing(0)]
#[case::one(1)]
#[case::window(128 * 1024)]
#[case::large(20_000_000)]
#[tokio::test]
async fn response_arrives_whole(#[case] length: usize) {
    let scene = start_processes(hosts(2)).await;
    for entry in 0..2 {
        let Reply::Answer { body, .. } = scene.call(entry, &bytes(length)).await else {
            panic!("no answer");
        };
        assert_eq!(body.len(), length);
    }
}

#[rstest]
#[case::nothing(0)]
#[case::replay_limit(256 * 1024)]
#[case::large(20_000_000)]
#[tokio::test]
async fn request_arrives_whole(#[case] length: usize) {
    let content: Vec<u8> = (0..=u8::MAX).cycle().take(length).collect();
    let digest = blake3::hash(&content).to_hex().to_string();
    // The digest blocks this thread, which also announces the stand-ins, for up to seconds.
    let scene = start_processes(hosts(2)).await;
    let call = Call {
        body: Bytes::from(content),
        timeout: Duration::from_secs(30),
        ..post("upload", "key")
    };
    let Reply::Answer { body, .. } = scene.call(0, &call).await else {
        panic!("no answer");
    };
    let answer = Echo::parse(&body).expect("an answer of the stand-in");
    assert_eq!(
        (answer.body_bytes, answer.body_digest),
        (length as u64, digest)
    );
}

/// A host refuses a request with a body before it sends it to its upstream. Guards against a retry
/// on the next host with a truncated body.
#[tokio::test]
async fn request_body_is_whole_at_the_second_host() {
    let scene = start_processes(hosts(2)).await;
    scene.end_upstream(0);
    let content = vec![7_u8; 100_000];
    let digest = blake3::hash(&content).to_hex().to_string();
    for n in 0..6 {
        let call = Call {
            body: Bytes::from(content.clone()),
            ..post(&format!("id-{n}"), &format!("key-{n}"))
        };
        let reply = scene.call(0, &call).await;
        let Reply::Answer { body, .. } = &reply else {
            panic!("{reply:?}");
        };
        let answer = Echo::parse(body).expect("an answer of the stand-in");
        assert_eq!(answer.body_digest, digest);
    }
}

/// The upstream aborts its response halfway. Guards against a truncated response that looks
/// complete to the caller.
#[tokio::test]
async fn truncated_response_is_reported_as_broken() {
    let scene = start_processes(hosts(1)).await;
    scene.update_behaviour(0, |behaviour| behaviour.manner = Mode::BreakAnswers);
    let reply = scene.call(0, &bytes(1_000_000)).await;
    assert_eq!(reply, Reply::Broken { begun: true });
}

/// The node beside the upstream is killed while it forwards a response. Guards against a truncated
/// response that looks complete to the caller.
#[tokio::test]
async fn response_truncated_by_a_killed_guard_is_reported_as_broken() {
    let mut scene = start_processes_with_entry(1).await;
    let entry = scene.addresses(1).callers;
    let caller = scene.caller.clone();
    let call = bytes(2_000_000_000);
    let reading = tokio::spawn(async move { caller.call(entry, &call).await.reply });
    wait_for("the response begins", || {
        scene.hosts[0].upstream.counts().open == 0 && scene.runs("bytes") == 1
    })
    .await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    scene.kill(0).await;
    let reply = reading.await.expect("the caller lives");
    assert!(is_broken(&reply), "{reply:?}");
}

/// An upstream receives what a nested call needs: the client account and the time left.
#[tokio::test]
async fn client_account_and_time_left_reach_the_upstream() {
    let scene = start_threads(hosts(1)).await;
    let call = Call {
        client_account: String::from("printer-7"),
        ..with_timeout(3_000, post("deeper", "key"))
    };
    let Reply::Answer { body, .. } = scene.call(0, &call).await else {
        panic!("no answer");
    };
    let answer = Echo::parse(&body).expect("an answer of the stand-in");
    assert_eq!(answer.client_account, "printer-7");
    let left: u64 = answer.left_millis.parse().expect("a number");
    assert!(left > 0 && left <= 3_000, "{left}");
}

/// Guards against a response that reaches the wrong caller under load. Every request is different.
///
/// Upstreams, store and callers share one thread here. When the machine does not schedule it for
/// half a second, all due requests are sent at once, and with the default queue some are rightly
/// refused. The queue and the store's timeout are large enough for that, so every request must
/// succeed.
#[tokio::test]
async fn answers_are_never_mixed_up() {
    let scene = start_processes(Plan {
        adjust: |settings| {
            settings.admission.queue_per_slot = 100.0;
            settings.store.timeout = Duration::from_secs(4);
        },
        ..hosts(3)
    })
    .await;
    let mut replies = Replies::default();
    replies.run(&mixed_load(&scene, 300.0, 3.0)).await;
    replies.check(&scene);
    replies.all_succeeded();
}

/// The caller disconnects. Guards against work that goes on at the upstream and keeps its slot.
#[tokio::test]
async fn caller_disconnect_cancels_the_request() {
    let scene = start_processes(hosts(1)).await;
    scene.update_behaviour(0, |behaviour| behaviour.manner = Mode::Silent);
    let entry = scene.addresses(0).callers;
    let caller = scene.caller.clone();
    let call = with_timeout(60_000, get("given-up"));
    let calling = tokio::spawn(async move { caller.call(entry, &call).await });
    let open = || scene.hosts[0].upstream.counts().open;
    wait_for("it runs", || open() == 1).await;
    calling.abort();
    wait_for("it is cancelled", || open() == 0).await;
    scene
        .wait_until_on(&[0], "its slot is free", |status| {
            status.guarded.load.in_flight == 0
        })
        .await;
}

/// Every caller is answered by its deadline plus a small grace, even if the upstream does not
/// respond or the node beside it is paused.
#[rstest]
#[case::upstream_silent(false)]
#[case::guard_paused(true)]
#[tokio::test]
async fn deadline_is_kept(#[case] guard_paused: bool) {
    let scene = start_processes_with_entry(1).await;
    scene.update_behaviour(0, |behaviour| behaviour.manner = Mode::Silent);
    if guard_paused {
        scene.process(0).signal(Signal::STOP).expect("paused");
    }
    let call = with_timeout(700, post("late", "key"));
    let started_at = Instant::now();
    let reply = scene.call(1, &call).await;
    // The grace is 25 ms; the rest is a margin for a busy machine.
    assert!(
        started_at.elapsed() < Duration::from_secs(4),
        "{:?}",
        started_at.elapsed()
    );
    assert!(reply.is_unknown() || reply.is_not_run(), "{reply:?}");
    if guard_paused {
        scene.process(0).signal(Signal::CONT).expect("resumed");
    }
}

/// Guards against a refusal that is sent only near the deadline though no upstream can be reached.
#[tokio::test]
async fn refusal_does_not_wait_for_the_deadline() {
    let scene = start_processes(hosts(1)).await;
    scene.end_upstream(0);
    let started_at = Instant::now();
    let reply = scene.call(0, &with_timeout(60_000, get("refused"))).await;
    assert!(
        started_at.elapsed() < Duration::from_secs(10),
        "{:?}",
        started_at.elapsed()
    );
    let Reply::Refused { retry_after, .. } = reply else {
        panic!("{reply:?}");
    };
    assert!(retry_after.is_some());
}

/// The link to the node beside the upstream stalls permanently while new connections work. An idle
/// link is checked before a request is sent on it, so the caller's request succeeds.
#[tokio::test]
async fn stalled_idle_link_is_replaced_without_an_error() {
    let (scene, relay) = relayed().await;
    assert!(
        scene
            .call(ENTRY, &post("before", "key-1"))
            .await
            .is_success()
    );
    relay.stall_open_connections();
    tokio::time::sleep(Duration::from_millis(1_300)).await;
    let reply = scene.call(ENTRY, &post("after", "key-2")).await;
    assert!(reply.is_success(), "{reply:?}");
    assert_eq!(
        scene.hosts[RELAYED].upstream.counts().runs.get("after"),
        Some(&1)
    );
}

/// The link stalls while a request is in flight on it. The unrepeatable request ends with an
/// unknown outcome long before its deadline. The host is not marked as failed, so the next request
/// is served on a new connection.
#[tokio::test]
async fn request_on_a_stalled_link_ends_with_an_unknown_outcome() {
    let (scene, relay) = relayed().await;
    scene.update_behaviour(RELAYED, |behaviour| behaviour.service_micros = 400_000);
    let entry = scene.addresses(ENTRY).callers;
    let caller = scene.caller.clone();
    let call = with_timeout(30_000, post("first", "key"));
    let first = tokio::spawn(async move { caller.call(entry, &call).await });
    wait_for("it runs", || scene.runs("first") == 1).await;
    relay.stall_open_connections();
    let timed_reply = first.await.expect("the caller lives");
    assert!(
        matches!(
            timed_reply.reply,
            Reply::Refused {
                reason: Reason::LinkLost,
                ..
            }
        ) && timed_reply.reply.is_unknown(),
        "{:?}",
        timed_reply.reply
    );
    assert!(
        timed_reply.took < Duration::from_secs(15),
        "{:?}",
        timed_reply.took
    );
    assert!(scene.call(ENTRY, &get("second")).await.is_success());
}

/// The link is cut and later restored. Requests are refused as not run in the meantime, and served
/// afterwards without a restart.
#[tokio::test]
async fn cut_link_refuses_as_not_run_until_restored() {
    let (scene, relay) = relayed().await;
    relay.set(Condition::Cut);
    let reply = scene.call(ENTRY, &post("cut", "key")).await;
    assert!(reply.is_not_run(), "{reply:?}");
    assert_eq!(scene.runs("cut"), 0);
    relay.set(Condition::Normal);
    loop {
        if scene.call(ENTRY, &get("healed")).await.is_success() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn options_put_and_delete_pass() {
    let scene = start_threads(hosts(1)).await;
    for method in [Method::OPTIONS, Method::PUT, Method::DELETE] {
        let call = Call {
            method,
            ..get("other-method")
        };
        assert!(scene.call(0, &call).await.is_success());
    }
}

/// One attempt loses its link and the next is refused before it runs. Guards against a refusal
/// whose outcome is unknown, because of the first attempt, but whose reason is that of the second.
#[tokio::test]
async fn refusal_after_a_lost_link_keeps_reason_link_lost() {
    let mut scene = start_processes_with_entry(2).await;
    for index in 0..2 {
        scene.update_behaviour(index, |behaviour| behaviour.manner = Mode::Silent);
    }
    let entry = scene.addresses(2).callers;
    let caller = scene.caller.clone();
    let call = with_timeout(20_000, get("lost"));
    let calling = tokio::spawn(async move { caller.call(entry, &call).await.reply });
    wait_for("the request runs", || scene.runs("lost") == 1).await;
    let has_run = |index: usize| {
        scene.hosts[index]
            .upstream
            .counts()
            .runs
            .contains_key("lost")
    };
    let (runs_on, other) = if has_run(0) { (0, 1) } else { (1, 0) };
    scene.end_upstream(other);
    scene.kill(runs_on).await;
    let reply = calling.await.expect("the caller lives");
    assert!(
        matches!(
            reply,
            Reply::Refused {
                outcome: Outcome::Unknown,
                reason: Reason::LinkLost,
                ..
            }
        ),
        "{reply:?}"
    );
}

/// How long a node is paused; longer than callers may take to send a header section.
const PAUSE_DURATION: Duration = Duration::from_millis(900);

fn short_header_timeout(settings: &mut Settings) {
    settings.callers.header_within = Duration::from_millis(500);
}

/// A request arrives on an idle connection while the node is paused. Guards against a connection
/// that is closed without a response because the time for the header section has passed.
#[tokio::test]
async fn paused_node_answers_requests_that_arrived_during_the_pause() {
    let scene = start_processes(Plan {
        adjust: short_header_timeout,
        ..hosts(1)
    })
    .await;
    for round in 0..5 {
        let entry = scene.addresses(0).callers;
        let mut idle = TcpStream::connect(entry).await.expect("connected");
        tokio::time::sleep(Duration::from_millis(100)).await;
        scene.process(0).signal(Signal::STOP).expect("paused");
        let head = "GET / HTTP/1.1\r\nhost: a\r\nmintridge-service: service\r\n\
                    mintridge-client-account: a\r\nmintridge-timeout-ms: 5000\r\n\
                    connection: close\r\n\r\n";
        idle.write_all(head.as_bytes()).await.expect("sent");
        tokio::time::sleep(PAUSE_DURATION).await;
        scene.process(0).signal(Signal::CONT).expect("resumed");
        let mut answer = String::new();
        let read = idle.read_to_string(&mut answer).await;
        assert!(
            answer.starts_with("HTTP/1.1 "),
            "round {round}: {read:?} {answer:?}"
        );
    }
}
