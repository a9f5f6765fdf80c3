//! Large bodies pass without being held: memory stays flat, and a slow reader slows only
//! itself.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{bare_post, get, hosts, post, processes};
use mintridge_bench::caller::{Call, Told};
use mintridge_standin::cost::resident;
use mintridge_standin::scene::Scene;
use mintridge_standin::upstream::Result as Answer;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const LARGE: usize = 100_000_000;
/// Far below the body, far above what windows and allocators take.
const GROWTH_MOST: u64 = 40_000_000;

fn memory(scene: &Scene) -> u64 {
    let processes = (0..scene.hosts.len()).map(|index| scene.process(index).id());
    processes.map(resident).sum()
}

#[tokio::test]
async fn download_leaves_memory_flat() {
    let scene = processes(hosts(2)).await;
    let before = memory(&scene);
    let call = Call {
        path: format!("/bytes/{LARGE}"),
        timeout: Duration::from_mins(1),
        ..get("download")
    };
    for entry in 0..2 {
        let Told::Answer { body, .. } = scene.call(entry, &call).await else {
            panic!("no answer");
        };
        assert_eq!(body.len(), LARGE);
    }
    let grown = memory(&scene).saturating_sub(before);
    assert!(grown < GROWTH_MOST, "grown by {grown} bytes");
}

#[tokio::test]
async fn upload_leaves_memory_flat() {
    let scene = processes(hosts(2)).await;
    let before = memory(&scene);
    for entry in 0..2 {
        let call = Call {
            body: Bytes::from(vec![7; LARGE]),
            timeout: Duration::from_mins(1),
            ..post(&format!("upload-{entry}"), &format!("key-{entry}"))
        };
        let Told::Answer { body, .. } = scene.call(entry, &call).await else {
            panic!("no answer");
        };
        let answer = Answer::parse(&body).expect("an answer of the stand-in");
        assert_eq!(answer.body_bytes, LARGE as u64);
    }
    let grown = memory(&scene).saturating_sub(before);
    assert!(grown < GROWTH_MOST, "grown by {grown} bytes");
}

/// A caller asks for a large body and reads a little of it: nothing is held for it beyond
/// the windows, and others are served meanwhile.
#[tokio::test]
async fn slow_reader_slows_only_itself() {
    let scene = processes(hosts(2)).await;
    let before = memory(&scene);
    let mut slow = TcpStream::connect(scene.addresses(0).callers)
        .await
        .expect("connects");
    let request = format!(
        "GET /bytes/{LARGE} HTTP/1.1\r\nhost: service\r\nmintridge-timeout-ms: 60000\r\n\r\n"
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
    let grown = memory(&scene).saturating_sub(before);
    assert!(grown < GROWTH_MOST, "grown by {grown} bytes");
}

/// A node refuses a request at once, before it has read any of its large body. Its caller is still
/// sending; it gets the refusal and not a connection that ends without a word.
#[tokio::test]
async fn refusal_of_a_body_that_nobody_read_reaches_its_caller() {
    let scene = processes(hosts(1)).await;
    for n in 0..200 {
        let call = Call {
            service: String::from("nobody"),
            body: Bytes::from(vec![0; 40_000]),
            ..bare_post(&format!("refused-{n}"))
        };
        let told = scene.call(0, &call).await;
        assert!(told.is_not_run(), "{n}: {told:?}");
    }
}
