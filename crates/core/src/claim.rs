//! Claims on idempotency keys: the store grants each key to at most one request.
//!
//! Before a non-idempotent request with a key is sent to the upstream, its key is created in the
//! store by compare-and-swap. The store alone decides, so it does not matter which nodes crashed,
//! were paused or were replaced in between. Keys that wait at the same time are created in one
//! write, so the number of writes is bounded by the write budget and not by the number of requests.
//!
//! A claim stores its owner: the identifier that the entry node gave the request. The entry node
//! sends a non-idempotent request to a second host only after the first has certainly refused it,
//! so a second host that finds the same owner in the store may proceed.
//!
//! A store that is restored from an older copy has lost its newest claims. The node that was
//! granted a claim remembers it for as long as a copy may be old and writes it again. Until all
//! nodes have had time to do so nothing is granted, because the claim of a key that the store does
//! not contain may have been lost.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use crate::configs::claim::Settings;

/// Digest of service, client account and idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub Arc<str>);

/// Identifies the claiming request: entry host, its incarnation, and its number of the request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Owner(pub Arc<str>);

/// A claim of one key for one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The key that is claimed.
    pub key: Key,
    /// The request that claims it.
    pub owner: Owner,
}

/// Result of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// This request holds the key and may be sent to the upstream.
    Granted,
    /// Another request holds the key; that request may have run.
    Duplicate,
    /// The store did not confirm the claim; this request must not be sent to the upstream.
    Unavailable,
    /// The store lost its newest claims, and the claim of this key may be one of them; an earlier
    /// request with the key may have run.
    Doubtful,
}

/// Number by which the caller of [`Claims::submit`] matches the answer to its claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket(pub u64);

/// Next step that [`Claims::poll`] asks of its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Create all of these keys in one write, or none; on conflict, return their holders.
    Write(Vec<Claim>),
    /// The reply to a write was lost: read who holds these keys.
    Read(Vec<Claim>),
    /// Delete this key if the store still holds this owner for it.
    Release(Claim),
    /// Send any read to the store, so that its restore from an older copy is detected.
    Check,
    /// Return the verdict to the caller that asked with this ticket.
    Answer(Ticket, Verdict),
}

/// Result of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Completion {
    /// All keys were created.
    Applied,
    /// No key was created; the holders of the keys, in the order of the write.
    Conflict(Vec<Option<Owner>>),
    /// The write certainly had no effect.
    NotApplied,
    /// The reply was lost; the write may have taken effect, or may still do so.
    Lost,
}

/// Claims of one node that wait for the store; at most one store call is in flight at a time.
#[derive(Debug)]
pub struct Claims {
    settings: Settings,
    tokens: f64,
    refilled_at: Instant,
    waiting: VecDeque<Waiter>,
    releases: VecDeque<Claim>,
    call: Call,
    answers: VecDeque<(Waiter, Verdict)>,
    /// Claims granted to this node within the maximum age of a copy, oldest first.
    grants: VecDeque<Grant>,
    /// Until then the store may lack its newest claims, and nothing is granted.
    doubtful_until: Option<Instant>,
    check_at: Instant,
}

/// A claim that was granted to this node.
#[derive(Clone, Debug)]
struct Grant {
    claim: Claim,
    expires_at: Instant,
    /// Whether the store is known to hold the claim since its last restore from a copy.
    is_stored: bool,
}

/// A request that waits for the verdict on its claim.
#[derive(Clone, Debug)]
struct Waiter {
    ticket: Ticket,
    claim: Claim,
    deadline: Instant,
}

/// The store call in flight.
#[derive(Debug)]
enum Call {
    Idle,
    Writing(Vec<Waiter>),
    ReadDue(Vec<Waiter>),
    Reading(Vec<Waiter>),
    /// Granted claims are written again after a restore of the store.
    Rewriting(Vec<Claim>),
    Releasing,
    Checking,
}

