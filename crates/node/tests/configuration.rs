//! A change that the store has acknowledged takes effect on every node in time, regardless of which
//! nodes can reach the store and which have just failed.

mod common;

use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{Plan, ROUTES, Scene, route, start_processes, table, write_table};
use mintridge_http::server::Phase;
use mintridge_node::settings::Settings;
use mintridge_standin::relay::{Condition, Relay};
use mintridge_standin::scene::{loopback, wait_for};
use mintridge_standin::store;
use mintridge_standin::store::member::Member;
use rstest::rstest;
use rustix::process::Signal;
use tokio::net::UdpSocket;
use tokio::sync::watch;

/// Indices of all hosts; they share one availability zone.
const ALL_HOSTS: [usize; 5] = [0, 1, 2, 3, 4];
/// Watches of the two designated readers, for the preset and for the routing table.
const READER_WATCHES: u64 = 4;
/// Time within which a change must take effect on every node.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(5);
/// Longer than any test, so that a node that has contacted a peer never counts as isolated and
/// therefore never reads the store for that reason.
const ISOLATED_AFTER: Duration = Duration::from_hours(1);

/// Starts the hosts of one zone; each node reaches the store through its own relay.
async fn start_with_relays() -> (Scene, Vec<Arc<Relay>>) {
    let (scene, relays, _members) = start_with_members().await;
    (scene, relays)
}

/// Starts the hosts of one zone; each node reaches the store through its own relay and, behind it,
/// its own member of the store.
async fn start_with_members() -> (Scene, Vec<Arc<Relay>>, Vec<Arc<Member>>) {
    let plan = Plan {
        services: vec![],
        adjust: |settings| {
            settings.routes.key = Some(String::from(ROUTES));
            settings.control.isolated_after = ISOLATED_AFTER;
            settings.control.watch_for = Duration::from_secs(12);
            settings.control.store_read_every = Duration::from_secs(30);
        },
        ..Plan::default()
    };
    let mut scene = start_processes(plan).await;
    let (mut relays, mut members) = (Vec::new(), Vec::new());
    for index in ALL_HOSTS {
        let member = Arc::new(Member::default());
        let member_address = start_member(&scene, &member).await;
        members.push(member);
        let relay = Arc::new(Relay::default());
        let (listener, address) = loopback().await.expect("a free port");
        tokio::spawn(Arc::clone(&relay).run(listener, member_address));
        relays.push(relay);
        let name = format!("service-{index}");
        let added = scene.add_with(&name, "service", "zone-a", <_>::default(), |settings| {
            settings.store.address = address;
        });
        added.await.expect("it starts");
    }
    scene.wait_until_joined().await;
    write_version(&scene, 1);
    wait_for_version(&scene, &ALL_HOSTS, 1).await;
    wait_for("the readers watch both documents", || {
        scene.store.calls().watches >= READER_WATCHES
    })
    .await;
    (scene, relays, members)
}

/// Serves the store through a member until the test ends; returns the member's address.
async fn start_member(scene: &Scene, member: &Arc<Member>) -> SocketAddr {
    let (listener, address) = loopback().await.expect("a free port");
    let (store, member) = (Arc::clone(&scene.store), Arc::clone(member));
    tokio::spawn(async move {
        let phase = watch::Sender::new(Phase::Open);
        store::run_member(listener, store, member, phase.subscribe()).await;
    });
    address
}

fn write_version(scene: &Scene, version: u64) {
    write_table(scene, &table(version, vec![route("/")]));
}

async fn wait_for_version(scene: &Scene, hosts: &[usize], version: u64) {
    scene
        .wait_until_on(hosts, "the version is in force", |status| {
            status.routes_version == version
        })
        .await;
}

