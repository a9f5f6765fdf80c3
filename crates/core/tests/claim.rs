//! Claims: at most one grant per key, whatever happens to the writes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::claim::{Action, Claim, Claims, Key, Mark, Ticket, Verdict, Written};
use mintridge_core::configs::claim::Settings;
use rstest::rstest;

fn claim(key: &str, mark: &str) -> Claim {
    Claim {
        key: Key(Arc::from(key)),
        mark: Mark(Arc::from(mark)),
    }
}

/// What happens to a write on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Applied,
    ReplyLost,
    NeverArrived,
    Refused,
    /// Takes effect after everything else in the test.
    Late,
}

/// The store, as far as claims see it, with a fate for each write.
struct Store {
    keys: BTreeMap<Key, Mark>,
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

    fn write(&mut self, claims: &[Claim]) -> Written {
        self.writes += 1;
        let fate = self.fates.pop().unwrap_or(Fate::Applied);
        if fate == Fate::Refused {
            return Written::NotApplied;
        }
        if fate == Fate::Late {
            self.late.extend_from_slice(claims);
        }
        if fate == Fate::NeverArrived || fate == Fate::Late {
            return Written::Lost;
        }
        let holders: Vec<Option<Mark>> = claims
            .iter()
            .map(|c| self.keys.get(&c.key).cloned())
            .collect();
        if holders.iter().any(Option::is_some) {
            return if fate == Fate::ReplyLost {
                Written::Lost
            } else {
                Written::Conflict(holders)
            };
        }
        for claim in claims {
            self.keys.insert(claim.key.clone(), claim.mark.clone());
        }
        if fate == Fate::ReplyLost {
            Written::Lost
        } else {
            Written::Applied
        }
    }

    fn read(&self, claims: &[Claim]) -> Option<Vec<Option<Mark>>> {
        self.readable.then(|| {
            claims
                .iter()
                .map(|c| self.keys.get(&c.key).cloned())
                .collect()
        })
    }

    fn apply_late(&mut self) {
        for claim in self.late.drain(..) {
            self.keys.entry(claim.key).or_insert(claim.mark);
        }
    }
}

/// Runs until nothing is due, and returns the answers.
fn run(claims: &mut Claims, store: &mut Store, now: Instant) -> Vec<(Ticket, Verdict)> {
    let mut answers = Vec::new();
    while let Some(action) = claims.poll(now) {
        match action {
            Action::Answer(ticket, verdict) => answers.push((ticket, verdict)),
            Action::Write(batch) => {
                let written = store.write(&batch);
                claims.written(written);
            }
            Action::Read(batch) => {
                let holders = store.read(&batch);
                claims.read(holders.as_deref());
            }
            Action::Release(claim) => {
                if store.keys.get(&claim.key) == Some(&claim.mark) {
                    store.keys.remove(&claim.key);
                }
                claims.released();
            }
            Action::Check => claims.checked(),
        }
    }
    answers
}

fn claims(now: Instant) -> Claims {
    Claims::new(Settings::default(), now)
}

/// What the callers see: the same key sent through two nodes, the first of which may be
/// gone by then, is granted at most once, whatever became of the first write. A key whose
/// first request was told "unavailable" is granted to nobody while its write may still
/// take effect, or to one.
#[rstest]
#[case::applied(Fate::Applied, Verdict::Granted, Verdict::Duplicate)]
#[case::reply_lost(Fate::ReplyLost, Verdict::Granted, Verdict::Duplicate)]
#[case::never_arrived(Fate::NeverArrived, Verdict::Unavailable, Verdict::Granted)]
#[case::refused(Fate::Refused, Verdict::Unavailable, Verdict::Granted)]
#[case::late(Fate::Late, Verdict::Unavailable, Verdict::Granted)]
fn ask_grants_a_key_once(#[case] fate: Fate, #[case] first: Verdict, #[case] second: Verdict) {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(5);
    let mut store = Store::new(&[fate]);
    let mut one = claims(now);
    one.ask(Ticket(1), claim("key", "one"), deadline);
    assert_eq!(run(&mut one, &mut store, now), [(Ticket(1), first)]);
    let mut other = claims(now);
    other.ask(Ticket(2), claim("key", "two"), deadline);
    assert_eq!(run(&mut other, &mut store, now), [(Ticket(2), second)]);
    store.apply_late();
    assert_eq!(store.keys.len(), 1, "the key has one holder");
}

