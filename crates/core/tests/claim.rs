//! Claims: at most one request is granted each key, whatever happens to the writes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::claim::{Action, Claim, Claims, Completion, Key, Owner, Ticket, Verdict};
use mintridge_core::configs::claim::Settings;
use rstest::rstest;

fn claim(key: &str, owner: &str) -> Claim {
    Claim {
        key: Key(Arc::from(key)),
        owner: Owner(Arc::from(owner)),
    }
}

/// What happens to a write on its way to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Applied,
    ReplyLost,
    NeverArrived,
    Refused,
    /// Takes effect after all other steps of the test.
    Late,
}

/// A fake store that handles each write by its fate.
struct Store {
    keys: BTreeMap<Key, Owner>,
    fates: Vec<Fate>,
    late: Vec<Claim>,
    readable: bool,
    writes: u32,
}

impl Store {
    fn new(fates: &[Fate]) -> Self {
        Self {
            keys: BTreeMap::new(),
            fates: fates.iter().rev().copied().collect(),
            late: Vec::new(),
            readable: true,
            writes: 0,
        }
    }

    fn write(&mut self, claims: &[Claim]) -> Completion {
        self.writes += 1;
        let fate = self.fates.pop().unwrap_or(Fate::Applied);
        if fate == Fate::Refused {
            return Completion::NotApplied;
        }
        if fate == Fate::Late {
            self.late.extend_from_slice(claims);
        }
        if fate == Fate::NeverArrived || fate == Fate::Late {
            return Completion::Lost;
        }
        let holders: Vec<Option<Owner>> = claims
            .iter()
            .map(|c| self.keys.get(&c.key).cloned())
            .collect();
        if holders.iter().any(Option::is_some) {
            return if fate == Fate::ReplyLost {
                Completion::Lost
            } else {
                Completion::Conflict(holders)
            };
        }
        for claim in claims {
            self.keys.insert(claim.key.clone(), claim.owner.clone());
        }
        if fate == Fate::ReplyLost {
            Completion::Lost
        } else {
            Completion::Applied
        }
    }

    fn read(&self, claims: &[Claim]) -> Option<Vec<Option<Owner>>> {
        self.readable.then(|| {
            claims
                .iter()
                .map(|c| self.keys.get(&c.key).cloned())
                .collect()
        })
    }

    fn apply_late(&mut self) {
        for claim in self.late.drain(..) {
            self.keys.entry(claim.key).or_insert(claim.owner);
        }
    }
}

/// Executes actions until none is left, and returns the answers.
fn run(claims: &mut Claims, store: &mut Store, now: Instant) -> Vec<(Ticket, Verdict)> {
    let mut answers = Vec::new();
    while let Some(action) = claims.poll(now) {
        match action {
            Action::Answer(ticket, verdict) => answers.push((ticket, verdict)),
            Action::Write(batch) => {
                let written = store.write(&batch);
                claims.write_finished(written);
            }
            Action::Read(batch) => {
                let holders = store.read(&batch);
                claims.read_finished(holders.as_deref());
            }
            Action::Release(claim) => {
                if store.keys.get(&claim.key) == Some(&claim.owner) {
                    store.keys.remove(&claim.key);
                }
                claims.release_finished();
            }
            Action::Check => claims.check_finished(),
        }
    }
    answers
}

fn claims(now: Instant) -> Claims {
    Claims::new(Settings::default(), now)
}

/// Guards against two runs of one key that is sent through two nodes, the first of which may have
/// crashed in between. The key is granted at most once, whatever happened to the first write. If
/// the first request was answered "unavailable" and its write may still take effect, the key is
/// granted to at most one request.
#[rstest]
#[case::applied(Fate::Applied, Verdict::Granted, Verdict::Duplicate)]
#[case::reply_lost(Fate::ReplyLost, Verdict::Granted, Verdict::Duplicate)]
#[case::never_arrived(Fate::NeverArrived, Verdict::Unavailable, Verdict::Granted)]
#[case::refused(Fate::Refused, Verdict::Unavailable, Verdict::Granted)]
#[case::late(Fate::Late, Verdict::Unavailable, Verdict::Granted)]
fn submit_grants_a_key_once(#[case] fate: Fate, #[case] first: Verdict, #[case] second: Verdict) {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(5);
    let mut store = Store::new(&[fate]);
    let mut one = claims(now);
    one.submit(Ticket(1), claim("key", "one"), deadline);
    assert_eq!(run(&mut one, &mut store, now), [(Ticket(1), first)]);
    let mut other = claims(now);
    other.submit(Ticket(2), claim("key", "two"), deadline);
    assert_eq!(run(&mut other, &mut store, now), [(Ticket(2), second)]);
    store.apply_late();
    assert_eq!(store.keys.len(), 1, "the key has one holder");
}

