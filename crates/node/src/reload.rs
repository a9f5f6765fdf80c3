//! Reloads the settings file while the node runs, on SIGHUP and when the file has changed.
//!
//! The sections in [`LIVE_SECTIONS`], which affect how requests are handled, take effect
//! immediately. All others, such as addresses and threads, take effect at the next start. An
//! invalid file changes nothing, and the log names the invalid value.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use tokio::signal::unix::Signal;

use crate::context::Context;
use crate::metrics::Reload;
use crate::settings::{self, Settings};

/// Sections that take effect while the node runs, except `logs.level`.
pub const LIVE_SECTIONS: [&str; 6] = ["admission", "gate", "logs", "node", "placement", "retry"];
/// Interval at which the file is read without a signal. A change takes effect within seconds, and
/// the cost is negligible because the file is in the page cache.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Sections that differ between two versions of the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Sections that take effect immediately.
    pub now: BTreeSet<String>,
    /// Sections that take effect at the next start.
    pub at_next_start: BTreeSet<String>,
}

impl Changes {
    /// Compares two versions of the settings.
    #[must_use]
    pub fn between(old: &Settings, new: &Settings) -> Self {
        let (old, new) = (sections(old), sections(new));
        let mut changes = Self::default();
        for (section, value) in &new {
            if old.get(section) == Some(value) {
                continue;
            }
            if LIVE_SECTIONS.contains(&section.as_str()) {
                changes.now.insert(section.clone());
            } else {
                changes.at_next_start.insert(section.clone());
            }
        }
        changes
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

/// Reloads the file on SIGHUP and on changes until the node ends.
pub async fn run(context: Arc<Context>, path: PathBuf, mut hangup: Signal) {
    let mut rejected = None;
    loop {
        tokio::select! {
            received = hangup.recv() => {
                if received.is_none() {
                    return;
                }
                rejected = None;
                log::info!(path:% = path.display(); "SIGHUP received; reloading settings");
                if !poll_file(&context, &path, &mut rejected) {
                    context.metrics.reload(Reload::Unchanged);
                    log::info!("settings are unchanged");
                }
            }
            () = tokio::time::sleep(POLL_INTERVAL) => {
                poll_file(&context, &path, &mut rejected);
            }
        }
    }
}

/// Applies a change of the file that has not been read yet.
///
/// Failure: the time until the kill changes in the file, and a stop is requested before the next
/// poll. Symptom: the stop goes by the former time.
pub fn refresh(context: &Context, path: &Path) {
    poll_file(context, path, &mut None);
}

/// Reads the file once and returns whether new settings were applied or rejected. As long as the
/// problem stays the same, a rejection is logged once, and again after a signal.
fn poll_file(context: &Context, path: &Path, rejected: &mut Option<String>) -> bool {
    match settings::load(path) {
        Ok(new) => {
            *rejected = None;
            apply(context, new)
        }
        Err(error) => {
            let problem = error.current_context().to_string();
            if rejected.as_ref() == Some(&problem) {
                return true;
            }
            context.metrics.reload(Reload::Rejected);
            log::error!(problem = &*problem; "settings rejected; keeping the current ones");
            *rejected = Some(problem);
            true
        }
    }
}

fn apply(context: &Context, new: Settings) -> bool {
    let changes = Changes::between(&context.live(), &new);
    if changes.is_empty() {
        return false;
    }
    context.metrics.reload(Reload::Applied);
    log::info!(
        now:? = changes.now,
        at_next_start:? = changes.at_next_start;
        "settings reloaded"
    );
    context.latest.settings.send_replace(Arc::new(new));
    true
}
