//! Malformed and foreign input: a clear error, a counter, and the rest goes on.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{get, hosts, processes};
use mintridge_bench::caller::{Call, Told};
use mintridge_core::outcome::Reason;
use mintridge_standin::scene::Scene;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends bytes and returns what comes back until the other side closes or falls silent.
async fn send(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connects");
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let reading = stream.read_to_end(&mut answer);
    let _ = tokio::time::timeout(Duration::from_secs(1), reading).await;
    String::from_utf8_lossy(&answer).into_owned()
}

async fn still_serves(scene: &Scene) {
    assert!(scene.call(0, &get("after")).await.is_success());
}

/// Shapes by which two parsers may disagree where a request ends. None reaches an
/// upstream as a second request.
#[rstest]
#[case::length_and_chunked(
    "POST / HTTP/1.1\r\nhost: service\r\ncontent-length: 44\r\ntransfer-encoding: chunked\r\n\r\n\
     0\r\n\r\nGET /x HTTP/1.1\r\nx-request-id: smuggled\r\n\r\n"
)]
#[case::two_lengths(
    "POST / HTTP/1.1\r\nhost: service\r\ncontent-length: 0\r\ncontent-length: 45\r\n\r\n\
     GET /x HTTP/1.1\r\nx-request-id: smuggled\r\n\r\n"
)]
#[case::obscured_chunked(
    "POST / HTTP/1.1\r\nhost: service\r\ncontent-length: 45\r\ntransfer-encoding: xchunked\r\n\r\n\
     GET /x HTTP/1.1\r\nx-request-id: smuggled\r\n\r\n"
)]
#[case::bare_line_feed(
    "GET / HTTP/1.1\nhost: service\n\nGET /x HTTP/1.1\r\nx-request-id: smuggled\r\n"
)]
#[tokio::test]
async fn smuggled_request_runs_nowhere(#[case] bytes: &str) {
    let scene = processes(hosts(1)).await;
    send(scene.addresses(0).callers, bytes.as_bytes()).await;
    assert_eq!(scene.runs("smuggled"), 0);
    still_serves(&scene).await;
}

#[rstest]
#[case::no_service("GET / HTTP/1.1\r\nhost:\r\n\r\n", "400")]
#[case::wrong_timeout(
    "GET / HTTP/1.1\r\nhost: service\r\nmintridge-timeout-ms: soon\r\n\r\n",
    "400"
)]
#[case::two_keys(
    "POST / HTTP/1.1\r\nhost: service\r\nidempotency-key: a\r\nidempotency-key: b\r\ncontent-length: 0\r\n\r\n",
    "400"
)]
#[case::unknown_service("GET / HTTP/1.1\r\nhost: nobody\r\n\r\n", "503")]
#[case::not_http("\u{16}\u{3}\u{1}garbage\r\n\r\n", "400")]
#[tokio::test]
async fn malformed_call_gets_a_clear_refusal(#[case] bytes: &str, #[case] status: &str) {
    let scene = processes(hosts(1)).await;
    let answer = send(scene.addresses(0).callers, bytes.as_bytes()).await;
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status}")),
        "{answer}"
    );
    still_serves(&scene).await;
}

#[tokio::test]
async fn oversized_headers_are_refused() {
    let scene = processes(hosts(1)).await;
    let huge = format!(
        "GET / HTTP/1.1\r\nhost: service\r\nx-huge: {}\r\n\r\n",
        "x".repeat(200_000)
    );
    let answer = send(scene.addresses(0).callers, huge.as_bytes()).await;
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 4"),
        "{answer}"
    );
    still_serves(&scene).await;
}

/// Garbage, and another protocol, on every port of a node.
#[rstest]
#[case::zeroes(&[0; 4096])]
#[case::ones(&[255; 4096])]
#[case::http(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")]
#[case::huge_length(&[0, 0, 0, 0, 255, 255, 255, 127])]
#[tokio::test]
async fn garbage_on_every_port_harms_nobody(#[case] bytes: &[u8]) {
    let scene = processes(hosts(2)).await;
    let addresses = scene.addresses(0);
    let ports = [
        addresses.callers,
        addresses.peers,
        addresses.control,
        addresses.announcements,
        addresses.operators,
    ];
    for port in ports {
        send(port, bytes).await;
    }
    still_serves(&scene).await;
    scene.until_joined().await;
}

/// A caller sends the headers that nodes use among themselves: they are dropped, and the
/// request is the caller's own.
#[tokio::test]
async fn headers_of_peers_from_outside_are_dropped() {
    let scene = processes(hosts(1)).await;
    let call = "GET / HTTP/1.1\r\nhost: service\r\nmintridge-to-service: other\r\n\
                mintridge-left-us: 1\r\nmintridge-claim: x\r\nmintridge-outcome: not-run\r\n\
                x-request-id: own\r\nconnection: close\r\n\r\n";
    for sent in 1..=2 {
        let answer = send(scene.addresses(0).callers, call.as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(!answer.contains("mintridge-load"), "{answer}");
        assert_eq!(
            scene.runs("own"),
            sent,
            "the claim of an outsider counts for nothing"
        );
    }
}

/// An upstream passes on the refusal of a deeper call, with its headers. It ran, so its
/// answer is an answer: not taken for a refusal, and an unrepeatable request is not sent
/// to another host.
#[tokio::test]
async fn refusal_of_a_deeper_call_is_not_taken_for_one_here() {
    let scene = processes(hosts(2)).await;
    let call = Call {
        path: String::from("/deeper"),
        ..common::post("deep", "key")
    };
    let told = scene.call(0, &call).await;
    assert!(matches!(told, Told::Answer { .. }), "{told:?}");
    assert_eq!(scene.runs("deep"), 1);
}

/// Many callers open connections and send nothing, or half a header: others are served.
#[tokio::test]
async fn slow_senders_keep_nobody_out() {
    let scene = processes(hosts(1)).await;
    let mut slow = Vec::new();
    for _ in 0..300 {
        let mut stream = TcpStream::connect(scene.addresses(0).callers)
            .await
            .expect("connects");
        let _ = stream.write_all(b"GET / HTTP/1.1\r\nhost: ser").await;
        slow.push(stream);
    }
    still_serves(&scene).await;
}

#[tokio::test]
async fn unknown_service_is_not_run() {
    let scene = processes(hosts(1)).await;
    let call = Call {
        service: String::from("nobody"),
        ..get("lost")
    };
    let told = scene.call(0, &call).await;
    assert!(
        matches!(
            told,
            Told::Refused {
                reason: Reason::NoUpstream,
                ..
            }
        ),
        "{told:?}"
    );
    assert!(told.is_not_run());
}
