//! The preset in force: it is replaced only by a newer one with all values in range.

use std::collections::BTreeMap;
use std::sync::Arc;

use mintridge_core::preset::{ClientAccount, InForce, Offered, Preset, Register, Revision};
use rstest::rstest;

fn document(revision: u64, mark: &str) -> InForce {
    InForce {
        revision: Revision(revision),
        mark: Arc::from(mark),
        ..InForce::default()
    }
}

/// Guards against an older preset that replaces a newer one on a node, because a watch redelivers
/// old events, a peer was disconnected, or the store returns stale data.
#[rstest]
#[case::newer(6, "b", Offered::Accepted, 6)]
#[case::much_newer(60, "b", Offered::Accepted, 60)]
#[case::older(4, "b", Offered::Older, 5)]
#[case::same(5, "a", Offered::Same, 5)]
#[case::other_writer(5, "b", Offered::Conflict, 5)]
fn offer_never_reverts(
    #[case] revision: u64,
    #[case] mark: &str,
    #[case] offered: Offered,
    #[case] in_force: u64,
) {
    let mut register = Register::default();
    register.offer(document(5, "a"));
    assert_eq!(register.offer(document(revision, mark)), offered);
    assert_eq!(register.current().revision, Revision(in_force));
}

#[test]
fn offer_with_a_value_out_of_range_keeps_the_current_preset() {
    let mut register = Register::default();
    register.offer(document(5, "a"));
    let mut invalid = document(6, "b");
    invalid.preset.probe_share = 2.0;
    assert_eq!(register.offer(invalid), Offered::Invalid);
    assert_eq!(register.current().revision, Revision(5));
}

#[rstest]
#[case::probe_share(Preset { probe_share: 0.06, ..Preset::default() }, "probe_share")]
#[case::not_a_number(Preset { retry_share: f64::NAN, ..Preset::default() }, "retry_share")]
#[case::negative(Preset { retry_share: -0.1, ..Preset::default() }, "retry_share")]
#[case::weight(weighted(0.0), "client_accounts.large.weight")]
fn check_names_the_value_out_of_range(#[case] preset: Preset, #[case] key: &str) {
    assert_eq!(preset.check().unwrap_err().key, key);
}

fn weighted(weight: f64) -> Preset {
    Preset {
        client_accounts: BTreeMap::from([(Arc::from("large"), ClientAccount { weight })]),
        ..Preset::default()
    }
}
