//! Distributed tracing: one span per hop, linked by the W3C `traceparent` header.
//!
//! With the feature `traces`, spans are recorded. Without it the same functions do nothing, and the
//! `traceparent` of a caller passes through unchanged. Tracing is optional because the tracing
//! library compares two clocks before `main`, which costs tens of milliseconds of CPU time at each
//! start; that is too much for a node limited to a fifth of a core.

#[cfg(not(feature = "traces"))]
mod absent;
#[cfg(feature = "traces")]
mod recorded;

#[cfg(not(feature = "traces"))]
pub use absent::{Span, child, child_span, in_span, inject, root, start};
#[cfg(feature = "traces")]
pub use recorded::{Span, child, child_span, in_span, inject, root, start};
