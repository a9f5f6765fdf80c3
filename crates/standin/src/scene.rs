//! A whole deployment on loopback, over real HTTP: the store's stand-in, upstreams'
//! stand-ins, and real nodes, as threads of this process or as processes of their own.
//! For tests and trials.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use error_stack::Report;
use http_body_util::{BodyExt, Empty};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use mintridge_bench::caller::{Call, Caller, Told};
use mintridge_core::preset::{InForce, Preset};
use mintridge_http::server::Phase;
use mintridge_node::adapter::Adapter;
use mintridge_node::announcement::{Announcement, State};
use mintridge_node::context::Addresses;
use mintridge_node::node::{self, Node};
use mintridge_node::operators::{METRICS, STATE, Status};
use mintridge_node::settings::Settings;
use mintridge_store::client::Client;
use mintridge_store::presets::{self, Author};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::process::Process;
use crate::store::Store;
use crate::store::drill::EPOCH;
use crate::upstream::{Behaviour, Upstream};
use crate::{announcer, store, supervisor, upstream};

/// Generous limit on any wait for a condition.
const WAIT_MOST: Duration = Duration::from_mins(1);
const LOOK_EVERY: Duration = Duration::from_millis(10);
const ASK_WITHIN: Duration = Duration::from_secs(2);

/// What to build.
pub struct Plan {
    /// Services with the number of their hosts.
    pub services: Vec<(&'static str, usize)>,
    /// Availability zones, given to the hosts in turn.
    pub zones: Vec<&'static str>,
    /// Behaviour of every upstream at first.
    pub behaviour: Behaviour,
    /// Changes to every node's settings.
    pub adjust: fn(&mut Settings),
    /// The node's binary, to run each node as a process of its own.
    pub binary: Option<PathBuf>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            services: vec![("service", 3)],
            zones: vec!["zone-a", "zone-b", "zone-c"],
            behaviour: Behaviour {
                service_micros: 5_000,
                ..Behaviour::default()
            },
            adjust: |_| {},
            binary: None,
        }
    }
}

/// Why a scene was not built.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket could not be opened or a process not started.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A node did not start.
    #[error("{0:?}")]
    Node(Report<node::Error>),
}

/// A running node.
#[derive(Debug)]
pub enum Running {
    /// As threads of this process.
    Threads(Node),
    /// As a process of its own.
    Process(Process),
}

impl Running {
    fn addresses(&self) -> Addresses {
        match self {
            Self::Threads(node) => node.context().addresses,
            Self::Process(process) => *process.addresses(),
        }
    }
}

/// One host: an upstream and the node beside it.
pub struct Host {
    /// Its name.
    pub name: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// The upstream.
    pub upstream: Arc<Upstream>,
    /// Where the upstream listens.
    pub upstream_address: SocketAddr,
    /// The node, until it is stopped.
    pub node: Option<Running>,
    /// What the upstream announces.
    pub announcement: watch::Sender<Arc<Announcement>>,
    zone: String,
    phase: watch::Sender<Phase>,
}

/// A deployment.
pub struct Scene {
    /// The store.
    pub store: Arc<Store>,
    /// Where the store listens.
    pub store_address: SocketAddr,
    /// The hosts.
    pub hosts: Vec<Host>,
    /// A caller.
    pub caller: Caller,
    http: HttpClient<HttpConnector, Empty<Bytes>>,
    adjust: fn(&mut Settings),
    binary: Option<PathBuf>,
    _store_phase: watch::Sender<Phase>,
}

/// A listener on any free port of loopback.
///
/// # Errors
/// If there is none.
pub async fn loopback() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

impl Scene {
    /// Builds a scene and waits until every node knows every host.
    ///
    /// # Errors
    /// If a socket or node cannot be started.
    pub async fn start(plan: Plan) -> Result<Self, Error> {
        let (listener, store_address) = loopback().await?;
        let store = Arc::new(Store::default());
        let store_phase = watch::Sender::new(Phase::Open);
        let serving = store::run(listener, Arc::clone(&store), store_phase.subscribe());
        tokio::spawn(serving);
        let mut scene = Self {
            store,
            store_address,
            hosts: Vec::new(),
            caller: Caller::default(),
            http: HttpClient::builder(TokioExecutor::new()).build_http(),
            adjust: plan.adjust,
            binary: plan.binary,
            _store_phase: store_phase,
        };
        for (service, count) in &plan.services {
            for index in 0..*count {
                let zone = plan.zones[index % plan.zones.len()];
                let name = format!("{service}-{}", index + 1);
                scene
                    .add(&name, service, zone, plan.behaviour.clone())
                    .await?;
            }
        }
        scene.until_joined().await;
        Ok(scene)
    }

    /// Adds a host.
    ///
    /// # Errors
    /// If a socket or node cannot be started.
    pub async fn add(
        &mut self,
        name: &str,
        service: &str,
        zone: &str,
        behaviour: Behaviour,
    ) -> Result<(), Error> {
        self.add_with(name, service, zone, behaviour, |_| {}).await
    }

