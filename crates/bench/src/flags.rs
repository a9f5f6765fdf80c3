//! Arguments of `mintridge-bench`.
#![allow(missing_docs)]

use std::net::SocketAddr;

xflags::xflags! {
    /// Sends open-loop load to nodes or upstreams on loopback addresses.
    cmd mintridge-bench {
        /// Address of a node or upstream; repeat for several, which are used in turn.
        repeated --target address: SocketAddr
        /// Requests per second over all targets, 100 by default.
        optional --rate rate: f64
        /// Duration of the load in seconds, 5 by default.
        optional --seconds seconds: f64
        /// Requested service, as name or name=share; repeat for several.
        repeated --service service: String
        /// Client account, as name or name=share; repeat for several.
        repeated --client_account client_account: String
        /// Share of non-idempotent requests, 0 to 1; each is a POST with its own idempotency key.
        optional --unrepeatable share: f64
        /// Timeout of each request in milliseconds, 5000 by default.
        optional --timeout-ms millis: u64
        /// Request path.
        optional --path path: String
        /// Seed of the random schedule and mix.
        optional --seed seed: u64
        /// Print the report as JSON.
        optional --json
    }
}
