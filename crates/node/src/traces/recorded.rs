//! Records spans with the `fastrace` library.
//!
//! Spans are exported to the log under the target `trace`, one record per span, for a log collector
//! to pick up. While sampling is off, a `traceparent` of a caller passes through unchanged.

pub use fastrace::Span;
use fastrace::collector::{Config, Reporter, SpanContext, SpanRecord};
use fastrace::future::FutureExt as _;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};

use crate::context::Context;

/// Header that carries the trace context from hop to hop.
const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");

/// Starts the export of spans.
pub fn start() {
    fastrace::set_reporter(Exporter, Config::default());
}

/// Returns the root span of this node: continues the caller's trace or starts a new one. If
/// sampling is off, it records nothing.
pub fn root(name: &'static str, context: &Context, headers: &HeaderMap) -> Span {
    if !context.settings.traces.sampled {
        return Span::noop();
    }
    let parent = parent(headers).unwrap_or_else(SpanContext::random);
    let host = context.host().to_string();
    Span::root(name, parent).with_property(|| ("host", host))
}

/// Returns a span that continues the trace of another node; it records nothing if the headers carry
/// no trace or sampling is off.
pub fn child(name: &'static str, context: &Context, headers: &HeaderMap) -> Span {
    if parent(headers).is_none() {
        return Span::noop();
    }
    root(name, context, headers)
}

/// Returns a child of the current span.
pub fn child_span(name: &'static str) -> Span {
    Span::enter_with_local_parent(name)
}

/// Runs a future within a span.
pub fn in_span<F: Future>(span: Span, work: F) -> impl Future<Output = F::Output> + use<F> {
    work.in_span(span)
}

/// Writes the current span into the headers of a request to the next hop.
pub fn inject(headers: &mut HeaderMap) {
    let Some(current) = SpanContext::current_local_parent() else {
        return;
    };
    if let Ok(value) = HeaderValue::try_from(current.encode_w3c_traceparent()) {
        headers.insert(TRACEPARENT, value);
    }
}

fn parent(headers: &HeaderMap) -> Option<SpanContext> {
    let text = headers.get(TRACEPARENT)?.to_str().ok()?;
    SpanContext::decode_w3c_traceparent(text)
}

/// Writes spans to the log.
struct Exporter;

impl Reporter for Exporter {
    fn report(&mut self, spans: Vec<SpanRecord>) {
        for span in spans {
            let host = span.properties.iter().find(|(key, _)| key == "host");
            log::info!(
                target: "trace",
                trace:% = format!("{:032x}", span.trace_id.0),
                span:% = format!("{:016x}", span.span_id.0),
                parent:% = format!("{:016x}", span.parent_id.0),
                begin_ns = span.begin_time_unix_ns,
                duration_ns = span.duration_ns,
                host:% = host.map_or("", |(_, value)| value);
                "{}",
                span.name
            );
        }
    }
}
