//! Helpers shared by the tests of this crate: scenes, calls, and load whose replies are checked.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use hyper::Method;
use mintridge_bench::caller::{Call, Reply};
use mintridge_bench::load::{self, Plan as Load};
use mintridge_core::outcome::Reason;
use mintridge_core::preset::Preset;
use mintridge_core::route::{Destination, Kind, Route, Table, Version};
use mintridge_node::operators::Status;
use mintridge_standin::relay::Relay;
use mintridge_standin::scene::loopback;
pub use mintridge_standin::scene::{Plan, Scene};
use mintridge_standin::upstream::{Echo, Mode};
use socket2::{Domain, Socket, Type};

/// Starts a scene in which the nodes run as threads of this process.
pub async fn start_threads(plan: Plan) -> Scene {
    Scene::start(plan).await.expect("the scene starts")
}

/// Starts a scene in which each node is a separate process.
pub async fn start_processes(plan: Plan) -> Scene {
    let binary = Some(PathBuf::from(env!("CARGO_BIN_EXE_mintridge-node")));
    start_threads(Plan { binary, ..plan }).await
}

/// Starts a scene of processes with `count` hosts of one service, followed by a host of another
/// service whose node is used as a separate entry.
pub async fn start_processes_with_entry(count: usize) -> Scene {
    let mut scene = start_processes(hosts(count)).await;
    add_entry(&mut scene).await;
    scene.wait_until_joined().await;
    scene
}

/// Adds a host of another service, whose node is used as a separate entry.
pub async fn add_entry(scene: &mut Scene) {
    let added = scene
        .add("entry-1", "other", "zone-b", <_>::default())
        .await;
    added.expect("it starts");
}

/// Returns the plan of a scene with `count` hosts of one service.
pub fn hosts(count: usize) -> Plan {
    Plan {
        services: vec![("service", count)],
        ..Plan::default()
    }
}

/// Starts a server in place of an upstream; `answer` handles each connection on its own thread.
pub fn serve_connections(answer: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let answer = Arc::new(answer);
    std::thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let answer = Arc::clone(&answer);
            std::thread::spawn(move || answer(stream));
        }
    });
    address
}

/// Returns a listener that accepts no further connections, and the connections that fill its
/// backlog.
pub fn full_listener() -> (SocketAddr, TcpListener, Vec<TcpStream>) {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    listener.bind(&any.into()).expect("a port");
    listener.listen(0).expect("it listens");
    let listener = TcpListener::from(listener);
    let address = listener.local_addr().expect("an address");
    let timeout = Duration::from_millis(100);
    let waiting = (0..4).map_while(|_| TcpStream::connect_timeout(&address, timeout).ok());
    let waiting = waiting.collect();
    (address, listener, waiting)
}

/// Returns a route to the service for paths with this prefix.
pub fn route(prefix: &str) -> Route {
    Route {
        name: Arc::from(prefix),
        prefix: Arc::from(prefix),
        kind: Kind::Idempotent,
        parts: vec![Destination {
            service: Arc::from("service"),
            weight: 1,
        }],
        timeout: Duration::from_secs(5),
        target_latency: Duration::from_secs(1),
        attempts: 2,
        priority: 0,
        anonymous: false,
    }
}

/// Store key of the routing table.
pub const ROUTES: &str = "operators/routes";

/// Returns a routing table with these routes.
pub fn table(version: u64, routes: Vec<Route>) -> Table {
    Table {
        version: Version(version),
        hosts: BTreeMap::from([(Arc::from("127.0.0.1"), routes)]),
        ..Table::default()
    }
}

/// Writes a routing table to the store as operators do; returns its length in bytes.
pub fn write_table(scene: &Scene, table: &Table) -> usize {
    let serialized = serde_json::to_vec(table).expect("it is serialized");
    scene.store.overwrite(ROUTES, &serialized);
    serialized.len()
}

/// Waits until this version of the routing table is in force on all nodes.
pub async fn wait_for_version(scene: &Scene, version: u64) {
    scene
        .wait_until("the version is in force everywhere", |status| {
            status.routes_version == version
        })
        .await;
}

