//! Which instance of the upstream counts, when messages come late or out of order.

use std::sync::Arc;

use mintridge_core::instance::{Register, Verdict};
use rstest::rstest;

fn name(text: &str) -> Arc<str> {
    Arc::from(text)
}

/// Callers of a restarted upstream would all be refused if the late message of the one
/// that crashed were believed: it arrives after the first message of its successor.
#[rstest]
#[case::late_of_the_one_before("old", 9, Verdict::Outdated, "new")]
#[case::late_of_its_own("new", 1, Verdict::Outdated, "new")]
#[case::in_order("new", 3, Verdict::Current, "new")]
#[case::successor("newer", 1, Verdict::Current, "newer")]
fn heard_changes_nothing_when_late(
    #[case] instance: &str,
    #[case] sequence: u64,
    #[case] expected: Verdict,
    #[case] current: &str,
) {
    let mut register = Register::default();
    register.heard(&name("old"), 8);
    register.heard(&name("new"), 2);
    assert_eq!(register.heard(&name(instance), sequence), expected);
    assert_eq!(register.current(), Some(&name(current)));
}

/// A message of an instance arrives after it said goodbye: it stays gone.
#[test]
fn left_is_final() {
    let mut register = Register::default();
    register.heard(&name("a"), 1);
    assert_eq!(register.left(&name("a")), Verdict::Current);
    assert_eq!(register.heard(&name("a"), 2), Verdict::Outdated);
    assert_eq!(register.current(), None);
}

/// The node restarts; a late message of an upstream that crashed is the first it hears of
/// that one, after its successor's. What the upstream itself answers puts it right.
#[test]
fn found_restores_the_one_at_the_address() {
    let mut register = Register::default();
    register.heard(&name("new"), 5);
    register.heard(&name("old"), 9);
    register.found(&name("new"));
    assert_eq!(register.current(), Some(&name("new")));
    assert_eq!(register.heard(&name("new"), 6), Verdict::Current);
    assert_eq!(register.heard(&name("old"), 10), Verdict::Outdated);
}
