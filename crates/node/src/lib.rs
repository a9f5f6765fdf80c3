//! The node: one small process beside each upstream.
//!
//! It is the entry for the callers on its host and the guard of its upstream. A request
//! meets the modules in this order:
//!
//! | step | module |
//! |---|---|
//! | a caller's request is read | [`arrival`] |
//! | a host is chosen, tried, perhaps another | [`entry`] |
//! | the request goes to the node beside it | [`link`], [`headers`], [`replay`] |
//! | that node admits it, claims its key, hands it over | [`guard`], [`claims`] |
//! | the answer comes back | [`body`] |
//!
//! [`duties`] lists the threads; [`control`] keeps members and the preset in force up to
//! date; [`operators`] answers people and their tools. Decisions are made in
//! `mintridge-core`; here are the sockets, threads and timers round it.

pub mod adapter;
pub mod announcement;
pub mod arrival;
pub mod body;
pub mod claims;
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