/// What the callers see: a write took effect, its reply was lost, and the store cannot
/// be read: the request is refused as not run, and a repeat is not run either while the
/// store says that the key is held.
#[test]
fn ask_without_confirmation_is_unavailable() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(5);
    let mut store = Store::new(&[Fate::ReplyLost]);
    store.readable = false;
    let mut one = claims(now);
    one.ask(Ticket(1), claim("key", "one"), deadline);
    // The release that follows is best effort; here it never reaches the store.
    let mut answers = Vec::new();
    while let Some(action) = one.poll(now) {
        match action {
            Action::Answer(ticket, verdict) => answers.push((ticket, verdict)),
            Action::Write(batch) => {
                let written = store.write(&batch);
                one.written(written);
            }
            Action::Read(_) => one.read(None),
            Action::Release(_) => break,
            Action::Check => one.checked(),
        }
    }
    assert_eq!(answers, [(Ticket(1), Verdict::Unavailable)]);
    store.readable = true;
    let mut other = claims(now);
    other.ask(Ticket(2), claim("key", "two"), deadline);
    assert_eq!(
        run(&mut other, &mut store, now),
        [(Ticket(2), Verdict::Duplicate)]
    );
}

#[test]
fn ask_for_the_same_key_at_once_is_a_duplicate() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(5);
    let mut store = Store::new(&[]);
    let mut one = claims(now);
    one.ask(Ticket(1), claim("key", "one"), deadline);
    one.ask(Ticket(2), claim("key", "two"), deadline);
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

/// The entry node sends a request to a second host only after the first certainly
/// refused it; the second finds the mark of this very request and may go on.
#[test]
fn ask_with_the_same_mark_is_granted_again() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(5);
    let mut store = Store::new(&[]);
    for ticket in [Ticket(1), Ticket(2)] {
        let mut node = claims(now);
        node.ask(ticket, claim("key", "one"), deadline);
        assert_eq!(
            run(&mut node, &mut store, now),
            [(ticket, Verdict::Granted)]
        );
    }
}

