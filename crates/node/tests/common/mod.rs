//! The one helper of these tests: scenes, calls, and load with an account.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use hyper::Method;
use mintridge_bench::caller::{Call, Told};
use mintridge_bench::load::{self, Plan as Load};
use mintridge_core::preset::Preset;
use mintridge_core::route::{Destination, Kind, Route, Table, Version};
use mintridge_node::operators::Status;
use mintridge_standin::relay::Relay;
use mintridge_standin::scene::loopback;
pub use mintridge_standin::scene::{Plan, Scene};
use mintridge_standin::upstream::{Manner, Result as Answer};
use socket2::{Domain, Socket, Type};

/// A scene with each node as threads of this process.
pub async fn threads(plan: Plan) -> Scene {
    Scene::start(plan).await.expect("the scene starts")
}

/// A scene with each node as a process of its own.
pub async fn processes(plan: Plan) -> Scene {
    let binary = Some(PathBuf::from(env!("CARGO_BIN_EXE_mintridge-node")));
    threads(Plan { binary, ..plan }).await
}

/// A scene of processes with this many hosts of one service, and after them one more
/// host of another service, whose node is an entry apart from them all.
pub async fn processes_and_entry(count: usize) -> Scene {
    let mut scene = processes(hosts(count)).await;
    add_entry(&mut scene).await;
    scene.until_joined().await;
    scene
}

/// Adds a host of another service.
pub async fn add_entry(scene: &mut Scene) {
    let added = scene
        .add("entry-1", "other", "zone-b", <_>::default())
        .await;
    added.expect("it starts");
}

/// A scene with this many hosts of one service.
pub fn hosts(count: usize) -> Plan {
    Plan {
        services: vec![("service", count)],
        ..Plan::default()
    }
}

/// A server in place of an upstream: each connection is answered on a thread of its own.
pub fn answering(answer: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
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

/// A listener that takes no further connection, and the connections that fill its queue.
pub fn full() -> (SocketAddr, TcpListener, Vec<TcpStream>) {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    listener.bind(&any.into()).expect("a port");
    listener.listen(0).expect("it listens");
    let listener = TcpListener::from(listener);
    let address = listener.local_addr().expect("an address");
    let within = Duration::from_millis(100);
    let waiting = (0..4).map_while(|_| TcpStream::connect_timeout(&address, within).ok());
    let waiting = waiting.collect();
    (address, listener, waiting)
}

/// A route to the service, by the beginning of the path.
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
    }
}

/// Key of the routing table.
pub const ROUTES: &str = "operators/routes";

/// A table with these routes.
pub fn table(version: u64, routes: Vec<Route>) -> Table {
    Table {
        version: Version(version),
        hosts: BTreeMap::from([(Arc::from("127.0.0.1"), routes)]),
        ..Table::default()
    }
}

/// Writes a table as operators do; its length in bytes.
pub fn write_table(scene: &Scene, table: &Table) -> usize {
    let written = serde_json::to_vec(table).expect("it is written");
    scene.store.overwrite(ROUTES, &written);
    written.len()
}

/// A repeatable call.
pub fn get(id: &str) -> Call {
    Call {
        id: id.to_owned(),
        ..Call::default()
    }
}

/// An unrepeatable call with an idempotency key.
pub fn post(id: &str, key: &str) -> Call {
    Call {
        id: id.to_owned(),
        method: Method::POST,
        key: Some(key.to_owned()),
        ..Call::default()
    }
}

/// An unrepeatable call without a key.
pub fn bare_post(id: &str) -> Call {
    Call {
        id: id.to_owned(),
        method: Method::POST,
        ..Call::default()
    }
}

/// The same call with so much time allowed.
pub fn within(millis: u64, call: Call) -> Call {
    Call {
        timeout: Duration::from_millis(millis),
        ..call
    }
}

