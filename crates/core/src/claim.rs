//! Claims on idempotency keys: at most one run per key, decided by the store.
//!
//! Before an unrepeatable request with a key is handed over, its key is created in the
//! store by compare-and-swap. The store alone is the truth, so it does not matter
//! which nodes died, froze or were replaced in between. Keys that wait together go
//! into one write, so that the number of writes follows the write budget and not the
//! number of requests.
//!
//! A claim holds the mark of the request as its entry node numbered it. The entry node
//! sends an unrepeatable request to a second host only after the first certainly
//! refused it, so a second host that finds the same mark may go on.
//!
//! A store that comes back from an older copy has lost its newest claims. The node that was granted
//! one remembers it for as long as a copy may be old and writes it again, and until all nodes have had
//! time for that nobody is granted anything: a key that looks free may be one that was lost.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use crate::configs::claim::Settings;

/// Digest of service, client account and idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub Arc<str>);

/// Who made a claim: entry host, its incarnation, and its number of the request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Mark(pub Arc<str>);

/// One claim that is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// What is claimed.
    pub key: Key,
    /// For which request.
    pub mark: Mark,
}

/// Answer to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The key is this request's; it may be handed over.
    Granted,
    /// Another request holds the key; it may have run.
    Duplicate,
    /// The store did not confirm; this request must not be handed over.
    Unavailable,
    /// The store lost its newest claims, and this key's may be one of them; an earlier request with
    /// it may have run.
    Doubtful,
}

/// Number by which the asker knows its claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket(pub u64);

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Create all these keys in one write, or none; on conflict tell who holds them.
    Write(Vec<Claim>),
    /// A reply was lost: read who holds these keys.
    Read(Vec<Claim>),
    /// Delete this key if its mark still stands.
    Release(Claim),
    /// Ask the store for anything, so that its return from a copy is noticed.
    Check,
    /// Tell the asker.
    Answer(Ticket, Verdict),
}

/// How a write ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Written {
    /// All keys were created.
    Applied,
    /// None was; holders of the keys in the order asked.
    Conflict(Vec<Option<Mark>>),
    /// It certainly did not take effect.
    NotApplied,
    /// The reply was lost; it may have taken effect, or may yet.
    Lost,
}

/// Claims of one node on their way to the store; one call is open at a time.
#[derive(Debug)]
pub struct Claims {
    settings: Settings,
    tokens: f64,
    refilled_at: Instant,
    waiting: VecDeque<Asked>,
    releases: VecDeque<Claim>,
    call: Call,
    answers: VecDeque<(Asked, Verdict)>,
    /// Granted here lately, the oldest first.
    kept: VecDeque<Kept>,
    /// While the store's newest claims may be missing in it.
    doubtful_until: Option<Instant>,
    check_at: Instant,
}

/// A claim that was granted here.
#[derive(Clone, Debug)]
struct Kept {
    claim: Claim,
    until: Instant,
    /// Whether the store holds it, since it last came back.
    written: bool,
}

#[derive(Clone, Debug)]
struct Asked {
    ticket: Ticket,
    claim: Claim,
    deadline: Instant,
}

#[derive(Debug)]
enum Call {
    Idle,
    Writing(Vec<Asked>),
    ReadDue(Vec<Asked>),
    Reading(Vec<Asked>),
    /// Claims remembered here are written again.
    Rewriting(Vec<Claim>),
    Releasing,
    Checking,
}