impl Claims {
    /// Creates an empty set of claims with a full write budget.
    #[must_use]
    pub const fn new(settings: Settings, now: Instant) -> Self {
        Self {
            tokens: settings.writes_burst,
            settings,
            refilled_at: now,
            waiting: VecDeque::new(),
            releases: VecDeque::new(),
            call: Call::Idle,
            answers: VecDeque::new(),
            grants: VecDeque::new(),
            doubtful_until: None,
            check_at: now,
        }
    }

    /// Requests a claim; the verdict is returned through [`Action::Answer`].
    pub fn submit(&mut self, ticket: Ticket, claim: Claim, deadline: Instant) {
        let waiter = Waiter {
            ticket,
            claim,
            deadline,
        };
        if self.waiting.len() >= self.settings.pending_most {
            self.answers.push_back((waiter, Verdict::Unavailable));
        } else if self.is_claim_pending(&waiter.claim) {
            self.answers.push_back((waiter, Verdict::Duplicate));
        } else {
            self.waiting.push_back(waiter);
        }
    }

    /// Handles a restore of the store from an older copy.
    ///
    /// Failure: the store loses a claim whose request ran. Symptom: the key is free again, and a
    /// retry of the request runs a second time. Claims granted to this node within the maximum age
    /// of a copy are written again, and nothing is granted until every node has had time to detect
    /// the restore and do the same.
    pub fn store_restored(&mut self, now: Instant) {
        self.doubtful_until = Some(now + self.settings.doubtful_for);
        self.expire_grants(now);
        for grant in &mut self.grants {
            grant.is_stored = false;
        }
        // A write in flight may or may not be part of the restored state, so it confirms nothing.
        if let Call::Rewriting(claims) = &mut self.call {
            claims.clear();
        }
    }

    /// Releases a key whose request was certainly refused everywhere.
    ///
    /// This is best effort: a repeat of a request whose key stays claimed is answered with an
    /// unknown outcome and never runs twice.
    pub fn release(&mut self, claim: Claim) {
        self.grants.retain(|grant| grant.claim != claim);
        if self.releases.len() < self.settings.pending_most {
            self.releases.push_back(claim);
        }
    }

    /// Returns the next action; call until `None` after each event and at [`Self::wake_at`].
    pub fn poll(&mut self, now: Instant) -> Option<Action> {
        self.refill(now);
        self.expire_grants(now);
        self.expire_waiters(now);
        self.reject_while_doubtful(now);
        if let Some((waiter, verdict)) = self.answers.pop_front() {
            let verdict = self.confirm_verdict(now, waiter.claim, verdict);
            return Some(Action::Answer(waiter.ticket, verdict));
        }
        match std::mem::replace(&mut self.call, Call::Idle) {
            Call::Idle => self.next_call(now),
            Call::ReadDue(waiters) => {
                let claims = claims_of(&waiters);
                self.call = Call::Reading(waiters);
                Some(Action::Read(claims))
            }
            in_flight => {
                self.call = in_flight;
                None
            }
        }
    }

    /// When to call [`Self::poll`] even if no event occurs.
    #[must_use]
    pub fn wake_at(&self) -> Option<Instant> {
        let deadline = self.waiting.iter().map(|waiter| waiter.deadline).min();
        let to_rewrite = self.grants.iter().any(|grant| !grant.is_stored);
        let wants_write = to_rewrite || !self.waiting.is_empty() || !self.releases.is_empty();
        let affordable = (matches!(self.call, Call::Idle) && wants_write).then(|| {
            let missing = (1.0 - self.tokens).max(0.0);
            let seconds = missing / self.settings.writes_per_second;
            self.refilled_at + std::time::Duration::from_secs_f64(seconds)
        });
        let check = (!self.grants.is_empty()).then_some(self.check_at);
        [deadline, affordable, check].into_iter().flatten().min()
    }

