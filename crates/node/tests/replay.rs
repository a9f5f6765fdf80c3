//! Sending a request body again in a further attempt.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame};
use mintridge_http::Body;
use mintridge_node::replay::{Replay, Source};

const FRAME_BYTES: usize = 4 * 1024;
const FRAMES: u8 = 40;
/// Bytes buffered for a further attempt; less than the whole body.
const BUFFER_BYTES: usize = 16 * FRAME_BYTES;

/// A body of frames that are filled with their own number.
struct Numbered(u8);

impl HttpBody for Numbered {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.0 == FRAMES {
            return Poll::Ready(None);
        }
        let frame = Frame::data(Bytes::from(vec![self.0; FRAME_BYTES]));
        self.0 += 1;
        Poll::Ready(Some(Ok(frame)))
    }
}

/// Returns the number of the next frame; `None` if the body has ended or the attempt was
/// superseded.
fn next(replay: &mut Replay) -> Option<u8> {
    let mut cx = Context::from_waker(Waker::noop());
    match Pin::new(replay).poll_frame(&mut cx) {
        Poll::Ready(Some(Ok(frame))) => frame.into_data().ok().map(|data| data[0]),
        _ => None,
    }
}

/// Guards against a body with a missing part. A host refuses an upload, and the entry sends it to
/// another host. The connection to the first host has not processed the refusal and reads on from
/// the body, beyond the buffer limit. The second upstream then received a body without that part.
/// An attempt must read nothing once the next one has started.
#[test]
fn superseded_attempt_reads_no_more_of_the_body() {
    let source = Source::new(Body::new(Numbered(0)), BUFFER_BYTES);
    let mut first = source.replay().expect("nothing was read");
    for _ in 0..4 {
        next(&mut first);
    }
    let mut second = source.replay().expect("little was read");
    assert_eq!(next(&mut second), Some(0));
    while next(&mut first).is_some() {}
    let rest: Vec<u8> = std::iter::from_fn(|| next(&mut second)).collect();
    assert_eq!(rest, (1..FRAMES).collect::<Vec<u8>>());
}
