//! `mintridge node`: the state of nodes.

use std::fmt::Write as _;

use mintridge_node::operators::Status;
use serde::Serialize;

use super::Context;
use crate::error::Error;
use crate::{nodes, output};

/// States of the nodes that responded, and addresses of those that did not.
#[derive(Debug, Serialize)]
struct Statuses {
    nodes: Vec<Status>,
    silent: Vec<std::net::SocketAddr>,
}

/// Shows the state of every node found through the nodes given.
///
/// # Errors
/// If none is given or none of them responds.
pub async fn status(context: &Context) -> Result<(), Error> {
    let results = nodes::statuses(&context.nodes, context.timeout).await?;
    let mut statuses = Statuses {
        nodes: Vec::new(),
        silent: Vec::new(),
    };
    for result in results {
        match result {
            Ok(status) => statuses.nodes.push(status),
            Err(address) => statuses.silent.push(address),
        }
    }
    statuses.nodes.sort_by(|a, b| a.host.cmp(&b.host));
    output::print(context.json, &statuses, text)
}

fn text(statuses: &Statuses) -> String {
    let headings = [
        "SERVER", "ZONE", "SERVICE", "REVISION", "PRESET", "MEMBERS", "LOAD", "QUEUED", "STATE",
    ];
    let rows: Vec<Vec<String>> = statuses.nodes.iter().map(row).collect();
    let mut text = output::table(&headings, &rows);
    for address in &statuses.silent {
        let _ = writeln!(text, "{address} does not respond");
    }
    text
}

fn row(status: &Status) -> Vec<String> {
    let own = status
        .view
        .members
        .iter()
        .find(|record| record.host == status.host);
    let upstream = own.and_then(|record| record.upstream.as_ref());
    let load = &status.guarded.load;
    vec![
        status.host.to_string(),
        own.map_or_else(String::new, |record| record.availability_zone.to_string()),
        upstream.map_or_else(
            || String::from("-"),
            |upstream| upstream.service.to_string(),
        ),
        status.view.in_force.revision.0.to_string(),
        status.view.in_force.name.to_string(),
        status.view.members.len().to_string(),
        format!("{}/{}", load.in_flight, load.limit),
        load.queued.to_string(),
        state(status),
    ]
}

fn state(status: &Status) -> String {
    if status.stopping {
        return String::from("stopping");
    }
    match status.guarded.closed {
        Some(reason) => reason.as_str().to_owned(),
        None if status.guarded.doubtful => String::from("doubtful"),
        None => String::from("ready"),
    }
}