    /// Records the result of the write in flight.
    pub fn write_finished(&mut self, written: Completion) {
        let waiters = match std::mem::replace(&mut self.call, Call::Idle) {
            Call::Writing(waiters) => waiters,
            Call::Rewriting(claims) => return self.rewrite_finished(&claims, &written),
            _ => return,
        };
        match written {
            Completion::Applied => self.answer_all(waiters, Verdict::Granted),
            Completion::NotApplied => self.answer_all(waiters, Verdict::Unavailable),
            Completion::Conflict(holders) => self.resolve_conflict(waiters, &holders),
            Completion::Lost => self.call = Call::ReadDue(waiters),
        }
    }

    /// Records the result of the read in flight: the holders in the order of the read, or `None` if
    /// it failed.
    ///
    /// Failure: a write takes effect and its reply is lost. Symptom: the key is held, and this node
    /// does not know by which request. The owner that is read back identifies the holder. A key
    /// that is read as free may still be claimed by the lost write, so its request is refused as
    /// not run, and the key is released.
    pub fn read_finished(&mut self, holders: Option<&[Option<Owner>]>) {
        let Call::Reading(waiters) = std::mem::replace(&mut self.call, Call::Idle) else {
            return;
        };
        for (index, waiter) in waiters.into_iter().enumerate() {
            let holder = holders.and_then(|holders| holders.get(index));
            let verdict = match holder {
                Some(Some(owner)) if *owner == waiter.claim.owner => Verdict::Granted,
                Some(Some(_)) => Verdict::Duplicate,
                Some(None) | None => {
                    self.release(waiter.claim.clone());
                    Verdict::Unavailable
                }
            };
            self.answers.push_back((waiter, verdict));
        }
    }

    /// Records the end of the check in flight, whether it succeeded or failed.
    pub fn check_finished(&mut self) {
        if matches!(self.call, Call::Checking) {
            self.call = Call::Idle;
        }
    }

    /// Records the end of the release in flight, whether it succeeded or failed.
    pub fn release_finished(&mut self) {
        if matches!(self.call, Call::Releasing) {
            self.call = Call::Idle;
        }
    }

    fn next_call(&mut self, now: Instant) -> Option<Action> {
        if !self.grants.is_empty() && now >= self.check_at {
            self.check_at = now + self.settings.check_every;
            self.call = Call::Checking;
            return Some(Action::Check);
        }
        if self.tokens < 1.0 {
            return None;
        }
        let claims = self.claims_to_rewrite();
        if !claims.is_empty() {
            self.tokens -= 1.0;
            self.call = Call::Rewriting(claims.clone());
            return Some(Action::Write(claims));
        }
        if !self.waiting.is_empty() {
            self.tokens -= 1.0;
            let batch_size = self.settings.batch_most.min(self.waiting.len());
            let waiters: Vec<Waiter> = self.waiting.drain(..batch_size).collect();
            let claims = claims_of(&waiters);
            self.call = Call::Writing(waiters);
            return Some(Action::Write(claims));
        }
        let claim = self.releases.pop_front()?;
        self.tokens -= 1.0;
        self.call = Call::Releasing;
        Some(Action::Release(claim))
    }

    /// Whether another request on this node waits for a claim of the same key.
    fn is_claim_pending(&self, claim: &Claim) -> bool {
        let in_flight: &[Waiter] = match &self.call {
            Call::Writing(waiters) | Call::ReadDue(waiters) | Call::Reading(waiters) => waiters,
            Call::Idle | Call::Rewriting(_) | Call::Releasing | Call::Checking => &[],
        };
        self.waiting
            .iter()
            .chain(in_flight)
            .any(|waiter| waiter.claim.key == claim.key)
    }

