//! Large bodies are streamed without being buffered: memory stays flat, and a slow reader delays no
//! other caller.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{
    Plan, add_entry, get, hosts, post, post_without_key, start_processes,
    start_processes_with_entry,
};
use mintridge_bench::caller::{Call, Reply};
use mintridge_standin::cost;
use mintridge_standin::scene::{Scene, wait_for};
use mintridge_standin::upstream::{Behaviour, Echo, UNREAD};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

const LARGE_BODY_BYTES: usize = 100_000_000;
/// Far below the size of the body, far above what flow control windows and allocators need.
const MAX_GROWTH_BYTES: u64 = 40_000_000;

fn resident_bytes(scene: &Scene) -> u64 {
    let processes = (0..scene.hosts.len()).map(|index| scene.process(index).id());
    processes.map(cost::resident_bytes).sum()
}

#[tokio::test]
async fn download_leaves_memory_flat() {
    let scene = start_processes(hosts(2)).await;
    let before = resident_bytes(&scene);
    let call = Call {
        path: format!("/bytes/{LARGE_BODY_BYTES}"),
        timeout: Duration::from_mins(1),
        ..get("download")
    };
    for entry in 0..2 {
        let Reply::Answer { body, .. } = scene.call(entry, &call).await else {
            panic!("no answer");
        };
        assert_eq!(body.len(), LARGE_BODY_BYTES);
    }
    let grown = resident_bytes(&scene).saturating_sub(before);
    assert!(grown < MAX_GROWTH_BYTES, "grown by {grown} bytes");
}

#[tokio::test]
async fn upload_leaves_memory_flat() {
    let scene = start_processes(hosts(2)).await;
    let before = resident_bytes(&scene);
    for entry in 0..2 {
        let call = Call {
            body: Bytes::from(vec![7; LARGE_BODY_BYTES]),
            timeout: Duration::from_mins(1),
            ..post(&format!("upload-{entry}"), &format!("key-{entry}"))
        };
        let Reply::Answer { body, .. } = scene.call(entry, &call).await else {
            panic!("no answer");
        };
        let answer = Echo::parse(&body).expect("an answer of the stand-in");
        assert_eq!(answer.body_bytes, LARGE_BODY_BYTES as u64);
    }
    let grown = resident_bytes(&scene).saturating_sub(before);
    assert!(grown < MAX_GROWTH_BYTES, "grown by {grown} bytes");
}