/// Gives every upstream this manner.
pub fn all_behave(scene: &Scene, manner: Manner) {
    for index in 0..scene.hosts.len() {
        scene.behave(index, |behaviour| behaviour.manner = manner);
    }
}

/// Runs of several ids together.
pub fn runs(scene: &Scene, ids: &[&str]) -> u32 {
    ids.iter().map(|id| scene.runs(id)).sum()
}

/// Index of the host behind the relay, and of the entry that reaches it through it.
pub const BEHIND: usize = 1;
pub const ENTRY: usize = 2;

/// A service of one host, whose peer port all others reach through a relay, and an
/// entry apart from it.
pub async fn relayed() -> (Scene, Arc<Relay>) {
    let mut scene = threads(hosts(1)).await;
    let relay = Arc::new(Relay::default());
    let (listener, address) = loopback().await.expect("a free port");
    let behind = scene.add_with("behind", "service", "zone-a", <_>::default(), |settings| {
        settings.listeners.peers_public = Some(address);
    });
    behind.await.expect("it starts");
    let target = scene.addresses(BEHIND).peers;
    tokio::spawn(Arc::clone(&relay).run(listener, target));
    scene.until_joined().await;
    scene.stop(0).await;
    add_entry(&mut scene).await;
    until_known_behind(&scene, ENTRY).await;
    (scene, relay)
}

/// Waits until the node of a host knows the one behind the relay.
pub async fn until_known_behind(scene: &Scene, index: usize) {
    let knows = |status: &Status| status.seen.iter().any(|seen| &*seen.host == "behind");
    scene
        .until_of(&[index], "the entry knows the host", knows)
        .await;
}

/// A preset that differs from the default in one value.
pub fn preset(retry_share: f64) -> Preset {
    Preset {
        retry_share,
        ..Preset::default()
    }
}

/// Waits until every node shows this revision or a later one.
pub async fn until_revision(scene: &Scene, revision: u64) {
    scene
        .until("the revision is in force everywhere", |status| {
            status.view.in_force.revision.0 >= revision
        })
        .await;
}

/// What callers were told under load, to be checked against what ran.
#[derive(Default)]
pub struct Account {
    pub told: HashMap<String, Told>,
    pub unrepeatable: Vec<String>,
}

impl Account {
    /// Sends load and notes what callers were told.
    pub async fn run(&mut self, plan: &Load) {
        load::run(plan, |record| {
            let id = record.call.id.clone();
            if record.call.key.is_some() {
                self.unrepeatable.push(id.clone());
            }
            self.told.insert(id, record.heard.told.clone());
        })
        .await;
    }

    /// Checks every answer against the accounts of the upstreams.
    pub fn check(&self, scene: &Scene) {
        for (id, told) in &self.told {
            if told.is_not_run() {
                assert_eq!(scene.runs(id), 0, "{id} was told not run: {told:?}");
            }
            if let Told::Answer { body, status, .. } = told
                && status.is_success()
            {
                let answer = Answer::parse(body).expect("an answer of the stand-in");
                assert_eq!(&answer.id, id, "somebody else's answer");
            }
        }
        for id in &self.unrepeatable {
            assert!(scene.runs(id) <= 1, "{id} ran twice");
        }
    }

    /// How many were told something of this kind.
    pub fn count(&self, kind: impl Fn(&Told) -> bool) -> usize {
        self.told.values().filter(|told| kind(told)).count()
    }

    /// Asserts that everybody got an answer of success.
    pub fn all_succeeded(&self) {
        let failed: Vec<_> = self
            .told
            .iter()
            .filter(|(_, t)| !t.is_success())
            .take(5)
            .collect();
        assert!(failed.is_empty(), "of {}: {failed:?}", self.told.len());
    }
}

/// Load on all entries, a fifth of it unrepeatable, with keys never used before.
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

/// Whether an answer visibly broke.
pub const fn is_broken(told: &Told) -> bool {
    matches!(
        told,
        Told::NoConnection | Told::Broken { .. } | Told::Silence
    )
}
