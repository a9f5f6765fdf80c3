//! Bounds on the policy bench: virtual time, fixed seeds, the same figures on every run.

use mintridge_bench::policy::{Choose, Condition, Deployment, POLICIES, PRESSE, WISLA, run};
use rstest::rstest;

/// How far from the unreachable best the chosen policy may be.
const FROM_BEST: f64 = 1.25;
/// Virtual seconds; the whole table is made with more.
const SECONDS: f64 = 3.0;

fn policy(name: &str) -> Option<Choose> {
    let found = POLICIES.iter().find(|(known, _)| *known == name);
    found.expect("the policy is listed").1
}

/// What callers see: the tail stays near the best that anybody could do who sees all
/// queues and speeds at once.
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
fn run_stays_near_the_best(
    #[case] deployment: Deployment,
    #[case] condition: Condition,
    #[case] share: f64,
) {
    let chosen = run(deployment, condition, share, policy("mintridge"), SECONDS);
    let best = run(deployment, condition, share, policy("all-seeing"), SECONDS);
    let (chosen, best) = (chosen.millis(99.0), best.millis(99.0));
    assert!(
        chosen <= best * FROM_BEST,
        "p99 {chosen} ms, best {best} ms"
    );
}

/// What callers see: a straggler is avoided, where round robin and two choices by own
/// count keep sending to it.
#[rstest]
#[case::round_robin("round robin")]
#[case::two_choices("two choices, own")]
#[case::random("random")]
fn run_with_a_straggler_beats(#[case] baseline: &str) {
    let chosen = run(
        PRESSE,
        Condition::Straggler,
        0.75,
        policy("mintridge"),
        SECONDS,
    );
    let other = run(
        PRESSE,
        Condition::Straggler,
        0.75,
        policy(baseline),
        SECONDS,
    );
    assert!(chosen.millis(99.0) * 2.0 < other.millis(99.0));
}

#[test]
fn run_is_the_same_every_time() {
    let figures = || {
        let figures = run(WISLA, Condition::Noisy, 0.9, policy("mintridge"), 1.0);
        (
            figures.millis(99.9).to_bits(),
            figures.refused,
            figures.attempts,
        )
    };
    assert_eq!(figures(), figures());
}
