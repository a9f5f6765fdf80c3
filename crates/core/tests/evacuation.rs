//! Which zones are evacuated, from messages of the store and other nodes in any order.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::evacuation::{Register, Stamp, Zone};
use rstest::rstest;

fn stamp(epoch: u64, revision: i64) -> Stamp {
    Stamp { epoch, revision }
}

fn zone(evacuated: bool, at: Stamp) -> Zone {
    Zone {
        name: Arc::from("zone-a"),
        evacuated,
        stamp: at,
    }
}

fn register_evacuated_at(at: Stamp) -> Register {
    let mut register = Register::default();
    assert!(register.merge([zone(true, at)]));
    register
}

/// Guards against an older message that ends an evacuation or starts it again.
#[rstest]
#[case::withdrawn_later(stamp(1, 7), false, false)]
#[case::withdrawn_earlier(stamp(1, 4), false, true)]
#[case::the_same(stamp(1, 5), true, true)]
#[case::later_epoch_lower_revision(stamp(2, 3), false, false)]
#[case::earlier_epoch_higher_revision(stamp(0, 9), false, true)]
fn merge_newest_wins(#[case] at: Stamp, #[case] evacuated: bool, #[case] expected: bool) {
    let mut register = register_evacuated_at(stamp(1, 5));
    register.merge([zone(evacuated, at)]);
    assert_eq!(register.is_evacuated("zone-a"), expected);
}

/// Guards against different results on two nodes that receive the same messages in different
/// orders.
#[test]
fn merge_in_any_order() {
    let messages = [
        zone(true, stamp(1, 5)),
        zone(false, stamp(1, 8)),
        zone(true, stamp(2, 2)),
        zone(false, stamp(2, 6)),
    ];
    for offset in 0..messages.len() {
        let mut register = Register::default();
        for index in 0..messages.len() {
            register.merge([messages[(index + offset) % messages.len()].clone()]);
        }
        assert!(!register.is_evacuated("zone-a"), "rotated by {offset}");
    }
}

/// Guards against a zone that stays evacuated forever on a node that missed the withdrawal.
#[test]
fn apply_listing_without_the_zone_withdraws() {
    let mut register = register_evacuated_at(stamp(1, 5));
    assert!(register.apply_listing(Instant::now(), stamp(1, 9), Vec::new()));
    assert!(!register.is_evacuated("zone-a"));
}

/// Guards against a read from before an evacuation that withdraws it.
#[test]
fn apply_listing_before_the_evacuation_changes_nothing() {
    let mut register = register_evacuated_at(stamp(1, 5));
    assert!(!register.apply_listing(Instant::now(), stamp(1, 4), Vec::new()));
    assert!(register.is_evacuated("zone-a"));
}

/// Guards against an evacuation that is withdrawn because the store lost it and operators have not
/// written it again yet.
#[test]
fn apply_listing_in_a_later_epoch_waits_for_the_operators() {
    let now = Instant::now();
    let mut register = register_evacuated_at(stamp(1, 5));
    assert!(!register.apply_listing(now, stamp(2, 3), Vec::new()));
    register.tick(now + Duration::from_secs(5));
    assert!(register.is_evacuated("zone-a"));
    register.merge([zone(true, stamp(2, 4))]);
    register.tick(now + Duration::from_mins(1));
    assert!(register.is_evacuated("zone-a"), "it was written again");
}

/// Guards against a zone that stays evacuated forever when its evacuation is not written again.
#[test]
fn tick_withdraws_an_evacuation_that_is_not_written_again() {
    let now = Instant::now();
    let mut register = register_evacuated_at(stamp(1, 5));
    register.apply_listing(now, stamp(2, 3), Vec::new());
    assert!(register.tick(now + Duration::from_secs(10)));
    assert!(!register.is_evacuated("zone-a"));
    register.merge([zone(true, stamp(1, 5))]);
    assert!(
        !register.is_evacuated("zone-a"),
        "an old message arrives late"
    );
}
