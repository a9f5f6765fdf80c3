//! `standin-trial`: measures the resource use and added latency of nodes that run as real processes
//! on the loopback interface.

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
use mintridge_standin::upstream::{Behaviour, Mode};

mod flags {
    #![allow(missing_docs)]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Measures the cost of nodes on loopback; every trial ends by itself.
        cmd standin-trial {
            /// The node's binary.
            required binary: PathBuf
            /// Cost of control traffic without load, by number of members.
            cmd control {
                /// Numbers of members, separated by commas.
                required members: String
                /// Duration of the measurement in seconds, 20 by default.
                optional --seconds seconds: u64
                /// Seconds between the join of all members and the measurement, 15 by default.
                optional --settle seconds: u64
                /// Interval of exchanges in milliseconds, 500 by default.
                optional --period-ms millis: u64
            }
            /// Cost of one exchange by size of the membership table, without a network.
            cmd tables {
                /// Numbers of members, separated by commas.
                required members: String
            }
            /// Added latency and processor time per call, in both deployments.
            cmd path {
                /// Calls per second and node, separated by commas.
                required rates: String
                /// Duration of the load at each rate in seconds, 5 by default.
                optional --seconds seconds: u64
            }
            /// Claims: writes to the store and latency, by rate of calls with an idempotency key.
            cmd claims {
                /// Calls with an idempotency key per second over all nodes, separated by commas.
                required rates: String
            }
            /// Memory use of 1,000 requests in progress.
            cmd memory {}
            /// Time until a preset is in force on every node.
            cmd presets {
                /// Numbers of members, separated by commas.
                required members: String
            }
            /// Latency of small client accounts beside a large one that sends ten times its share.
            cmd fairness {}
        }
    }
}

/// Services of the two simulated deployments, each with its number of hosts.
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
                EXCHANGE_INTERVAL_MILLIS.store(millis, Ordering::Relaxed);
            }
            for members in parse_numbers(&control.members) {
                control_cost(&binary, members, settle, seconds).await;
            }
        }
        flags::StandinTrialCmd::Tables(tables) => {
            for members in parse_numbers(&tables.members) {
                println!("{}", tables::measure(members));
            }
        }
        flags::StandinTrialCmd::Path(path) => {
            let seconds = path.seconds.unwrap_or(5);
            path_cost(
                &binary,
                "presse-maurice",
                &PRESSE,
                &parse_numbers(&path.rates),
                seconds,
            )
            .await;
            path_cost(
                &binary,
                "wisla",
                &WISLA,
                &parse_numbers(&path.rates),
                seconds,
            )
            .await;
        }
        flags::StandinTrialCmd::Claims(claims) => {
            claims_cost(&binary, &parse_numbers(&claims.rates)).await;
        }
        flags::StandinTrialCmd::Memory(_) => memory_cost(&binary).await,
        flags::StandinTrialCmd::Presets(presets) => {
            for members in parse_numbers(&presets.members) {
                preset_activation_time(&binary, members).await;
            }
        }
        flags::StandinTrialCmd::Fairness(_) => fairness(&binary).await,
    }
    ExitCode::SUCCESS
}

fn parse_numbers(list: &str) -> Vec<usize> {
    list.split(',')
        .filter_map(|number| number.parse().ok())
        .collect()
}

/// Interval of membership exchanges of every node, in milliseconds.
static EXCHANGE_INTERVAL_MILLIS: AtomicU64 = AtomicU64::new(500);

fn adjust(settings: &mut Settings) {
    settings.logs.level = String::from("error,mintridge_node::node=info");
    let period = EXCHANGE_INTERVAL_MILLIS.load(Ordering::Relaxed);
    settings.membership.period = Duration::from_millis(period);
}

