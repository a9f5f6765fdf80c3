//! A body that is sent a second time.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame};
use mintridge_http::Body;
use mintridge_node::replay::{Replay, Source};

const FRAME: usize = 4 * 1024;
const FRAMES: u8 = 40;
/// Kept for a second attempt: a part of the body.
const KEPT: usize = 16 * FRAME;

/// Frames that each hold their own number.
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
        let frame = Frame::data(Bytes::from(vec![self.0; FRAME]));
        self.0 += 1;
        Poll::Ready(Some(Ok(frame)))
    }
}

/// Number of the next frame; `None` at the end, or where there is no more for this attempt.
fn next(replay: &mut Replay) -> Option<u8> {
    let mut cx = Context::from_waker(Waker::noop());
    match Pin::new(replay).poll_frame(&mut cx) {
        Poll::Ready(Some(Ok(frame))) => frame.into_data().ok().map(|data| data[0]),
        _ => None,
    }
}

/// A host refuses an upload, and the entry sends it to another. The connection to the first has not
/// heard of it yet and goes on taking of the body, until more was taken than is kept. The upstream
/// of the second got a body with a part missing; the rest came where that part was due. An attempt
/// takes nothing once the next has begun.
#[test]
fn replay_of_an_earlier_attempt_takes_nothing_more() {
    let source = Source::new(Body::new(Numbered(0)), KEPT);
    let mut first = source.replay().expect("nothing was taken");
    for _ in 0..4 {
        next(&mut first);
    }
    let mut second = source.replay().expect("little was taken");
    assert_eq!(next(&mut second), Some(0));
    while next(&mut first).is_some() {}
    let rest: Vec<u8> = std::iter::from_fn(|| next(&mut second)).collect();
    assert_eq!(rest, (1..FRAMES).collect::<Vec<u8>>());
}
