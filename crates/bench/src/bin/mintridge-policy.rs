//! `mintridge-policy`: the table of the policy bench, the same on every run.

use mintridge_bench::policy::{CONDITIONS, Condition, POLICIES, PRESSE, WISLA, run};

/// Shares of capacity.
const SHARES: [f64; 4] = [0.5, 0.75, 0.9, 1.05];
/// Virtual seconds of each run.
const SECONDS: f64 = 6.0;

mod flags {
    #![allow(missing_docs)]

    xflags::xflags! {
        /// Compares ways of choosing an upstream, in virtual time.
        cmd mintridge-policy {
            /// Only conditions whose name contains this; repeat for several.
            repeated --condition name: String
        }
    }
}

fn main() {
    let wanted = flags::MintridgePolicy::from_env_or_exit().condition;
    let is_wanted = |condition: &Condition| {
        let name = format!("{condition:?}");
        wanted.is_empty() || wanted.iter().any(|wanted| name.contains(wanted))
    };
    for deployment in [PRESSE, WISLA] {
        for condition in CONDITIONS.into_iter().filter(is_wanted) {
            for share in SHARES {
                println!(
                    "\n{}, {condition:?}, {:.0}% of capacity",
                    deployment.name,
                    share * 100.0
                );
                println!(
                    "{:<22}{:>9}{:>9}{:>9}{:>9}{:>10}",
                    "policy", "p50 ms", "p99 ms", "p99.9", "refused%", "attempts"
                );
                for (name, choose) in POLICIES {
                    let figures = run(deployment, condition, share, choose, SECONDS);
                    let requests = precise(figures.requests);
                    println!(
                        "{name:<22}{:>9.1}{:>9.1}{:>9.1}{:>9.2}{:>10.3}",
                        figures.millis(50.0),
                        figures.millis(99.0),
                        figures.millis(99.9),
                        100.0 * precise(figures.refused) / requests,
                        precise(figures.attempts) / requests,
                    );
                }
            }
        }
    }
}

#[allow(clippy::cast_precision_loss)]
const fn precise(count: u64) -> f64 {
    count as f64
}
