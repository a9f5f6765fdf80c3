//! A change that the store has acknowledged is in force on every node in time, whichever nodes
//! the store serves and whichever have just ended.

mod common;

use std::fs;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{Plan, ROUTES, Scene, processes, route, table, write_table};
use mintridge_node::settings::Settings;
use mintridge_standin::relay::{Condition, Relay};
use mintridge_standin::scene::loopback;
use rstest::rstest;
use rustix::process::Signal;

/// Hosts of the one availability zone.
const ALL: [usize; 5] = [0, 1, 2, 3, 4];
/// Time in which a change is in force everywhere.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(5);
/// A node that hears its peers does not turn to the store for want of them.
const NEVER: Duration = Duration::from_hours(1);

/// Hosts of one zone; each node reaches the store through a relay of its own.
async fn relayed_stores() -> (Scene, Vec<Arc<Relay>>) {
    let plan = Plan {
        services: vec![],
        adjust: |settings| {
            settings.routes.key = Some(String::from(ROUTES));
            settings.control.isolated_after = NEVER;
            settings.control.watch_for = Duration::from_secs(12);
            settings.control.store_read_every = Duration::from_secs(30);
        },
        ..Plan::default()
    };
    let mut scene = processes(plan).await;
    let mut relays = Vec::new();
    for index in ALL {
        let relay = Arc::new(Relay::default());
        let (listener, address) = loopback().await.expect("a free port");
        tokio::spawn(Arc::clone(&relay).run(listener, scene.store_address));
        relays.push(relay);
        let name = format!("service-{index}");
        let added = scene.add_with(&name, "service", "zone-a", <_>::default(), |settings| {
            settings.store.address = address;
        });
        added.await.expect("it starts");
    }
    scene.until_joined().await;
    write(&scene, 1);
    until_version(&scene, &ALL, 1).await;
    (scene, relays)
}

fn write(scene: &Scene, version: u64) {
    write_table(scene, &table(version, vec![route("/")]));
}

async fn until_version(scene: &Scene, of: &[usize], version: u64) {
    scene
        .until_of(of, "the version is in force", |status| {
            status.routes_version == version
        })
        .await;
}

/// Nodes that read the store for the others, and the others.
async fn readers(scene: &Scene) -> (Vec<usize>, Vec<usize>) {
    let mut readers = Vec::new();
    let mut others = Vec::new();
    for index in ALL {
        let status = scene.status(index).await.expect("it answers");
        let group = if status.view.holder {
            &mut readers
        } else {
            &mut others
        };
        group.push(index);
    }
    assert_eq!((readers.len(), others.len()), (2, 3));
    (readers, others)
}

/// Writes a change, and checks that these nodes have it in force in time.
async fn change_is_in_force_in_time(scene: &Scene, of: &[usize]) {
    let written_at = Instant::now();
    write(scene, 2);
    until_version(scene, of, 2).await;
    let took = written_at.elapsed();
    assert!(took < IN_FORCE_WITHIN, "{took:?}");
}

/// Guards against a zone whose regular readers the store turns away while it serves the others.
#[rstest]
#[case::silently(Condition::Silent)]
#[case::by_resets(Condition::Cut)]
#[tokio::test]
async fn change_is_in_force_though_all_readers_are_turned_away(#[case] condition: Condition) {
    let (scene, relays) = relayed_stores().await;
    let (readers, _) = readers(&scene).await;
    for reader in readers {
        relays[reader].set(condition);
    }
    change_is_in_force_in_time(&scene, &ALL).await;
}

/// Guards against a zone whose regular readers all end at the moment of a change.
#[tokio::test]
async fn change_is_in_force_though_all_readers_have_just_ended() {
    let (scene, _relays) = relayed_stores().await;
    let (readers, others) = readers(&scene).await;
    for reader in readers {
        let stopped = scene.process(reader).signal(Signal::STOP);
        stopped.expect("it gets the signal");
    }
    change_is_in_force_in_time(&scene, &others).await;
}

/// Guards against a change that waits for a watch whose connection has fallen silent for good.
#[tokio::test]
async fn change_is_in_force_though_connections_to_the_store_fell_silent() {
    let (scene, relays) = relayed_stores().await;
    for relay in relays {
        relay.lose_open_connections();
    }
    change_is_in_force_in_time(&scene, &ALL).await;
}

/// Columns of the system's table of connections: the other end, the state, the timer that runs.
const PEER: usize = 2;
const STATE: usize = 3;
const TIMER: usize = 5;
const ESTABLISHED: &str = "01";
/// A timer that repeats what was not acknowledged yet.
const RETRANSMIT: &str = "01:";
/// A timer that probes an idle connection.
const KEEP_ALIVE: &str = "02";
/// Kernel ticks in which a watch that fell silent alone has to be probed first: a second.
const PROBED_WITHIN_TICKS: u64 = 100;

/// Guards against a watch that falls silent alone, while checks on another connection are answered.
#[tokio::test]
async fn watches_of_the_store_are_probed() {
    let (scene, _relays) = relayed_stores().await;
    let (readers, _) = readers(&scene).await;
    for reader in readers {
        let process = scene.process(reader);
        let settings = process.settings().expect("its settings");
        let settings: Settings = json5::from_str(&settings).expect("settings");
        let peer = format!("0100007F:{:04X}", settings.store.address.port());
        let table = fs::read_to_string(format!("/proc/{}/net/tcp", process.id()));
        let table = table.expect("connections");
        let timers: Vec<&str> = table
            .lines()
            .map(|line| line.split_whitespace().collect::<Vec<_>>())
            .filter(|columns| columns[PEER] == peer && columns[STATE] == ESTABLISHED)
            .map(|columns| columns[TIMER])
            .filter(|timer| !timer.starts_with(RETRANSMIT))
            .collect();
        assert!(!timers.is_empty(), "no connection to the store");
        for timer in timers {
            let (kind, due) = timer.split_once(':').expect("a timer");
            let due = u64::from_str_radix(due, 16).expect("ticks");
            assert_eq!(kind, KEEP_ALIVE, "{timer}");
            assert!(due <= PROBED_WITHIN_TICKS, "{timer}");
        }
    }
}
