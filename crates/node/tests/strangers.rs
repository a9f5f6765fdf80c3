//! Malformed or foreign input gets a clear error and does not affect other requests.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{get, hosts, start_processes};
use mintridge_bench::caller::{Call, Reply};
use mintridge_core::outcome::Reason;
use mintridge_standin::scene::Scene;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends bytes and returns what is received until the peer closes the connection, or within one
/// second.
async fn send(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connects");
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let reading = stream.read_to_end(&mut answer);
    let _ = tokio::time::timeout(Duration::from_secs(1), reading).await;
    String::from_utf8_lossy(&answer).into_owned()
}

async fn assert_still_serves(scene: &Scene) {
    assert!(scene.call(0, &get("after")).await.is_success());
}

/// Guards against request smuggling: inputs for which two parsers may disagree where a request
/// ends. None may reach an upstream as a second request.
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
    let scene = start_processes(hosts(1)).await;
    send(scene.addresses(0).callers, bytes.as_bytes()).await;
    assert_eq!(scene.runs("smuggled"), 0);
    assert_still_serves(&scene).await;
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
    let scene = start_processes(hosts(1)).await;
    let answer = send(scene.addresses(0).callers, bytes.as_bytes()).await;
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status}")),
        "{answer}"
    );
    assert_still_serves(&scene).await;
}

#[tokio::test]
async fn oversized_headers_are_refused() {
    let scene = start_processes(hosts(1)).await;
    let oversized = format!(
        "GET / HTTP/1.1\r\nhost: service\r\nx-huge: {}\r\n\r\n",
        "x".repeat(200_000)
    );
    let answer = send(scene.addresses(0).callers, oversized.as_bytes()).await;
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 4"),
        "{answer}"
    );
    assert_still_serves(&scene).await;
}

/// Sends garbage, or another protocol, to every port of a node.
#[rstest]
#[case::zeroes(&[0; 4096])]
#[case::ones(&[255; 4096])]
#[case::http(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")]
#[case::huge_length(&[0, 0, 0, 0, 255, 255, 255, 127])]
#[tokio::test]
async fn garbage_on_every_port_has_no_effect(#[case] bytes: &[u8]) {
    let scene = start_processes(hosts(2)).await;
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
    assert_still_serves(&scene).await;
    scene.wait_until_joined().await;
}

/// A caller sends headers that only nodes may send to each other. They must be dropped, and the
/// request is served as any other.
#[tokio::test]
async fn headers_of_peers_from_outside_are_dropped() {
    let scene = start_processes(hosts(1)).await;
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
            "the claim header of a caller has no effect"
        );
    }
}

/// An upstream passes on the refusal of a nested call, with its headers. The request ran at the
/// upstream, so its response must not be mistaken for a refusal by the node beside it, and an
/// unrepeatable request must not be sent to another host.
#[tokio::test]
async fn refusal_of_a_nested_call_is_passed_on_as_a_response() {
    let scene = start_processes(hosts(2)).await;
    let call = Call {
        path: String::from("/deeper"),
        ..common::post("deep", "key")
    };
    let reply = scene.call(0, &call).await;
    assert!(matches!(reply, Reply::Answer { .. }), "{reply:?}");
    assert_eq!(scene.runs("deep"), 1);
}

/// Many callers open connections and send only part of a header section. Others must be served.
#[tokio::test]
async fn slow_senders_do_not_block_others() {
    let scene = start_processes(hosts(1)).await;
    let mut slow = Vec::new();
    for _ in 0..300 {
        let mut stream = TcpStream::connect(scene.addresses(0).callers)
            .await
            .expect("connects");
        let _ = stream.write_all(b"GET / HTTP/1.1\r\nhost: ser").await;
        slow.push(stream);
    }
    assert_still_serves(&scene).await;
}

#[tokio::test]
async fn unknown_service_is_not_run() {
    let scene = start_processes(hosts(1)).await;
    let call = Call {
        service: String::from("nobody"),
        ..get("lost")
    };
    let reply = scene.call(0, &call).await;
    assert!(
        matches!(
            reply,
            Reply::Refused {
                reason: Reason::NoUpstream,
                ..
            }
        ),
        "{reply:?}"
    );
    assert!(reply.is_not_run());
}
