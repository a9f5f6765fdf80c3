//! What the status of an upstream's response says about the run of its request.
//!
//! Failure: an upstream runs a booking and ends it with status 503. Symptom: the caller, for whom 503
//! means that nothing ran, books again. A status of the upstream is no statement that a request was
//! not run: only its header for that is one, and the refusals of the nodes.

/// Statuses with which an upstream says that it is overloaded, if it has no header for that.
const SHED_STATUSES: [u16; 2] = [429, 503];

/// Returns whether the status of a response to a request that ran would tell the caller of a request
/// that may not run twice that it did not run. `not_run_statuses` are those that callers take for
/// that.
#[must_use]
pub fn denies_run(not_run_statuses: &[u16], status: u16, repeatable: bool) -> bool {
    !repeatable && not_run_statuses.contains(&status)
}

/// Returns whether an upstream shed a request to which it responded with this status.
/// `states_not_run` is whether upstreams have a header with which they state that; then a response
/// without it is the end of a run.
#[must_use]
pub fn is_shed(status: u16, states_not_run: bool) -> bool {
    !states_not_run && SHED_STATUSES.contains(&status)
}
