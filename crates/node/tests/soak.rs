//! A short run of the soak over real processes, and the seeds that ever failed.

use std::path::PathBuf;
use std::time::Duration;

use mintridge_standin::soak::{self, Settings};
use rstest::rstest;

/// Random faults from outside, or planned work alone, while callers send: stops, kills,
/// pauses, cut and silent networks, a store that is down, slow, silent or loses replies,
/// upstreams that start again under their id or end under a request, large bodies in progress
/// meanwhile. No
/// unrepeatable request runs twice, "not run" is true, answers are whole and their request's
/// own, nothing reverts, a leaving upstream is left alone, planned work cuts off nothing, and
/// the fleet serves everybody again at the end.
#[rstest]
#[case::mixed(1, true)]
#[case::planned(3, true)]
// A request ended without a word beside a planned stop.
#[case::crossed_a_close(141, false)]
// A caller repeats a request that ends upstreams, beside kills, pauses and cuts.
#[case::crashing(2, true)]
// Upstreams turn cold without a word, beside kills, pauses and cuts.
#[case::cold(8, true)]
#[tokio::test(flavor = "multi_thread")]
async fn run_keeps_every_promise(#[case] seed: u64, #[case] bodies: bool) {
    let settings = Settings {
        binary: PathBuf::from(env!("CARGO_BIN_EXE_mintridge-node")),
        seed,
        load: Duration::from_secs(6),
        bodies,
        ..Settings::default()
    };
    let outcome = soak::run(&settings).await.expect("it plays");
    assert!(outcome.broken.is_empty(), "{:?}", outcome.broken);
    assert!(outcome.succeeded * 2 > outcome.sent, "{outcome:?}");
}
