//! Timers of one connection that do not elapse while bytes that have arrived on it are unread.

use std::fmt;
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
#[derive(Clone)]
pub struct Timer {
    stream: Weak<TcpStream>,
    not_before: NotBefore,
}

/// Tells the instant before which no timer of the connection may elapse, if there is one.
type NotBefore = Arc<dyn Fn() -> Option<Instant> + Send + Sync>;

impl fmt::Debug for Timer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Timer").finish_non_exhaustive()
    }
}

impl Timer {
    /// Makes timers for this connection.
    #[must_use]
    pub fn new(stream: &Arc<TcpStream>) -> Self {
        Self::held_off(stream, || None)
    }

    /// Makes timers for this connection that do not elapse before the instant that `not_before`
    /// tells when their time is over.
    #[must_use]
    pub fn held_off(
        stream: &Arc<TcpStream>,
        not_before: impl Fn() -> Option<Instant> + Send + Sync + 'static,
    ) -> Self {
        Self {
            stream: Arc::downgrade(stream),
            not_before: Arc::new(not_before),
        }
    }

    /// When to look again, if a timer whose time is over must not elapse yet.
    fn again_at(&self, now: Instant) -> Option<Instant> {
        if let Some(not_before) = (self.not_before)()
            && not_before > now
        {
            return Some(not_before);
        }
        let stream = self.stream.upgrade()?;
        has_unread(&stream).then(|| now + LOOK_EVERY)
    }
}

impl HyperTimer for Timer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(Instant::now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        Box::pin(Quiet {
            sleep: Box::pin(tokio::time::sleep_until(deadline.into())),
            timer: self.clone(),
        })
    }
}

/// Elapses once its time is over and nothing that has arrived is unread.
struct Quiet {
    sleep: Pin<Box<tokio::time::Sleep>>,
    timer: Timer,
}

impl Sleep for Quiet {}

impl Future for Quiet {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.sleep.as_mut().poll(cx));
            let now = Instant::now();
            let Some(again) = self.timer.again_at(now) else {
                return Poll::Ready(());
            };
            self.sleep.as_mut().reset(again.into());
        }
    }
}
