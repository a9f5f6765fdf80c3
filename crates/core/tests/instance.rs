//! Which incarnation of the upstream is current when messages arrive late or out of order.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::instance::{Answer, Decision, Message, Register, Verdict};
use rstest::rstest;

/// An incarnation that has sent nothing for this long no longer takes precedence over another.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(12);

fn name(text: &str) -> Arc<str> {
    Arc::from(text)
}

/// A register with a clock that tests advance.
struct Fixture {
    register: Register,
    now: Instant,
}

impl Fixture {
    fn new() -> Self {
        Self {
            register: Register::new(SILENCE_TIMEOUT),
            now: Instant::now(),
        }
    }

    /// A register that awaits the upstream's response before a start counts.
    fn asking_upstream() -> Self {
        let fixture = Self::new();
        Self {
            register: fixture.register.asking_upstream(),
            ..fixture
        }
    }

    /// Records the response to a health check that is sent now.
    fn record_answer(&mut self, instance: &str, ready: bool, leaving: bool) -> Decision {
        let answer = Answer {
            instance: &name(instance),
            ready,
            leaving,
        };
        self.register.record_answer(self.now, self.now, &answer)
    }

    fn is_current(&self, instance: &str) -> bool {
        self.register.current() == Some(&name(instance))
    }

    fn record_message(&mut self, instance: &str, born: Option<u64>, sequence: u64) -> Verdict {
        let instance = name(instance);
        let message = Message {
            instance: &instance,
            born,
            sequence,
        };
        self.register.record_message(self.now, message)
    }

    fn record_end(&mut self, instance: &str, born: Option<u64>) -> Verdict {
        self.register.record_end(self.now, &name(instance), born)
    }

    fn advance(&mut self, duration: Duration) -> &mut Self {
        self.now += duration;
        self
    }
}

/// A message of a crashed upstream arrives after the first message of its successor. If it made the
/// crashed one current again, all requests to the successor would be refused.
#[rstest]
#[case::late_of_the_predecessor("old", 9, Verdict::Outdated, "new")]
#[case::late_of_its_own("new", 1, Verdict::Outdated, "new")]
#[case::in_order("new", 3, Verdict::Current, "new")]
#[case::successor("newer", 1, Verdict::Started, "newer")]
fn record_message_ignores_late_messages(
    #[case] instance: &str,
    #[case] sequence: u64,
    #[case] expected: Verdict,
    #[case] current: &str,
) {
    let mut fixture = Fixture::new();
    fixture.record_message("old", None, 8);
    fixture.record_message("new", None, 2);
    assert_eq!(fixture.record_message(instance, None, sequence), expected);
    assert_eq!(fixture.register.current(), Some(&name(current)));
}

/// The upstream crashes and restarts with the same id, and its messages are numbered from one
/// again. Ordered by sequence number alone they would all look late, and callers would be refused
/// for as long as the previous incarnation had run. Messages of that incarnation still arrive in
/// between.
#[rstest]
#[case::first_of_the_new_incarnation(200, 1, Verdict::Started)]
#[case::late_of_the_previous_incarnation(100, 9, Verdict::Outdated)]
#[case::late_of_an_earlier_incarnation(50, 99, Verdict::Outdated)]
fn record_message_orders_incarnations_with_one_id(
    #[case] born: u64,
    #[case] sequence: u64,
    #[case] expected: Verdict,
) {
    let mut fixture = Fixture::new();
    fixture.record_message("a", Some(100), 8);
    if born != 200 {
        fixture.record_message("a", Some(200), 1);
    }
    assert_eq!(fixture.record_message("a", Some(born), sequence), expected);
    assert_eq!(fixture.record_message("a", Some(200), 2), Verdict::Current);
}

