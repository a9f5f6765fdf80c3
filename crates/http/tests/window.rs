//! Limit on how much of a body is sent to a host that refuses the request without reading it.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame};
use hyper::client::conn::http2;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo};
use mintridge_http::handler::{Function, ResponseFuture};
use mintridge_http::server::{Limits, Phase, Protocol, serve};
use mintridge_http::{Body, reply};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const CHUNK_BYTES: usize = 4 * 1024;
/// Size of a typical upload.
const UPLOAD_BYTES: usize = 60 * 1024;

/// A body that counts the bytes sent of it.
struct Upload {
    sent_bytes: Arc<AtomicUsize>,
}

impl Upload {
    /// Returns a body with no bytes left to send.
    fn empty() -> Self {
        Self {
            sent_bytes: Arc::new(AtomicUsize::new(UPLOAD_BYTES)),
        }
    }
}

impl HttpBody for Upload {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.sent_bytes.load(Ordering::SeqCst) >= UPLOAD_BYTES {
            return Poll::Ready(None);
        }
        self.sent_bytes.fetch_add(CHUNK_BYTES, Ordering::SeqCst);
        Poll::Ready(Some(Ok(Frame::data(Bytes::from(vec![0; CHUNK_BYTES])))))
    }
}

/// Responds to the check of a link at once, and refuses any other request once notified, without
/// reading its body.
async fn refuse(refuse_signal: Arc<Notify>, request: Request<Body>) -> Response<Body> {
    if request.method() == Method::GET {
        return reply::text(StatusCode::OK, "here\n");
    }
    refuse_signal.notified().await;
    reply::text(StatusCode::SERVICE_UNAVAILABLE, "not here\n")
}

/// Guards against sending a large part of an upload to a host that refuses the request by its
/// header section alone: the bytes sent are no longer available for the next host.
///
/// The server's SETTINGS frame sets the window. A link is checked with a cheap request before it is
/// used, so that the frame has arrived; otherwise, on a busy machine, the whole body is sent first.
#[tokio::test(flavor = "multi_thread")]
async fn serve_limits_the_bytes_sent_of_an_unread_body() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let refuse_signal = Arc::new(Notify::new());
    let handler = Function::new(
        Arc::clone(&refuse_signal),
        |refuse_signal, request| -> ResponseFuture { Box::pin(refuse(refuse_signal, request)) },
    );
    let phase = watch::Sender::new(Phase::Open);
    let limits = Limits::default();
    tokio::spawn(serve(
        listener,
        handler,
        Protocol::Http2,
        limits,
        phase.subscribe(),
    ));

    let stream = TcpStream::connect(address).await.expect("a connection");
    let io = TokioIo::new(stream);
    let (mut sender, connection) = http2::handshake(TokioExecutor::new(), io)
        .await
        .expect("HTTP/2");
    tokio::spawn(connection);
    let check_request = Request::get("http://host/").body(Upload::empty());
    let check_response = sender.send_request(check_request.expect("a request")).await;
    assert_eq!(check_response.expect("a response").status(), StatusCode::OK);
    let sent_bytes = Arc::new(AtomicUsize::new(0));
    let upload = Upload {
        sent_bytes: Arc::clone(&sent_bytes),
    };
    let request = Request::post("http://host/")
        .body(upload)
        .expect("a request");
    let call = tokio::spawn(async move { sender.send_request(request).await });

    let give_up_at = Instant::now() + WAIT_TIMEOUT;
    while sent_bytes.load(Ordering::SeqCst) < 2 * CHUNK_BYTES {
        assert!(Instant::now() < give_up_at, "no body was sent in time");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    // Long enough for everything that may be sent to arrive, since the sender is on the same host.
    tokio::time::sleep(Duration::from_millis(200)).await;
    refuse_signal.notify_one();
    let response = call.await.expect("the call ends").expect("a response");
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    let sent_bytes = sent_bytes.load(Ordering::SeqCst);
    assert!(
        sent_bytes <= UPLOAD_BYTES / 2,
        "{sent_bytes} bytes of the body were sent"
    );
}
