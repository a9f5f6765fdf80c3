//! Records which runs of the upstream failed with the calls that they made.

use std::sync::Arc;
use std::time::Instant;

use hyper::StatusCode;
use mintridge_core::dependency::Ending;
use mintridge_core::request::Id;

use super::Guard;

impl Guard {
    /// Records the status with which a run ended, and logs when its route begins to be limited. The
    /// entry of this node has recorded which of its calls were refused.
    pub(super) fn record_run_end(
        &self,
        now: Instant,
        id: Id,
        route: &Arc<str>,
        status: StatusCode,
    ) {
        let calls = self.context.calls.lock().calls(id);
        let ending = if status.is_server_error() && calls.refused > 0 {
            Ending::CallsFailed
        } else {
            Ending::Completed
        };
        let max_failed = self.context.live().admission.failed_runs_most;
        let mut state = self.state.lock();
        let was_limited = state.dependencies.is_limited(route, max_failed);
        state.dependencies.record_end(now, route, ending);
        let is_limited = state.dependencies.is_limited(route, max_failed);
        drop(state);
        if is_limited && !was_limited && self.log.try_acquire(1) {
            log::warn!(
                route = &**route,
                calls_made = calls.made,
                calls_refused = calls.refused;
                "most runs of a route fail with their calls; admitting the share that is completed"
            );
        }
    }
}
