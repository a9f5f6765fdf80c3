//! Settings of the callers' side of a node.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of [`crate::entry`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Header that names the service; without it the host name does.
    pub service_header: String,
    /// Header that names the client account on whose behalf the request runs.
    pub client_account_header: String,
    /// Header with the time allowed, in milliseconds.
    pub timeout_header: String,
    /// Header with the idempotency key of an unrepeatable request.
    pub key_header: String,
    /// Header with the caller's own id of the request. It must be present if named here,
    /// passes on unchanged, and must come back with the upstream's answer.
    pub request_header: Option<String>,
    /// Header that tells the upstream where a request began; set whatever was sent.
    pub origin_header: Option<String>,
    /// What that header holds: the service of the upstream on this host.
    pub origin: String,
    /// Tell callers when to come back in fractions of a second; HTTP itself knows whole
    /// seconds only.
    pub retry_after_fractions: bool,
    /// Time for the head of a request to arrive, counted from the end of the one before.
    #[serde(with = "humantime_serde")]
    pub header_within: Duration,
    /// Time allowed to a request that does not say.
    #[serde(with = "humantime_serde")]
    pub timeout_default: Duration,
    /// Longest time allowed to any request.
    #[serde(with = "humantime_serde")]
    pub timeout_most: Duration,
    /// How long after the deadline a refusal on its way is still waited for.
    #[serde(with = "humantime_serde")]
    pub grace: Duration,
    /// Bytes of a request body kept until it is known that no second attempt is made.
    pub replay_most: usize,
    /// A body that does not move for this long is broken off.
    #[serde(with = "humantime_serde")]
    pub body_idle: Duration,
    /// Requests of one connection worked on at once; further ones wait in the socket.
    pub pipelined_most: usize,
    /// Connections of callers open at once.
    pub connections_most: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            service_header: String::from("mintridge-service"),
            client_account_header: String::from("mintridge-client-account"),
            timeout_header: String::from("mintridge-timeout-ms"),
            key_header: String::from("idempotency-key"),
            request_header: None,
            origin_header: None,
            origin: String::new(),
            retry_after_fractions: false,
            header_within: Duration::from_secs(5),
            timeout_default: Duration::from_secs(10),
            timeout_most: Duration::from_mins(1),
            grace: Duration::from_millis(25),
            replay_most: 256 * 1024,
            body_idle: Duration::from_secs(30),
            pipelined_most: 32,
            connections_most: 4096,
        }
    }
}
