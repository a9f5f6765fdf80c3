//! Tokens of one account at one node: those it holds, and those it asks for.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::terms::Terms;
use super::{AnswerId, Entry, Grant, Key, Returned};

/// Time after which tokens are asked for again. A round trip between zones takes a few milliseconds.
const REPEAT_AFTER: Duration = Duration::from_millis(60);
/// Time until tokens ahead of demand are asked for again when the owner has not granted them all.
const SPARE_PAUSE: Duration = Duration::from_millis(100);
/// Time constant of the demand estimate.
const DEMAND_SECONDS: f64 = 2.0;
/// Demand, in requests per second at this node, from which tokens are asked for ahead. Below it a
/// token would expire unused more often than not.
const MIN_DEMAND_FOR_SPARE: f64 = 1.0;
/// Maximum number of tokens asked for ahead.
const MAX_SPARE: f64 = 256.0;
/// Time until more tokens are available up to which requests wait for them; if it is longer, they
/// are refused at once.
const MAX_WAIT: Duration = Duration::from_millis(75);
/// Shortest time until the owner is asked again for tokens that it did not have; bounds the number
/// of messages while an account floods the nodes.
const MIN_PAUSE: Duration = Duration::from_millis(15);
/// Longest time for which requests are refused without another ask, since the owner may change or
/// get more shares.
const MAX_EMPTY: Duration = Duration::from_secs(1);
/// Time until the next attempt if the owner did not answer.
const RETRY_AFTER: Duration = Duration::from_millis(250);
/// Step of the low-discrepancy sequence that spreads the retries of refused callers: the fractional
/// part of the golden ratio.
const GOLDEN_STEP: f64 = 0.618_033_988_749_894_9;

/// The tokens of one account.
#[derive(Debug)]
pub struct Holding {
    key: Key,
    /// Parameters of the account.
    pub terms: Terms,
    leases: VecDeque<Lease>,
    /// Leases that are too old to be used and may be returned.
    unused: Vec<Lease>,
    /// Requests per second, exponentially weighted, as of the last one.
    demand: f64,
    demand_at: Instant,
    /// Requests that wait for a token.
    pub waiting: u32,
    /// When tokens were asked for, and how many, until the answer.
    asked: Option<(Instant, u32)>,
    /// No tokens are asked for ahead before then.
    spare_at: Instant,
    /// The owner is not asked for tokens before then, since it has none.
    needed_at: Instant,
    /// Requests are refused until then.
    empty_until: Option<Instant>,
    /// When the owner expects tokens for those that it refused.
    available_at: Option<Instant>,
    refused: u32,
}

/// Tokens granted together.
#[derive(Clone, Debug)]
struct Lease {
    tokens: u32,
    owner: Arc<str>,
    granted: AnswerId,
    /// A token may be taken before then.
    use_until: Instant,
    /// The request that took one must be sent to an upstream before then.
    run_by: Instant,
}

/// A token that a request has taken, with what is needed to put it back.
#[derive(Clone, Debug)]
pub struct Taken(Lease);

impl Taken {
    /// Returns the instant by which the request must be sent to an upstream.
    pub const fn run_by(&self) -> Instant {
        self.0.run_by
    }
}

impl Holding {
    pub const fn new(now: Instant, key: Key, terms: Terms) -> Self {
        Self {
            key,
            terms,
            leases: VecDeque::new(),
            unused: Vec::new(),
            demand: 0.0,
            demand_at: now,
            waiting: 0,
            asked: None,
            spare_at: now,
            needed_at: now,
            empty_until: None,
            available_at: None,
            refused: 0,
        }
    }

    /// Counts a request.
    pub fn record_demand(&mut self, now: Instant) {
        self.demand = self.demand(now) + 1.0 / DEMAND_SECONDS;
        self.demand_at = now;
    }