/// The node itself restarts during a restart of the upstream, and the first message it receives is
/// a late one of the previous incarnation, with the same id or another.
#[rstest]
#[case::same_id("a")]
#[case::other_id("before")]
fn record_message_after_a_restart_of_the_node(#[case] before: &str) {
    let mut fixture = Fixture::new();
    assert_eq!(
        fixture.record_message(before, Some(100), 40),
        Verdict::Started
    );
    assert_eq!(fixture.record_message("a", Some(200), 1), Verdict::Started);
    assert_eq!(
        fixture.record_message(before, Some(100), 41),
        Verdict::Outdated
    );
    assert_eq!(fixture.register.current(), Some(&name("a")));
}

/// The first message received of an earlier incarnation is a late one that arrives after a message
/// of its successor. Its start time shows that it is the older incarnation.
#[test]
fn record_message_ignores_an_unknown_earlier_incarnation() {
    let mut fixture = Fixture::new();
    fixture.record_message("new", Some(200), 5);
    assert_eq!(
        fixture.record_message("old", Some(100), 9),
        Verdict::Outdated
    );
    assert_eq!(fixture.register.current(), Some(&name("new")));
}

/// The clock of the upstream's host was set back before the upstream restarted, so the new
/// incarnation looks older than the previous one. It is ignored while the previous one may still
/// run. Once that one has timed out, trusting the clock would refuse callers forever.
#[rstest]
#[case::same_id("a")]
#[case::other_id("b")]
fn record_message_after_a_clock_was_set_back(#[case] restarted_id: &str) {
    let mut fixture = Fixture::new();
    fixture.record_message("a", Some(200), 8);
    fixture.advance(SILENCE_TIMEOUT / 2);
    assert_eq!(
        fixture.record_message(restarted_id, Some(150), 1),
        Verdict::Outdated
    );
    fixture.advance(SILENCE_TIMEOUT);
    assert_eq!(
        fixture.record_message(restarted_id, Some(150), 2),
        Verdict::Started
    );
    assert_eq!(
        fixture.record_message(restarted_id, Some(150), 3),
        Verdict::Current
    );
}

/// A node was paused or disconnected while its upstream restarted twice, and it receives messages
/// of the last incarnation first.
#[test]
fn record_message_after_missed_restarts() {
    let mut fixture = Fixture::new();
    fixture.record_message("a", Some(100), 8);
    fixture.advance(SILENCE_TIMEOUT * 3);
    assert_eq!(fixture.record_message("a", Some(300), 4), Verdict::Started);
    assert_eq!(fixture.record_message("a", Some(200), 7), Verdict::Outdated);
}

/// A message of an instance that arrives after the instance announced its end is ignored.
#[test]
fn record_end_is_final() {
    let mut fixture = Fixture::new();
    fixture.record_message("a", None, 1);
    assert_eq!(fixture.record_end("a", None), Verdict::Current);
    assert_eq!(fixture.record_message("a", None, 2), Verdict::Outdated);
    assert_eq!(fixture.register.current(), None);
}

/// An instance announces its end and restarts with the same id. A late end message of the previous
/// incarnation does not end the current one.
#[test]
fn record_end_ends_only_its_own_incarnation() {
    let mut fixture = Fixture::new();
    fixture.record_message("a", Some(100), 8);
    assert_eq!(fixture.record_end("a", Some(100)), Verdict::Current);
    assert_eq!(fixture.record_message("a", Some(100), 9), Verdict::Outdated);
    assert_eq!(fixture.record_message("a", Some(200), 1), Verdict::Started);
    assert_eq!(fixture.record_end("a", Some(100)), Verdict::Outdated);
    assert_eq!(fixture.record_message("a", Some(200), 2), Verdict::Current);
}

/// An end message without a start time applies to messages that arrive soon after it. It does not
/// apply to an incarnation that starts when late messages can no longer arrive.
#[test]
fn record_end_without_a_start_time_expires() {
    let mut fixture = Fixture::new();
    fixture.record_end("a", None);
    assert_eq!(fixture.record_message("a", Some(100), 9), Verdict::Outdated);
    fixture.advance(SILENCE_TIMEOUT);
    assert_eq!(fixture.record_message("a", Some(200), 1), Verdict::Started);
}

