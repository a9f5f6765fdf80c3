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
/// Responses that hyper generates itself are sent: `100 Continue`, and the rejection of a request
/// that it can't parse.
pub(super) struct ReadSide {
    pub(super) stream: Arc<TcpStream>,
    pub(super) shared: Arc<Shared>,
}

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
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let is_empty_response = bytes.starts_with(EMPTY_RESPONSE_PREFIX)
            || bytes.starts_with(EMPTY_HTTP10_RESPONSE_PREFIX);
        let is_all_answered = self.shared.unanswered.load(Ordering::Relaxed) == 0;
        let is_continue = bytes.starts_with(b"HTTP/1.1 100 ");
        if is_continue || (!is_empty_response && is_all_answered) {
            self.stream.try_write(bytes)?;
        }
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
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
            buffer.put_slice(pending.stub);
            self.shared.awaiting_response.lock().push_back(pending);
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
        socket::poll_write(&self.stream, cx, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        socket::poll_write_vectored(&self.stream, cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket::shutdown(&self.stream))
    }
}
