//! Timers of a connection that do not fire while the connection has unread bytes.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Weak};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use hyper::rt::{Sleep, Timer as HyperTimer};
use tokio::net::TcpStream;

use crate::socket::has_unread;

/// How often a connection with unread bytes is checked again.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Creates the timers of one connection.
///
/// Failure: the process is paused or gets no CPU time for longer than a timeout, and the awaited
/// bytes have arrived meanwhile. Symptom: the runtime fires the timer before it polls the socket,
/// and the connection closes with a request or a response in its receive buffer. A timer therefore
/// checks with the operating system for unread bytes before it fires.
///
/// The socket is referenced weakly, so a timer does not keep the connection open.
#[derive(Clone)]
pub struct Timer {
    stream: Weak<TcpStream>,
    not_before: NotBefore,
}

/// Returns the time before which no timer of the connection may fire, if any.
type NotBefore = Arc<dyn Fn() -> Option<Instant> + Send + Sync>;

impl fmt::Debug for Timer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Timer").finish_non_exhaustive()
    }
}

impl Timer {
    /// Creates the timers of this connection.
    #[must_use]
    pub fn new(stream: &Arc<TcpStream>) -> Self {
        Self::with_not_before(stream, || None)
    }

    /// Creates timers for this connection that do not fire before the time that `not_before`
    /// returns. It is called when their deadline has passed.
    #[must_use]
    pub fn with_not_before(
        stream: &Arc<TcpStream>,
        not_before: impl Fn() -> Option<Instant> + Send + Sync + 'static,
    ) -> Self {
        Self {
            stream: Arc::downgrade(stream),
            not_before: Arc::new(not_before),
        }
    }

    /// Returns when to check again if a timer that has reached its deadline must not fire yet.
    fn postponed_until(&self, now: Instant) -> Option<Instant> {
        if let Some(not_before) = (self.not_before)()
            && not_before > now
        {
            return Some(not_before);
        }
        let stream = self.stream.upgrade()?;
        has_unread(&stream).then(|| now + POLL_INTERVAL)
    }
}

impl HyperTimer for Timer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(Instant::now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        Box::pin(PostponableSleep {
            sleep: Box::pin(tokio::time::sleep_until(deadline.into())),
            timer: self.clone(),
        })
    }
}

/// A sleep that ends once its deadline has passed and its [`Timer`] does not postpone it.
struct PostponableSleep {
    sleep: Pin<Box<tokio::time::Sleep>>,
    timer: Timer,
}

impl Sleep for PostponableSleep {}

impl Future for PostponableSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.sleep.as_mut().poll(cx));
            let now = Instant::now();
            let Some(postponed_until) = self.timer.postponed_until(now) else {
                return Poll::Ready(());
            };
            self.sleep.as_mut().reset(postponed_until.into());
        }
    }
}
