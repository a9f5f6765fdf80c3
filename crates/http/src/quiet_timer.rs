//! Timers of one connection that do not elapse while bytes that have arrived on it are unread.

use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Weak};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use hyper::rt::{Sleep, Timer as HyperTimer};
use tokio::net::TcpStream;

use crate::socket::has_unread;

/// How often a connection is looked at again while bytes on it are unread.
const LOOK_EVERY: Duration = Duration::from_millis(2);

/// Makes timers for one connection.
///
/// Failure: the process is frozen or starved for longer than a timeout, and what was waited for has
/// arrived meanwhile. Symptom: the runtime fires the timer before it has looked at the socket, and
/// the connection ends with a request or an answer in its buffer. The system is asked instead.
///
/// It does not keep the connection open.
#[derive(Clone, Debug)]
pub struct Timer(Weak<TcpStream>);

impl Timer {
    /// Makes timers for this connection.
    #[must_use]
    pub fn new(stream: &Arc<TcpStream>) -> Self {
        Self(Arc::downgrade(stream))
    }
}

impl HyperTimer for Timer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(Instant::now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        Box::pin(Quiet {
            sleep: Box::pin(tokio::time::sleep_until(deadline.into())),
            stream: Weak::clone(&self.0),
        })
    }
}

/// Elapses once its time is over and nothing that has arrived is unread.
struct Quiet {
    sleep: Pin<Box<tokio::time::Sleep>>,
    stream: Weak<TcpStream>,
}

impl Sleep for Quiet {}

impl Future for Quiet {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.sleep.as_mut().poll(cx));
            let stream = self.stream.upgrade();
            if !stream.is_some_and(|stream| has_unread(&stream)) {
                return Poll::Ready(());
            }
            let again = tokio::time::Instant::now() + LOOK_EVERY;
            self.sleep.as_mut().reset(again);
        }
    }
}