/// After a restart of the node, a late message of a crashed upstream is the first one received of
/// it and arrives after a message of its successor. The reply of the upstream itself corrects this.
#[test]
fn confirm_restores_the_instance_at_the_address() {
    let mut fixture = Fixture::new();
    fixture.record_message("new", None, 5);
    fixture.record_message("old", None, 9);
    fixture.register.confirm(fixture.now, &name("new"));
    assert_eq!(fixture.register.current(), Some(&name("new")));
    assert_eq!(fixture.record_message("new", None, 6), Verdict::Current);
    assert_eq!(fixture.record_message("old", None, 10), Verdict::Outdated);
}

/// A late message of an ended incarnation counts as a start at a node that does not know that it has
/// ended, or its sender is not remembered as ended, or the sound upstream is.
#[test]
fn record_answer_denies_the_sender_of_a_late_message() {
    let mut fixture = Fixture::asking_upstream();
    assert_eq!(
        fixture.record_answer("new", true, false),
        Decision::Unannounced
    );
    assert_eq!(fixture.record_message("old", None, 9), Verdict::Unconfirmed);
    assert!(fixture.register.awaits_answer(fixture.now));
    assert_eq!(
        fixture.record_answer("new", false, false),
        Decision::Current
    );
    assert!(!fixture.register.awaits_answer(fixture.now));
    assert_eq!(fixture.record_message("old", None, 10), Verdict::Outdated);
    assert_eq!(fixture.record_message("new", None, 1), Verdict::Current);
}

/// A started upstream waits for its next announcement, or a response that was sent before it
/// announced itself counts as the one that follows.
#[test]
fn record_answer_confirms_a_start() {
    let mut fixture = Fixture::asking_upstream();
    fixture.record_answer("old", true, false);
    let sent_at = fixture.now;
    fixture.advance(Duration::from_millis(1));
    fixture.record_message("new", None, 1);
    let answer = Answer {
        instance: &name("old"),
        ready: true,
        leaving: false,
    };
    let register = &mut fixture.register;
    register.record_answer(sent_at, fixture.now, &answer);
    assert!(register.awaits_answer(fixture.now));
    assert_eq!(fixture.record_answer("new", true, false), Decision::Started);
    let decision = fixture
        .register
        .record_answer(sent_at, fixture.now, &answer);
    assert_eq!(decision, Decision::Undecided);
    assert_eq!(fixture.record_message("new", None, 2), Verdict::Current);
    assert_eq!(fixture.record_message("old", None, 9), Verdict::Outdated);
}

/// One message of an upstream that cannot be asked, or whose health check fails, counts as a start;
/// or the upstream is shut out for good. Messages of the current incarnation in between show that
/// both are not late.
#[rstest]
#[case::later(8, 1_000, false, Verdict::Started)]
#[case::too_soon(8, 900, false, Verdict::Unconfirmed)]
#[case::repeated(7, 1_000, false, Verdict::Unconfirmed)]
#[case::current_in_between(8, 1_000, true, Verdict::Unconfirmed)]
fn record_message_without_an_answer_needs_a_later_one(
    #[case] sequence: u64,
    #[case] after_ms: u64,
    #[case] in_between: bool,
    #[case] expected: Verdict,
) {
    let mut fixture = Fixture::asking_upstream();
    fixture.record_answer("current", true, false);
    fixture.record_message("other", None, 7);
    fixture.advance(Duration::from_millis(after_ms / 2));
    assert_eq!(
        fixture.record_answer("other", false, false),
        Decision::Undecided
    );
    if in_between {
        fixture.record_message("current", None, 1);
    }
    fixture.advance(Duration::from_millis(after_ms / 2));
    assert_eq!(fixture.record_message("other", None, sequence), expected);
    assert_eq!(fixture.is_current("other"), expected == Verdict::Started);
}

