//! `standin-soak`: runs seeds of the soak and reports violated guarantees.

use std::process::ExitCode;
use std::time::Duration;

use mintridge_standin::soak::{self, Settings};

mod flags {
    #![allow(missing_docs)]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs seeds of the soak on loopback, one after the other; each run terminates by itself.
        cmd standin-soak {
            /// Path of the node binary.
            required binary: PathBuf
            /// First seed.
            required first: u64
            /// Number of seeds, 1 by default.
            optional --seeds seeds: u64
            /// Duration of the load with faults in seconds, 10 by default.
            optional --seconds seconds: u64
            /// Number of hosts, 5 by default.
            optional --hosts hosts: usize
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::StandinSoak::from_env_or_exit();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    let defaults = Settings::default();
    let mut failed = 0;
    for seed in flags.first..flags.first + flags.seeds.unwrap_or(1) {
        let settings = Settings {
            binary: flags.binary.clone(),
            seed,
            hosts: flags.hosts.unwrap_or(defaults.hosts),
            load: flags.seconds.map_or(defaults.load, Duration::from_secs),
            ..defaults.clone()
        };
        failed += u32::from(!run_seed(&runtime, &settings));
    }
    println!("{failed} red");
    ExitCode::from(u8::from(failed > 0))
}

/// Runs one seed; returns whether every guarantee held.
fn run_seed(runtime: &tokio::runtime::Runtime, settings: &Settings) -> bool {
    let seed = settings.seed;
    match runtime.block_on(soak::run(settings)) {
        Ok(outcome) => {
            println!(
                "seed {seed}: {} of {} succeeded, {} broken",
                outcome.succeeded,
                outcome.sent,
                outcome.violations.len()
            );
            for record in &outcome.closed_unanswered {
                println!(
                    "  {} got no response before its connection closed: {} bytes to {} after {:?}",
                    record.call.id,
                    record.call.body.len(),
                    record.node,
                    record.took
                );
            }
            for violation in &outcome.violations {
                println!("  {violation}");
            }
            outcome.violations.is_empty()
        }
        Err(error) => {
            println!("seed {seed}: run aborted: {error}");
            false
        }
    }
}
