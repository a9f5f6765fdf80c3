//! `mintridge-bench`: sends open-loop load and prints a report.

mod flags;

use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use mintridge_bench::load::{self, Plan};

/// Exit code for invalid arguments.
const EXIT_INVALID_ARGUMENTS: u8 = 2;
/// Maximum duration of a run, which ensures that the load always ends.
const MAX_SECONDS: f64 = 600.0;

/// Error for an invalid argument.
#[derive(Debug, thiserror::Error)]
enum InvalidArgument {
    #[error("--target is missing")]
    NoTarget,
    #[error("--target {0} is not a loopback address: load may only be sent to this machine")]
    NotLoopback(std::net::SocketAddr),
    #[error("--{name}: {value} is outside {allowed}")]
    Range {
        name: &'static str,
        value: f64,
        allowed: &'static str,
    },
    #[error("{0}: the share must be a number above 0")]
    Share(String),
}

fn main() -> ExitCode {
    let arguments = flags::MintridgeBench::from_env_or_exit();
    let json = arguments.json;
    let plan = match plan(arguments) {
        Ok(plan) => plan,
        Err(invalid) => {
            eprintln!("{invalid}");
            return ExitCode::from(EXIT_INVALID_ARGUMENTS);
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

fn plan(arguments: flags::MintridgeBench) -> Result<Plan, InvalidArgument> {
    if arguments.target.is_empty() {
        return Err(InvalidArgument::NoTarget);
    }
    let not_loopback = arguments
        .target
        .iter()
        .find(|target| !target.ip().is_loopback());
    if let Some(target) = not_loopback {
        return Err(InvalidArgument::NotLoopback(*target));
    }
    let defaults = Plan::default();
    let rate = arguments.rate.unwrap_or(defaults.rate);
    check_range("rate", rate, 0.01, 1e6, "0.01 to 1000000")?;
    let seconds = arguments.seconds.unwrap_or(defaults.duration.as_secs_f64());
    check_range("seconds", seconds, 0.001, MAX_SECONDS, "0.001 to 600")?;
    let unrepeatable = arguments.unrepeatable.unwrap_or(defaults.unrepeatable);
    check_range("unrepeatable", unrepeatable, 0.0, 1.0, "0 to 1")?;
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
        run: unique_run_name(),
    })
}

fn check_range(
    name: &'static str,
    value: f64,
    min: f64,
    max: f64,
    allowed: &'static str,
) -> Result<(), InvalidArgument> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(InvalidArgument::Range {
        name,
        value,
        allowed,
    })
}

fn shares(
    arguments: &[String],
    default: Vec<(String, f64)>,
) -> Result<Vec<(String, f64)>, InvalidArgument> {
    if arguments.is_empty() {
        return Ok(default);
    }
    arguments.iter().map(|argument| share(argument)).collect()
}

fn share(argument: &str) -> Result<(String, f64), InvalidArgument> {
    let Some((name, share)) = argument.split_once('=') else {
        return Ok((argument.to_owned(), 1.0));
    };
    match share.parse::<f64>() {
        Ok(share) if share > 0.0 => Ok((name.to_owned(), share)),
        _ => Err(InvalidArgument::Share(argument.to_owned())),
    }
}

/// Returns a name that differs between runs, so that idempotency keys are never reused.
fn unique_run_name() -> String {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let nanos = since_epoch.map_or(0, |since_epoch| since_epoch.as_nanos());
    format!("bench-{nanos:x}")
}