/// Two late messages replaced an upstream that could not be asked, and its own are then ignored as
/// those of a predecessor for good.
#[test]
fn record_message_restores_an_upstream_that_was_replaced_by_mistake() {
    let mut fixture = Fixture::asking_upstream();
    fixture.record_message("own", None, 1);
    fixture.record_answer("own", true, false);
    fixture.record_message("late", None, 7);
    fixture.advance(Duration::from_secs(1));
    fixture.record_message("late", None, 8);
    assert!(fixture.is_current("late"));
    assert_eq!(fixture.record_message("own", None, 2), Verdict::Unconfirmed);
    assert_eq!(fixture.record_answer("own", true, false), Decision::Started);
    assert_eq!(fixture.record_message("late", None, 9), Verdict::Outdated);
}

/// A restarted upstream that still answers for its predecessor at first is remembered as ended for
/// good.
#[test]
fn record_message_after_a_denial_counts_once_the_current_one_is_silent() {
    let mut fixture = Fixture::asking_upstream();
    fixture.record_answer("old", true, false);
    fixture.record_message("new", None, 1);
    fixture.record_answer("old", true, false);
    assert_eq!(fixture.record_message("new", None, 2), Verdict::Outdated);
    fixture.advance(SILENCE_TIMEOUT);
    assert_eq!(fixture.record_message("new", None, 3), Verdict::Unconfirmed);
    assert_eq!(fixture.record_answer("new", true, false), Decision::Started);
}

/// The first message that a restarted node gets is a late one of the previous incarnation under the
/// same id. The first one of the running incarnation counts as a restart, and requests in progress
/// are aborted. Once two messages have shown the start time, another one is a restart.
#[test]
fn record_message_corrects_a_start_time_of_one_message() {
    let mut fixture = Fixture::asking_upstream();
    fixture.record_answer("a", true, false);
    fixture.record_message("a", Some(100), 40);
    assert_eq!(fixture.record_message("a", Some(200), 1), Verdict::Current);
    assert_eq!(
        fixture.record_message("a", Some(100), 41),
        Verdict::Outdated
    );
    fixture.advance(Duration::from_secs(1));
    assert_eq!(fixture.record_message("a", Some(200), 2), Verdict::Current);
    assert_eq!(
        fixture.record_message("a", Some(300), 1),
        Verdict::Unconfirmed
    );
    assert_eq!(fixture.record_answer("a", true, false), Decision::Started);
}

/// An upstream that announced its end answers health checks as before, and a late message of another
/// incarnation has it asked: it becomes current again.
#[test]
fn record_answer_restores_no_instance_that_announced_its_end() {
    let mut fixture = Fixture::asking_upstream();
    fixture.record_answer("a", true, false);
    fixture.record_end("a", None);
    fixture.record_message("b", None, 9);
    assert_eq!(fixture.record_answer("a", true, false), Decision::Undecided);
    assert_eq!(fixture.register.current(), None);
}

/// An upstream restarts under its id, without a start time, and numbers its messages from one: all
/// of them look late until it has sent as many as before.
#[rstest]
#[case::late(Duration::ZERO, Verdict::Outdated)]
#[case::after_a_silence(SILENCE_TIMEOUT, Verdict::Current)]
fn record_message_accepts_lower_numbers_after_a_silence(
    #[case] silence: Duration,
    #[case] expected: Verdict,
) {
    let mut fixture = Fixture::asking_upstream();
    fixture.record_answer("a", true, false);
    fixture.record_message("a", None, 40);
    fixture.advance(silence);
    assert_eq!(fixture.record_message("a", None, 1), expected);
}

/// Guards against an instance that counts as its own predecessor: two health checks overlap its first
/// announcement, and the response to the earlier one already makes it current.
#[test]
fn record_answer_starts_an_instance_once() {
    let mut fixture = Fixture::asking_upstream();
    let sent_at = fixture.now;
    fixture.advance(Duration::from_millis(1));
    assert_eq!(fixture.record_message("own", None, 1), Verdict::Unconfirmed);
    let answer = Answer {
        instance: &name("own"),
        ready: true,
        leaving: false,
    };
    let first = fixture
        .register
        .record_answer(sent_at, fixture.now, &answer);
    assert_eq!(first, Decision::Unannounced);
    assert_eq!(fixture.record_answer("own", true, false), Decision::Current);
    assert_eq!(fixture.record_message("own", None, 2), Verdict::Current);
}
