//! The story of one request, from the logs of several nodes.

use std::fmt::Write as _;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::time::Instant;

use mintridge_core::outcome::{Reason, Refusal};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use super::Context;
use crate::error::Error;
use crate::output;

/// A line of a node's log.
#[derive(Clone, Debug, Deserialize)]
struct Line {
    timestamp: String,
    message: String,
    #[serde(default)]
    kvs: Map<String, Value>,
    #[serde(default)]
    diags: Map<String, Value>,
}

/// One thing that happened to the request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Event {
    /// When, by the clock of the node that tells it.
    pub timestamp: String,
    /// The node's host.
    pub host: String,
    /// What happened.
    pub message: String,
    /// The inputs and the outcome.
    pub details: String,
}

/// Everything that the logs tell of a request.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Story {
    /// In order of time.
    pub events: Vec<Event>,
    /// What the last word of its entry node means.
    pub cause: String,
    /// Lines that are no log lines of a node.
    pub unread_lines: u64,
}

/// Reads the logs and prints the story.
///
/// # Errors
/// If a file cannot be read, or no line tells of the request.
pub fn run(context: &Context, request: &str, files: &[PathBuf]) -> Result<(), Error> {
    output::print(context.json, &read(request, files)?, text)
}

/// Reads the story of a request from the logs.
///
/// # Errors
/// If a file cannot be read, or no line tells of the request.
pub fn read(request: &str, files: &[PathBuf]) -> Result<Story, Error> {
    let mut story = Story::default();
    for file in files {
        for line in BufReader::new(File::open(file)?).split(b'\n') {
            take(&mut story, request, &String::from_utf8_lossy(&line?));
        }
    }
    if story.events.is_empty() {
        return Err(Error::NoSuchRequest(request.to_owned()));
    }
    story.events.sort();
    Ok(story)
}

/// Collectors put their own words before a line; it begins with its first brace.
fn take(story: &mut Story, request: &str, line: &str) {
    if line.trim().is_empty() {
        return;
    }
    let json = line.find('{').map_or("", |start| &line[start..]);
    let Ok(line) = serde_json::from_str::<Line>(json) else {
        story.unread_lines += 1;
        return;
    };
    if line.kvs.get("request").and_then(Value::as_str) != Some(request) {
        return;
    }
    if line.message == "request" {
        story.cause = cause(&line);
    }
    story.events.push(event(&line));
}

fn event(line: &Line) -> Event {
    let details: Vec<String> = line
        .kvs
        .iter()
        .filter(|(key, _)| *key != "request")
        .map(|(key, value)| format!("{key}={}", plain(value)))
        .collect();
    Event {
        timestamp: line.timestamp.clone(),
        host: line.diags.get("host").map_or_else(String::new, plain),
        message: line.message.clone(),
        details: details.join(" "),
    }
}

fn plain(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), ToOwned::to_owned)
}

/// What the last word of the entry node means to an operator.
fn cause(line: &Line) -> String {
    let outcome = line.kvs.get("outcome").map_or_else(String::new, plain);
    let status = line.kvs.get("status").map_or_else(String::new, plain);
    let meaning = match outcome.as_str() {
        "answered" => "an upstream answered; a status of 500 and above is its own".to_owned(),
        "caller-left" => "the caller closed its connection before the answer".to_owned(),
        reason => refused(reason, &status),
    };
    format!("{outcome} ({status}): {meaning}")
}

/// Why a request was refused, and by the status whether it may have run.
fn refused(reason: &str, status: &str) -> String {
    let Some(reason) = Reason::parse(reason) else {
        return "the reason is not known here".to_owned();
    };
    let unknown = Refusal::unknown(reason, Instant::now()).status();
    let ran = if status == unknown.to_string() {
        "it may have run"
    } else {
        "nothing ran"
    };
    format!("{}; {ran}", meaning(reason))
}

const fn meaning(reason: Reason) -> &'static str {
    match reason {
        Reason::Busy => "all slots were taken and the queue was full",
        Reason::Deadline => "the time allowed would have passed, or passed, before the answer",
        Reason::Late => "no host could answer in time",
        Reason::Leaving => "the hosts asked were leaving",
        Reason::Evacuated => "the hosts asked stood in an evacuated zone",
        Reason::Doubtful => "the upstreams kept failing and were being checked",
        Reason::Unannounced => "the upstream had not announced itself lately",
        Reason::Stale => "the node had been paused and had heard nobody since",
        Reason::NoUpstream => "the node knew of no host with the service",
        Reason::StoreUnavailable => "the store did not confirm the idempotency key",
        Reason::Duplicate => "the idempotency key was used before",
        Reason::LinkLost => "a connection broke after the request was sent",
        Reason::Unreachable => "no connection could be opened",
        Reason::BadRequest => "the request was malformed or missed a header",
        Reason::Shed => "the upstreams themselves refused it",
        Reason::Misdirected => "another instance stood at the address",
        Reason::ForeignAnswer => "what came back was not its answer",
        Reason::Unconfigured => "the node did not know the routing table yet",
        Reason::NoRoute => "the routing table in force had no route for it",
        Reason::Quarantined => "upstreams ended under the same request before",
    }
}

fn text(story: &Story) -> String {
    let rows: Vec<Vec<String>> = story
        .events
        .iter()
        .map(|event| {
            vec![
                event.timestamp.clone(),
                event.host.clone(),
                event.message.clone(),
                event.details.clone(),
            ]
        })
        .collect();
    let mut text = output::table(&["when", "host", "what", "details"], &rows);
    if !story.cause.is_empty() {
        let _ = writeln!(text, "\ncause: {}", story.cause);
    }
    if story.unread_lines > 0 {
        let _ = writeln!(text, "{} lines could not be read", story.unread_lines);
    }
    text
}
