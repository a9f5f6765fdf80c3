//! Gotham handlers served on hyper-util connections.
//!
//! Gotham's own start functions set neither limits nor a graceful stop, so the
//! connections are driven here and the handlers are gotham's.

pub mod counted;
pub mod handler;
pub mod pipeline;
pub mod problem;
pub mod quiet_timer;
pub mod reply;
pub mod server;
pub mod socket;

/// Body of requests and responses, as gotham defines it.
pub type Body = gotham::helpers::http::Body;
