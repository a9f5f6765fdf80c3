//! Process setup of a node: arguments, settings, logs and signals.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::adapter::Adapter;
use crate::context::Context;
use crate::{flags, logs, node, reload, settings};

/// Exit code for invalid settings.
const EXIT_SETTINGS: u8 = 2;
/// Exit code if the node failed to start.
const EXIT_START: u8 = 3;
/// Exit code if a second signal aborted the graceful stop.
const EXIT_ABORTED: u8 = 4;

/// Runs a node with this adapter until it is stopped.
#[must_use]
pub fn run(adapter: Adapter) -> ExitCode {
    let arguments = flags::MintridgeNode::from_env_or_exit();
    let settings = match settings::load(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{}", error.current_context());
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if arguments.check {
        println!("{}: good", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        return ExitCode::from(EXIT_START);
    };
    let Ok(signals) = runtime.block_on(async { Signals::install() }) else {
        return ExitCode::from(EXIT_START);
    };
    logs::start(&settings.logs, &settings.host);
    match node::start(settings, adapter) {
        Ok(node) => {
            let running = run_until_stopped(node, arguments.settings, signals);
            runtime.block_on(running)
        }
        Err(error) => {
            eprintln!("{error:?}");
            ExitCode::from(EXIT_START)
        }
    }
}

/// The signals that the process handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// Failure: the listeners open before the handlers are installed, and what waits for them
    /// sends a signal at once. Symptom: the default action of a SIGHUP ends the process. Signals
    /// that arrive while the node starts are handled once it has started.
    fn install() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

/// Waits for SIGTERM or SIGINT and stops gracefully; a second signal exits immediately.
async fn run_until_stopped(node: node::Node, settings_path: PathBuf, signals: Signals) -> ExitCode {
    let Signals {
        mut terminate,
        mut interrupt,
        hangup,
    } = signals;
    let context = Arc::clone(node.context());
    let reloading = reload::run(Arc::clone(&context), settings_path.clone(), hangup);
    tokio::spawn(reloading);
    wait_for_signal(&mut terminate, &mut interrupt).await;
    reload::refresh(&context, &settings_path);
    let stopping = tokio::task::spawn_blocking(move || node.stop());
    tokio::select! {
        _ = stopping => ExitCode::SUCCESS,
        () = wait_for_signal(&mut terminate, &mut interrupt) => abort(&context),
    }
}

async fn wait_for_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Exits immediately after logging how many requests are lost.
fn abort(context: &Context) -> ! {
    let load = context.latest.guarded.borrow().load;
    let outstanding: u32 = context
        .latest
        .upstreams
        .borrow()
        .iter()
        .map(|s| s.outstanding)
        .sum();
    log::error!(
        upstream_in_flight = load.in_flight,
        upstream_queued = load.queued,
        callers_in_progress = outstanding;
        "second signal received; aborting requests in progress"
    );
    std::process::exit(i32::from(EXIT_ABORTED))
}
