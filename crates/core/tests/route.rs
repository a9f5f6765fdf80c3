//! Routes: matching of the longest prefix, shares of a split, and monotonic versions.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use mintridge_core::route::{
    Destination, Document, Kind, Offered, Register, Route, Table, Version,
};
use rstest::rstest;

fn route(prefix: &str, parts: &[(&str, u32)]) -> Route {
    let part = |(service, weight): &(&str, u32)| Destination {
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
        anonymous: false,
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
#[case::incomplete_prefix("/a", None)]
fn find_takes_the_longest_prefix(#[case] path: &str, #[case] expected: Option<&str>) {
    let table = table(1, vec![route("/a/", &[]), route("/a/b/", &[])]);
    let found = table.find("shop.example", path);
    assert_eq!(found.map(|route| route.prefix.as_ref()), expected);
    assert!(table.find("other.example", path).is_none());
}

/// Guards against a split that meets its weights only on average, so that a small share gets no
/// requests for long. With weights of 90 and 10, the small service gets 2 to 6 of any forty
/// requests and 80 to 120 of a thousand.
#[test]
fn service_meets_the_weights_in_short_runs() {
    let route = route("/a/", &[("large", 90), ("small", 10)]);
    let count_small = |numbers: std::ops::Range<u64>| {
        numbers
            .filter(|number| {
                route
                    .service(*number)
                    .is_some_and(|s| s.as_ref() == "small")
            })
            .count()
    };
    for start in (0..2_000).step_by(40) {
        assert!(
            (2..=6).contains(&count_small(start..start + 40)),
            "from {start}"
        );
    }
    assert!((80..=120).contains(&count_small(5_000..6_000)));
}

/// Guards against a table that is replaced by an older one from a peer that was cut off, or by the
/// same one from a repeated read.
#[rstest]
#[case::newer(8, Offered::Accepted, 8)]
#[case::same(7, Offered::NotNewer, 7)]
#[case::older(6, Offered::NotNewer, 7)]
fn offer_accepts_only_higher_versions(
    #[case] version: u64,
    #[case] expected: Offered,
    #[case] in_force: u64,
) {
    let mut register = Register::default();
    assert_eq!(register.offer(document(7)), Offered::Accepted);
    assert_eq!(register.offer(document(version)), expected);
    assert_eq!(register.version(), Version(in_force));
}