async fn start_scene(
    binary: &Path,
    services: &[(&'static str, usize)],
    behaviour: Behaviour,
) -> Scene {
    let plan = Plan {
        services: services.to_vec(),
        behaviour,
        binary: Some(binary.to_owned()),
        adjust,
        ..Plan::default()
    };
    Scene::start(plan).await.expect("the scene starts")
}

fn fast_behaviour() -> Behaviour {
    Behaviour {
        service_micros: 2_000,
        slots: 200,
        ..Behaviour::default()
    }
}

async fn control_cost(binary: &Path, members: usize, settle: u64, seconds: u64) {
    let scene = start_scene(binary, &[("service", members)], fast_behaviour()).await;
    tokio::time::sleep(Duration::from_secs(settle)).await;
    let calls = scene.store.calls();
    let before = Cost::read(&scene).await;
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let usage = Cost::read(&scene).await.since(&before);
    let calls = cost::calls_since(&scene.store.calls(), &calls);
    println!(
        "members {members:>4}: {}, store calls/s {:.2}",
        usage.per_node(),
        calls / usage.seconds()
    );
}

async fn path_cost(
    binary: &Path,
    name: &str,
    services: &[(&'static str, usize)],
    rates: &[usize],
    seconds: u64,
) {
    let scene = start_scene(binary, services, fast_behaviour()).await;
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
        let direct = load::run(&load, |_| {}).await;
        let before = Cost::read(&scene).await;
        let routed = load::run(
            &Load {
                targets: scene.entries(),
                ..load
            },
            |_| {},
        )
        .await;
        let usage = Cost::read(&scene).await.since(&before);
        println!(
            "{name}, {rate} calls/s a node: {}",
            added_latency(&direct, &routed)
        );
        println!(
            "  {}, processor us a call {:.0}",
            usage.per_node(),
            usage.micros_per(routed.sent())
        );
    }
}

fn added_latency(direct: &Report, routed: &Report) -> String {
    let parts: Vec<String> = [("p50", 50.0), ("p99", 99.0), ("p99.9", 99.9)]
        .into_iter()
        .map(|(name, percent)| {
            let direct_ms = direct.percentile(percent).as_secs_f64() * 1e3;
            let routed_ms = routed.percentile(percent).as_secs_f64() * 1e3;
            format!(
                "{name} {direct_ms:.2} -> {routed_ms:.2} (+{:.2}) ms",
                routed_ms - direct_ms
            )
        })
        .collect();
    let answered = routed.outcome("answered 200");
    format!(
        "{}, answered {answered} of {}",
        parts.join(", "),
        routed.sent()
    )
}

async fn claims_cost(binary: &Path, rates: &[usize]) {
    let scene = start_scene(binary, &PRESSE, fast_behaviour()).await;
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
    let scene = start_scene(binary, &PRESSE, fast_behaviour()).await;
    let idle = Cost::read(&scene).await;
    for index in 0..scene.hosts.len() {
        scene.update_behaviour(index, |behaviour| behaviour.manner = Mode::Silent);
    }
    let load = Load {
        targets: scene.entries(),
        rate: 1_000.0,
        duration: Duration::from_secs(1),
        services: vec![(String::from("field-service"), 1.0)],
        timeout: Duration::from_secs(8),
        ..Load::default()
    };
    let load_task = tokio::spawn(async move { load::run(&load, |_| {}).await });
    tokio::time::sleep(Duration::from_secs(4)).await;
    let busy = Cost::read(&scene).await;
    let open: u64 = scene
        .hosts
        .iter()
        .map(|host| host.upstream.counts().open)
        .sum();
    let added_bytes = busy.resident_bytes.saturating_sub(idle.resident_bytes);
    println!(
        "at rest {} a node; {open} requests in progress take {} KiB over both nodes",
        idle.memory(),
        added_bytes / 1024
    );
    let _ = load_task.await;
}

async fn preset_activation_time(binary: &Path, members: usize) {
    let scene = start_scene(binary, &[("service", members)], fast_behaviour()).await;
    let mut slowest = Duration::ZERO;
    for change in 0..10_u32 {
        let preset = Preset {
            retry_share: f64::from(change) / 100.0,
            ..Preset::default()
        };
        let in_force = scene
            .activate_preset(preset, &format!("change-{change}"))
            .await;
        let accepted_at = Instant::now();
        let revision = in_force.expect("accepted").revision;
        scene
            .wait_until("in force", |status| {
                status.view.in_force.revision >= revision
            })
            .await;
        slowest = slowest.max(accepted_at.elapsed());
    }
    println!(
        "members {members:>4}: slowest of 10 changes in force everywhere after {:.0} ms",
        slowest.as_secs_f64() * 1e3
    );
}

/// Measures small client accounts alone, and beside a large one that sends ten times its share.
async fn fairness(binary: &Path) {
    let behaviour = Behaviour {
        service_micros: 20_000,
        slots: 12,
        ..Behaviour::default()
    };
    let scene = start_scene(binary, &PRESSE, behaviour).await;
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
