//! Reads and writes of a TCP socket through shared references.

use std::io::{self, Read};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// Shared handle of a socket; at most one owner may read and one may write.
#[derive(Clone, Debug)]
pub struct SharedStream(pub Arc<TcpStream>);

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read = ready!(poll_read(&self.0, cx, buffer.initialize_unfilled()))?;
        buffer.advance(read);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        poll_write(&self.0, cx, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        poll_write_vectored(&self.0, cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(shutdown(&self.0))
    }
}

/// Reads the bytes that have arrived.
///
/// A read that doesn't fill the buffer has drained the socket. The closure then reports
/// `WouldBlock` so that the runtime clears its readiness, which saves a read that finds nothing.
///
/// # Errors
/// If the connection is broken.
pub fn poll_read(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    buffer: &mut [u8],
) -> Poll<io::Result<usize>> {
    let socket = socket2::SockRef::from(stream);
    loop {
        ready!(stream.poll_read_ready(cx))?;
        let mut bytes_read = None;
        let result = stream.try_io(Interest::READABLE, || {
            let read = (&*socket).read(buffer)?;
            bytes_read = Some(read);
            let is_drained = (1..buffer.len()).contains(&read);
            if is_drained {
                Err(io::ErrorKind::WouldBlock.into())
            } else {
                Ok(())
            }
        });
        match (bytes_read, result) {
            (Some(read), _) => return Poll::Ready(Ok(read)),
            (None, Err(error)) if error.kind() != io::ErrorKind::WouldBlock => {
                return Poll::Ready(Err(error));
            }
            (None, _) => {}
        }
    }
}

/// Writes as many bytes as the send buffer accepts.
///
/// # Errors
/// If the connection is broken.
pub fn poll_write(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    bytes: &[u8],
) -> Poll<io::Result<usize>> {
    when_ready(|| stream.poll_write_ready(cx), || stream.try_write(bytes))
}

/// Writes from several buffers, otherwise like [`poll_write`].
///
/// # Errors
/// If the connection is broken.
pub fn poll_write_vectored(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    buffers: &[io::IoSlice<'_>],
) -> Poll<io::Result<usize>> {
    when_ready(
        || stream.poll_write_ready(cx),
        || stream.try_write_vectored(buffers),
    )
}

/// Shuts down the sending side of the connection.
///
/// # Errors
/// If the connection is broken.
pub fn shutdown(stream: &TcpStream) -> io::Result<()> {
    socket2::SockRef::from(stream).shutdown(std::net::Shutdown::Write)
}

/// Returns whether the socket has received bytes that were not read. Queries the operating system,
/// since the runtime's readiness may be out of date.
#[must_use]
pub fn has_unread(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    let peeked = socket2::SockRef::from(stream).peek(&mut byte);
    matches!(peeked, Ok(read) if read > 0)
}

/// Repeats `operation` while the socket reports readiness, since that may be a false positive.
fn when_ready<T>(
    mut poll_ready: impl FnMut() -> Poll<io::Result<()>>,
    mut operation: impl FnMut() -> io::Result<T>,
) -> Poll<io::Result<T>> {
    loop {
        ready!(poll_ready())?;
        match operation() {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return Poll::Ready(result),
        }
    }
}
