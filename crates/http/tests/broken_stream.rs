//! Request bodies whose stream is reset before they are complete.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::client::conn::http2;
use hyper::{Request, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo};
use mintridge_http::handler::{Function, ResponseFuture};
use mintridge_http::server::{Limits, Phase, Protocol, serve};
use mintridge_http::{Body, reply};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Receives for each request whether its body was read completely.
type Completions = mpsc::UnboundedSender<bool>;

/// Reads the body in a separate task, as a connection to an upstream does, and never responds.
async fn read_body(completions: Arc<Completions>, request: Request<Body>) -> hyper::Response<Body> {
    tokio::spawn(async move {
        let is_complete = request.into_body().collect().await.is_ok();
        completions.send(is_complete).expect("the test waits");
    });
    std::future::pending::<()>().await;
    reply::text(StatusCode::OK, "never\n")
}

/// Guards against an upload that its sender cancels being forwarded as a complete one.
#[tokio::test(flavor = "multi_thread")]
async fn body_of_a_cancelled_stream_is_incomplete() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (completions, mut completed) = mpsc::unbounded_channel();
    let handler = Function::new(
        Arc::new(completions),
        |completions, request| -> ResponseFuture { Box::pin(read_body(completions, request)) },
    );
    let phase = watch::Sender::new(Phase::Open);
    tokio::spawn(serve(
        listener,
        handler,
        Protocol::Http2,
        Limits::default(),
        phase.subscribe(),
    ));

    let stream = TcpStream::connect(address).await.expect("a connection");
    let (sender, connection) = http2::handshake(TokioExecutor::new(), TokioIo::new(stream))
        .await
        .expect("HTTP/2");
    tokio::spawn(connection);
    let (chunk_sender, chunks) = mpsc::unbounded_channel::<Bytes>();
    let body_stream = futures_util::stream::unfold(chunks, |mut chunks| async {
        let data = chunks.recv().await?;
        Some((Ok::<_, std::io::Error>(Frame::data(data)), chunks))
    });
    let request = Request::post("http://host/")
        .body(Body::new(StreamBody::new(body_stream)))
        .expect("a request");
    let mut request_sender = sender.clone();
    let call = tokio::spawn(async move { request_sender.send_request(request).await });
    chunk_sender
        .send(Bytes::from_static(b"the beginning"))
        .expect("sent");
    tokio::time::sleep(Duration::from_millis(100)).await;
    call.abort();

    let is_complete = tokio::time::timeout(WAIT_TIMEOUT, completed.recv()).await;
    drop(sender);
    assert_eq!(is_complete.expect("the body ends or fails"), Some(false));
}
