//! `mintridge preset`: edit presets and choose the one in force.

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

/// Pause between two looks at the nodes.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Runs a command of this group.
///
/// # Errors
/// If a file is not taken, the store refuses, or nodes do not follow in time.
pub async fn run(context: &Context, preset: flags::Preset) -> Result<(), Error> {
    let store = Client::new(context.store, context.timeout);
    match preset.subcommand {
        PresetCmd::Validate(validate) => {
            read(&validate.file)?;
            println!("{}: good", validate.file.display());
            Ok(())
        }
        PresetCmd::Put(put) => self::put(context, &store, put).await,
        PresetCmd::List(_) => list(context, &store).await,
        PresetCmd::Show(show) => {
            let stored = presets::get(&store, &show.name).await?;
            output::print(context.json, &Shown::from(&stored), Shown::text)
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
            let standing = presets::in_force(&store).await?;
            output::print(context.json, &standing.in_force, in_force_text)
        }
    }
}

fn read(file: &Path) -> Result<Preset, Error> {
    let preset: Preset = settings::read(file).map_err(super::settings::file_error)?;
    preset.check()?;
    Ok(preset)
}

async fn put(context: &Context, store: &Client, put: flags::Put) -> Result<(), Error> {
    let preset = read(&put.file)?;
    warn_of_unknown(context, &preset).await;
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

/// A preset may name a host that is not there yet; the operator is told.
async fn warn_of_unknown(context: &Context, preset: &Preset) {
    let Ok(answers) = nodes::all(&context.nodes, context.timeout).await else {
        return;
    };
    let hosts: Vec<Arc<str>> = answers.into_iter().flatten().map(|s| s.host).collect();
    for host in preset.leaving.iter().filter(|name| !hosts.contains(name)) {
        eprintln!("warning: leaving names {host}, which no node knows now");
    }
}

async fn list(context: &Context, store: &Client) -> Result<(), Error> {
    let stored = presets::list(store).await?;
    let standing = presets::in_force(store).await?;
    let rows: Vec<Listed> = stored
        .iter()
        .map(|stored| Listed {
            name: Arc::clone(&stored.name),
            store_revision: stored.mod_revision,
            in_force: stored.name == standing.in_force.name,
        })
        .collect();
    output::print(context.json, &rows, |rows| {
        let rows: Vec<Vec<String>> = rows.iter().map(Listed::row).collect();
        output::table(&["PRESET", "STORE REVISION", "IN FORCE"], &rows)
    })
}

async fn activate(context: &Context, store: &Client, activate: flags::Use) -> Result<(), Error> {
    let in_force = presets::activate(store, &activate.name, &author(context)).await?;
    output::print(context.json, &in_force, in_force_text)?;
    let Some(seconds) = activate.wait else {
        return Ok(());
    };
    let give_up_at = Instant::now() + Duration::from_secs_f64(seconds.clamp(0.0, 3600.0));
    wait(context, in_force.revision, give_up_at).await
}

/// Waits until every node shows the revision, or a later one.
async fn wait(context: &Context, revision: Revision, give_up_at: Instant) -> Result<(), Error> {
    loop {
        let answers = nodes::all(&context.nodes, context.timeout).await?;
        let asked = answers.len();
        let seen = answers
            .into_iter()
            .flatten()
            .filter(|status| status.view.in_force.revision >= revision)
            .count();
        if seen == asked {
            eprintln!("in force on {asked} of {asked} nodes");
            return Ok(());
        }
        if Instant::now() >= give_up_at {
            return Err(Error::NotSeen { seen, asked });
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

fn author(context: &Context) -> Author {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Author {
        name: Arc::from(context.by.as_str()),
        at: since.map_or(0, |since| since.as_secs()),
        mark: Arc::from(format!("{:032x}", rand::random::<u128>())),
    }
}

fn in_force_text(in_force: &InForce) -> String {
    let contents = serde_json::to_string_pretty(&in_force.preset).unwrap_or_default();
    format!(
        "{} is in force as revision {}, by {} at {} s since 1970\n{contents}",
        in_force.name, in_force.revision.0, in_force.changed_by, in_force.changed_at
    )
}

#[derive(Debug, Serialize)]
struct Listed {
    name: Arc<str>,
    store_revision: i64,
    in_force: bool,
}

impl Listed {
    fn row(&self) -> Vec<String> {
        let in_force = if self.in_force { "yes" } else { "" };
        vec![
            self.name.to_string(),
            self.store_revision.to_string(),
            in_force.to_owned(),
        ]
    }
}

#[derive(Debug, Serialize)]
struct Shown {
    name: Arc<str>,
    store_revision: i64,
    preset: Preset,
}

impl Shown {
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

/// One value that differs.
#[derive(Debug, Serialize)]
struct Difference {
    key: String,
    from: Value,
    to: Value,
}

fn differences(from: &Preset, to: &Preset) -> Result<Vec<Difference>, Error> {
    let mut found = Vec::new();
    collect(
        "",
        &serde_json::to_value(from)?,
        &serde_json::to_value(to)?,
        &mut found,
    );
    Ok(found)
}

fn collect(path: &str, from: &Value, to: &Value, found: &mut Vec<Difference>) {
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
            collect(&inner, from, to, found);
        }
        return;
    }
    found.push(Difference {
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