/// A caller requests a large body and reads only a little of it: the nodes buffer no more than the
/// flow control windows, and other callers are served meanwhile.
#[tokio::test]
async fn slow_reader_delays_no_other_caller() {
    let scene = start_processes(hosts(2)).await;
    let before = resident_bytes(&scene);
    let mut slow = TcpStream::connect(scene.addresses(0).callers)
        .await
        .expect("connects");
    let request = format!(
        "GET /bytes/{LARGE_BODY_BYTES} HTTP/1.1\r\nhost: service\r\nmintridge-timeout-ms: 60000\r\n\r\n"
    );
    slow.write_all(request.as_bytes()).await.expect("sent");
    let mut some = vec![0; 10_000];
    slow.read_exact(&mut some).await.expect("it begins");
    for n in 0..50 {
        assert!(
            scene
                .call(0, &get(&format!("quick-{n}")))
                .await
                .is_success()
        );
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let grown = resident_bytes(&scene).saturating_sub(before);
    assert!(grown < MAX_GROWTH_BYTES, "grown by {grown} bytes");
}

/// Index of an entry without an upstream of the service, behind the only host that has one.
const SEPARATE_ENTRY: usize = 1;

/// Sends a request to the separate entry without reading its response.
async fn send_unread(scene: &Scene, path: &str) -> TcpStream {
    let entry = scene.addresses(SEPARATE_ENTRY).callers;
    let mut stream = TcpStream::connect(entry).await.expect("connects");
    stream.write_all(raw(path).as_bytes()).await.expect("sent");
    stream
}

fn raw(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: service\r\nmintridge-timeout-ms: 60000\r\n\r\n")
}

/// Several callers request large bodies and read nothing of them. Guards against other callers that
/// wait for room on the link between the nodes, which the unread bodies have filled.
#[tokio::test]
async fn stalled_readers_delay_no_other_caller() {
    let scene = start_processes_with_entry(1).await;
    let mut stalled = Vec::new();
    for _ in 0..8 {
        stalled.push(send_unread(&scene, "/bytes/40000000").await);
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    for n in 0..20 {
        let call = get(&format!("quick-{n}"));
        let reply = scene.call(SEPARATE_ENTRY, &call).await;
        assert!(reply.is_success(), "{n}: {reply:?}");
    }
}

/// Reads responses until this many have arrived whole; returns their number.
async fn count_responses(mut stream: TcpStream, body_bytes: usize, count: usize) -> usize {
    let mut received = String::new();
    let mut bytes = vec![0; 64 * 1024];
    let arrived = |received: &str| received.matches('x').count() / body_bytes;
    while arrived(&received) < count {
        match stream.read(&mut bytes).await {
            Ok(read) if read > 0 => received.push_str(&String::from_utf8_lossy(&bytes[..read])),
            _ => break,
        }
    }
    arrived(&received)
}

/// Callers send requests behind one that takes long, each on a connection of its own. Guards against
/// responses that wait for their turn and fill the link between the nodes, so that the one that they
/// wait for does not arrive either.
#[tokio::test]
async fn responses_behind_slow_ones_do_not_block_these() {
    const CALLERS: usize = 40;
    const BEHIND: usize = 24;
    const BODY_BYTES: usize = 30_000;
    let mut scene = start_processes(Plan {
        behaviour: Behaviour {
            service_micros: 3_000_000,
            slots: 200,
            ..Behaviour::default()
        },
        adjust: |settings| settings.admission.queue_per_slot = 20.0,
        ..hosts(1)
    })
    .await;
    add_entry(&mut scene).await;
    scene.wait_until_joined().await;
    let path = format!("/bytes/{BODY_BYTES}");
    let mut streams = Vec::new();
    for _ in 0..CALLERS {
        streams.push(send_unread(&scene, &path).await);
    }
    wait_for("the slow requests run", || {
        scene.hosts[0].upstream.counts().open == CALLERS as u64
    })
    .await;
    scene.update_behaviour(0, |behaviour| behaviour.service_micros = 5_000);
    let readers: Vec<_> = streams
        .into_iter()
        .map(|mut stream| {
            let behind = raw(&path).repeat(BEHIND);
            tokio::spawn(async move {
                stream.write_all(behind.as_bytes()).await.expect("sent");
                count_responses(stream, BODY_BYTES, BEHIND + 1).await
            })
        })
        .collect();
    let reading = futures_util::future::join_all(readers);
    let counts = tokio::time::timeout(Duration::from_secs(20), reading).await;
    let counts = counts.expect("all are answered");
    for count in counts {
        assert_eq!(count.expect("it reads"), BEHIND + 1);
    }
}

/// An upstream reads nothing of several large uploads. Guards against other uploads to it that wait for
/// room on the link between the nodes, which the unread ones have filled.
#[tokio::test]
async fn unread_uploads_delay_no_other_upload() {
    const UNREAD_UPLOADS: usize = 30;
    let mut scene = start_processes(Plan {
        behaviour: Behaviour {
            slots: 100,
            ..Behaviour::default()
        },
        ..hosts(1)
    })
    .await;
    add_entry(&mut scene).await;
    scene.wait_until_joined().await;
    let entry = scene.addresses(SEPARATE_ENTRY).callers;
    let uploads: Vec<_> = (0..UNREAD_UPLOADS)
        .map(|n| {
            let call = Call {
                path: UNREAD.to_owned(),
                body: Bytes::from(vec![7; 20_000_000]),
                timeout: Duration::from_mins(1),
                ..post_without_key(&format!("unread-{n}"))
            };
            let caller = scene.caller.clone();
            tokio::spawn(async move { caller.call(entry, &call).await })
        })
        .collect();
    wait_for("the uploads run", || {
        scene.hosts[0].upstream.counts().open == UNREAD_UPLOADS as u64
    })
    .await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    for n in 0..10 {
        let call = Call {
            body: Bytes::from(vec![7; 200_000]),
            ..post_without_key(&format!("read-{n}"))
        };
        let reply = scene.call(SEPARATE_ENTRY, &call).await;
        assert!(reply.is_success(), "{n}: {reply:?}");
    }
    uploads.iter().for_each(JoinHandle::abort);
}

/// Guards against a refusal that is lost because the connection is closed while the caller still
/// sends: the node refuses the request before it has read any of its large body.
#[tokio::test]
async fn refusal_before_the_body_is_read_reaches_the_caller() {
    let scene = start_processes(hosts(1)).await;
    for n in 0..200 {
        let call = Call {
            service: String::from("nobody"),
            body: Bytes::from(vec![0; 40_000]),
            ..post_without_key(&format!("refused-{n}"))
        };
        let reply = scene.call(0, &call).await;
        assert!(reply.is_not_run(), "{n}: {reply:?}");
    }
}
