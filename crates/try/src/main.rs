//! `mintridge-try`: runs nodes, upstreams and the store as stand-ins in one process and sends load
//! through them over HTTP on loopback. Prints a report and exits non-zero if a guarantee was
//! violated.

use std::collections::HashMap;
use std::process::ExitCode;
use std::time::Duration;

use mintridge_bench::caller::Reply;
use mintridge_bench::load::{self, Plan as Load, Record};
use mintridge_bench::report::Report;
use mintridge_standin::scene::{Plan, Scene};
use mintridge_standin::upstream::{Behaviour, Echo};

/// Requests per second over all nodes.
const REQUESTS_PER_SECOND: f64 = 400.0;
const SECONDS: u64 = 5;
const FIELD_SERVICE_HOSTS: usize = 9;

#[tokio::main]
async fn main() -> ExitCode {
    let plan = Plan {
        services: vec![("field-service", FIELD_SERVICE_HOSTS), ("parts", 3)],
        behaviour: Behaviour {
            service_micros: 5_000,
            ..Behaviour::default()
        },
        ..Plan::default()
    };
    println!("starting 12 nodes with their upstreams, and the store");
    let scene = match Scene::start(plan).await {
        Ok(scene) => scene,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    let direct = run_direct(&scene).await;
    println!("\nstraight to the upstreams of field-service\n{direct}");
    let mut replies = ReplyLog::default();
    let proxied = run_through_nodes(&scene, &mut replies).await;
    println!("through mintridge, two nodes in the path\n{proxied}");
    print_added_latency(&direct, &proxied);
    replies.check(&scene)
}

/// Sends the same load without mintridge, round robin over the upstreams.
async fn run_direct(scene: &Scene) -> Report {
    let upstreams = scene.hosts.iter().take(FIELD_SERVICE_HOSTS);
    let load = Load {
        targets: upstreams.map(|host| host.upstream_address).collect(),
        rate: REQUESTS_PER_SECOND,
        duration: Duration::from_secs(SECONDS),
        run: String::from("straight"),
        ..Load::default()
    };
    load::run(&load, |_| {}).await
}

async fn run_through_nodes(scene: &Scene, replies: &mut ReplyLog) -> Report {
    let load = Load {
        targets: scene.entries(),
        rate: REQUESTS_PER_SECOND,
        duration: Duration::from_secs(SECONDS),
        services: vec![
            (String::from("field-service"), 0.8),
            (String::from("parts"), 0.2),
        ],
        unrepeatable: 0.1,
        run: String::from("through"),
        ..Load::default()
    };
    load::run(&load, |record| replies.record(record)).await
}

fn print_added_latency(direct: &Report, proxied: &Report) {
    println!("added latency (unrepeatable requests include their claim in the store)");
    for (name, percent) in [("p50", 50.0), ("p90", 90.0), ("p99", 99.0)] {
        let direct_ms = direct.percentile(percent).as_secs_f64() * 1e3;
        let proxied_ms = proxied.percentile(percent).as_secs_f64() * 1e3;
        println!("  {name:<28} {:>9.2} ms", proxied_ms - direct_ms);
    }
}

/// Replies that callers received, to be checked against the runs that the upstreams counted.
#[derive(Default)]
struct ReplyLog {
    replies: HashMap<String, Reply>,
    unrepeatable: Vec<String>,
}

impl ReplyLog {
    fn record(&mut self, record: &Record) {
        let id = record.call.id.clone();
        if record.call.key.is_some() {
            self.unrepeatable.push(id.clone());
        }
        self.replies.insert(id, record.timed_reply.reply.clone());
    }

    fn check(&self, scene: &Scene) -> ExitCode {
        let not_run = self.replies.iter().filter(|(_, reply)| reply.is_not_run());
        let false_not_run = not_run.filter(|(id, _)| scene.runs(id) > 0).count();
        let run_twice = self
            .unrepeatable
            .iter()
            .filter(|id| scene.runs(id) > 1)
            .count();
        let foreign = self
            .replies
            .iter()
            .filter(|(id, reply)| is_foreign(id, reply))
            .count();
        let broken = self
            .replies
            .values()
            .filter(|reply| is_broken(reply))
            .count();
        println!("\npromises");
        println!("  told 'not run' but ran       {false_not_run:>9}");
        println!("  unrepeatable, ran twice      {run_twice:>9}");
        println!("  somebody else's answer       {foreign:>9}");
        println!("  broken or unanswered         {broken:>9}");
        if false_not_run + run_twice + foreign + broken == 0 {
            return ExitCode::SUCCESS;
        }
        eprintln!("a promise was broken");
        ExitCode::FAILURE
    }
}

/// Whether the response belongs to another request.
fn is_foreign(id: &str, reply: &Reply) -> bool {
    let Reply::Answer { body, .. } = reply else {
        return false;
    };
    Echo::parse(body).is_none_or(|answer| answer.id != id)
}

const fn is_broken(reply: &Reply) -> bool {
    matches!(
        reply,
        Reply::NoConnection | Reply::Broken { .. } | Reply::TimedOut
    )
}
