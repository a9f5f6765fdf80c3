//! Client calls to a store whose responses arrive slowly.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use mintridge_store::client::{Client, Error};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time without data after which the client gives up.
const TIMEOUT: Duration = Duration::from_millis(400);
/// Number of chunks in which a response arrives. The pause before each is shorter than the timeout;
/// all pauses together are longer.
const CHUNKS: usize = 8;
/// Pause before each chunk.
const PAUSE: Duration = Duration::from_millis(100);

/// Starts a store that replies to every read with a value of `length` bytes in [`CHUNKS`] chunks,
/// of which it sends the first `sent_chunks` only.
async fn store(length: usize, sent_chunks: usize) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("its address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(respond(stream, length, sent_chunks));
        }
    });
    address
}

async fn respond(mut stream: TcpStream, length: usize, sent_chunks: usize) {
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
    let chunk_length = body.len().div_ceil(CHUNKS);
    for bytes in body.as_bytes().chunks(chunk_length).take(sent_chunks) {
        tokio::time::sleep(PAUSE).await;
        let _ = stream.write_all(bytes).await;
    }
    let _ = stream.read(&mut request).await;
}

/// A node behind a slow link reads a long document: the transfer takes longer than the timeout, but
/// data keeps arriving. With a timeout on the whole call every read of the document would fail, and
/// the node would treat the store as unavailable.
#[tokio::test]
async fn read_of_a_long_document_takes_longer_than_the_timeout() {
    let address = store(30_000, CHUNKS).await;
    let client = Client::new(address, TIMEOUT);
    let (item, revision) = client.read("key").await.expect("the document arrives");
    assert_eq!(revision, 7);
    assert_eq!(item.expect("it exists").value.len(), 30_000);
}

/// The store stops sending in the middle of a response. The call must fail, so that the node
/// retries and does not wait forever.
#[tokio::test]
async fn read_gives_up_on_a_response_that_stops_midway() {
    let address = store(30_000, CHUNKS / 2).await;
    let client = Client::new(address, TIMEOUT);
    let failed = client.read("key").await;
    assert!(matches!(failed, Err(Error::NoReply { .. })), "{failed:?}");
}
