//! `mintridge preset`: edits presets and selects the one in force.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use mintridge_core::preset::{InForce, Preset, Revision};
use mintridge_node::settings;
use mintridge_store::client::Client;
use mintridge_store::presets::{self, Author, Stored};
use serde::Serialize;
use serde_json::Value;

use super::Context;
use crate::error::Error;
use crate::flags::{self, PresetCmd};
use crate::{nodes, output};

/// Interval between two polls of the nodes.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Runs a command of this group.
///
/// # Errors
/// If a file is invalid, the store rejects the change, or nodes do not apply it in time.
pub async fn run(context: &Context, preset: flags::Preset) -> Result<(), Error> {
    let store = Client::new(context.store, context.timeout);
    match preset.subcommand {
        PresetCmd::Validate(validate) => {
            read_preset(&validate.file)?;
            println!("{}: good", validate.file.display());
            Ok(())
        }
        PresetCmd::Put(put) => self::put(context, &store, put).await,
        PresetCmd::List(_) => list(context, &store).await,
        PresetCmd::Show(show) => {
            let stored = presets::get(&store, &show.name).await?;
            output::print(context.json, &Details::from(&stored), Details::text)
        }
        PresetCmd::Diff(diff) => {
            let from = presets::get(&store, &diff.from).await?;
            let to = presets::get(&store, &diff.to).await?;
            let differences = differences(&from.preset, &to.preset)?;
            output::print(context.json, &differences, |differences| table(differences))
        }
        PresetCmd::Use(activate) => self::activate(context, &store, activate).await,
        PresetCmd::Delete(delete) => {
            presets::delete(&store, &delete.name).await?;
            println!("{} deleted", delete.name);
            Ok(())
        }
        PresetCmd::InForce(_) => {
            let current = presets::in_force(&store).await?;
            output::print(context.json, &current.in_force, in_force_text)
        }
    }
}

fn read_preset(file: &Path) -> Result<Preset, Error> {
    let preset: Preset = settings::read(file).map_err(super::settings::file_error)?;
    preset.check()?;
    Ok(preset)
}

async fn put(context: &Context, store: &Client, put: flags::Put) -> Result<(), Error> {
    let preset = read_preset(&put.file)?;
    warn_about_unknown_hosts(context, &preset).await;
    let author = author(context);
    let changed = presets::put(store, &put.name, preset, put.expect, &author).await?;
    match changed {
        Some(in_force) => println!(
            "{} written, in force as revision {}",
            put.name, in_force.revision.0
        ),
        None => println!("{} written", put.name),
    }
    Ok(())
}

/// Warns about hosts in `leaving` that no node knows. This is not an error, because a preset may
/// name a host that does not exist yet.
async fn warn_about_unknown_hosts(context: &Context, preset: &Preset) {
    let Ok(statuses) = nodes::statuses(&context.nodes, context.timeout).await else {
        return;
    };
    let hosts: Vec<Arc<str>> = statuses.into_iter().flatten().map(|s| s.host).collect();
    for host in preset.leaving.iter().filter(|name| !hosts.contains(name)) {
        eprintln!("warning: leaving contains {host}, which no node knows");
    }
}

async fn list(context: &Context, store: &Client) -> Result<(), Error> {
    let stored = presets::list(store).await?;
    let current = presets::in_force(store).await?;
    let rows: Vec<Row> = stored
        .iter()
        .map(|stored| Row {
            name: Arc::clone(&stored.name),
            store_revision: stored.mod_revision,
            in_force: stored.name == current.in_force.name,
        })
        .collect();
    output::print(context.json, &rows, |rows| {
        let rows: Vec<Vec<String>> = rows.iter().map(Row::cells).collect();
        output::table(&["PRESET", "STORE REVISION", "IN FORCE"], &rows)
    })
}

