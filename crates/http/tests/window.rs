//! How much of a body is carried to a host that may refuse its request.

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
use mintridge_http::handler::{Answer, Function};
use mintridge_http::server::{Limits, Phase, Protocol, serve};
use mintridge_http::{Body, reply};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};

const WAIT_MOST: Duration = Duration::from_secs(30);
const CHUNK: usize = 4 * 1024;
/// An upload of ordinary size.
const LENGTH: usize = 60 * 1024;

/// A body that counts what was taken of it.
struct Upload {
    taken: Arc<AtomicUsize>,
}

impl Upload {
    /// A body of which nothing is left.
    fn finished() -> Self {
        Self {
            taken: Arc::new(AtomicUsize::new(LENGTH)),
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
        if self.taken.load(Ordering::SeqCst) >= LENGTH {
            return Poll::Ready(None);
        }
        self.taken.fetch_add(CHUNK, Ordering::SeqCst);
        Poll::Ready(Some(Ok(Frame::data(Bytes::from(vec![0; CHUNK])))))
    }
}

/// Answers a check of the link at once, and refuses anything else when told to, without a look
/// at the body.
async fn refuse(refused: Arc<Notify>, request: Request<Body>) -> Response<Body> {
    if request.method() == Method::GET {
        return reply::text(StatusCode::OK, "here\n");
    }
    refused.notified().await;
    reply::text(StatusCode::SERVICE_UNAVAILABLE, "not here\n")
}

/// A request with an upload comes to a host that looks at its header section alone and refuses
/// it a little later. Its caller sees a refusal; between the two a small part of the body has
/// travelled, and the rest is still there for the next host.
///
/// How much may travel is told by the other side in its first words. A link is checked by a cheap
/// request before it is used, so they have come; without one, on a busy machine, the whole body
/// is sent before them.
#[tokio::test(flavor = "multi_thread")]
async fn serve_takes_little_of_a_body_that_nobody_reads() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let refused = Arc::new(Notify::new());
    let handler = Function::new(Arc::clone(&refused), |refused, request| -> Answer {
        Box::pin(refuse(refused, request))
    });
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
    let check = Request::get("http://host/").body(Upload::finished());
    let checked = sender.send_request(check.expect("a request")).await;
    assert_eq!(checked.expect("an answer").status(), StatusCode::OK);
    let taken = Arc::new(AtomicUsize::new(0));
    let upload = Upload {
        taken: Arc::clone(&taken),
    };
    let request = Request::post("http://host/")
        .body(upload)
        .expect("a request");
    let answer = tokio::spawn(async move { sender.send_request(request).await });

    let give_up_at = Instant::now() + WAIT_MOST;
    while taken.load(Ordering::SeqCst) < 2 * CHUNK {
        assert!(Instant::now() < give_up_at, "the body never began");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    // Whatever may come comes within this: a sender on the same host needs no round trips.
    tokio::time::sleep(Duration::from_millis(200)).await;
    refused.notify_one();
    let answer = answer.await.expect("the call ends").expect("an answer");
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    let taken = taken.load(Ordering::SeqCst);
    assert!(taken <= LENGTH / 2, "{taken} bytes of the body were taken");
}
