//! The socket as each of the two server connections on it sees it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll, ready};

use hyper::rt::{Read, ReadBufCursor, Write};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use super::{Pending, SCRATCH, Shared};
use crate::socket;

/// The socket as the reading side sees it: the empty answers written to it are thrown away.
///
/// What hyper answers by itself is not: the interim answer by which a caller is told to send
/// its body, and the refusal of a request that it cannot read.
pub(super) struct ReadSide {
    pub(super) stream: Arc<TcpStream>,
    pub(super) shared: Arc<Shared>,
}

/// How the empty answers begin.
const EMPTY_ANSWER: &[u8] = b"HTTP/1.1 200 ";
const EMPTY_ANSWER_OLD: &[u8] = b"HTTP/1.0 200 ";

impl Read for ReadSide {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut scratch = [0_u8; SCRATCH];
        let room = buffer.remaining().min(SCRATCH);
        let read = ready!(socket::poll_read(&self.stream, cx, &mut scratch[..room]))?;
        buffer.put_slice(&scratch[..read]);
        Poll::Ready(Ok(()))
    }
}

impl Write for ReadSide {
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let empty = bytes.starts_with(EMPTY_ANSWER) || bytes.starts_with(EMPTY_ANSWER_OLD);
        let in_turn = self.shared.unanswered.load(Ordering::Relaxed) == 0;
        let interim = bytes.starts_with(b"HTTP/1.1 100 ");
        if interim || (!empty && in_turn) {
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

/// The socket as the writing side sees it: stubs are read in place of requests.
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
        // The next stub is asked for once the answer before it is on its way.
        self.shared.note_idle(polled.is_pending());
        if let Some(pending) = ready!(polled) {
            buffer.put_slice(pending.stub);
            self.shared.begun.lock().push_back(pending);
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