/// Waits until each entry refuses the call as not run for this reason.
pub async fn wait_for_reason(scene: &Scene, call: &Call, expected: Reason) {
    let deadline = Instant::now() + Duration::from_mins(1);
    for entry in 0..scene.hosts.len() {
        loop {
            let reply = scene.call(entry, call).await;
            assert!(reply.is_not_run(), "{reply:?}");
            if matches!(reply, Reply::Refused { reason, .. } if reason == expected) {
                break;
            }
            assert!(Instant::now() < deadline, "entry {entry}: {reply:?}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Returns a repeatable call.
pub fn get(id: &str) -> Call {
    Call {
        id: id.to_owned(),
        ..Call::default()
    }
}

/// Returns an unrepeatable call with an idempotency key.
pub fn post(id: &str, key: &str) -> Call {
    Call {
        id: id.to_owned(),
        method: Method::POST,
        key: Some(key.to_owned()),
        ..Call::default()
    }
}

/// Returns an unrepeatable call without an idempotency key.
pub fn post_without_key(id: &str) -> Call {
    Call {
        id: id.to_owned(),
        method: Method::POST,
        ..Call::default()
    }
}

/// Returns the call with this timeout.
pub fn with_timeout(millis: u64, call: Call) -> Call {
    Call {
        timeout: Duration::from_millis(millis),
        ..call
    }
}

/// Sets this mode for every upstream.
pub fn set_all_modes(scene: &Scene, mode: Mode) {
    for index in 0..scene.hosts.len() {
        scene.update_behaviour(index, |behaviour| behaviour.manner = mode);
    }
}

/// Returns the total number of runs of these request IDs.
pub fn total_runs(scene: &Scene, ids: &[&str]) -> u32 {
    ids.iter().map(|id| scene.runs(id)).sum()
}

/// Indices of the host behind the relay, and of the entry that reaches that host through the relay.
pub const RELAYED: usize = 1;
pub const ENTRY: usize = 2;

/// Starts a service of one host, whose peer port all others reach through a relay, and a separate
/// entry.
pub async fn relayed() -> (Scene, Arc<Relay>) {
    let mut scene = start_threads(hosts(1)).await;
    let relay = Arc::new(Relay::default());
    let (listener, address) = loopback().await.expect("a free port");
    let behind = scene.add_with("behind", "service", "zone-a", <_>::default(), |settings| {
        settings.listeners.peers_public = Some(address);
    });
    behind.await.expect("it starts");
    let target = scene.addresses(RELAYED).peers;
    tokio::spawn(Arc::clone(&relay).run(listener, target));
    scene.wait_until_joined().await;
    scene.stop(0).await;
    add_entry(&mut scene).await;
    wait_until_relayed_known(&scene, ENTRY).await;
    (scene, relay)
}

/// Waits until the node at `index` knows the host behind the relay.
pub async fn wait_until_relayed_known(scene: &Scene, index: usize) {
    let knows = |status: &Status| status.seen.iter().any(|seen| &*seen.host == "behind");
    scene
        .wait_until_on(&[index], "the entry knows the host", knows)
        .await;
}

/// Returns a preset that differs from the default only in its retry share.
pub fn preset(retry_share: f64) -> Preset {
    Preset {
        retry_share,
        ..Preset::default()
    }
}

/// Waits until this revision or a later one is in force on every node.
pub async fn until_revision(scene: &Scene, revision: u64) {
    scene
        .wait_until("the revision is in force everywhere", |status| {
            status.view.in_force.revision.0 >= revision
        })
        .await;
}

/// Replies that callers received under load, to be checked against the requests that ran.
#[derive(Default)]
pub struct Replies {
    pub replies: HashMap<String, Reply>,
    pub unrepeatable: Vec<String>,
}

impl Replies {
    /// Sends load and records the replies to the callers.
    pub async fn run(&mut self, plan: &Load) {
        load::run(plan, |record| {
            let id = record.call.id.clone();
            if record.call.key.is_some() {
                self.unrepeatable.push(id.clone());
            }
            self.replies.insert(id, record.timed_reply.reply.clone());
        })
        .await;
    }

    /// Checks every reply against what the upstreams recorded.
    pub fn check(&self, scene: &Scene) {
        for (id, reply) in &self.replies {
            if reply.is_not_run() {
                assert_eq!(scene.runs(id), 0, "{id} was refused as not run: {reply:?}");
            }
            if let Reply::Answer { body, status, .. } = reply
                && status.is_success()
            {
                let answer = Echo::parse(body).expect("an answer of the stand-in");
                assert_eq!(&answer.id, id, "the response belongs to another request");
            }
        }
        for id in &self.unrepeatable {
            assert!(scene.runs(id) <= 1, "{id} ran twice");
        }
    }

    /// Returns the number of replies of this kind.
    pub fn count(&self, kind: impl Fn(&Reply) -> bool) -> usize {
        self.replies.values().filter(|reply| kind(reply)).count()
    }

    /// Asserts that every request succeeded.
    pub fn all_succeeded(&self) {
        let failed: Vec<_> = self
            .replies
            .iter()
            .filter(|(_, reply)| !reply.is_success())
            .take(5)
            .collect();
        assert!(failed.is_empty(), "of {}: {failed:?}", self.replies.len());
    }
}

/// Returns load on all entries, a fifth of it unrepeatable, with idempotency keys that were never
/// used before.
pub fn mixed_load(scene: &Scene, rate: f64, seconds: f64) -> Load {
    static RUNS: AtomicU32 = AtomicU32::new(0);
    Load {
        run: format!("run-{}", RUNS.fetch_add(1, Ordering::Relaxed)),
        targets: scene.entries(),
        rate,
        duration: Duration::from_secs_f64(seconds),
        unrepeatable: 0.2,
        ..Load::default()
    }
}

/// Returns whether the caller got no complete response.
pub const fn is_broken(reply: &Reply) -> bool {
    matches!(
        reply,
        Reply::NoConnection | Reply::Broken { .. } | Reply::TimedOut
    )
}
