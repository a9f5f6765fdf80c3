//! `standin-trial`: what nodes cost, measured on real processes on loopback.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hyper::Method;
use mintridge_bench::load::{self, Plan as Load};
use mintridge_bench::report::Report;
use mintridge_core::preset::Preset;
use mintridge_node::settings::Settings;
use mintridge_standin::cost::{self, Cost};
use mintridge_standin::scene::{Plan, Scene};
use mintridge_standin::tables;
use mintridge_standin::upstream::{Behaviour, Manner};

mod flags {
    #![allow(missing_docs)]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Measures what nodes cost, on loopback; every trial ends by itself.
        cmd standin-trial {
            /// The node's binary.
            required binary: PathBuf
            /// Cost of control at rest against the number of members.
            cmd control {
                /// Numbers of members, separated by commas.
                required members: String
                /// Seconds measured, 20 by default.
                optional --seconds seconds: u64
                /// Seconds waited after all have joined, 15 by default.
                optional --settle seconds: u64
                /// One exchange in so many milliseconds, 500 by default.
                optional --period-ms millis: u64
            }
            /// Cost of one exchange against the size of the table, by plain calls.
            cmd tables {
                /// Numbers of members, separated by commas.
                required members: String
            }
            /// Added latency and processor time per call, both deployments.
            cmd path {
                /// Calls a second for each node, separated by commas.
                required rates: String
                /// Seconds for each rate, 5 by default.
                optional --seconds seconds: u64
            }
            /// Claims: calls to the store and latency against keyed calls a second.
            cmd claims {
                /// Keyed calls a second over all nodes, separated by commas.
                required rates: String
            }
            /// Memory of 1,000 requests in progress.
            cmd memory {}
            /// Time until a preset is in force on every node.
            cmd presets {
                /// Numbers of members, separated by commas.
                required members: String
            }
            /// A large client account at ten times its share beside small ones.
            cmd fairness {}
        }
    }
}

/// Hosts of a deployment, by service.
const PRESSE: [(&str, usize); 2] = [("field-service", 9), ("parts", 3)];
const WISLA: [(&str, usize); 2] = [("lots", 7), ("settlement", 4)];

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = flags::StandinTrial::from_env_or_exit();
    let binary = arguments.binary;
    match arguments.subcommand {
        flags::StandinTrialCmd::Control(control) => {
            let seconds = control.seconds.unwrap_or(20);
            let settle = control.settle.unwrap_or(15);
            if let Some(millis) = control.period_ms {
                PERIOD_MILLIS.store(millis, Ordering::Relaxed);
            }
            for members in numbers(&control.members) {
                control_cost(&binary, members, settle, seconds).await;
            }
        }
        flags::StandinTrialCmd::Tables(tables) => {
            for members in numbers(&tables.members) {
                println!("{}", tables::measure(members));
            }
        }
        flags::StandinTrialCmd::Path(path) => {
            let seconds = path.seconds.unwrap_or(5);
            path_cost(
                &binary,
                "presse-maurice",
                &PRESSE,
                &numbers(&path.rates),
                seconds,
            )
            .await;
            path_cost(&binary, "wisla", &WISLA, &numbers(&path.rates), seconds).await;
        }
        flags::StandinTrialCmd::Claims(claims) => {
            claims_cost(&binary, &numbers(&claims.rates)).await;
        }
        flags::StandinTrialCmd::Memory(_) => memory_cost(&binary).await,
        flags::StandinTrialCmd::Presets(presets) => {
            for members in numbers(&presets.members) {
                presets_time(&binary, members).await;
            }
        }
        flags::StandinTrialCmd::Fairness(_) => fairness(&binary).await,
    }
    ExitCode::SUCCESS
}

fn numbers(written: &str) -> Vec<usize> {
    written
        .split(',')
        .filter_map(|number| number.parse().ok())
        .collect()
}

/// Period of exchanges in every node, in milliseconds.
static PERIOD_MILLIS: AtomicU64 = AtomicU64::new(500);

fn adjust(settings: &mut Settings) {
    settings.logs.level = String::from("error,mintridge_node::node=info");
    let period = PERIOD_MILLIS.load(Ordering::Relaxed);
    settings.membership.period = Duration::from_millis(period);
}

