//! Permits of requests: the entry takes one before it forwards a request of a limited account.

use std::sync::Arc;
use std::time::Instant;

use mintridge_core::account::Limit;
use mintridge_core::account::limiter::{Client, Decision, Key, Limits, Statistics, Token};
use mintridge_core::configs::account::Settings;
use mintridge_core::outcome::{Reason, Refusal};
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use super::clock;

/// State shared by the entry and the duty that exchanges messages with other nodes.
#[derive(Debug)]
pub struct Limiter {
    pub(super) client: Mutex<Client>,
    limits: Mutex<Arc<Limits>>,
    /// Notified when messages may be due.
    pub(super) due: Notify,
    /// Changed with each answer of another node.
    pub(super) answers: watch::Sender<()>,
}

impl Limiter {
    /// Creates the state of a process that starts.
    #[must_use]
    pub fn new(settings: &Settings, host: &Arc<str>, incarnation: u64) -> Self {
        let host = Arc::clone(host);
        let client = Client::new(settings.clone(), host, incarnation, clock::now());
        Self {
            client: Mutex::new(client),
            limits: Mutex::default(),
            due: Notify::new(),
            answers: watch::Sender::new(()),
        }
    }

    /// Replaces the limits of all accounts.
    pub(super) fn set_limits(&self, limits: &Arc<Limits>) {
        self.client.lock().set_limits(limits);
        *self.limits.lock() = Arc::clone(limits);
    }

    /// Returns what this node has done so far.
    #[must_use]
    pub fn statistics(&self) -> Statistics {
        self.client.lock().statistics()
    }

    /// Returns a permit for a request of the account, or `None` if the account has no limit.
    ///
    /// # Errors
    /// If the account is above its limit.
    pub async fn acquire(self: &Arc<Self>, account: &str) -> Result<Option<Permit>, Refusal> {
        let key = Key::new(account);
        let Some(limit) = self.limits.lock().get(&key).copied() else {
            return Ok(None);
        };
        self.decide(key, limit).await.map(Some)
    }

    async fn decide(self: &Arc<Self>, key: Key, limit: Limit) -> Result<Permit, Refusal> {
        let mut answers = self.answers.subscribe();
        let mut decision = self.locked(|client, now| client.acquire(now, key, limit));
        loop {
            match decision {
                Decision::Granted(token) => {
                    return Ok(Permit {
                        limiter: Arc::clone(self),
                        token: Some(token),
                        may_have_run: false,
                    });
                }
                Decision::Refused { retry_at } => {
                    let retry_at = clock::to_monotonic(retry_at);
                    return Err(Refusal::not_run(Reason::RateLimited, retry_at));
                }
                Decision::Wait { until } => {
                    let waiting = Waiting { limiter: self, key };
                    let until_monotonic = clock::to_monotonic(until).into();
                    let _ = tokio::time::timeout_at(until_monotonic, answers.changed()).await;
                    std::mem::forget(waiting);
                    decision = self.locked(|client, now| client.resume(now, key, until));
                }
            }
        }
    }

    /// Applies a change to the client, and has the duty send what it makes due.
    fn locked<T>(&self, change: impl FnOnce(&mut Client, Instant) -> T) -> T {
        let now = clock::now();
        let mut client = self.client.lock();
        let result = change(&mut client, now);
        let is_due = client.poll_at().is_some_and(|at| at <= now);
        drop(client);
        if is_due {
            self.due.notify_one();
        }
        result
    }
}

/// A request that waits for a token; dropped only if its caller is gone.
struct Waiting<'a> {
    limiter: &'a Limiter,
    key: Key,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.limiter.client.lock().abandon(self.key);
    }
}

/// Permission to run one request of an account. The token is given back when the permit is dropped,
/// unless the request may have run.
#[derive(Debug)]
pub struct Permit {
    limiter: Arc<Limiter>,
    token: Option<Token>,
    may_have_run: bool,
}

impl Permit {
    /// Returns the instant by which the request must be sent to an upstream.
    #[must_use]
    pub fn run_by(&self) -> Option<Instant> {
        let token = self.token.as_ref()?;
        Some(clock::to_monotonic(token.run_by()))
    }

    /// Returns whether the request may not be sent to an upstream with this permit: it has expired,
    /// or an earlier attempt may have used it. Each run of a request takes a token.
    #[must_use]
    pub fn is_used_up(&self) -> bool {
        let token = self.token.as_ref();
        self.may_have_run || token.is_some_and(|token| clock::now() >= token.run_by())
    }

    /// Records whether the request may have run by now. It is true from when an attempt starts,
    /// since the caller may disconnect in the middle of it, until the attempt is known not to have
    /// reached an upstream.
    pub const fn set_may_have_run(&mut self, may_have_run: bool) {
        self.may_have_run = may_have_run;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(token) = self.token.take()
            && !self.may_have_run
        {
            self.limiter
                .locked(|client, now| client.put_back(now, token));
        }
    }
}
