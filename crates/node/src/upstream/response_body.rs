//! Bodies of the upstream's responses: read whole, streamed, or discarded.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body as HttpBody, Frame, Incoming};
use mintridge_http::{Body, reply};

use super::{Checkout, Error};

/// Longest body that is read only to use its connection again. A new connection costs less than a
/// longer one.
const MAX_DISCARDED_BYTES: usize = 64 * 1024;
/// Time for reading such a body, which a sound upstream sends together with the head.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(50);

/// The body of a response that is passed on.
pub struct ResponseBody {
    /// The body.
    pub body: Body,
    /// Whether all of it has been read.
    pub is_complete: bool,
}

enum Next {
    Frame(Result<Frame<Bytes>, hyper::Error>),
    TooLong,
}

impl ResponseBody {
    /// Waits for the complete body if it is at most `max_buffered` bytes long; streams a longer one.
    ///
    /// # Errors
    /// If the body breaks off before it is complete or streamed.
    pub async fn read(
        mut body: Incoming,
        checkout: Checkout,
        max_buffered: usize,
    ) -> Result<Self, Error> {
        let mut buffered = BytesMut::new();
        while let Some(frame) = next_frame(&mut body, buffered.len(), max_buffered).await {
            match frame {
                Next::Frame(frame) => {
                    if let Ok(data) = frame?.into_data() {
                        buffered.extend_from_slice(&data);
                    }
                }
                Next::TooLong => return Ok(Self::stream(buffered.freeze(), body, checkout)),
            }
        }
        checkout.check_in();
        Ok(Self {
            body: reply::full(buffered.freeze()),
            is_complete: true,
        })
    }

    /// Streams a long body, starting with the part already read. Its connection returns to the pool
    /// when the body ends without an error.
    fn stream(buffered: Bytes, body: Incoming, checkout: Checkout) -> Self {
        let first = (!buffered.is_empty()).then_some(buffered);
        let state = (first, body, Some(checkout));
        let frames = futures_util::stream::unfold(state, |(first, mut body, mut checkout)| async {
            if let Some(buffered) = first {
                return Some((Ok(Frame::data(buffered)), (None, body, checkout)));
            }
            let Some(frame) = body.frame().await else {
                if let Some(checkout) = checkout.take() {
                    checkout.check_in();
                }
                return None;
            };
            if frame.is_err() {
                checkout = None;
            }
            Some((frame.map_err(std::io::Error::other), (None, body, checkout)))
        });
        Self {
            body: Body::new(StreamBody::new(frames)),
            is_complete: false,
        }
    }
}

async fn next_frame(body: &mut Incoming, buffered: usize, max_buffered: usize) -> Option<Next> {
    let announced = body.size_hint().lower();
    let remaining = usize::try_from(announced).unwrap_or(usize::MAX);
    if buffered.saturating_add(remaining) > max_buffered {
        return Some(Next::TooLong);
    }
    body.frame().await.map(Next::Frame)
}

/// Reads the rest of a response whose body is not needed, so that its connection can be used again.
///
/// Failure: an upstream sends a body without end. Symptom: the node reads it until the deadline, and
/// its memory grows until it is killed.
pub async fn discard(mut body: Incoming) -> Result<(), Error> {
    let reading = async {
        let mut bytes = 0;
        while let Some(frame) = body.frame().await {
            bytes += frame?.data_ref().map_or(0, Bytes::len);
            if bytes > MAX_DISCARDED_BYTES {
                return Err(Error::Endless);
            }
        }
        Ok(())
    };
    let read = tokio::time::timeout(DISCARD_TIMEOUT, reading).await;
    read.unwrap_or(Err(Error::Endless))
}
