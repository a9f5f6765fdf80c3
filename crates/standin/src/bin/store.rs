//! `standin-store`: runs the stand-in for the platform's store as a process.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use mintridge_http::server::Phase;
use mintridge_standin::store::{self, Store};
use tokio::net::TcpListener;
use tokio::sync::watch;

mod flags {
    #![allow(missing_docs)]
    use std::net::SocketAddr;

    xflags::xflags! {
        /// Stand-in for the platform's key-value store.
        cmd standin-store {
            /// Address to listen on.
            required listen: SocketAddr
        }
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let listen: SocketAddr = flags::StandinStore::from_env_or_exit().listen;
    let listener = match TcpListener::bind(listen).await {
        Ok(listener) => listener,
        Err(error) => {
            eprintln!("{listen}: {error}");
            return ExitCode::FAILURE;
        }
    };
    let phase = watch::Sender::new(Phase::Open);
    store::run(listener, Arc::new(Store::default()), phase.subscribe()).await;
    ExitCode::SUCCESS
}
