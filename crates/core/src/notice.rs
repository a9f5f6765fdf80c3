//! What an upstream states about itself in its responses, besides its load.

/// Statements of one response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Whether the upstream is leaving: it takes no new requests.
    pub leaving: bool,
    /// Whether the response names a request limit.
    pub limit: Limit,
}

/// Request limit that a response names.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Limit {
    /// The response names no limit.
    #[default]
    Absent,
    /// Requests per second that the upstream takes from all nodes together; finite and not
    /// negative.
    Named(f64),
    /// The response names a limit that cannot be read. It neither sets nor ends a limit.
    Unreadable,
}
