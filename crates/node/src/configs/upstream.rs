//! Settings of the upstream's address and of the headers that it supports.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Address of the upstream, and headers that it accepts or sends; a header that is not set here is
/// neither sent nor read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Address at which the node discovers the upstream on startup; if unset, the node waits for an
    /// announcement of the upstream. Requires `instance_header` and `load_header`.
    pub address: Option<SocketAddr>,
    /// Header that names the intended instance; any other instance refuses the request.
    pub expected_instance_header: Option<String>,
    /// Header that names the instance that answered a health check or refused a request, as in its
    /// announcements. If set, an announcement of another instance than the current one counts once
    /// a health check names it.
    pub instance_header: Option<String>,
    /// Header that marks the response to a request that was not executed.
    pub not_run_header: Option<String>,
    /// Header that every successful response must carry.
    pub signature_header: Option<String>,
    /// Header with the load of the upstream, on its responses.
    pub load_header: Option<String>,
    /// Header with the remaining time for which the upstream stays cold, on responses to health
    /// checks.
    pub cold_header: Option<String>,
    /// Header with the requests per second that the upstream takes from all nodes together, on any
    /// of its responses.
    pub request_limit_header: Option<String>,
    /// Header that states that the upstream is leaving, on any of its responses.
    pub leaving_header: Option<String>,
    /// Maximum bytes of a response that are buffered until it is complete. A buffered response that
    /// breaks off can still be replaced by a retry; a longer response is streamed.
    pub answer_held_most: usize,
}