    fn demand(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.demand_at).as_secs_f64();
        self.demand * (-elapsed / DEMAND_SECONDS).exp()
    }

    /// Takes a token, if there is one.
    pub fn take(&mut self, now: Instant) -> Option<Taken> {
        self.expire(now);
        let lease = self.leases.front_mut()?;
        lease.tokens -= 1;
        let taken = Lease {
            tokens: 1,
            ..lease.clone()
        };
        if lease.tokens == 0 {
            self.leases.pop_front();
        }
        Some(Taken(taken))
    }

    /// Puts back a token whose request did not run.
    pub fn put_back(&mut self, taken: Taken) {
        self.leases.push_front(taken.0);
    }

    /// Sorts out the tokens that may no longer be taken. Those that have not expired yet are returned
    /// with the next ask.
    fn expire(&mut self, now: Instant) {
        self.unused.retain(|lease| now < lease.run_by);
        while let Some(lease) = self.leases.pop_front_if(|lease| now >= lease.use_until) {
            if now < lease.run_by {
                self.unused.push(lease);
            }
        }
    }

    /// Returns the number of tokens at hand.
    fn usable(&self, now: Instant) -> u32 {
        let usable = self.leases.iter().filter(|lease| now < lease.use_until);
        usable.map(|lease| lease.tokens).sum()
    }

    /// Returns until when requests are refused, if they are.
    pub fn empty_until(&self, now: Instant) -> Option<Instant> {
        self.empty_until.filter(|until| now < *until)
    }

    /// Returns the time after which a refused request may be repeated; these times are spread.
    pub fn retry_at(&mut self, now: Instant) -> Instant {
        self.refused = self.refused.wrapping_add(1);
        let available_at = self.available_at.filter(|at| now < *at);
        let base = available_at.unwrap_or(now + RETRY_AFTER);
        let spread = (f64::from(self.refused) * GOLDEN_STEP).fract();
        base + base.saturating_duration_since(now).mul_f64(spread)
    }

    /// Returns what to ask `owner` for now, if anything.
    pub fn ask(&mut self, now: Instant, owner: &str) -> Option<Entry> {
        self.expire(now);
        if self.asked.is_some_and(|(at, _)| now < at + REPEAT_AFTER) {
            return None;
        }
        let (needed, spare) = self.missing(now);
        let returned = self.returned(owner);
        if needed + spare > 0 {
            self.asked = Some((now, needed + spare));
        }
        let entry = Entry {
            key: self.key,
            needed,
            spare,
            returned,
        };
        (needed + spare > 0 || returned.is_some()).then_some(entry)
    }

    /// Returns how many tokens are missing for requests that wait, and ahead of demand.
    fn missing(&self, now: Instant) -> (u32, u32) {
        if now < self.needed_at {
            return (0, 0);
        }
        let usable = self.usable(now);
        let target = self.spare_target(now);
        let spare = if usable * 2 < target {
            target - usable
        } else {
            0
        };
        (self.waiting.saturating_sub(usable), spare)
    }

    /// Returns the number of tokens to hold ahead of demand.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn spare_target(&self, now: Instant) -> u32 {
        let demand = self.demand(now);
        if now < self.spare_at || demand < MIN_DEMAND_FOR_SPARE {
            return 0;
        }
        let tokens = demand * self.terms.use_within().as_secs_f64();
        tokens.ceil().min(MAX_SPARE) as u32
    }

    /// Returns the unused tokens that `owner` granted, and forgets all others.
    fn returned(&mut self, owner: &str) -> Option<Returned> {
        let unused = std::mem::take(&mut self.unused);
        let unused = unused.iter().filter(|lease| &*lease.owner == owner);
        let latest = unused
            .clone()
            .map(|lease| lease.granted.incarnation)
            .max()?;
        let unused = unused.filter(|lease| lease.granted.incarnation == latest);
        let number = unused.clone().map(|lease| lease.granted.number).min()?;
        Some(Returned {
            tokens: unused.map(|lease| lease.tokens).sum(),
            granted: AnswerId {
                incarnation: latest,
                number,
            },
        })
    }

    /// Returns when [`Holding::ask`] has to be called next, if at all.
    pub fn ask_at(&self, now: Instant) -> Option<Instant> {
        if let Some((at, _)) = self.asked {
            return (self.waiting > 0).then_some(at + REPEAT_AFTER);
        }
        if self.missing(now) != (0, 0) {
            return Some(now);
        }
        if self.waiting > 0 && now < self.needed_at {
            return Some(self.needed_at);
        }
        self.leases.front().map(|lease| lease.use_until)
    }

    /// Records the answer of `owner` to an ask that was sent at `asked_at`. Without a grant the
    /// owner does not know the account.
    ///
    /// The life of tokens is measured from when they were asked for, which is before the owner
    /// granted them, so that they expire at this node first.
    pub fn receive(
        &mut self,
        now: Instant,
        asked_at: Instant,
        answer: (&Arc<str>, AnswerId),
        grant: Option<&Grant>,
    ) {
        let asked = self.asked.take().map_or(0, |(_, tokens)| tokens);
        let granted = grant.map_or(0, |grant| grant.tokens);
        if granted < asked {
            self.spare_at = now + SPARE_PAUSE;
        }
        if let Some(grant) = grant
            && granted > 0
        {
            self.leases.push_back(Lease {
                tokens: granted,
                owner: Arc::clone(answer.0),
                granted: answer.1,
                use_until: asked_at + grant.life / 2,
                run_by: asked_at + grant.life,
            });
        }
        let wait = grant.map_or(Some(RETRY_AFTER), |grant| grant.wait);
        if let Some(wait) = wait {
            self.available_at = Some(now + wait);
            self.needed_at = now + wait.clamp(MIN_PAUSE, MAX_EMPTY);
            self.empty_until = (wait > MAX_WAIT).then_some(self.needed_at);
        }
    }
}