/// A write takes effect, its reply is lost, and the store cannot be read. The request is refused as
/// not run, and a retry is not run either while the store holds the key.
#[test]
fn submit_without_confirmation_is_unavailable() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(5);
    let mut store = Store::new(&[Fate::ReplyLost]);
    store.readable = false;
    let mut one = claims(now);
    one.submit(Ticket(1), claim("key", "one"), deadline);
    // The release that follows is best effort; in this test it does not reach the store.
    let mut answers = Vec::new();
    while let Some(action) = one.poll(now) {
        match action {
            Action::Answer(ticket, verdict) => answers.push((ticket, verdict)),
            Action::Write(batch) => {
                let written = store.write(&batch);
                one.write_finished(written);
            }
            Action::Read(_) => one.read_finished(None),
            Action::Release(_) => break,
            Action::Check => one.check_finished(),
        }
    }
    assert_eq!(answers, [(Ticket(1), Verdict::Unavailable)]);
    store.readable = true;
    let mut other = claims(now);
    other.submit(Ticket(2), claim("key", "two"), deadline);
    assert_eq!(
        run(&mut other, &mut store, now),
        [(Ticket(2), Verdict::Duplicate)]
    );
}

#[test]
fn submit_for_the_same_key_at_once_is_a_duplicate() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(5);
    let mut store = Store::new(&[]);
    let mut one = claims(now);
    one.submit(Ticket(1), claim("key", "one"), deadline);
    one.submit(Ticket(2), claim("key", "two"), deadline);
    let mut answers = run(&mut one, &mut store, now);
    answers.sort_by_key(|(ticket, _)| ticket.0);
    assert_eq!(
        answers,
        [
            (Ticket(1), Verdict::Granted),
            (Ticket(2), Verdict::Duplicate)
        ]
    );
}

/// The entry node sends a request to a second host only after the first has certainly refused it.
/// The second host finds the owner of the same request in the store and may proceed.
#[test]
fn submit_with_the_same_owner_is_granted_again() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(5);
    let mut store = Store::new(&[]);
    for ticket in [Ticket(1), Ticket(2)] {
        let mut node = claims(now);
        node.submit(ticket, claim("key", "one"), deadline);
        assert_eq!(
            run(&mut node, &mut store, now),
            [(ticket, Verdict::Granted)]
        );
    }
}

#[test]
fn submit_conflict_in_a_batch_grants_the_other_keys() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(5);
    let mut store = Store::new(&[]);
    store
        .keys
        .insert(Key(Arc::from("held")), Owner(Arc::from("other")));
    let mut node = claims(now);
    for (ticket, key) in [(1, "free-a"), (2, "held"), (3, "free-b")] {
        node.submit(Ticket(ticket), claim(key, "mine"), deadline);
    }
    let mut answers = run(&mut node, &mut store, now);
    answers.sort_by_key(|(ticket, _)| ticket.0);
    let verdicts: Vec<Verdict> = answers.into_iter().map(|(_, verdict)| verdict).collect();
    assert_eq!(
        verdicts,
        [Verdict::Granted, Verdict::Duplicate, Verdict::Granted]
    );
}

#[test]
fn release_frees_only_its_owners_key() {
    let now = Instant::now();
    let mut store = Store::new(&[]);
    store
        .keys
        .insert(Key(Arc::from("a")), Owner(Arc::from("mine")));
    store
        .keys
        .insert(Key(Arc::from("b")), Owner(Arc::from("other")));
    let mut node = claims(now);
    node.release(claim("a", "mine"));
    node.release(claim("b", "mine"));
    run(&mut node, &mut store, now);
    assert_eq!(
        store.keys.keys().map(|key| &*key.0).collect::<Vec<_>>(),
        ["b"]
    );
}

#[test]
fn poll_spends_no_more_writes_than_its_budget() {
    let settings = Settings {
        writes_per_second: 10.0,
        writes_burst: 2.0,
        batch_most: 64,
        ..Settings::default()
    };
    let started_at = Instant::now();
    let mut node = Claims::new(settings, started_at);
    let mut store = Store::new(&[]);
    let mut granted = 0;
    for millisecond in 0..1000_u64 {
        let now = started_at + Duration::from_millis(millisecond);
        let ticket = Ticket(millisecond);
        let deadline = now + Duration::from_secs(5);
        node.submit(ticket, claim(&millisecond.to_string(), "mine"), deadline);
        granted += run(&mut node, &mut store, now).len();
    }
    assert!(store.writes <= 12, "{} writes in a second", store.writes);
    assert!(granted > 500, "{granted} of 1000 granted");
}

#[test]
fn submit_past_its_deadline_is_unavailable() {
    let settings = Settings {
        writes_burst: 0.0,
        ..Settings::default()
    };
    let now = Instant::now();
    let mut node = Claims::new(settings, now);
    let deadline = now + Duration::from_millis(10);
    node.submit(Ticket(1), claim("key", "one"), deadline);
    assert_eq!(node.poll(now), None);
    assert!(node.wake_at().is_some_and(|at| at <= deadline));
    assert_eq!(
        node.poll(deadline),
        Some(Action::Answer(Ticket(1), Verdict::Unavailable))
    );
}

