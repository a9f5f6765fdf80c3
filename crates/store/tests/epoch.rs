//! Detection of a store that was restored from an older copy, by the epochs in its responses.

use std::time::Duration;

use mintridge_store::client::{Client, Error};
use mintridge_store::epoch::{Epoch, Epochs};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const HEADER: &str = "store-epoch";
const TIMEOUT: Duration = Duration::from_secs(10);

/// Returns a client of a store that sends the next of these epochs with each response.
async fn client(epochs: &'static [&'static str]) -> Client {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        for epoch in epochs {
            let Ok((mut stream, _)) = listener.accept().await else {
                return;
            };
            let mut request = vec![0; 4096];
            let _ = stream.read(&mut request).await;
            let body = r#"{"header":{"revision":"7"},"kvs":[]}"#;
            let response = format!(
                "HTTP/1.1 200 OK\r\n{HEADER}: {epoch}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            );
            let _ = stream.write_all(response.as_bytes()).await;
        }
    });
    Client::new(address, TIMEOUT).with_epochs(Epochs::from_header(HEADER))
}

/// The store has been restored, and a response sent before the restoration arrives after one sent
/// since. It reports a state that no longer exists and must be rejected.
#[tokio::test]
async fn read_rejects_a_response_of_an_earlier_epoch() {
    let client = client(&["3", "4", "3", "4"]).await;
    assert!(client.read("key").await.is_ok());
    assert_eq!(client.epochs().newest(), Some(Epoch(3)));
    assert!(client.read("key").await.is_ok());
    let late = client.read("key").await;
    assert!(matches!(late, Err(Error::Outdated)), "{late:?}");
    assert_eq!(client.epochs().newest(), Some(Epoch(4)));
    assert!(client.read("key").await.is_ok());
}

/// A state read in one epoch is valid until any response carries the next epoch, including a
/// response to another client of the same process.
#[tokio::test]
async fn wait_for_change_since_ends_with_the_first_response_of_the_next_epoch() {
    let one = client(&["3", "4"]).await;
    let other = one.clone();
    assert!(one.read("key").await.is_ok());
    let epoch = one.epochs().newest();
    let changed = one.epochs().wait_for_change_since(epoch);
    tokio::pin!(changed);
    let early_result = tokio::time::timeout(Duration::from_millis(50), changed.as_mut()).await;
    assert!(early_result.is_err(), "nothing has changed yet");
    assert!(other.read("key").await.is_ok());
    changed.await;
}

/// A response without an epoch, or with a header value that is not one, is accepted and does not
/// count as a restoration.
#[tokio::test]
async fn read_accepts_a_response_without_an_epoch() {
    let client = client(&["3", "", "later"]).await;
    for _ in 0..3 {
        assert!(client.read("key").await.is_ok());
    }
    assert_eq!(client.epochs().newest(), Some(Epoch(3)));
}