impl Claims {
    /// Nothing asked yet.
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
            kept: VecDeque::new(),
            doubtful_until: None,
            check_at: now,
        }
    }

    /// Asks for a claim; the answer comes by [`Action::Answer`].
    pub fn ask(&mut self, ticket: Ticket, claim: Claim, deadline: Instant) {
        let asked = Asked {
            ticket,
            claim,
            deadline,
        };
        if self.waiting.len() >= self.settings.pending_most {
            self.answers.push_back((asked, Verdict::Unavailable));
        } else if self.holds_other(&asked.claim) {
            self.answers.push_back((asked, Verdict::Duplicate));
        } else {
            self.waiting.push_back(asked);
        }
    }

    /// The store has come back from an older copy.
    ///
    /// Failure: the store loses a claim whose request ran. Symptom: the key looks free, and a
    /// repeat runs it again. What was granted here within the age of a copy is written again, and
    /// nothing is granted until every node has had time to notice and do the same.
    pub fn store_returned(&mut self, now: Instant) {
        self.doubtful_until = Some(now + self.settings.doubtful_for);
        self.forget(now);
        for kept in &mut self.kept {
            kept.written = false;
        }
        // Whether a write on its way is in the newer state nobody knows.
        if let Call::Rewriting(claims) = &mut self.call {
            claims.clear();
        }
    }

    /// Gives a key back: its request was certainly refused everywhere.
    ///
    /// Best effort: a key that stays claimed is answered as unknown, never run twice.
    pub fn release(&mut self, claim: Claim) {
        self.kept.retain(|kept| kept.claim != claim);
        if self.releases.len() < self.settings.pending_most {
            self.releases.push_back(claim);
        }
    }

    /// What to do next; call until `None` after each event and at [`Self::wake_at`].
    pub fn poll(&mut self, now: Instant) -> Option<Action> {
        self.refill(now);
        self.forget(now);
        self.give_up_late(now);
        self.refuse_in_doubt(now);
        if let Some((asked, verdict)) = self.answers.pop_front() {
            let verdict = self.judge(now, asked.claim, verdict);
            return Some(Action::Answer(asked.ticket, verdict));
        }
        match std::mem::replace(&mut self.call, Call::Idle) {
            Call::Idle => self.next_call(now),
            Call::ReadDue(asked) => {
                let claims = claims_of(&asked);
                self.call = Call::Reading(asked);
                Some(Action::Read(claims))
            }
            open => {
                self.call = open;
                None
            }
        }
    }

    /// When to poll although nothing happened.
    #[must_use]
    pub fn wake_at(&self) -> Option<Instant> {
        let deadline = self.waiting.iter().map(|asked| asked.deadline).min();
        let to_rewrite = self.kept.iter().any(|kept| !kept.written);
        let wants_write = to_rewrite || !self.waiting.is_empty() || !self.releases.is_empty();
        let affordable = (matches!(self.call, Call::Idle) && wants_write).then(|| {
            let missing = (1.0 - self.tokens).max(0.0);
            let seconds = missing / self.settings.writes_per_second;
            self.refilled_at + std::time::Duration::from_secs_f64(seconds)
        });
        let check = (!self.kept.is_empty()).then_some(self.check_at);
        [deadline, affordable, check].into_iter().flatten().min()
    }

    /// The open write ended.
    pub fn written(&mut self, written: Written) {
        let asked = match std::mem::replace(&mut self.call, Call::Idle) {
            Call::Writing(asked) => asked,
            Call::Rewriting(claims) => return self.rewritten(&claims, &written),
            _ => return,
        };
        match written {
            Written::Applied => self.answer_all(asked, Verdict::Granted),
            Written::NotApplied => self.answer_all(asked, Verdict::Unavailable),
            Written::Conflict(holders) => self.settle_conflict(asked, &holders),
            Written::Lost => self.call = Call::ReadDue(asked),
        }
    }

    /// The open read ended: holders in the order asked, or `None` if it failed.
    ///
    /// Failure: a write takes effect and its reply is lost. Symptom: the key is held
    /// and nobody knows by whom. The mark read back tells. A key found free may still
    /// be taken by the lost write, so its request is refused as not run, and the late
    /// claim is given back.
    pub fn read(&mut self, holders: Option<&[Option<Mark>]>) {
        let Call::Reading(asked) = std::mem::replace(&mut self.call, Call::Idle) else {
            return;
        };
        for (index, asked) in asked.into_iter().enumerate() {
            let holder = holders.and_then(|holders| holders.get(index));
            let verdict = match holder {
                Some(Some(mark)) if *mark == asked.claim.mark => Verdict::Granted,
                Some(Some(_)) => Verdict::Duplicate,
                Some(None) | None => {
                    self.release(asked.claim.clone());
                    Verdict::Unavailable
                }
            };
            self.answers.push_back((asked, verdict));
        }
    }

    /// The open check ended, well or not.
    pub fn checked(&mut self) {
        if matches!(self.call, Call::Checking) {
            self.call = Call::Idle;
        }
    }

    /// The open release ended, well or not.
    pub fn released(&mut self) {
        if matches!(self.call, Call::Releasing) {
            self.call = Call::Idle;
        }
    }

    fn next_call(&mut self, now: Instant) -> Option<Action> {
        if !self.kept.is_empty() && now >= self.check_at {
            self.check_at = now + self.settings.check_every;
            self.call = Call::Checking;
            return Some(Action::Check);
        }
        if self.tokens < 1.0 {
            return None;
        }
        let claims = self.to_rewrite();
        if !claims.is_empty() {
            self.tokens -= 1.0;
            self.call = Call::Rewriting(claims.clone());
            return Some(Action::Write(claims));
        }
        if !self.waiting.is_empty() {
            self.tokens -= 1.0;
            let most = self.settings.batch_most.min(self.waiting.len());
            let asked: Vec<Asked> = self.waiting.drain(..most).collect();
            let claims = claims_of(&asked);
            self.call = Call::Writing(asked);
            return Some(Action::Write(claims));
        }
        let claim = self.releases.pop_front()?;
        self.tokens -= 1.0;
        self.call = Call::Releasing;
        Some(Action::Release(claim))
    }

    /// Whether another request asks for the same key at this moment.
    fn holds_other(&self, claim: &Claim) -> bool {
        let open: &[Asked] = match &self.call {
            Call::Writing(asked) | Call::ReadDue(asked) | Call::Reading(asked) => asked,
            Call::Idle | Call::Rewriting(_) | Call::Releasing | Call::Checking => &[],
        };
        self.waiting
            .iter()
            .chain(open)
            .any(|asked| asked.claim.key == claim.key)
    }

    /// Holders of a key are told apart by mark; the free keys are asked for again.
    fn settle_conflict(&mut self, asked: Vec<Asked>, holders: &[Option<Mark>]) {
        for (index, asked) in asked.into_iter().enumerate().rev() {
            match holders.get(index) {
                Some(Some(mark)) if *mark == asked.claim.mark => {
                    self.answers.push_back((asked, Verdict::Granted));
                }
                Some(Some(_)) => self.answers.push_back((asked, Verdict::Duplicate)),
                Some(None) | None => self.waiting.push_front(asked),
            }
        }
    }

    fn answer_all(&mut self, asked: impl IntoIterator<Item = Asked>, verdict: Verdict) {
        let answered = asked.into_iter().map(|asked| (asked, verdict));
        self.answers.extend(answered);
    }

    /// What the asker is told, by what is known of the store at this moment.
    fn judge(&mut self, now: Instant, claim: Claim, verdict: Verdict) -> Verdict {
        if verdict != Verdict::Granted {
            return verdict;
        }
        if self.is_doubtful(now) {
            return Verdict::Doubtful;
        }
        if self.kept.len() >= self.settings.kept_most {
            self.kept.pop_front();
        }
        self.kept.push_back(Kept {
            claim,
            until: now + self.settings.copy_age_most,
            written: true,
        });
        verdict
    }

    /// Claims that the store may lack, for one write: it may name each key once.
    fn to_rewrite(&self) -> Vec<Claim> {
        let mut claims: Vec<Claim> = Vec::new();
        for kept in self.kept.iter().filter(|kept| !kept.written) {
            if claims.len() >= self.settings.batch_most {
                break;
            }
            if claims.iter().all(|claim| claim.key != kept.claim.key) {
                claims.push(kept.claim.clone());
            }
        }
        claims
    }

    /// A write of claims that are remembered here ended. Whoever holds a key now, it is held; all
    /// others are written again.
    fn rewritten(&mut self, claims: &[Claim], written: &Written) {
        for (index, claim) in claims.iter().enumerate() {
            let is_held = match written {
                Written::Applied => true,
                Written::Conflict(holders) => holders.get(index).is_some_and(Option::is_some),
                Written::NotApplied | Written::Lost => false,
            };
            if is_held {
                let same = self
                    .kept
                    .iter_mut()
                    .filter(|kept| kept.claim.key == claim.key);
                same.for_each(|kept| kept.written = true);
            }
        }
    }

    fn is_doubtful(&self, now: Instant) -> bool {
        self.doubtful_until.is_some_and(|until| now < until)
    }

    /// Those who ask while the store may lack claims are told at once.
    fn refuse_in_doubt(&mut self, now: Instant) {
        if !self.is_doubtful(now) {
            return;
        }
        let asked = std::mem::take(&mut self.waiting);
        self.answer_all(asked, Verdict::Doubtful);
    }

    /// Forgets claims that are older than any copy.
    fn forget(&mut self, now: Instant) {
        while self.kept.front().is_some_and(|kept| now >= kept.until) {
            self.kept.pop_front();
        }
    }

    fn give_up_late(&mut self, now: Instant) {
        let answers = &mut self.answers;
        self.waiting.retain(|asked| {
            let in_time = now < asked.deadline;
            if !in_time {
                answers.push_back((asked.clone(), Verdict::Unavailable));
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

fn claims_of(asked: &[Asked]) -> Vec<Claim> {
    asked.iter().map(|asked| asked.claim.clone()).collect()
}
