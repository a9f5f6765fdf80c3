//! `mintridge-policy`: prints the comparison of placement policies, which is the same on every run.

use mintridge_bench::policy::{CONDITIONS, Condition, POLICIES, PRESSE, WISLA, run};

/// Offered load as a share of capacity.
const LOADS: [f64; 4] = [0.5, 0.75, 0.9, 1.05];
/// Duration of each run in virtual seconds.
const VIRTUAL_SECONDS: f64 = 6.0;

mod flags {
    #![allow(missing_docs)]

    xflags::xflags! {
        /// Compares placement policies in virtual time.
        cmd mintridge-policy {
            /// Run only conditions whose name contains this; repeat for several.
            repeated --condition name: String
        }
    }
}

fn main() {
    let selected = flags::MintridgePolicy::from_env_or_exit().condition;
    let is_selected = |condition: &Condition| {
        let name = format!("{condition:?}");
        selected.is_empty() || selected.iter().any(|part| name.contains(part))
    };
    for deployment in [PRESSE, WISLA] {
        for condition in CONDITIONS.into_iter().filter(is_selected) {
            for load in LOADS {
                println!(
                    "\n{}, {condition:?}, {:.0}% of capacity",
                    deployment.name,
                    load * 100.0
                );
                println!(
                    "{:<22}{:>9}{:>9}{:>9}{:>9}{:>10}",
                    "policy", "p50 ms", "p99 ms", "p99.9", "refused%", "attempts"
                );
                for (name, choose) in POLICIES {
                    let results = run(deployment, condition, load, choose, VIRTUAL_SECONDS);
                    let requests = to_f64(results.requests);
                    println!(
                        "{name:<22}{:>9.1}{:>9.1}{:>9.1}{:>9.2}{:>10.3}",
                        results.millis(50.0),
                        results.millis(99.0),
                        results.millis(99.9),
                        100.0 * to_f64(results.refused) / requests,
                        to_f64(results.attempts) / requests,
                    );
                }
            }
        }
    }
}

#[allow(clippy::cast_precision_loss)]
const fn to_f64(count: u64) -> f64 {
    count as f64
}