    /// The same, with further changes to its node's settings.
    ///
    /// # Errors
    /// If a socket or node cannot be started.
    pub async fn add_with(
        &mut self,
        name: &str,
        service: &str,
        zone: &str,
        behaviour: Behaviour,
        adjust: impl FnOnce(&mut Settings),
    ) -> Result<(), Error> {
        let (listener, upstream_address) = loopback().await?;
        let listener = listener.into_std()?;
        let slots = u32::try_from(behaviour.slots).unwrap_or(u32::MAX);
        let upstream = Arc::new(Upstream::new(name, behaviour));
        let phase = watch::Sender::new(Phase::Open);
        let announcement = watch::Sender::new(Arc::new(Announcement {
            service: Arc::from(service),
            address: upstream_address,
            slots,
            health_path: Arc::from(upstream::HEALTH),
            state: State::Ready,
            instance: Arc::from(name),
            ..Announcement::default()
        }));
        supervisor::start(
            listener,
            Arc::clone(&upstream),
            phase.subscribe(),
            announcement.clone(),
        );
        self.hosts.push(Host {
            name: Arc::from(name),
            service: Arc::from(service),
            upstream,
            upstream_address,
            node: None,
            announcement,
            zone: zone.to_owned(),
            phase,
        });
        self.start_node_with(self.hosts.len() - 1, adjust)
    }

    /// Starts a node with an empty memory beside the upstream of this host.
    ///
    /// # Errors
    /// If it does not start.
    pub fn start_node(&mut self, index: usize) -> Result<(), Error> {
        self.start_node_with(index, |_| {})
    }

    /// The same, with further changes to its settings.
    ///
    /// # Errors
    /// If it does not start.
    pub fn start_node_with(
        &mut self,
        index: usize,
        adjust: impl FnOnce(&mut Settings),
    ) -> Result<(), Error> {
        let host = &mut self.hosts[index];
        let mut settings = Settings {
            host: Arc::clone(&host.name),
            availability_zone: Arc::from(host.zone.as_str()),
            ..Settings::default()
        };
        settings.store.address = self.store_address;
        settings.store.epoch_header = Some(String::from(EPOCH));
        (self.adjust)(&mut settings);
        adjust(&mut settings);
        let running = if let Some(binary) = &self.binary {
            Running::Process(Process::start(binary, &settings)?)
        } else {
            let started = node::start(settings, Adapter::default());
            Running::Threads(started.map_err(Error::Node)?)
        };
        let to = running.addresses().announcements;
        tokio::spawn(announcer::run(to, host.announcement.subscribe()));
        host.node = Some(running);
        Ok(())
    }

    /// Waits until every node knows every host, and its entry every upstream.
    ///
    /// # Panics
    /// If that does not come true for very long.
    pub async fn until_joined(&self) {
        let count = self.hosts.len();
        self.until("every node knows every host", |status| {
            let members = status.view.members.iter();
            let announced = members.filter(|record| record.upstream.is_some());
            announced.count() == count && status.seen.len() == count
        })
        .await;
    }

    /// Waits until the state of every running node meets a condition.
    ///
    /// # Panics
    /// If that does not come true for very long.
    pub async fn until(&self, what: &str, holds: impl Fn(&Status) -> bool) {
        let running: Vec<usize> = (0..self.hosts.len())
            .filter(|index| self.hosts[*index].node.is_some())
            .collect();
        self.until_of(&running, what, holds).await;
    }

    /// Waits until the state of these nodes meets a condition.
    ///
    /// # Panics
    /// If that does not come true for very long.
    pub async fn until_of(&self, of: &[usize], what: &str, holds: impl Fn(&Status) -> bool) {
        let give_up_at = Instant::now() + WAIT_MOST;
        loop {
            let mut met = true;
            for index in of {
                let status = self.status(*index).await;
                met &= status.is_some_and(|status| holds(&status));
            }
            if met {
                return;
            }
            assert!(Instant::now() < give_up_at, "never came true: {what}");
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }

    /// What a node says of itself.
    pub async fn status(&self, index: usize) -> Option<Status> {
        let body = self.ask(index, STATE).await?;
        serde_json::from_slice(&body).ok()
    }

    /// A counter of a node; 0 if it does not show it.
    pub async fn counter(&self, index: usize, name: &str) -> f64 {
        let body = self.ask(index, METRICS).await.unwrap_or_default();
        let text = String::from_utf8_lossy(&body);
        let lines = text.lines().filter_map(|line| line.strip_prefix(name));
        lines
            .filter_map(|rest| rest.trim().parse::<f64>().ok())
            .sum()
    }

    async fn ask(&self, index: usize, path: &str) -> Option<Bytes> {
        let address = self.hosts[index].node.as_ref()?.addresses().operators;
        let uri = format!("http://{address}{path}").parse().ok()?;
        let asked = async {
            let response = self.http.get(uri).await.ok()?;
            Some(response.into_body().collect().await.ok()?.to_bytes())
        };
        tokio::time::timeout(ASK_WITHIN, asked).await.ok()?
    }

    /// Where the node of this host listens.
    ///
    /// # Panics
    /// If the node was stopped.
    #[must_use]
    pub fn addresses(&self, index: usize) -> Addresses {
        let node = self.hosts[index].node.as_ref();
        node.expect("the node runs").addresses()
    }

    /// Where all running nodes take callers' requests.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        let running = self.hosts.iter().filter_map(|host| host.node.as_ref());
        running.map(|node| node.addresses().callers).collect()
    }

