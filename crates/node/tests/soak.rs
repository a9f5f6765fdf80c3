//! A short soak test with real processes, including the seeds that have failed before.

use std::path::PathBuf;
use std::time::Duration;

use mintridge_standin::soak::{self, Settings};
use rstest::rstest;

/// Injects random faults, or planned work alone, while callers send requests, some with large
/// bodies: stops, kills and pauses of nodes; cut or stalled networks; a store that is down, slow,
/// silent or loses replies; upstreams that restart under the same ID or crash during a request. No
/// unrepeatable request may run twice, "not run" must be true, responses must be complete and
/// belong to their request, no state may revert, a leaving upstream must get no requests, planned
/// work must not interrupt requests, requests must arrive with the account of their key and without
/// the key, and at the end all requests must be served again.
#[rstest]
#[case::mixed(1, true)]
#[case::planned(3, true)]
// A request ended without a response during a planned stop.
#[case::crossed_a_close(141, false)]
// A caller repeats a request that crashes upstreams, during kills, pauses and cuts.
#[case::crashing(2, true)]
// Upstreams become cold without announcing it, during kills, pauses and cuts.
#[case::cold(8, true)]
// Upstreams name limits and state leaving in their responses, during kills, pauses and cuts.
#[case::notices(5, true)]
// Requests need keys of client accounts, during planned work.
#[case::accounts_planned(6, true)]
// Requests need keys of client accounts, during kills, pauses and cuts.
#[case::accounts_mixed(16, true)]
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
    assert!(outcome.violations.is_empty(), "{:?}", outcome.violations);
    assert!(outcome.succeeded * 2 > outcome.sent, "{outcome:?}");
}
