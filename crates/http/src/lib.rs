//! Serves gotham handlers on hyper-util connections.
//!
//! Gotham's own start functions support neither limits nor a graceful shutdown, so this crate
//! drives the connections itself and uses gotham for the handlers only.

pub mod counted;
pub mod handler;
pub mod pipeline;
pub mod problem;
pub mod quiet_timer;
pub mod reply;
pub mod server;
pub mod socket;

/// Gotham's body type, used for requests and responses.
pub type Body = gotham::helpers::http::Body;
