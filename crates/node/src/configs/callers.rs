//! Settings of the connections and requests of callers.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of [`crate::entry`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Header that names the service; if it is absent, the host name of the request is the service.
    pub service_header: String,
    /// Header that names the client account on whose behalf the request is sent. If the routing table
    /// lists accounts, the caller's value is ignored, and the upstream gets the account of the key.
    pub client_account_header: String,
    /// Whether callers name their client account in `client_account_header` where the routing table
    /// lists no accounts. If not, the header passes unread.
    pub client_account_from_caller: bool,
    /// Header with the timeout of the request in milliseconds.
    pub timeout_header: String,
    /// Header with the idempotency key of a non-idempotent request.
    pub key_header: String,
    /// Header with the request id chosen by the caller. If set here, callers must send it, it is
    /// forwarded unchanged, and the upstream must return it in its response.
    pub request_header: Option<String>,
    /// Header that tells the upstream which service sent the request; replaces any value sent by
    /// the caller.
    pub origin_header: Option<String>,
    /// Value of `origin_header`: the service of the upstream on this host.
    pub origin: String,
    /// Whether `Retry-After` is sent with fractions of a second; standard HTTP allows whole
    /// seconds only.
    pub retry_after_fractions: bool,
    /// Statuses that callers take as a promise that the request has not run and never will. If an
    /// upstream ends the run of a non-idempotent request with one of them, the node sends an unknown
    /// outcome in its place.
    pub not_run_statuses: Vec<u16>,
    /// Timeout for receiving the head of a request, counted from the end of the previous request.
    #[serde(with = "humantime_serde")]
    pub header_within: Duration,
    /// Timeout of a request that specifies none.
    #[serde(with = "humantime_serde")]
    pub timeout_default: Duration,
    /// Maximum timeout of any request.
    #[serde(with = "humantime_serde")]
    pub timeout_most: Duration,
    /// How long after the deadline the node still waits for a refusal that may be in transit.
    #[serde(with = "humantime_serde")]
    pub grace: Duration,
    /// Maximum bytes of a request body buffered until it is certain that no retry follows.
    pub replay_most: usize,
    /// Idle timeout of a body transfer.
    #[serde(with = "humantime_serde")]
    pub body_idle: Duration,
    /// Time for which the rest of a response may be waited for after the deadline of its request,
    /// besides one second for each MiB of it.
    #[serde(with = "humantime_serde")]
    pub late_body_wait: Duration,
    /// Maximum bytes of a response without a length that are passed on after the deadline.
    pub late_body_most: u64,
    /// Maximum number of requests processed at once per connection; further ones wait in the
    /// socket.
    pub pipelined_most: usize,
    /// Maximum number of open connections from callers.
    pub connections_most: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            service_header: String::from("mintridge-service"),
            client_account_header: String::from("mintridge-client-account"),
            client_account_from_caller: true,
            timeout_header: String::from("mintridge-timeout-ms"),
            key_header: String::from("idempotency-key"),
            request_header: None,
            origin_header: None,
            origin: String::new(),
            retry_after_fractions: false,
            not_run_statuses: Vec::new(),
            header_within: Duration::from_secs(5),
            timeout_default: Duration::from_secs(10),
            timeout_most: Duration::from_mins(1),
            grace: Duration::from_millis(25),
            replay_most: 256 * 1024,
            body_idle: Duration::from_secs(30),
            late_body_wait: Duration::from_millis(250),
            late_body_most: 64 * 1024 * 1024,
            pipelined_most: 32,
            connections_most: 4096,
        }
    }
}
