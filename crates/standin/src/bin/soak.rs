//! `standin-soak`: plays seeds of the soak and tells which promises broke.

use std::process::ExitCode;
use std::time::Duration;

use mintridge_standin::soak::{self, Settings};

mod flags {
    #![allow(missing_docs)]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Plays seeds of the soak on loopback, one after the other; each ends by itself.
        cmd standin-soak {
            /// The node's binary.
            required binary: PathBuf
            /// First seed.
            required first: u64
            /// Number of seeds, 1 by default.
            optional --seeds seeds: u64
            /// Seconds of load with faults, 10 by default.
            optional --seconds seconds: u64
            /// Hosts, 5 by default.
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
    let mut red = 0;
    for seed in flags.first..flags.first + flags.seeds.unwrap_or(1) {
        let settings = Settings {
            binary: flags.binary.clone(),
            seed,
            hosts: flags.hosts.unwrap_or(defaults.hosts),
            load: flags.seconds.map_or(defaults.load, Duration::from_secs),
            ..defaults.clone()
        };
        red += u32::from(!play(&runtime, &settings));
    }
    println!("{red} red");
    ExitCode::from(u8::from(red > 0))
}

/// Plays one seed; true if every promise held.
fn play(runtime: &tokio::runtime::Runtime, settings: &Settings) -> bool {
    let seed = settings.seed;
    match runtime.block_on(soak::run(settings)) {
        Ok(outcome) => {
            println!(
                "seed {seed}: {} of {} succeeded, {} broken",
                outcome.succeeded,
                outcome.sent,
                outcome.broken.len()
            );
            for sent in &outcome.without_a_word {
                println!(
                    "  {} ended without a word: {} bytes to {} after {:?}",
                    sent.call.id,
                    sent.call.body.len(),
                    sent.node,
                    sent.took
                );
            }
            for broken in &outcome.broken {
                println!("  {broken}");
            }
            outcome.broken.is_empty()
        }
        Err(error) => {
            println!("seed {seed}: not played: {error}");
            false
        }
    }
}