    /// Calls through the node of this host.
    pub async fn call(&self, index: usize, call: &Call) -> Told {
        self.caller
            .call(self.addresses(index).callers, call)
            .await
            .told
    }

    /// The process of this host's node.
    ///
    /// # Panics
    /// If the node is not a process.
    #[must_use]
    pub fn process(&self, index: usize) -> &Process {
        match &self.hosts[index].node {
            Some(Running::Process(process)) => process,
            _ => panic!("node {index} is not a process"),
        }
    }

    /// Stops a node as planned; returns when it has ended.
    pub async fn stop(&mut self, index: usize) {
        match self.hosts[index].node.take() {
            Some(Running::Threads(node)) => {
                let _ = tokio::task::spawn_blocking(move || node.stop()).await;
            }
            Some(Running::Process(mut process)) => {
                let _ = process.signal(rustix::process::Signal::TERM);
                let _ = tokio::task::spawn_blocking(move || process.wait()).await;
            }
            None => {}
        }
    }

    /// Ends a node at once: a process by SIGKILL, threads without finishing requests.
    pub async fn kill(&mut self, index: usize) {
        match self.hosts[index].node.take() {
            Some(Running::Threads(node)) => {
                let _ = tokio::task::spawn_blocking(move || node.end()).await;
            }
            Some(Running::Process(process)) => drop(process),
            None => {}
        }
    }

    /// Ends an upstream at once.
    pub fn end_upstream(&self, index: usize) {
        self.hosts[index].phase.send_replace(Phase::Closing {
            give_up_at: Instant::now(),
        });
    }

    /// Lets an upstream announce that it has started again, under the id that it had.
    pub fn announce_start(&self, index: usize) {
        supervisor::announce_start(&self.hosts[index].announcement);
    }

    /// Lets an upstream announce that it drains, or that it is ready again.
    pub fn announce(&self, index: usize, state: State) {
        self.hosts[index].announcement.send_modify(|current| {
            *current = Arc::new(Announcement {
                state,
                ..current.as_ref().clone()
            });
        });
    }

    /// Changes the behaviour of an upstream.
    pub fn behave(&self, index: usize, change: impl FnOnce(&mut Behaviour)) {
        let upstream = &self.hosts[index].upstream;
        let mut behaviour = upstream.behaviour();
        change(&mut behaviour);
        upstream.set_behaviour(behaviour);
    }

    /// A client of the store as operators have it.
    #[must_use]
    pub fn operator(&self) -> Client {
        Client::new(self.store_address, Duration::from_millis(500))
    }

    /// Writes a preset under the name `preset` and puts it in force.
    ///
    /// # Errors
    /// If the store refuses.
    pub async fn put_in_force(
        &self,
        preset: Preset,
        mark: &str,
    ) -> Result<InForce, presets::Refused> {
        let store = self.operator();
        let author = author(mark);
        presets::put(&store, "preset", preset, None, &author).await?;
        presets::activate(&store, "preset", &author).await
    }

    /// Lets every upstream crash on a request for this path, or on none.
    pub fn crash_on(&self, path: Option<&str>) {
        for index in 0..self.hosts.len() {
            self.behave(index, |behaviour| {
                behaviour.crashes_on = path.map(ToOwned::to_owned);
            });
        }
    }

    /// Times that upstreams crashed.
    #[must_use]
    pub fn crashes(&self) -> u64 {
        let accounts = self.hosts.iter().map(|host| host.upstream.account());
        accounts.map(|account| account.crashes).sum()
    }

    /// Times a request ran, over all upstreams.
    #[must_use]
    pub fn runs(&self, id: &str) -> u32 {
        let accounts = self.hosts.iter().map(|host| host.upstream.account());
        accounts
            .map(|account| account.runs.get(id).copied().unwrap_or(0))
            .sum()
    }
}

/// An author of changes with this name and mark.
#[must_use]
pub fn author(mark: &str) -> Author {
    Author {
        name: Arc::from(mark),
        at: 0,
        mark: Arc::from(mark),
    }
}

/// Waits for a condition.
///
/// # Panics
/// If it does not come true for very long.
pub async fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let give_up_at = Instant::now() + WAIT_MOST;
    while !holds() {
        assert!(Instant::now() < give_up_at, "never came true: {what}");
        tokio::time::sleep(LOOK_EVERY).await;
    }
}