#[test]
fn ask_conflict_in_a_batch_spares_the_others() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(5);
    let mut store = Store::new(&[]);
    store
        .keys
        .insert(Key(Arc::from("held")), Mark(Arc::from("other")));
    let mut node = claims(now);
    for (ticket, key) in [(1, "free-a"), (2, "held"), (3, "free-b")] {
        node.ask(Ticket(ticket), claim(key, "mine"), deadline);
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
fn release_frees_only_its_own_mark() {
    let now = Instant::now();
    let mut store = Store::new(&[]);
    store
        .keys
        .insert(Key(Arc::from("a")), Mark(Arc::from("mine")));
    store
        .keys
        .insert(Key(Arc::from("b")), Mark(Arc::from("other")));
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
    let began = Instant::now();
    let mut node = Claims::new(settings, began);
    let mut store = Store::new(&[]);
    let mut granted = 0;
    for millisecond in 0..1000_u64 {
        let now = began + Duration::from_millis(millisecond);
        let ticket = Ticket(millisecond);
        let deadline = now + Duration::from_secs(5);
        node.ask(ticket, claim(&millisecond.to_string(), "mine"), deadline);
        granted += run(&mut node, &mut store, now).len();
    }
    assert!(store.writes <= 12, "{} writes in a second", store.writes);
    assert!(granted > 500, "{granted} of 1000 granted");
}

#[test]
fn ask_past_its_deadline_is_unavailable() {
    let settings = Settings {
        writes_burst: 0.0,
        ..Settings::default()
    };
    let now = Instant::now();
    let mut node = Claims::new(settings, now);
    let deadline = now + Duration::from_millis(10);
    node.ask(Ticket(1), claim("key", "one"), deadline);
    assert_eq!(node.poll(now), None);
    assert!(node.wake_at().is_some_and(|at| at <= deadline));
    assert_eq!(
        node.poll(deadline),
        Some(Action::Answer(Ticket(1), Verdict::Unavailable))
    );
}

/// A store with a key that one node was granted, which the store loses: it has come back from a
/// copy that is older than the claim.
fn lost_claim(now: Instant) -> (Store, Claims) {
    let mut store = Store::new(&[]);
    let mut one = claims(now);
    let deadline = now + Duration::from_secs(5);
    one.ask(Ticket(1), claim("key", "one"), deadline);
    assert_eq!(
        run(&mut one, &mut store, now),
        [(Ticket(1), Verdict::Granted)]
    );
    store.keys.clear();
    (store, one)
}

/// What the callers see: a request ran, the store lost its claim, and its caller repeats it through
/// another node. That node is granted nothing until the first has written the claim again, and says
/// that the request may have run; later the key is found held.
#[test]
fn store_returned_grants_no_key_that_was_lost() {
    let lost_at = Instant::now();
    let (mut store, mut one) = lost_claim(lost_at);
    let mut other = claims(lost_at);
    other.store_returned(lost_at);
    let asked_at = lost_at + Duration::from_millis(10);
    let deadline = asked_at + Duration::from_secs(5);
    other.ask(Ticket(2), claim("key", "two"), deadline);
    assert_eq!(
        run(&mut other, &mut store, asked_at),
        [(Ticket(2), Verdict::Doubtful)]
    );
    let noticed_at = lost_at + Duration::from_secs(2);
    one.store_returned(noticed_at);
    assert_eq!(run(&mut one, &mut store, noticed_at), []);
    let later = lost_at + Settings::default().doubtful_for;
    other.ask(
        Ticket(3),
        claim("key", "three"),
        later + Duration::from_secs(5),
    );
    assert_eq!(
        run(&mut other, &mut store, later),
        [(Ticket(3), Verdict::Duplicate)]
    );
}

/// A claim is on its way while the store comes back: it took effect, and nobody can know whether
/// the key was free before. Its request is not run.
#[test]
fn store_returned_during_a_write_grants_nothing() {
    let now = Instant::now();
    let mut node = claims(now);
    node.ask(Ticket(1), claim("key", "one"), now + Duration::from_secs(5));
    assert!(matches!(node.poll(now), Some(Action::Write(_))));
    node.store_returned(now);
    node.written(Written::Applied);
    assert_eq!(
        node.poll(now),
        Some(Action::Answer(Ticket(1), Verdict::Doubtful))
    );
}

/// The first write after the store's return fails, or its reply is lost: the claim is written until
/// it is there, however often it takes.
#[rstest]
#[case::refused(Fate::Refused)]
#[case::never_arrived(Fate::NeverArrived)]
#[case::reply_lost(Fate::ReplyLost)]
fn store_returned_writes_again_until_it_holds(#[case] fate: Fate) {
    let now = Instant::now();
    let (mut store, mut one) = lost_claim(now);
    store.fates = vec![Fate::Applied, fate, fate];
    one.store_returned(now);
    assert_eq!(run(&mut one, &mut store, now), []);
    let mark = Mark(Arc::from("one"));
    assert_eq!(store.keys.get(&Key(Arc::from("key"))), Some(&mark));
}

/// A claim older than any copy is not written again, and neither is one that was given back.
#[rstest]
#[case::old(Duration::from_secs(31), false)]
#[case::given_back(Duration::from_secs(1), true)]
fn store_returned_forgets(#[case] after: Duration, #[case] released: bool) {
    let now = Instant::now();
    let (mut store, mut one) = lost_claim(now);
    if released {
        one.release(claim("key", "one"));
    }
    let returned_at = now + after;
    one.store_returned(returned_at);
    assert_eq!(run(&mut one, &mut store, returned_at), []);
    assert!(store.keys.is_empty());
}

/// The store comes back twice before a claim is there again. A transaction may name each key once;
/// one that names a key twice is refused whole, however often it is sent.
#[test]
fn store_returned_twice_writes_each_key_once() {
    let now = Instant::now();
    let (_, mut one) = lost_claim(now);
    one.store_returned(now);
    one.store_returned(now);
    let written = loop {
        match one.poll(now) {
            Some(Action::Write(batch)) => break batch,
            Some(Action::Check) => one.checked(),
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(written, [claim("key", "one")]);
}

/// The store comes back again while a claim is being written to it: whether that write is in the
/// newer state nobody knows, so that it is made once more.
#[test]
fn store_returned_during_a_rewrite_writes_again() {
    let now = Instant::now();
    let (mut store, mut one) = lost_claim(now);
    one.store_returned(now);
    while !matches!(one.poll(now), Some(Action::Write(_))) {
        one.checked();
    }
    one.store_returned(now);
    one.written(Written::Applied);
    assert_eq!(run(&mut one, &mut store, now), []);
    assert_eq!(store.keys.len(), 1);
}
