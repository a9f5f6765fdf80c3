//! `mintridge-try`: the whole path on loopback with stand-ins, in one process, over real
//! HTTP. Prints what callers were told and exits non-zero if a promise was broken.

use std::collections::HashMap;
use std::process::ExitCode;
use std::time::Duration;

use mintridge_bench::caller::Told;
use mintridge_bench::load::{self, Plan as Load, Record};
use mintridge_bench::report::Report;
use mintridge_standin::scene::{Plan, Scene};
use mintridge_standin::upstream::{Behaviour, Result as Answer};

/// Requests a second over all nodes.
const RATE: f64 = 400.0;
const SECONDS: u64 = 5;
const SERVERS: usize = 9;

#[tokio::main]
async fn main() -> ExitCode {
    let plan = Plan {
        services: vec![("field-service", SERVERS), ("parts", 3)],
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
    let straight = straight(&scene).await;
    println!("\nstraight to the upstreams of field-service\n{straight}");
    let mut account = Account::default();
    let through = through(&scene, &mut account).await;
    println!("through mintridge, two nodes in the path\n{through}");
    added(&straight, &through);
    account.check(&scene)
}

/// The same load without mintridge, each upstream in turn.
async fn straight(scene: &Scene) -> Report {
    let upstreams = scene.hosts.iter().take(SERVERS);
    let load = Load {
        targets: upstreams.map(|host| host.upstream_address).collect(),
        rate: RATE,
        duration: Duration::from_secs(SECONDS),
        run: String::from("straight"),
        ..Load::default()
    };
    load::run(&load, |_| {}).await
}

async fn through(scene: &Scene, account: &mut Account) -> Report {
    let load = Load {
        targets: scene.entries(),
        rate: RATE,
        duration: Duration::from_secs(SECONDS),
        services: vec![
            (String::from("field-service"), 0.8),
            (String::from("parts"), 0.2),
        ],
        unrepeatable: 0.1,
        run: String::from("through"),
        ..Load::default()
    };
    load::run(&load, |record| account.note(record)).await
}

fn added(straight: &Report, through: &Report) {
    println!("added latency (unrepeatable requests include their claim in the store)");
    for (name, percent) in [("p50", 50.0), ("p90", 90.0), ("p99", 99.0)] {
        let before = straight.percentile(percent).as_secs_f64() * 1e3;
        let after = through.percentile(percent).as_secs_f64() * 1e3;
        println!("  {name:<28} {:>9.2} ms", after - before);
    }
}

/// What callers were told, to be checked against what ran.
#[derive(Default)]
struct Account {
    told: HashMap<String, Told>,
    unrepeatable: Vec<String>,
}

impl Account {
    fn note(&mut self, record: &Record) {
        let id = record.call.id.clone();
        if record.call.key.is_some() {
            self.unrepeatable.push(id.clone());
        }
        self.told.insert(id, record.heard.told.clone());
    }

    fn check(&self, scene: &Scene) -> ExitCode {
        let not_run = self.told.iter().filter(|(_, told)| told.is_not_run());
        let lied = not_run.filter(|(id, _)| scene.runs(id) > 0).count();
        let twice = self
            .unrepeatable
            .iter()
            .filter(|id| scene.runs(id) > 1)
            .count();
        let foreign = self
            .told
            .iter()
            .filter(|(id, told)| is_foreign(id, told))
            .count();
        let broken = self.told.values().filter(|told| is_broken(told)).count();
        println!("\npromises");
        println!("  told 'not run' but ran       {lied:>9}");
        println!("  unrepeatable, ran twice      {twice:>9}");
        println!("  somebody else's answer       {foreign:>9}");
        println!("  broken or unanswered         {broken:>9}");
        if lied + twice + foreign + broken == 0 {
            return ExitCode::SUCCESS;
        }
        eprintln!("a promise was broken");
        ExitCode::FAILURE
    }
}

/// Whether the answer was made for another request.
fn is_foreign(id: &str, told: &Told) -> bool {
    let Told::Answer { body, .. } = told else {
        return false;
    };
    Answer::parse(body).is_none_or(|answer| answer.id != id)
}

const fn is_broken(told: &Told) -> bool {
    matches!(
        told,
        Told::NoConnection | Told::Broken { .. } | Told::Silence
    )
}
