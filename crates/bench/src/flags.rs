//! Arguments of `mintridge-bench`.
#![allow(missing_docs)]

use std::net::SocketAddr;

xflags::xflags! {
    /// Open-loop load on nodes or upstreams, on addresses of this machine.
    cmd mintridge-bench {
        /// Address that takes requests; repeat for several, which take turns.
        repeated --target address: SocketAddr
        /// Requests a second over all targets, 100 by default.
        optional --rate rate: f64
        /// Seconds to send for, 5 by default.
        optional --seconds seconds: f64
        /// Service asked for, as name or name=share; repeat for several.
        repeated --service service: String
        /// Client account, as name or name=share; repeat for several.
        repeated --client_account client_account: String
        /// Share of unrepeatable requests, 0 to 1; each has its own idempotency key.
        optional --unrepeatable share: f64
        /// Milliseconds allowed to each request, 5000 by default.
        optional --timeout-ms millis: u64
        /// Path asked for.
        optional --path path: String
        /// Seed of the schedule and the mix.
        optional --seed seed: u64
        /// Report in JSON.
        optional --json
    }
}
