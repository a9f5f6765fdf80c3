//! Settings read again while the node runs: on a hangup, and when the file has changed.
//!
//! What decides about requests changes at once: the sections of [`LIVE`]. Everything else,
//! addresses and threads among them, is as it was at the start until the next one. A file that
//! does not pass the checks changes nothing, and the log names the value.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use tokio::signal::unix::Signal;

use crate::context::Context;
use crate::metrics::Reload;
use crate::settings::{self, Settings};

/// Sections that change while the node runs; of the logs, all but the level.
pub const LIVE: [&str; 4] = ["admission", "logs", "placement", "retry"];
/// How often the file is read without a signal: a change takes effect within seconds, and
/// reading a page from memory costs nothing beside.
const READ_EVERY: Duration = Duration::from_secs(5);

/// What a changed file changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changed {
    /// Sections that change now.
    pub now: BTreeSet<String>,
    /// Sections that change at the next start.
    pub at_next_start: BTreeSet<String>,
}

impl Changed {
    /// Sections that differ.
    #[must_use]
    pub fn between(old: &Settings, new: &Settings) -> Self {
        let (old, new) = (sections(old), sections(new));
        let mut changed = Self::default();
        for (section, value) in &new {
            if old.get(section) == Some(value) {
                continue;
            }
            if LIVE.contains(&section.as_str()) {
                changed.now.insert(section.clone());
            } else {
                changed.at_next_start.insert(section.clone());
            }
        }
        changed
    }

    fn is_empty(&self) -> bool {
        self.now.is_empty() && self.at_next_start.is_empty()
    }
}

fn sections(settings: &Settings) -> serde_json::Map<String, Value> {
    match serde_json::to_value(settings) {
        Ok(Value::Object(sections)) => sections,
        _ => serde_json::Map::new(),
    }
}

/// Follows the file until the node ends.
pub async fn run(context: Arc<Context>, path: PathBuf, mut hangup: Signal) {
    let mut rejected = None;
    loop {
        tokio::select! {
            told = hangup.recv() => {
                if told.is_none() {
                    return;
                }
                rejected = None;
                log::info!(path:% = path.display(); "told to reload");
                if !read(&context, &path, &mut rejected) {
                    context.metrics.reload(Reload::Unchanged);
                    log::info!("settings are unchanged");
                }
            }
            () = tokio::time::sleep(READ_EVERY) => {
                read(&context, &path, &mut rejected);
            }
        }
    }
}

/// Reads the file once; true if it was taken or rejected. A file that was rejected is not
/// complained of again until it changes or a signal comes.
fn read(context: &Context, path: &Path, rejected: &mut Option<String>) -> bool {
    match settings::load(path) {
        Ok(new) => {
            *rejected = None;
            take(context, new)
        }
        Err(error) => {
            let problem = error.current_context().to_string();
            if rejected.as_ref() == Some(&problem) {
                return true;
            }
            context.metrics.reload(Reload::Rejected);
            log::error!(problem = &*problem; "settings rejected, those in force stay");
            *rejected = Some(problem);
            true
        }
    }
}

fn take(context: &Context, new: Settings) -> bool {
    let changed = Changed::between(&context.live(), &new);
    if changed.is_empty() {
        return false;
    }
    context.metrics.reload(Reload::Taken);
    log::info!(
        now:? = changed.now,
        at_next_start:? = changed.at_next_start;
        "settings reloaded"
    );
    context.latest.settings.send_replace(Arc::new(new));
    true
}
