//! Structured logs: one JSON object per line on standard output.
//!
//! A separate thread writes the lines from a bounded queue. If the output is not consumed fast
//! enough, new lines are dropped, so that threads that serve requests never block on logging.

use logforth::append::Stdout;
use logforth::append::asynchronous::AsyncBuilder;
use logforth::diagnostic::StaticDiagnostic;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::JsonLayout;

use crate::configs::logs::Settings;

/// Capacity of the queue of log lines; holds about one second of lines when all requests fail.
const MAX_QUEUED_LINES: usize = 1024;

/// Starts logging with the name of the host on every line; a second call in the same process has
/// no effect.
///
/// An invalid level is logged as a warning, and `info` is used instead.
pub fn start(settings: &Settings, host: &str) {
    let parsed = RustLogFilterBuilder::try_from_spec(settings.level.as_str());
    let is_invalid = parsed.is_err();
    let default = || RustLogFilterBuilder::from_spec("info");
    let filter = parsed.unwrap_or_else(|_| default()).build();
    let output = Stdout::default().with_layout(JsonLayout::default());
    let append = AsyncBuilder::new("logs")
        .buffered_lines_limit(Some(MAX_QUEUED_LINES))
        .overflow_drop_incoming()
        .append(output)
        .build();
    let mut labels = StaticDiagnostic::default();
    labels.insert("host", host);
    let started = logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).diagnostic(labels).append(append))
        .try_apply();
    if started.is_ok() {
        log::set_max_level(max_level(&settings.level));
    }
    if started.is_ok() && is_invalid {
        log::warn!(level = &*settings.level; "logs.level is invalid; using info");
    }
}

/// Returns the most verbose level of any directive, so that records which no directive accepts are
/// discarded before they reach the filter.
fn max_level(level: &str) -> log::LevelFilter {
    level
        .split(',')
        .map(|directive| {
            directive
                .rsplit_once('=')
                .map_or(directive, |(_, level)| level)
        })
        .map(|level| level.parse().unwrap_or(log::LevelFilter::Info))
        .max()
        .unwrap_or(log::LevelFilter::Info)
}
