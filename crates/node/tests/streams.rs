//! Large bodies are streamed without being buffered: memory stays flat, and a slow reader delays no
//! other caller.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{get, hosts, post, post_without_key, start_processes};
use mintridge_bench::caller::{Call, Reply};
use mintridge_standin::cost;
use mintridge_standin::scene::Scene;
use mintridge_standin::upstream::Echo;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

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
