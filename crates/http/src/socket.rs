//! A socket with several owners, read and written without exclusive access.

use std::io::{self, Read};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// A handle of a socket that others hold as well; one of them reads and one writes.
#[derive(Clone, Debug)]
pub struct Shared(pub Arc<TcpStream>);

impl AsyncRead for Shared {
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

impl AsyncWrite for Shared {
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

/// Reads what has arrived.
///
/// A read that leaves room in the buffer has emptied the socket: the runtime is told so, which
/// spares the call that would find nothing.
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
        let mut taken = None;
        let tried = stream.try_io(Interest::READABLE, || {
            let read = (&*socket).read(buffer)?;
            taken = Some(read);
            let is_empty = (1..buffer.len()).contains(&read);
            if is_empty {
                Err(io::ErrorKind::WouldBlock.into())
            } else {
                Ok(())
            }
        });
        match (taken, tried) {
            (Some(read), _) => return Poll::Ready(Ok(read)),
            (None, Err(error)) if error.kind() != io::ErrorKind::WouldBlock => {
                return Poll::Ready(Err(error));
            }
            (None, _) => {}
        }
    }
}

/// Writes as much as there is room for.
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

/// As [`poll_write`], from several buffers.
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

/// Ends this side of the connection.
///
/// # Errors
/// If the connection is broken.
pub fn shutdown(stream: &TcpStream) -> io::Result<()> {
    socket2::SockRef::from(stream).shutdown(std::net::Shutdown::Write)
}

/// Whether anything that has arrived is unread; the system is asked, since the runtime may not
/// have looked for a while.
#[must_use]
pub fn has_unread(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    let peeked = socket2::SockRef::from(stream).peek(&mut byte);
    matches!(peeked, Ok(read) if read > 0)
}

/// Tries as often as the socket says that it is ready; it may turn out not to be.
fn when_ready<T>(
    mut poll_ready: impl FnMut() -> Poll<io::Result<()>>,
    mut act: impl FnMut() -> io::Result<T>,
) -> Poll<io::Result<T>> {
    loop {
        ready!(poll_ready())?;
        match act() {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            done => return Poll::Ready(done),
        }
    }
}
