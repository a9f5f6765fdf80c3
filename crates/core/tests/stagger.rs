//! Staggered delays of several nodes do not end at the same time.

use std::time::Duration;

use mintridge_core::stagger::Stagger;
use rstest::rstest;

/// Six nodes start to wait at the same moment, as after an outage of the store. At any later moment
/// one of them must call the store soon; without the stagger all six call it together and the gap
/// is always the full delay.
#[rstest]
#[case::six_nodes(6, 2_500, 4_000)]
#[case::two_nodes(2, 5_000, 6_000)]
fn next_leaves_no_long_gap(#[case] nodes: u32, #[case] p90_millis: u64, #[case] max_millis: u64) {
    let full = Duration::from_secs(6);
    let mut ends: Vec<Duration> = Vec::new();
    for node in 0..nodes {
        let mut stagger = Stagger::new(&format!("host-{node}"));
        let mut at = Duration::ZERO;
        while at < Duration::from_mins(10) {
            at += stagger.next(full);
            ends.push(at);
        }
    }
    ends.sort_unstable();
    let staggered = ends.iter().filter(|at| **at > full * 2);
    let staggered: Vec<&Duration> = staggered.collect();
    let gaps = staggered
        .windows(2)
        .map(|pair| pair[1].saturating_sub(*pair[0]));
    let mut gaps: Vec<Duration> = gaps.collect();
    gaps.sort_unstable();
    let p90 = gaps[gaps.len() * 9 / 10];
    let longest = gaps[gaps.len() - 1];
    assert!(p90 <= Duration::from_millis(p90_millis), "{p90:?}");
    assert!(longest <= Duration::from_millis(max_millis), "{longest:?}");
}

#[test]
fn next_stays_between_half_and_full() {
    let full = Duration::from_secs(10);
    let mut stagger = Stagger::new("host-1");
    for _ in 0..1_000 {
        let delay = stagger.next(full);
        assert!(delay >= full / 2 && delay <= full, "{delay:?}");
    }
}
