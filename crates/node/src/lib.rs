//! The node: a small process that runs beside each upstream.
//!
//! The node accepts requests from the callers on its host (the entry) and controls which requests
//! reach its upstream (the guard). A request passes through the modules in this order:
//!
//! | step | module |
//! |---|---|
//! | parse the caller's request | [`arrival`] |
//! | check the rate of its client account | [`accounts`] |
//! | choose a host, send the request, retry on another host if needed | [`entry`] |
//! | send the request to the node on the chosen host | [`link`], [`headers`], [`replay`] |
//! | that node admits the request, claims its key and forwards it | [`guard`], [`claims`] |
//! | return the response | [`body`] |
//!
//! [`duties`] lists the threads, [`control`] keeps the member list and the preset in force up to
//! date, and [`operators`] serves health, metrics and state. `mintridge-core` makes the decisions;
//! this crate provides the sockets, threads and timers.

pub mod accounts;
pub mod adapter;
pub mod announcement;
pub mod arrival;
pub mod body;
pub mod claims;
pub mod clock;
pub mod configs;
pub mod context;
pub mod control;
pub mod datagram;
pub mod duties;
pub mod entry;
mod flags;
pub mod guard;
pub mod headers;
pub mod link;
pub mod logs;
pub mod metrics;
pub mod node;
pub mod operators;
pub mod packed;
pub mod program;
pub mod reload;
pub mod replay;
pub mod reports;
pub mod request_log;
pub mod settings;
pub mod traces;
pub mod upstream;

#[allow(clippy::all, clippy::pedantic, missing_docs)]
#[rustfmt::skip]
pub mod peer_capnp;
