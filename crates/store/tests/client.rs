//! The client against a store whose answers arrive slowly.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use mintridge_store::client::{Client, Error};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Silence after which the client gives up.
const TIMEOUT: Duration = Duration::from_millis(400);
/// Pieces in which an answer arrives, and the pause before each: shorter than the timeout,
/// longer all together.
const PIECES: usize = 8;
const PAUSE: Duration = Duration::from_millis(100);

/// A store that answers every read with `length` bytes of value in pieces, and sends `sent`
/// of the pieces only.
async fn store(length: usize, sent: usize) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("its address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream, length, sent));
        }
    });
    address
}

async fn answer(mut stream: TcpStream, length: usize, sent: usize) {
    let mut request = [0; 4096];
    let _ = stream.read(&mut request).await;
    let body = format!(
        r#"{{"header":{{"revision":"7"}},"kvs":[{{"key":"a2V5","value":"{}","mod_revision":"5"}}]}}"#,
        "AAAA".repeat(length / 3),
    );
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let _ = stream.write_all(head.as_bytes()).await;
    let piece = body.len().div_ceil(PIECES);
    for bytes in body.as_bytes().chunks(piece).take(sent) {
        tokio::time::sleep(PAUSE).await;
        let _ = stream.write_all(bytes).await;
    }
    let _ = stream.read(&mut request).await;
}

/// A node behind a narrow link reads a long document: the whole takes longer than a call may
/// take, but it arrives all the time. The node gets it; a limit on the whole call would make
/// every read of this document fail, and the node would take the store for lost.
#[tokio::test]
async fn read_of_a_long_document_takes_longer_than_the_timeout() {
    let address = store(30_000, PIECES).await;
    let client = Client::new(address, TIMEOUT);
    let (item, revision) = client.read("key").await.expect("the document arrives");
    assert_eq!(revision, 7);
    assert_eq!(item.expect("it exists").value.len(), 30_000);
}

/// The store falls silent in the middle of an answer: the call ends as lost, so that the node
/// asks again, and does not wait for what never comes.
#[tokio::test]
async fn read_gives_up_on_an_answer_that_stops_midway() {
    let address = store(30_000, PIECES / 2).await;
    let client = Client::new(address, TIMEOUT);
    let failed = client.read("key").await;
    assert!(matches!(failed, Err(Error::Lost { .. })), "{failed:?}");
}
