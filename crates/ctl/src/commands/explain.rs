//! `mintridge explain`: the history of one request, from the logs of several nodes.

use std::collections::BTreeSet;
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

/// One line of a node's log.
#[derive(Clone, Debug, Deserialize)]
struct Line {
    timestamp: String,
    message: String,
    #[serde(default)]
    kvs: Map<String, Value>,
    #[serde(default)]
    diags: Map<String, Value>,
}

/// One logged event of the request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Event {
    /// Time by the clock of the node that logged the event.
    pub timestamp: String,
    /// Host of the node.
    pub host: String,
    /// Log message.
    pub message: String,
    /// Other fields of the log line, as `key=value`.
    pub details: String,
}

/// History of a request, from all logs.
#[derive(Clone, Debug, Default, Serialize)]
pub struct History {
    /// Events in the order of their timestamps.
    pub events: Vec<Event>,
    /// Explanation of the outcome that the entry node logged.
    pub cause: String,
    /// What the upstreams that were asked had stated in their responses.
    pub statements: BTreeSet<String>,
    /// Number of lines that could not be parsed as log lines of a node.
    pub unread_lines: u64,
}

/// Reads the logs and prints the history of the request.
///
/// # Errors
/// If a file cannot be read, or no line mentions the request.
pub fn run(context: &Context, request: &str, files: &[PathBuf]) -> Result<(), Error> {
    output::print(context.json, &read_history(request, files)?, text)
}

/// Reads the history of a request from the logs.
///
/// # Errors
/// If a file cannot be read, or no line mentions the request.
pub fn read_history(request: &str, files: &[PathBuf]) -> Result<History, Error> {
    let mut history = History::default();
    for file in files {
        for line in BufReader::new(File::open(file)?).split(b'\n') {
            record_line(&mut history, request, &String::from_utf8_lossy(&line?));
        }
    }
    if history.events.is_empty() {
        return Err(Error::NoSuchRequest(request.to_owned()));
    }
    history.events.sort();
    Ok(history)
}

/// Adds a log line to the history if it belongs to the request. Log collectors may prefix lines
/// with text of their own, so parsing starts at the first brace.
fn record_line(history: &mut History, request: &str, line: &str) {
    if line.trim().is_empty() {
        return;
    }
    let json = line.find('{').map_or("", |start| &line[start..]);
    let Ok(line) = serde_json::from_str::<Line>(json) else {
        history.unread_lines += 1;
        return;
    };
    if line.kvs.get("request").and_then(Value::as_str) != Some(request) {
        return;
    }
    if line.message == "request" {
        history.cause = cause(&line);
    }
    history.statements.extend(statements(&line));
    history.events.push(event(&line));
}

/// Returns what the upstream had stated, from a line of the node beside it or of the entry node.
fn statements(line: &Line) -> Vec<String> {
    let text = |key: &str| line.kvs.get(key).map_or_else(String::new, format_value);
    let (host, limit, leaving) = match line.message.as_str() {
        "refused beside the upstream" => {
            let host = line
                .diags
                .get("host")
                .map_or_else(String::new, format_value);
            (host, text("named_limit"), text("states_leaving"))
        }
        "attempt" => (text("to"), text("known_named_limit"), text("known_leaving")),
        _ => return Vec::new(),
    };
    let mut statements = Vec::new();
    if !limit.is_empty() {
        statements.push(format!(
            "the upstream of {host} named a limit of {limit} requests per second"
        ));
    }
    if leaving == "true" {
        statements.push(format!("the upstream of {host} stated that it is leaving"));
    }
    statements
}

fn event(line: &Line) -> Event {
    let details: Vec<String> = line
        .kvs
        .iter()
        .filter(|(key, _)| *key != "request")
        .map(|(key, value)| format!("{key}={}", format_value(value)))
        .collect();
    Event {
        timestamp: line.timestamp.clone(),
        host: line
            .diags
            .get("host")
            .map_or_else(String::new, format_value),
        message: line.message.clone(),
        details: details.join(" "),
    }
}

fn format_value(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), ToOwned::to_owned)
}

/// Explains the outcome that the entry node logged.
fn cause(line: &Line) -> String {
    let outcome = line
        .kvs
        .get("outcome")
        .map_or_else(String::new, format_value);
    let status = line
        .kvs
        .get("status")
        .map_or_else(String::new, format_value);
    let meaning = match outcome.as_str() {
        "answered" => {
            "an upstream answered; a status of 500 or above is the upstream's own".to_owned()
        }
        "caller-left" => "the caller closed its connection before the response".to_owned(),
        reason => explain_refusal(reason, &status),
    };
    format!("{outcome} ({status}): {meaning}")
}

/// Explains the reason of a refusal, and by the status whether the request may have run.
fn explain_refusal(reason: &str, status: &str) -> String {
    let Some(reason) = Reason::parse(reason) else {
        return "unknown reason".to_owned();
    };
    let status_if_unknown = Refusal::unknown(reason, Instant::now()).status();
    let effect = if status == status_if_unknown.to_string() {
        "it may have run"
    } else {
        "it did not run"
    };
    format!("{}; {effect}", meaning(reason))
}

const fn meaning(reason: Reason) -> &'static str {
    match reason {
        Reason::Busy => "all slots were in use and the queue was full",
        Reason::Deadline => "the deadline passed, or could not have been met",
        Reason::Late => "no host could have met the target latency",
        Reason::Leaving => {
            "the hosts asked were draining, or the node stopped before an answer arrived"
        }
        Reason::Evacuated => "the hosts asked were in an evacuated availability zone",
        Reason::Doubtful => "the upstreams had failed repeatedly and were being probed",
        Reason::Unannounced => {
            "the upstream had not announced itself, or its announcement had expired"
        }
        Reason::Stale => "the node had been paused and had not received up-to-date state since",
        Reason::NoUpstream => "the node knew of no host that offers the service",
        Reason::StoreUnavailable => "the store did not confirm the idempotency key",
        Reason::Duplicate => "the idempotency key was used before",
        Reason::LinkLost => "a connection broke after the request was sent",
        Reason::Unreachable => "no connection could be opened",
        Reason::BadRequest => "the request was malformed or lacked a required header",
        Reason::Shed => "the upstreams reported that they did not run it",
        Reason::Misdirected => "another instance of the upstream was listening at the address",
        Reason::ForeignAnswer => "the response received was not the response to this request",
        Reason::Unconfigured => "the node had no routing table yet",
        Reason::NoRoute => "the routing table in force had no route for it",
        Reason::Unverified => {
            "the routing table had not been confirmed as the newest recently, and it had no route for the request, no account with its key, or one whose key may have been revoked"
        }
        Reason::Quarantined => {
            "the request was quarantined: upstreams had crashed while they ran it"
        }
        Reason::Unauthorized => "it lacked a key of a client account, or no account had its key",
        Reason::RateLimited => "its client account had sent more requests than its limit allows",
        Reason::DependencyFailing => "most calls that the upstream makes for such requests failed",
        Reason::RunFailed => {
            "the upstream ran it and failed it with a status that callers take for 'not run'"
        }
    }
}

fn text(history: &History) -> String {
    let rows: Vec<Vec<String>> = history
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
    if !history.cause.is_empty() {
        let _ = writeln!(text, "\ncause: {}", history.cause);
    }
    for statement in &history.statements {
        let _ = writeln!(text, "stated: {statement}");
    }
    if history.unread_lines > 0 {
        let _ = writeln!(text, "{} lines could not be read", history.unread_lines);
    }
    text
}
