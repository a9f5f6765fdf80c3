//! No-op implementation for builds without the feature `traces`.

use hyper::header::HeaderMap;

use crate::context::Context;

/// Span that is not recorded.
#[derive(Clone, Copy, Debug)]
pub struct Span;

/// Warns that the settings enable tracing but this program was built without it.
pub fn start() {
    log::warn!("traces.sampled is set, but this program was built without the feature traces");
}

/// Returns a no-op span in place of the root span of this node.
#[must_use]
pub const fn root(_: &'static str, _: &Context, _: &HeaderMap) -> Span {
    Span
}

/// Returns a no-op span in place of a child of the span of another node.
#[must_use]
pub const fn child(_: &'static str, _: &Context, _: &HeaderMap) -> Span {
    Span
}

/// Returns a no-op span in place of a child of the current span.
#[must_use]
pub const fn child_span(_: &'static str) -> Span {
    Span
}

/// Returns the future unchanged.
pub fn in_span<F: Future>(_: Span, work: F) -> impl Future<Output = F::Output> + use<F> {
    work
}

/// Leaves the headers unchanged.
pub const fn inject(_: &mut HeaderMap) {}
