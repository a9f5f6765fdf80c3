//! The two views of the socket, one for each hyper server connection on it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll, ready};

use hyper::rt::{Read, ReadBufCursor, Write};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use super::{BUFFER_BYTES, Pending, Shared};
use crate::socket;

/// The socket of the reading side, which discards the empty responses written to it.
///
/// Responses that hyper generates itself are sent in between the actual ones: `100 Continue`, and
/// the rejection of a request that it can't parse.
pub(super) struct ReadSide {
    stream: Arc<TcpStream>,
    shared: Arc<Shared>,
    /// Number of bytes left of a response that was sent in part.
    unsent: usize,
}

impl ReadSide {
    pub(super) const fn new(stream: Arc<TcpStream>, shared: Arc<Shared>) -> Self {
        Self {
            stream,
            shared,
            unsent: 0,
        }
    }

    /// Waits until this response may be sent; returns false if it must be discarded. A rejection is
    /// discarded while a response is due, since that one then ends the connection.
    fn poll_may_send(&self, cx: &Context<'_>, response: &[u8]) -> Poll<bool> {
        if response.starts_with(EMPTY_RESPONSE_PREFIX)
            || response.starts_with(EMPTY_HTTP10_RESPONSE_PREFIX)
        {
            Poll::Ready(false)
        } else if response.starts_with(INTERIM_PREFIX) {
            self.shared.turns.poll_interim(cx)
        } else if self.shared.unanswered.load(Ordering::Relaxed) > 0 {
            Poll::Ready(false)
        } else {
            self.shared.turns.poll_rejection(cx)
        }
    }
}

/// Prefix of interim responses.
const INTERIM_PREFIX: &[u8] = b"HTTP/1.1 100 ";
/// Prefix of the empty responses to HTTP/1.1 requests.
const EMPTY_RESPONSE_PREFIX: &[u8] = b"HTTP/1.1 200 ";
/// Prefix of the empty responses to HTTP/1.0 requests.
const EMPTY_HTTP10_RESPONSE_PREFIX: &[u8] = b"HTTP/1.0 200 ";

impl Read for ReadSide {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut bytes = [0_u8; BUFFER_BYTES];
        let room = buffer.remaining().min(BUFFER_BYTES);
        let read = ready!(socket::poll_read(&self.stream, cx, &mut bytes[..room]))?;
        buffer.put_slice(&bytes[..read]);
        Poll::Ready(Ok(()))
    }
}

impl Write for ReadSide {
    /// Sends or discards the first response in `bytes`, all of which have no body.
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.unsent == 0 {
            let length = first_response(bytes).len();
            if !ready!(self.poll_may_send(cx, &bytes[..length])) {
                return Poll::Ready(Ok(length));
            }
            self.unsent = length;
        }
        let next = &bytes[..self.unsent.min(bytes.len())];
        let sent = ready!(socket::poll_write(&self.stream, cx, next))?;
        self.unsent -= sent;
        Poll::Ready(Ok(sent))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Returns the first of several responses without a body.
fn first_response(bytes: &[u8]) -> &[u8] {
    let end = bytes.windows(4).position(|end| end == b"\r\n\r\n");
    end.map_or(bytes, |end| &bytes[..end + 4])
}

/// The socket of the writing side, which reads stubs in place of the actual requests.
pub(super) struct WriteSide {
    pub(super) stream: Arc<TcpStream>,
    pub(super) pending: mpsc::UnboundedReceiver<Pending>,
    pub(super) shared: Arc<Shared>,
}

impl Read for WriteSide {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let polled = self.pending.poll_recv(cx);
        // Hyper reads the next stub once the previous response is written.
        self.shared.set_idle(polled.is_pending());
        if let Some(pending) = ready!(polled) {
            self.shared.turns.record_begun();
            buffer.put_slice(pending.stub);
            let mut awaiting_response = self.shared.awaiting_response.lock();
            awaiting_response.push_back(pending.awaited);
            // The task has ended if its permits covered all that it needed.
            let _ = pending.turn.send(());
        }
        Poll::Ready(Ok(()))
    }
}

impl Write for WriteSide {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.shared.turns.set_has_unwritten(true);
        socket::poll_write(&self.stream, cx, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.shared.turns.set_has_unwritten(true);
        socket::poll_write_vectored(&self.stream, cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// Hyper flushes once it has written all that it has.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.shared.turns.set_has_unwritten(false);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket::shutdown(&self.stream))
    }
}
