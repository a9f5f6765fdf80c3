//! Structured logs: one JSON object a line, on standard error.

use logforth::append::Stderr;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::JsonLayout;

use crate::configs::logs::Settings;

/// Starts logging; a second call in the same process changes nothing.
///
/// A level that does not parse gives a warning and the default.
pub fn start(settings: &Settings) {
    let parsed = RustLogFilterBuilder::try_from_spec(settings.level.as_str());
    let wrong = parsed.is_err();
    let default = || RustLogFilterBuilder::from_spec("info");
    let filter = parsed.unwrap_or_else(|_| default()).build();
    let append = Stderr::default().with_layout(JsonLayout::default());
    let started = logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(append))
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