/// Returns a store that lost a claim, as after a restore from a copy older than the claim, and the
/// node that was granted it.
fn lost_claim(now: Instant) -> (Store, Claims) {
    let mut store = Store::new(&[]);
    let mut one = claims(now);
    let deadline = now + Duration::from_secs(5);
    one.submit(Ticket(1), claim("key", "one"), deadline);
    assert_eq!(
        run(&mut one, &mut store, now),
        [(Ticket(1), Verdict::Granted)]
    );
    store.keys.clear();
    (store, one)
}

/// Guards against a second run of a request whose claim the store lost and whose caller retries it
/// through another node. That node answers "doubtful" until the first node has had time to write
/// the claim again; after that it finds the key held.
#[test]
fn store_restored_grants_no_key_that_was_lost() {
    let lost_at = Instant::now();
    let (mut store, mut one) = lost_claim(lost_at);
    let mut other = claims(lost_at);
    other.store_restored(lost_at);
    let submitted_at = lost_at + Duration::from_millis(10);
    let deadline = submitted_at + Duration::from_secs(5);
    other.submit(Ticket(2), claim("key", "two"), deadline);
    assert_eq!(
        run(&mut other, &mut store, submitted_at),
        [(Ticket(2), Verdict::Doubtful)]
    );
    let detected_at = lost_at + Duration::from_secs(2);
    one.store_restored(detected_at);
    assert_eq!(run(&mut one, &mut store, detected_at), []);
    let later = lost_at + Settings::default().doubtful_for;
    other.submit(
        Ticket(3),
        claim("key", "three"),
        later + Duration::from_secs(5),
    );
    assert_eq!(
        run(&mut other, &mut store, later),
        [(Ticket(3), Verdict::Duplicate)]
    );
}

/// The store is restored from a copy while a write is in flight. The write takes effect, but the
/// key may have been held before, so the request is not run.
#[test]
fn store_restored_during_a_write_grants_nothing() {
    let now = Instant::now();
    let mut node = claims(now);
    node.submit(Ticket(1), claim("key", "one"), now + Duration::from_secs(5));
    assert!(matches!(node.poll(now), Some(Action::Write(_))));
    node.store_restored(now);
    node.write_finished(Completion::Applied);
    assert_eq!(
        node.poll(now),
        Some(Action::Answer(Ticket(1), Verdict::Doubtful))
    );
}

/// The first writes after a restore of the store fail, or their replies are lost. The claim is
/// written again until the store holds it.
#[rstest]
#[case::refused(Fate::Refused)]
#[case::never_arrived(Fate::NeverArrived)]
#[case::reply_lost(Fate::ReplyLost)]
fn store_restored_rewrites_until_stored(#[case] fate: Fate) {
    let now = Instant::now();
    let (mut store, mut one) = lost_claim(now);
    store.fates = vec![Fate::Applied, fate, fate];
    one.store_restored(now);
    assert_eq!(run(&mut one, &mut store, now), []);
    let owner = Owner(Arc::from("one"));
    assert_eq!(store.keys.get(&Key(Arc::from("key"))), Some(&owner));
}

/// Neither a claim that is older than any copy nor a released one is written again.
#[rstest]
#[case::old(Duration::from_secs(31), false)]
#[case::released(Duration::from_secs(1), true)]
fn store_restored_drops_old_and_released_claims(#[case] after: Duration, #[case] released: bool) {
    let now = Instant::now();
    let (mut store, mut one) = lost_claim(now);
    if released {
        one.release(claim("key", "one"));
    }
    let restored_at = now + after;
    one.store_restored(restored_at);
    assert_eq!(run(&mut one, &mut store, restored_at), []);
    assert!(store.keys.is_empty());
}

/// The store is restored twice before a claim is written again. The store rejects a transaction
/// that names a key twice, so the key must be included once.
#[test]
fn store_restored_twice_writes_each_key_once() {
    let now = Instant::now();
    let (_, mut one) = lost_claim(now);
    one.store_restored(now);
    one.store_restored(now);
    let written = loop {
        match one.poll(now) {
            Some(Action::Write(batch)) => break batch,
            Some(Action::Check) => one.check_finished(),
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(written, [claim("key", "one")]);
}

/// The store is restored a second time while a claim is being written again. The write may be
/// missing from the newly restored state, so it is repeated.
#[test]
fn store_restored_during_a_rewrite_writes_again() {
    let now = Instant::now();
    let (mut store, mut one) = lost_claim(now);
    one.store_restored(now);
    while !matches!(one.poll(now), Some(Action::Write(_))) {
        one.check_finished();
    }
    one.store_restored(now);
    one.write_finished(Completion::Applied);
    assert_eq!(run(&mut one, &mut store, now), []);
    assert_eq!(store.keys.len(), 1);
}
