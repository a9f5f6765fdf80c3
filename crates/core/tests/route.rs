//! Routes: the longest prefix, the shares of a split, versions that never fall.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use mintridge_core::route::{Document, Kind, Offered, Part, Register, Route, Table, Version};
use rstest::rstest;

fn route(prefix: &str, parts: &[(&str, u32)]) -> Route {
    let part = |(service, weight): &(&str, u32)| Part {
        service: Arc::from(*service),
        weight: *weight,
    };
    Route {
        name: Arc::from(prefix),
        prefix: Arc::from(prefix),
        kind: Kind::Idempotent,
        parts: parts.iter().map(part).collect(),
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        attempts: 2,
        priority: 0,
    }
}

fn table(version: u64, routes: Vec<Route>) -> Table {
    Table {
        version: Version(version),
        hosts: BTreeMap::from([(Arc::from("shop.example"), routes)]),
        ..Table::default()
    }
}

fn document(version: u64) -> Document {
    Document {
        table: table(version, vec![]),
        ..Document::default()
    }
}

#[rstest]
#[case::short("/a/x", Some("/a/"))]
#[case::long("/a/b/x", Some("/a/b/"))]
#[case::other_path("/c/", None)]
#[case::not_whole("/a", None)]
fn find_takes_the_longest_prefix(#[case] path: &str, #[case] expected: Option<&str>) {
    let table = table(1, vec![route("/a/", &[]), route("/a/b/", &[])]);
    let found = table.find("shop.example", path);
    assert_eq!(found.map(|route| route.prefix.as_ref()), expected);
    assert!(table.find("other.example", path).is_none());
}

/// Callers of a route split 90 to 10 see the small part within any forty requests, and
/// its share within two in a hundred over a thousand.
#[test]
fn service_meets_the_weights_in_short_runs() {
    let route = route("/a/", &[("large", 90), ("small", 10)]);
    let small = |numbers: std::ops::Range<u64>| {
        numbers
            .filter(|number| {
                route
                    .service(*number)
                    .is_some_and(|s| s.as_ref() == "small")
            })
            .count()
    };
    for start in (0..2_000).step_by(40) {
        assert!((2..=6).contains(&small(start..start + 40)), "from {start}");
    }
    assert!((80..=120).contains(&small(5_000..6_000)));
}

/// A peer that was cut off offers an older table, or a read returns the same again: the
/// one in force stays.
#[rstest]
#[case::newer(8, Offered::Taken, 8)]
#[case::same(7, Offered::NotNewer, 7)]
#[case::older(6, Offered::NotNewer, 7)]
fn offer_takes_only_higher_versions(
    #[case] version: u64,
    #[case] expected: Offered,
    #[case] in_force: u64,
) {
    let mut register = Register::default();
    assert_eq!(register.offer(document(7)), Offered::Taken);
    assert_eq!(register.offer(document(version)), expected);
    assert_eq!(register.version(), Version(in_force));
}
