//! A caller gets the whole answer to its own request, or sees that it broke.

mod common;

use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{
    Account, BEHIND, ENTRY, Plan, get, hosts, is_broken, mixed_load, post, processes,
    processes_and_entry, relayed, threads, within,
};
use hyper::Method;
use mintridge_bench::caller::{Call, Told};
use mintridge_core::outcome::{Outcome, Reason};
use mintridge_node::settings::Settings;
use mintridge_standin::relay::Condition;
use mintridge_standin::scene::wait_for;
use mintridge_standin::upstream::{Manner, Result as Answer};
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
async fn answer_arrives_whole(#[case] length: usize) {
    let scene = processes(hosts(2)).await;
    for entry in 0..2 {
        let Told::Answer { body, .. } = scene.call(entry, &bytes(length)).await else {
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
    let scene = processes(hosts(2)).await;
    let content: Vec<u8> = (0..=u8::MAX).cycle().take(length).collect();
    let digest = blake3::hash(&content).to_hex().to_string();
    let call = Call {
        body: Bytes::from(content),
        timeout: Duration::from_secs(30),
        ..post("upload", "key")
    };
    let Told::Answer { body, .. } = scene.call(0, &call).await else {
        panic!("no answer");
    };
    let answer = Answer::parse(&body).expect("an answer of the stand-in");
    assert_eq!(
        (answer.body_bytes, answer.body_digest),
        (length as u64, digest)
    );
}

/// A host refuses a request with a body before it is handed over; the body goes whole
/// to the next host.
#[tokio::test]
async fn request_body_is_whole_at_the_second_host() {
    let scene = processes(hosts(2)).await;
    scene.end_upstream(0);
    let content = vec![7_u8; 100_000];
    let digest = blake3::hash(&content).to_hex().to_string();
    for n in 0..6 {
        let call = Call {
            body: Bytes::from(content.clone()),
            ..post(&format!("id-{n}"), &format!("key-{n}"))
        };
        let told = scene.call(0, &call).await;
        let Told::Answer { body, .. } = &told else {
            panic!("{told:?}");
        };
        let answer = Answer::parse(body).expect("an answer of the stand-in");
        assert_eq!(answer.body_digest, digest);
    }
}

/// The upstream breaks its answer off half way: the caller sees it broken, never a short
/// answer that looks whole.
#[tokio::test]
async fn broken_answer_is_seen_broken() {
    let scene = processes(hosts(1)).await;
    scene.behave(0, |behaviour| behaviour.manner = Manner::BreakAnswers);
    let told = scene.call(0, &bytes(1_000_000)).await;
    assert_eq!(told, Told::Broken { begun: true });
}

/// The guarding node is killed while an answer passes: the caller sees it broken.
#[tokio::test]
async fn answer_cut_by_a_killed_guard_is_seen_broken() {
    let mut scene = processes_and_entry(1).await;
    let entry = scene.addresses(1).callers;
    let caller = scene.caller.clone();
    let call = bytes(2_000_000_000);
    let reading = tokio::spawn(async move { caller.call(entry, &call).await.told });
    wait_for("the answer begins", || {
        scene.hosts[0].upstream.account().open == 0 && scene.runs("bytes") == 1
    })
    .await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    scene.kill(0).await;
    let told = reading.await.expect("the caller lives");
    assert!(is_broken(&told), "{told:?}");
}

/// What a deeper call needs is passed on: on whose behalf, and how much time is left.
#[tokio::test]
async fn client_account_and_time_left_reach_the_upstream() {
    let scene = threads(hosts(1)).await;
    let call = Call {
        client_account: String::from("printer-7"),
        ..within(3_000, post("deeper", "key"))
    };
    let Told::Answer { body, .. } = scene.call(0, &call).await else {
        panic!("no answer");
    };
    let answer = Answer::parse(&body).expect("an answer of the stand-in");
    assert_eq!(answer.client_account, "printer-7");
    let left: u64 = answer.left_millis.parse().expect("a number");
    assert!(left > 0 && left <= 3_000, "{left}");
}

/// Under load with every request different, each answer is that of its own request.
///
/// Upstreams, store and callers share one thread here. When the machine takes it away for half
/// a second, all that is due comes at once, and with the usual queue some is refused, truthfully.
/// The queue and the store's timeout outlast that, so that every request must succeed.
#[tokio::test]
async fn answers_are_never_mixed_up() {
    let scene = processes(Plan {
        adjust: |settings| {
            settings.admission.queue_per_slot = 100.0;
            settings.store.timeout = Duration::from_secs(4);
        },
        ..hosts(3)
    })
    .await;
    let mut account = Account::default();
    account.run(&mixed_load(&scene, 300.0, 3.0)).await;
    account.check(&scene);
    account.all_succeeded();
}

/// The caller hangs up: the upstream's work is cancelled and its slot is free again.
#[tokio::test]
async fn hang_up_cancels_the_work() {
    let scene = processes(hosts(1)).await;
    scene.behave(0, |behaviour| behaviour.manner = Manner::Silent);
    let entry = scene.addresses(0).callers;
    let caller = scene.caller.clone();
    let call = within(60_000, get("given-up"));
    let calling = tokio::spawn(async move { caller.call(entry, &call).await });
    let open = || scene.hosts[0].upstream.account().open;
    wait_for("it runs", || open() == 1).await;
    calling.abort();
    wait_for("it is cancelled", || open() == 0).await;
    scene
        .until_of(&[0], "its slot is free", |status| {
            status.guarded.load.in_flight == 0
        })
        .await;
}

/// Every caller is answered by its deadline plus a small grace, whatever is frozen.
#[rstest]
#[case::upstream_silent(false)]
#[case::guard_frozen(true)]
#[tokio::test]
async fn deadline_is_kept(#[case] frozen: bool) {
    let scene = processes_and_entry(1).await;
    scene.behave(0, |behaviour| behaviour.manner = Manner::Silent);
    if frozen {
        scene.process(0).signal(Signal::STOP).expect("frozen");
    }
    let call = within(700, post("late", "key"));
    let began = Instant::now();
    let told = scene.call(1, &call).await;
    // The grace is 25 ms; the rest is room for a busy machine.
    assert!(
        began.elapsed() < Duration::from_secs(4),
        "{:?}",
        began.elapsed()
    );
    assert!(told.is_unknown() || told.is_not_run(), "{told:?}");
    if frozen {
        scene.process(0).signal(Signal::CONT).expect("woken");
    }
}

/// A request that is given up on is answered at once, not near its deadline.
#[tokio::test]
async fn given_up_is_answered_at_once() {
    let scene = processes(hosts(1)).await;
    scene.end_upstream(0);
    let began = Instant::now();
    let told = scene.call(0, &within(60_000, get("refused"))).await;
    assert!(
        began.elapsed() < Duration::from_secs(10),
        "{:?}",
        began.elapsed()
    );
    let Told::Refused { retry_after, .. } = told else {
        panic!("{told:?}");
    };
    assert!(retry_after.is_some());
}

/// The link to the guarding node falls silent for good while new connections work. An
/// idle link is found out before a request is risked on it, so the caller sees nothing.
#[tokio::test]
async fn silent_idle_link_is_replaced_unnoticed() {
    let (scene, relay) = relayed().await;
    assert!(
        scene
            .call(ENTRY, &post("before", "key-1"))
            .await
            .is_success()
    );
    relay.lose_open_connections();
    tokio::time::sleep(Duration::from_millis(1_300)).await;
    let told = scene.call(ENTRY, &post("after", "key-2")).await;
    assert!(told.is_success(), "{told:?}");
    assert_eq!(
        scene.hosts[BEHIND].upstream.account().runs.get("after"),
        Some(&1)
    );
}

/// The link falls silent while a request is on it. The unrepeatable request ends as
/// unknown, long before its deadline; the host is not blamed, and the next request on
/// a new connection is served.
#[tokio::test]
async fn link_silent_under_a_request_ends_as_unknown() {
    let (scene, relay) = relayed().await;
    scene.behave(BEHIND, |behaviour| behaviour.service_micros = 400_000);
    let entry = scene.addresses(ENTRY).callers;
    let caller = scene.caller.clone();
    let call = within(30_000, post("first", "key"));
    let first = tokio::spawn(async move { caller.call(entry, &call).await });
    wait_for("it runs", || scene.runs("first") == 1).await;
    relay.lose_open_connections();
    let heard = first.await.expect("the caller lives");
    assert!(
        matches!(
            heard.told,
            Told::Refused {
                reason: Reason::LinkLost,
                ..
            }
        ) && heard.told.is_unknown(),
        "{:?}",
        heard.told
    );
    assert!(heard.took < Duration::from_secs(15), "{:?}", heard.took);
    assert!(scene.call(ENTRY, &get("second")).await.is_success());
}

/// The link is cut and comes back: requests meanwhile are refused truthfully, and served
/// after, without a restart.
#[tokio::test]
async fn cut_link_is_not_run_and_heals() {
    let (scene, relay) = relayed().await;
    relay.set(Condition::Cut);
    let told = scene.call(ENTRY, &post("cut", "key")).await;
    assert!(told.is_not_run(), "{told:?}");
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
async fn head_and_options_pass() {
    let scene = threads(hosts(1)).await;
    for method in [Method::OPTIONS, Method::PUT, Method::DELETE] {
        let call = Call {
            method,
            ..get("other-method")
        };
        assert!(scene.call(0, &call).await.is_success());
    }
}

/// Guards against a reason that says nothing ran beside an outcome that says something may have.
#[tokio::test]
async fn refusal_after_a_lost_link_tells_of_the_lost_link() {
    let mut scene = processes_and_entry(2).await;
    for index in 0..2 {
        scene.behave(index, |behaviour| behaviour.manner = Manner::Silent);
    }
    let entry = scene.addresses(2).callers;
    let caller = scene.caller.clone();
    let call = within(20_000, get("lost"));
    let asking = tokio::spawn(async move { caller.call(entry, &call).await.told });
    wait_for("the request runs", || scene.runs("lost") == 1).await;
    let has_run = |index: usize| {
        scene.hosts[index]
            .upstream
            .account()
            .runs
            .contains_key("lost")
    };
    let (runs_on, other) = if has_run(0) { (0, 1) } else { (1, 0) };
    scene.end_upstream(other);
    scene.kill(runs_on).await;
    let told = asking.await.expect("the caller lives");
    assert!(
        matches!(
            told,
            Told::Refused {
                outcome: Outcome::Unknown,
                reason: Reason::LinkLost,
                ..
            }
        ),
        "{told:?}"
    );
}

/// Longer than a frozen node's callers may take for a header section.
const FROZEN: Duration = Duration::from_millis(900);

fn short_header_time(settings: &mut Settings) {
    settings.callers.header_within = Duration::from_millis(500);
}

/// Guards against a request that waits in its connection while the node is frozen and ends without a word.
#[tokio::test]
async fn frozen_node_answers_what_arrived_meanwhile() {
    let scene = processes(Plan {
        adjust: short_header_time,
        ..hosts(1)
    })
    .await;
    for play in 0..5 {
        let entry = scene.addresses(0).callers;
        let mut idle = TcpStream::connect(entry).await.expect("connected");
        tokio::time::sleep(Duration::from_millis(100)).await;
        scene.process(0).signal(Signal::STOP).expect("frozen");
        let head = "GET / HTTP/1.1\r\nhost: a\r\nmintridge-service: service\r\n\
                    mintridge-client-account: a\r\nmintridge-timeout-ms: 5000\r\n\
                    connection: close\r\n\r\n";
        idle.write_all(head.as_bytes()).await.expect("sent");
        tokio::time::sleep(FROZEN).await;
        scene.process(0).signal(Signal::CONT).expect("woken");
        let mut answer = String::new();
        let read = idle.read_to_string(&mut answer).await;
        assert!(
            answer.starts_with("HTTP/1.1 "),
            "play {play}: {read:?} {answer:?}"
        );
    }
}
