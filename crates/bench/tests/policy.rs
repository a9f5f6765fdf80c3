//! Bounds on the results of the policy comparison, which uses virtual time and fixed seeds.

use mintridge_bench::policy::{ChooseHost, Condition, Deployment, POLICIES, PRESSE, WISLA, run};
use rstest::rstest;

/// Maximum ratio of the p99 latency to that of the policy that knows the actual state of all hosts.
const MAX_RATIO_TO_BEST: f64 = 1.25;
/// Virtual seconds of a run; `mintridge-policy` uses longer runs.
const VIRTUAL_SECONDS: f64 = 3.0;

fn policy(name: &str) -> Option<ChooseHost> {
    let found = POLICIES.iter().find(|(listed, _)| *listed == name);
    found.expect("the policy is listed").1
}

/// Callers see a tail latency close to that of a policy that knows the current queues and speeds of
/// all hosts.
#[rstest]
#[case::presse_even(PRESSE, Condition::Even, 0.75)]
#[case::presse_even_near_capacity(PRESSE, Condition::Even, 0.9)]
#[case::presse_noisy(PRESSE, Condition::Noisy, 0.5)]
#[case::presse_straggler(PRESSE, Condition::Straggler, 0.75)]
#[case::presse_fail_fast(PRESSE, Condition::FailFast, 0.75)]
#[case::presse_cold_start(PRESSE, Condition::ColdStart, 0.75)]
#[case::wisla_even(WISLA, Condition::Even, 0.9)]
#[case::wisla_noisy(WISLA, Condition::Noisy, 0.75)]
#[case::wisla_straggler(WISLA, Condition::Straggler, 0.5)]
#[case::wisla_burst(WISLA, Condition::Burst, 0.9)]
#[case::wisla_auction(WISLA, Condition::Auction, 0.75)]
fn run_keeps_p99_near_the_best(
    #[case] deployment: Deployment,
    #[case] condition: Condition,
    #[case] share: f64,
) {
    let chosen = run(
        deployment,
        condition,
        share,
        policy("mintridge"),
        VIRTUAL_SECONDS,
    );
    let best = run(
        deployment,
        condition,
        share,
        policy("all-seeing"),
        VIRTUAL_SECONDS,
    );
    let (chosen, best) = (chosen.millis(99.0), best.millis(99.0));
    assert!(
        chosen <= best * MAX_RATIO_TO_BEST,
        "p99 {chosen} ms, best {best} ms"
    );
}

/// Callers see a much lower tail latency with a straggler, because it is avoided: simpler policies
/// such as round robin and two choices by own requests in flight keep sending to it.
#[rstest]
#[case::round_robin("round robin")]
#[case::two_choices("two choices, own")]
#[case::random("random")]
fn run_p99_with_a_straggler_beats(#[case] baseline: &str) {
    let chosen = run(
        PRESSE,
        Condition::Straggler,
        0.75,
        policy("mintridge"),
        VIRTUAL_SECONDS,
    );
    let other = run(
        PRESSE,
        Condition::Straggler,
        0.75,
        policy(baseline),
        VIRTUAL_SECONDS,
    );
    assert!(chosen.millis(99.0) * 2.0 < other.millis(99.0));
}

#[test]
fn run_is_deterministic() {
    let figures = || {
        let results = run(WISLA, Condition::Noisy, 0.9, policy("mintridge"), 1.0);
        (
            results.millis(99.9).to_bits(),
            results.refused,
            results.attempts,
        )
    };
    assert_eq!(figures(), figures());
}
