//! Starts the threads of a node, called duties.
//!
//! Each duty runs on its own thread with its own single-threaded runtime. Duties communicate
//! through the bounded queues and the watch channels of [`crate::context`]. Adding a duty requires
//! its own module, its settings in `configs/` and an entry in this list.

use std::io;
use std::net::UdpSocket;
use std::sync::Arc;
use std::thread::JoinHandle;

use mintridge_core::quarantine::Event;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::mpsc;

use crate::announcement::Message;
use crate::claims::Job;
use crate::context::Context;
use crate::{accounts, announcement, claims, control, entry, guard, operators};

/// Listening socket, opened before the thread of its duty starts.
pub type Socket = std::net::TcpListener;

/// Resources that are each owned by a single duty.
#[derive(Debug)]
pub struct Inputs {
    /// Listener of the entry.
    pub callers: Socket,
    /// Listener of the guard.
    pub peers: Socket,
    /// Listener of control.
    pub control: Socket,
    /// Listener for announcements.
    pub announcements: Socket,
    /// Listener for operators.
    pub operators: Socket,
    /// Additional listener for operators, at a fixed address.
    pub metrics: Option<Socket>,
    /// Socket for messages that limit accounts, if it is set.
    pub accounts: Option<UdpSocket>,
    /// Messages of the upstream, for the guard.
    pub messages: mpsc::Receiver<Message>,
    /// Claims on idempotency keys, for the claims thread.
    pub jobs: mpsc::Receiver<Job>,
    /// Events of the guard about requests that crash upstreams, for control.
    pub quarantine_events: mpsc::Receiver<Event>,
}

/// A running duty.
#[derive(Debug)]
pub struct Duty {
    /// Name of the duty and of its thread.
    pub name: &'static str,
    /// Thread of the duty.
    pub thread: JoinHandle<()>,
}

/// Starts all duties.
///
/// # Errors
/// If a thread or its runtime cannot be created.
pub fn start(context: &Arc<Context>, inputs: Inputs) -> io::Result<Vec<Duty>> {
    let Inputs {
        callers,
        peers,
        control,
        announcements,
        operators,
        metrics,
        accounts,
        messages,
        jobs,
        quarantine_events,
    } = inputs;
    let mut duties = vec![
        spawn("entry", context, move |context| async move {
            let listener = TcpListener::from_std(callers)?;
            entry::run(context, listener).await;
            Ok(())
        })?,
        spawn("guard", context, move |context| async move {
            let listener = TcpListener::from_std(peers)?;
            guard::run(context, listener, messages).await;
            Ok(())
        })?,
        spawn("claims", context, move |context| async move {
            claims::run(context, jobs).await;
            Ok(())
        })?,
        spawn("control", context, move |context| async move {
            let listener = TcpListener::from_std(control)?;
            control::run(context, listener, quarantine_events).await;
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
    ];
    if let (Some(socket), Some(limiter)) = (accounts, context.limiter.clone()) {
        duties.push(spawn("accounts", context, move |context| async move {
            let socket = tokio::net::UdpSocket::from_std(socket)?;
            accounts::run(context, limiter, socket).await;
            Ok(())
        })?);
    }
    Ok(duties)
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
                log::error!(duty = name, error:% = error; "duty failed");
            }
        })?;
    Ok(Duty { name, thread })
}