    /// Answers the waiters of a write that was rejected because some keys are held. The owner
    /// of each key distinguishes a request's own claim from a duplicate. Waiters of free keys are
    /// queued again.
    fn resolve_conflict(&mut self, waiters: Vec<Waiter>, holders: &[Option<Owner>]) {
        for (index, waiter) in waiters.into_iter().enumerate().rev() {
            match holders.get(index) {
                Some(Some(owner)) if *owner == waiter.claim.owner => {
                    self.answers.push_back((waiter, Verdict::Granted));
                }
                Some(Some(_)) => self.answers.push_back((waiter, Verdict::Duplicate)),
                Some(None) | None => self.waiting.push_front(waiter),
            }
        }
    }

    fn answer_all(&mut self, waiters: impl IntoIterator<Item = Waiter>, verdict: Verdict) {
        let answered = waiters.into_iter().map(|waiter| (waiter, verdict));
        self.answers.extend(answered);
    }

    /// Returns the verdict to answer with and records the grant; a grant becomes doubtful if the
    /// store was restored from an older copy in the meantime.
    fn confirm_verdict(&mut self, now: Instant, claim: Claim, verdict: Verdict) -> Verdict {
        if verdict != Verdict::Granted {
            return verdict;
        }
        if self.is_doubtful(now) {
            return Verdict::Doubtful;
        }
        if self.grants.len() >= self.settings.kept_most {
            self.grants.pop_front();
        }
        self.grants.push_back(Grant {
            claim,
            expires_at: now + self.settings.copy_age_most,
            is_stored: true,
        });
        verdict
    }

    /// Claims that the store may lack, for one write. The store rejects a write that names a key
    /// twice, so each key is included once.
    fn claims_to_rewrite(&self) -> Vec<Claim> {
        let mut claims: Vec<Claim> = Vec::new();
        for grant in self.grants.iter().filter(|grant| !grant.is_stored) {
            if claims.len() >= self.settings.batch_most {
                break;
            }
            if claims.iter().all(|claim| claim.key != grant.claim.key) {
                claims.push(grant.claim.clone());
            }
        }
        claims
    }

    /// Records the result of writing granted claims again. A key that has a holder, whoever it is,
    /// counts as stored; all others are written again.
    fn rewrite_finished(&mut self, claims: &[Claim], written: &Completion) {
        for (index, claim) in claims.iter().enumerate() {
            let is_held = match written {
                Completion::Applied => true,
                Completion::Conflict(holders) => holders.get(index).is_some_and(Option::is_some),
                Completion::NotApplied | Completion::Lost => false,
            };
            if is_held {
                let same = self
                    .grants
                    .iter_mut()
                    .filter(|grant| grant.claim.key == claim.key);
                same.for_each(|grant| grant.is_stored = true);
            }
        }
    }

    fn is_doubtful(&self, now: Instant) -> bool {
        self.doubtful_until.is_some_and(|until| now < until)
    }

    /// Rejects all waiters at once while the store may lack claims.
    fn reject_while_doubtful(&mut self, now: Instant) {
        if !self.is_doubtful(now) {
            return;
        }
        let waiters = std::mem::take(&mut self.waiting);
        self.answer_all(waiters, Verdict::Doubtful);
    }

    /// Drops claims that are older than any copy the store may be restored from.
    fn expire_grants(&mut self, now: Instant) {
        while self
            .grants
            .front()
            .is_some_and(|grant| now >= grant.expires_at)
        {
            self.grants.pop_front();
        }
    }

    fn expire_waiters(&mut self, now: Instant) {
        let answers = &mut self.answers;
        self.waiting.retain(|waiter| {
            let in_time = now < waiter.deadline;
            if !in_time {
                answers.push_back((waiter.clone(), Verdict::Unavailable));
            }
            in_time
        });
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.duration_since(self.refilled_at).as_secs_f64();
        let earned = elapsed * self.settings.writes_per_second;
        self.tokens = (self.tokens + earned).min(self.settings.writes_burst);
        self.refilled_at = now;
    }
}

fn claims_of(waiters: &[Waiter]) -> Vec<Claim> {
    waiters.iter().map(|waiter| waiter.claim.clone()).collect()
}
