//! Bounds what a connection reads before the head of a response.
//!
//! Failure: an upstream sends interim responses without end. Symptom: the HTTP library reads and skips
//! them, so that the node's thread is busy until the deadline, and its other requests wait.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that may be read before the head of a response is complete: the head, interim responses, and
/// what has arrived with them. More than the buffer of the HTTP library, which bounds a single head.
const MAX_BYTES: usize = 1024 * 1024;

/// Number of bytes that a connection may still read.
#[derive(Clone, Debug)]
pub struct HeadLimit(Arc<AtomicUsize>);

impl HeadLimit {
    /// Wraps a connection. It is unlimited until [`Self::begin`].
    #[must_use]
    pub fn new(stream: TcpStream) -> (Self, LimitedStream) {
        let limit = Self(Arc::new(AtomicUsize::new(usize::MAX)));
        let stream = LimitedStream {
            stream,
            limit: limit.clone(),
        };
        (limit, stream)
    }

    /// Limits the connection, on which the head of a response is awaited.
    pub fn begin(&self) {
        self.0.store(MAX_BYTES, Ordering::Relaxed);
    }

    /// Ends the limit, since the head has arrived.
    pub fn end(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }

    /// Counts bytes that were read.
    fn spend(&self, bytes: usize) -> io::Result<()> {
        let left = self.0.load(Ordering::Relaxed);
        if left == usize::MAX {
            return Ok(());
        }
        let left = left.checked_sub(bytes);
        let left = left.ok_or_else(|| io::Error::other("the head of the response does not end"))?;
        self.0.store(left, Ordering::Relaxed);
        Ok(())
    }
}

/// A connection whose reads are limited.
#[derive(Debug)]
pub struct LimitedStream {
    stream: TcpStream,
    limit: HeadLimit,
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        Poll::Ready(self.limit.spend(buffer.filled().len() - before))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