async fn scene(binary: &Path, services: &[(&'static str, usize)], behaviour: Behaviour) -> Scene {
    let plan = Plan {
        services: services.to_vec(),
        behaviour,
        binary: Some(binary.to_owned()),
        adjust,
        ..Plan::default()
    };
    Scene::start(plan).await.expect("the scene starts")
}

fn quick() -> Behaviour {
    Behaviour {
        service_micros: 2_000,
        slots: 200,
        ..Behaviour::default()
    }
}

async fn control_cost(binary: &Path, members: usize, settle: u64, seconds: u64) {
    let scene = scene(binary, &[("service", members)], quick()).await;
    tokio::time::sleep(Duration::from_secs(settle)).await;
    let calls = scene.store.calls();
    let before = Cost::of(&scene).await;
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let spent = Cost::of(&scene).await.since(&before);
    let calls = cost::calls_since(&scene.store.calls(), &calls);
    println!(
        "members {members:>4}: {}, store calls/s {:.2}",
        spent.per_node(),
        calls / spent.seconds()
    );
}

async fn path_cost(
    binary: &Path,
    name: &str,
    services: &[(&'static str, usize)],
    rates: &[usize],
    seconds: u64,
) {
    let scene = scene(binary, services, quick()).await;
    let service = services[0].0;
    let upstreams: Vec<SocketAddr> = scene
        .hosts
        .iter()
        .filter(|host| &*host.service == service)
        .map(|host| host.upstream_address)
        .collect();
    for rate in rates {
        #[allow(clippy::cast_precision_loss)]
        let load = Load {
            targets: upstreams.clone(),
            rate: (rate * scene.hosts.len()) as f64,
            duration: Duration::from_secs(seconds),
            services: vec![(service.to_owned(), 1.0)],
            ..Load::default()
        };
        let straight = load::run(&load, |_| {}).await;
        let before = Cost::of(&scene).await;
        let through = load::run(
            &Load {
                targets: scene.entries(),
                ..load
            },
            |_| {},
        )
        .await;
        let spent = Cost::of(&scene).await.since(&before);
        println!(
            "{name}, {rate} calls/s a node: {}",
            added(&straight, &through)
        );
        println!(
            "  {}, processor us a call {:.0}",
            spent.per_node(),
            spent.micros_per(through.sent())
        );
    }
}

fn added(straight: &Report, through: &Report) -> String {
    let parts: Vec<String> = [("p50", 50.0), ("p99", 99.0), ("p99.9", 99.9)]
        .into_iter()
        .map(|(name, percent)| {
            let before = straight.percentile(percent).as_secs_f64() * 1e3;
            let after = through.percentile(percent).as_secs_f64() * 1e3;
            format!(
                "{name} {before:.2} -> {after:.2} (+{:.2}) ms",
                after - before
            )
        })
        .collect();
    let answered = through.outcome("answered 200");
    format!(
        "{}, answered {answered} of {}",
        parts.join(", "),
        through.sent()
    )
}

async fn claims_cost(binary: &Path, rates: &[usize]) {
    let scene = scene(binary, &PRESSE, quick()).await;
    for rate in rates {
        let before = scene.store.calls();
        #[allow(clippy::cast_precision_loss)]
        let load = Load {
            targets: scene.entries(),
            rate: *rate as f64,
            services: vec![(String::from("field-service"), 1.0)],
            unrepeatable: 1.0,
            run: format!("claims-{rate}"),
            ..Load::default()
        };
        let report = load::run(&load, |_| {}).await;
        let writes = scene.store.calls().writes - before.writes;
        println!(
            "{rate} keyed calls/s: p50 {:.2} p99 {:.2} ms, answered {} of {}, store writes {writes} in 5 s",
            report.percentile(50.0).as_secs_f64() * 1e3,
            report.percentile(99.0).as_secs_f64() * 1e3,
            report.outcome("answered 200"),
            report.sent(),
        );
    }
}

async fn memory_cost(binary: &Path) {
    let scene = scene(binary, &PRESSE, quick()).await;
    let rest = Cost::of(&scene).await;
    for index in 0..scene.hosts.len() {
        scene.behave(index, |behaviour| behaviour.manner = Manner::Silent);
    }
    let load = Load {
        targets: scene.entries(),
        rate: 1_000.0,
        duration: Duration::from_secs(1),
        services: vec![(String::from("field-service"), 1.0)],
        timeout: Duration::from_secs(8),
        ..Load::default()
    };
    let sending = tokio::spawn(async move { load::run(&load, |_| {}).await });
    tokio::time::sleep(Duration::from_secs(4)).await;
    let busy = Cost::of(&scene).await;
    let open: u64 = scene.hosts.iter().map(|s| s.upstream.account().open).sum();
    let grown = busy.resident_bytes.saturating_sub(rest.resident_bytes);
    println!(
        "at rest {} a node; {open} requests in progress take {} KiB over both nodes",
        rest.memory(),
        grown / 1024
    );
    let _ = sending.await;
}

async fn presets_time(binary: &Path, members: usize) {
    let scene = scene(binary, &[("service", members)], quick()).await;
    let mut slowest = Duration::ZERO;
    for change in 0..10_u32 {
        let preset = Preset {
            retry_share: f64::from(change) / 100.0,
            ..Preset::default()
        };
        let in_force = scene
            .put_in_force(preset, &format!("change-{change}"))
            .await;
        let accepted = Instant::now();
        let revision = in_force.expect("accepted").revision;
        scene
            .until("in force", |status| {
                status.view.in_force.revision >= revision
            })
            .await;
        slowest = slowest.max(accepted.elapsed());
    }
    println!(
        "members {members:>4}: slowest of 10 changes in force everywhere after {:.0} ms",
        slowest.as_secs_f64() * 1e3
    );
}

/// Small client accounts beside a large one that sends ten times its share.
async fn fairness(binary: &Path) {
    let behaviour = Behaviour {
        service_micros: 20_000,
        slots: 12,
        ..Behaviour::default()
    };
    let scene = scene(binary, &PRESSE, behaviour).await;
    for (name, large) in [("alone", 0.0), ("beside a large client_account", 6_000.0)] {
        let mut client_accounts: Vec<(String, f64)> =
            (0..10).map(|n| (format!("small-{n}"), 60.0)).collect();
        if large > 0.0 {
            client_accounts.push((String::from("large"), large));
        }
        let load = Load {
            targets: scene.entries(),
            rate: 600.0 + large,
            services: vec![(String::from("field-service"), 1.0)],
            client_accounts,
            timeout: Duration::from_secs(1),
            run: name.to_owned(),
            ..Load::default()
        };
        let mut small = Report::new(600.0, load.duration);
        load::run(&load, |record| {
            if record.call.client_account != "large" && record.call.method == Method::GET {
                small.add(record);
            }
        })
        .await;
        println!(
            "small client_accounts {name}: answered {} of {}, p50 {:.1} p99 {:.1} ms",
            small.outcome("answered 200"),
            small.sent(),
            small.percentile(50.0).as_secs_f64() * 1e3,
            small.percentile(99.0).as_secs_f64() * 1e3,
        );
    }
}
