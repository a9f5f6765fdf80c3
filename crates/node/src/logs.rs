//! Structured logs: one JSON object a line, on standard output.
//!
//! Lines pass to a thread of their own through a bounded queue; when nobody reads them fast
//! enough, new ones are dropped, and nothing that serves requests waits.

use logforth::append::Stdout;
use logforth::append::asynchronous::AsyncBuilder;
use logforth::diagnostic::StaticDiagnostic;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::JsonLayout;

use crate::configs::logs::Settings;

/// Lines on their way to the output; about a second of them when all requests fail.
const LINES_MOST: usize = 1024;

/// Starts logging under the name of the host; a second call in the same process changes
/// nothing.
///
/// A level that does not parse gives a warning and the default.
pub fn start(settings: &Settings, host: &str) {
    let parsed = RustLogFilterBuilder::try_from_spec(settings.level.as_str());
    let wrong = parsed.is_err();
    let default = || RustLogFilterBuilder::from_spec("info");
    let filter = parsed.unwrap_or_else(|_| default()).build();
    let output = Stdout::default().with_layout(JsonLayout::default());
    let append = AsyncBuilder::new("logs")
        .buffered_lines_limit(Some(LINES_MOST))
        .overflow_drop_incoming()
        .append(output)
        .build();
    let mut names = StaticDiagnostic::default();
    names.insert("host", host);
    let started = logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).diagnostic(names).append(append))
        .try_apply();
    if started.is_ok() {
        log::set_max_level(coarsest(&settings.level));
    }
    if started.is_ok() && wrong {
        log::warn!(level = &*settings.level; "logs.level does not parse, using info");
    }
}

/// Spares the filter the records that no directive lets through.
fn coarsest(level: &str) -> log::LevelFilter {
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
