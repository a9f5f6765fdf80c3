//! `mintridge-bench`: open-loop load with a report.

mod flags;

use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use mintridge_bench::load::{self, Plan};

/// Exit code for wrong arguments.
const EXIT_ARGUMENTS: u8 = 2;
/// Longest run, so that load always ends by itself.
const SECONDS_MOST: f64 = 600.0;

/// An argument that makes no sense.
#[derive(Debug, thiserror::Error)]
enum Invalid {
    #[error("--target is missing")]
    NoTarget,
    #[error("--target {0} is not a loopback address: load is for trials on this machine")]
    NotLoopback(std::net::SocketAddr),
    #[error("--{name}: {value} is outside {allowed}")]
    Range {
        name: &'static str,
        value: f64,
        allowed: &'static str,
    },
    #[error("{0}: a share is a number above 0")]
    Share(String),
}

fn main() -> ExitCode {
    let arguments = flags::MintridgeBench::from_env_or_exit();
    let json = arguments.json;
    let plan = match plan(arguments) {
        Ok(plan) => plan,
        Err(invalid) => {
            eprintln!("{invalid}");
            return ExitCode::from(EXIT_ARGUMENTS);
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        return ExitCode::FAILURE;
    };
    let report = runtime.block_on(load::run(&plan, |_| {}));
    if json {
        match serde_json::to_string_pretty(&report.summary()) {
            Ok(text) => println!("{text}"),
            Err(error) => {
                eprintln!("{error}");
                return ExitCode::FAILURE;
            }
        }
    } else {
        print!("{report}");
    }
    ExitCode::SUCCESS
}

fn plan(arguments: flags::MintridgeBench) -> Result<Plan, Invalid> {
    if arguments.target.is_empty() {
        return Err(Invalid::NoTarget);
    }
    let outside = arguments
        .target
        .iter()
        .find(|target| !target.ip().is_loopback());
    if let Some(outside) = outside {
        return Err(Invalid::NotLoopback(*outside));
    }
    let defaults = Plan::default();
    let rate = arguments.rate.unwrap_or(defaults.rate);
    check("rate", rate, 0.01, 1e6, "0.01 to 1000000")?;
    let seconds = arguments.seconds.unwrap_or(defaults.duration.as_secs_f64());
    check("seconds", seconds, 0.001, SECONDS_MOST, "0.001 to 600")?;
    let unrepeatable = arguments.unrepeatable.unwrap_or(defaults.unrepeatable);
    check("unrepeatable", unrepeatable, 0.0, 1.0, "0 to 1")?;
    let timeout = arguments
        .timeout_ms
        .map_or(defaults.timeout, Duration::from_millis);
    Ok(Plan {
        targets: arguments.target,
        rate,
        duration: Duration::from_secs_f64(seconds),
        services: shares(&arguments.service, defaults.services)?,
        client_accounts: shares(&arguments.client_account, defaults.client_accounts)?,
        unrepeatable,
        timeout,
        path: arguments.path.unwrap_or(defaults.path),
        seed: arguments.seed.unwrap_or(defaults.seed),
        run: run_name(),
    })
}

fn check(
    name: &'static str,
    value: f64,
    least: f64,
    most: f64,
    allowed: &'static str,
) -> Result<(), Invalid> {
    if (least..=most).contains(&value) {
        return Ok(());
    }
    Err(Invalid::Range {
        name,
        value,
        allowed,
    })
}

fn shares(written: &[String], default: Vec<(String, f64)>) -> Result<Vec<(String, f64)>, Invalid> {
    if written.is_empty() {
        return Ok(default);
    }
    written.iter().map(|written| share(written)).collect()
}

fn share(written: &str) -> Result<(String, f64), Invalid> {
    let Some((name, share)) = written.split_once('=') else {
        return Ok((written.to_owned(), 1.0));
    };
    match share.parse::<f64>() {
        Ok(share) if share > 0.0 => Ok((name.to_owned(), share)),
        _ => Err(Invalid::Share(written.to_owned())),
    }
}

/// Differs from run to run, so that idempotency keys are never used twice.
fn run_name() -> String {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let nanos = since.map_or(0, |since| since.as_nanos());
    format!("bench-{nanos:x}")
}
