//! The threads of a node, listed in one place.
//!
//! A new duty touches its own file, its settings in `configs/`, and this list. Each runs
//! on a thread of its own with its own single-threaded runtime; they are joined by the
//! bounded rings and latest values of [`crate::context`].

use std::io;
use std::sync::Arc;
use std::thread::JoinHandle;

use mintridge_core::quarantine::Event;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::mpsc;

use crate::announcement::Heard;
use crate::claims::Job;
use crate::context::Context;
use crate::{announcement, claims, control, entry, guard, operators};

/// A socket that listens before its duty's thread starts.
pub type Socket = std::net::TcpListener;

/// What only one duty may have.
#[derive(Debug)]
pub struct Inputs {
    /// For the entry.
    pub callers: Socket,
    /// For the guard.
    pub peers: Socket,
    /// For control.
    pub control: Socket,
    /// For announcements.
    pub announcements: Socket,
    /// For operators.
    pub operators: Socket,
    /// For operators as well, at a fixed address.
    pub metrics: Option<Socket>,
    /// Receiving end of the ring to the guard.
    pub announced: mpsc::Receiver<Heard>,
    /// Receiving end of the ring to the claims thread.
    pub jobs: mpsc::Receiver<Job>,
    /// Receiving end of the ring to control.
    pub suspicions: mpsc::Receiver<Event>,
}

/// A running duty.
#[derive(Debug)]
pub struct Duty {
    /// Its name, also that of its thread.
    pub name: &'static str,
    /// Its thread.
    pub thread: JoinHandle<()>,
}

/// Starts every duty.
///
/// # Errors
/// If a thread or its runtime cannot be made.
pub fn start(context: &Arc<Context>, inputs: Inputs) -> io::Result<Vec<Duty>> {
    let Inputs {
        callers,
        peers,
        control,
        announcements,
        operators,
        metrics,
        announced,
        jobs,
        suspicions,
    } = inputs;
    Ok(vec![
        spawn("entry", context, move |context| async move {
            let listener = TcpListener::from_std(callers)?;
            entry::run(context, listener).await;
            Ok(())
        })?,
        spawn("guard", context, move |context| async move {
            let listener = TcpListener::from_std(peers)?;
            guard::run(context, listener, announced).await;
            Ok(())
        })?,
        spawn("claims", context, move |context| async move {
            claims::run(context, jobs).await;
            Ok(())
        })?,
        spawn("control", context, move |context| async move {
            let listener = TcpListener::from_std(control)?;
            control::run(context, listener, suspicions).await;
            Ok(())
        })?,
        spawn("announcements", context, move |context| async move {
            let listener = TcpListener::from_std(announcements)?;
            announcement::run(context, listener).await;
            Ok(())
        })?,
        spawn("operators", context, move |context| async move {
            if let Some(metrics) = metrics {
                let listener = TcpListener::from_std(metrics)?;
                tokio::spawn(operators::run(Arc::clone(&context), listener));
            }
            let listener = TcpListener::from_std(operators)?;
            operators::run(context, listener).await;
            Ok(())
        })?,
    ])
}

fn spawn<F, W>(name: &'static str, context: &Arc<Context>, work: W) -> io::Result<Duty>
where
    W: FnOnce(Arc<Context>) -> F + Send + 'static,
    F: Future<Output = io::Result<()>>,
{
    let context = Arc::clone(context);
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let thread = std::thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || {
            if let Err(error) = runtime.block_on(work(context)) {
                log::error!(duty = name, error:% = error; "duty ended");
            }
        })?;
    Ok(Duty { name, thread })
}