async fn activate(context: &Context, store: &Client, activate: flags::Use) -> Result<(), Error> {
    let in_force = presets::activate(store, &activate.name, &author(context)).await?;
    output::print(context.json, &in_force, in_force_text)?;
    let Some(seconds) = activate.wait else {
        return Ok(());
    };
    let deadline = Instant::now() + Duration::from_secs_f64(seconds.clamp(0.0, 3600.0));
    wait_until_in_force(context, in_force.revision, deadline).await
}

/// Waits until this revision or a later one is in force on every node.
async fn wait_until_in_force(
    context: &Context,
    revision: Revision,
    deadline: Instant,
) -> Result<(), Error> {
    loop {
        let statuses = nodes::statuses(&context.nodes, context.timeout).await?;
        let total = statuses.len();
        let confirmed = statuses
            .into_iter()
            .flatten()
            .filter(|status| status.view.in_force.revision >= revision)
            .count();
        if confirmed == total {
            eprintln!("in force on {total} of {total} nodes");
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(Error::Unconfirmed { confirmed, total });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn author(context: &Context) -> Author {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    Author {
        name: Arc::from(context.by.as_str()),
        at: since_epoch.map_or(0, |since_epoch| since_epoch.as_secs()),
        mark: Arc::from(format!("{:032x}", rand::random::<u128>())),
    }
}

fn in_force_text(in_force: &InForce) -> String {
    let contents = serde_json::to_string_pretty(&in_force.preset).unwrap_or_default();
    format!(
        "{} is in force as revision {}, by {} at Unix time {}\n{contents}",
        in_force.name, in_force.revision.0, in_force.changed_by, in_force.changed_at
    )
}

#[derive(Debug, Serialize)]
struct Row {
    name: Arc<str>,
    store_revision: i64,
    in_force: bool,
}

impl Row {
    fn cells(&self) -> Vec<String> {
        let in_force = if self.in_force { "yes" } else { "" };
        vec![
            self.name.to_string(),
            self.store_revision.to_string(),
            in_force.to_owned(),
        ]
    }
}

#[derive(Debug, Serialize)]
struct Details {
    name: Arc<str>,
    store_revision: i64,
    preset: Preset,
}

impl Details {
    fn from(stored: &Stored) -> Self {
        Self {
            name: Arc::clone(&stored.name),
            store_revision: stored.mod_revision,
            preset: stored.preset.clone(),
        }
    }

    fn text(&self) -> String {
        let contents = serde_json::to_string_pretty(&self.preset).unwrap_or_default();
        format!("// store revision {}\n{contents}", self.store_revision)
    }
}

/// One key whose value differs between two presets.
#[derive(Debug, Serialize)]
struct Difference {
    key: String,
    from: Value,
    to: Value,
}

fn differences(from: &Preset, to: &Preset) -> Result<Vec<Difference>, Error> {
    let mut differences = Vec::new();
    collect_differences(
        "",
        &serde_json::to_value(from)?,
        &serde_json::to_value(to)?,
        &mut differences,
    );
    Ok(differences)
}

fn collect_differences(path: &str, from: &Value, to: &Value, differences: &mut Vec<Difference>) {
    if from == to {
        return;
    }
    if let (Value::Object(from), Value::Object(to)) = (from, to) {
        let keys: std::collections::BTreeSet<&String> = from.keys().chain(to.keys()).collect();
        for key in keys {
            let inner = if path.is_empty() {
                key.clone()
            } else {
                format!("{path}.{key}")
            };
            let absent = Value::Null;
            let from = from.get(key).unwrap_or(&absent);
            let to = to.get(key).unwrap_or(&absent);
            collect_differences(&inner, from, to, differences);
        }
        return;
    }
    differences.push(Difference {
        key: path.to_owned(),
        from: from.clone(),
        to: to.clone(),
    });
}

fn table(differences: &[Difference]) -> String {
    if differences.is_empty() {
        return String::from("no differences");
    }
    let rows: Vec<Vec<String>> = differences
        .iter()
        .map(|d| vec![d.key.clone(), d.from.to_string(), d.to.to_string()])
        .collect();
    output::table(&["KEY", "FROM", "TO"], &rows)
}
