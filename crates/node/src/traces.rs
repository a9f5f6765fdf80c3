//! Traces: a span for each hop, joined by W3C `traceparent`.
//!
//! With the feature `traces` spans are recorded. Without it the same functions do nothing,
//! and a `traceparent` of callers passes through unchanged: the library of spans compares
//! two clocks before the program begins, which costs tens of milliseconds of processor time
//! at each start, too much where a node has a fifth of a core.

#[cfg(not(feature = "traces"))]
mod absent;
#[cfg(feature = "traces")]
mod recorded;

#[cfg(not(feature = "traces"))]
pub use absent::{Span, child, hop, inject, root, start, within};
#[cfg(feature = "traces")]
pub use recorded::{Span, child, hop, inject, root, start, within};