/// Returns the designated readers of the store, and the other nodes.
async fn readers(scene: &Scene) -> (Vec<usize>, Vec<usize>) {
    let mut readers = Vec::new();
    let mut others = Vec::new();
    for index in ALL_HOSTS {
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

/// Writes a change and checks that it takes effect on these nodes in time.
async fn check_change_is_in_force_in_time(scene: &Scene, hosts: &[usize]) {
    let written_at = Instant::now();
    write_version(scene, 2);
    wait_for_version(scene, hosts, 2).await;
    let took = written_at.elapsed();
    assert!(took < IN_FORCE_TIMEOUT, "{took:?}");
}

/// Guards against a zone whose designated readers cannot reach the store while other nodes can.
#[rstest]
#[case::silently(Condition::Silent)]
#[case::by_resets(Condition::Cut)]
#[tokio::test]
async fn change_is_in_force_when_no_reader_reaches_the_store(#[case] condition: Condition) {
    let (scene, relays) = start_with_relays().await;
    let (readers, _) = readers(&scene).await;
    for reader in readers {
        relays[reader].set(condition);
    }
    check_change_is_in_force_in_time(&scene, &ALL_HOSTS).await;
}

/// Guards against a zone whose designated readers all stop responding just before a change. They
/// are paused with SIGSTOP.
#[tokio::test]
async fn change_is_in_force_when_all_readers_have_just_stopped() {
    let (scene, _relays) = start_with_relays().await;
    let (readers, others) = readers(&scene).await;
    for reader in readers {
        let stopped = scene.process(reader).signal(Signal::STOP);
        stopped.expect("it gets the signal");
    }
    check_change_is_in_force_in_time(&scene, &others).await;
}

/// Guards against a change that is delayed by a watch whose open connection no longer delivers any
/// data.
#[tokio::test]
async fn change_is_in_force_when_store_connections_go_silent() {
    let (scene, relays) = start_with_relays().await;
    for relay in relays {
        relay.stall_open_connections();
    }
    check_change_is_in_force_in_time(&scene, &ALL_HOSTS).await;
}

/// Guards against a change that is delayed by watches whose open connections no longer deliver any
/// data, while all other connections to the store work.
#[tokio::test]
async fn change_is_in_force_when_only_watches_go_silent() {
    let (scene, relays) = start_with_relays().await;
    for relay in relays {
        relay.stall_open_watches();
    }
    check_change_is_in_force_in_time(&scene, &ALL_HOSTS).await;
}

/// Guards against readers that keep their duty while the store answers them stale reads and nothing
/// else.
#[tokio::test]
async fn change_is_in_force_when_readers_get_only_stale_reads() {
    let (scene, _relays, members) = start_with_members().await;
    let (readers, _) = readers(&scene).await;
    for reader in readers {
        members[reader].partition(&scene.store);
    }
    check_change_is_in_force_in_time(&scene, &ALL_HOSTS).await;
}

/// Guards against a node that is told of a newer version and cannot fetch it from the reader that
/// reports it.
#[tokio::test]
async fn change_is_in_force_when_a_reader_reports_it_and_passes_nothing_on() {
    let (scene, relays) = start_with_relays().await;
    let (readers, others) = readers(&scene).await;
    for reader in &readers {
        relays[*reader].set(Condition::Silent);
    }
    let report = format!(
        r#"{{"host":"service-{}","age_millis":0,"preset":0,"routes":2}}"#,
        readers[0]
    );
    let nodes: Vec<SocketAddr> = others.iter().map(|n| scene.addresses(*n).control).collect();
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let reporting = tokio::spawn(async move {
        loop {
            for node in &nodes {
                let sent = socket.send_to(report.as_bytes(), node).await;
                sent.expect("the report is sent");
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    });
    check_change_is_in_force_in_time(&scene, &ALL_HOSTS).await;
    reporting.abort();
}

/// Columns of `/proc/<pid>/net/tcp`: remote address, connection state and active timer.
const REMOTE: usize = 2;
const STATE: usize = 3;
const TIMER: usize = 5;
const ESTABLISHED: &str = "01";
/// Prefix of the timer column while unacknowledged data awaits retransmission.
const RETRANSMIT_TIMER: &str = "01:";
/// Kind of the timer that sends keep-alive probes on an idle connection.
const KEEP_ALIVE_TIMER: &str = "02";
/// Kernel ticks until a silent watch must get its first keep-alive probe: one second.
const MAX_PROBE_DELAY_TICKS: u64 = 100;

/// Returns the timers of a process's idle connections to a peer. A connection that awaits an
/// acknowledgement, which may be delayed by 40 ms, has a retransmission timer instead.
async fn idle_timers(process: u32, peer: &str) -> Vec<String> {
    let give_up_at = Instant::now() + IN_FORCE_TIMEOUT;
    loop {
        let table = fs::read_to_string(format!("/proc/{process}/net/tcp"));
        let table = table.expect("connections");
        let timers: Vec<String> = table
            .lines()
            .map(|line| line.split_whitespace().collect::<Vec<_>>())
            .filter(|columns| columns[REMOTE] == peer && columns[STATE] == ESTABLISHED)
            .map(|columns| columns[TIMER].to_owned())
            .filter(|timer| !timer.starts_with(RETRANSMIT_TIMER))
            .collect();
        if !timers.is_empty() {
            return timers;
        }
        let is_over = Instant::now() >= give_up_at;
        assert!(!is_over, "no idle connection to the store");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Returns the address of the store as the table of connections has it, from a node's settings.
fn store_column(scene: &Scene, index: usize) -> String {
    let settings = scene.process(index).settings().expect("its settings");
    let settings: Settings = json5::from_str(&settings).expect("settings");
    format!("0100007F:{:04X}", settings.store.address.port())
}

fn check_probes_are_due_soon(timers: &[String]) {
    for timer in timers {
        let (kind, due) = timer.split_once(':').expect("a timer");
        let due = u64::from_str_radix(due, 16).expect("ticks");
        assert_eq!(kind, KEEP_ALIVE_TIMER, "{timer}");
        assert!(due <= MAX_PROBE_DELAY_TICKS, "{timer}");
    }
}

/// Guards against a watch on which the second keep-alive probe follows the first only after minutes,
/// so that a connection that has gone silent stays open.
#[tokio::test]
async fn store_watches_repeat_keep_alive_probes() {
    let (scene, _relays) = start_with_relays().await;
    let (readers, _) = readers(&scene).await;
    let until = Instant::now() + Duration::from_secs(4);
    while Instant::now() < until {
        for reader in &readers {
            let process = scene.process(*reader).id();
            check_probes_are_due_soon(&idle_timers(process, &store_column(&scene, *reader)).await);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a watch whose connection goes silent while checks on another connection succeed,
/// so that only keep-alive probes can detect it.
#[tokio::test]
async fn store_watches_send_keep_alive_probes() {
    let (scene, _relays) = start_with_relays().await;
    let (readers, _) = readers(&scene).await;
    for reader in readers {
        let process = scene.process(reader).id();
        check_probes_are_due_soon(&idle_timers(process, &store_column(&scene, reader)).await);
    }
}
