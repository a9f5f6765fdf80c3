//! A complete deployment on the loopback interface for tests and trials: a stand-in for the store,
//! stand-ins for upstreams, and real nodes that run as threads of this process or as separate
//! processes. All of them communicate over real HTTP.

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
use mintridge_bench::caller::{Call, Caller, Reply};
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

/// Limit on any wait for a condition, generous so that a slow machine doesn't fail a test.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const OPERATORS_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Description of the deployment to build.
pub struct Plan {
    /// Services and their number of hosts.
    pub services: Vec<(&'static str, usize)>,
    /// Availability zones, assigned to the hosts of each service in turn.
    pub zones: Vec<&'static str>,
    /// Initial behaviour of every upstream.
    pub behaviour: Behaviour,
    /// Adjusts the settings of every node.
    pub adjust: fn(&mut Settings),
    /// Path of the node's binary; if set, each node runs as a separate process.
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

/// Error that prevents the start of a scene or of one of its nodes.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket could not be opened, or a process could not be started.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A node that runs as threads could not be started.
    #[error("{0:?}")]
    Node(Report<node::Error>),
}

/// A running node.
#[derive(Debug)]
pub enum RunningNode {
    /// The node runs as threads of this process.
    Threads(Node),
    /// The node runs as a separate process.
    Process(Process),
}

impl RunningNode {
    fn addresses(&self) -> Addresses {
        match self {
            Self::Threads(node) => node.context().addresses,
            Self::Process(process) => *process.addresses(),
        }
    }
}

/// One host: an upstream and the node beside it.
pub struct Host {
    /// Name of the host.
    pub name: Arc<str>,
    /// Service of the upstream.
    pub service: Arc<str>,
    /// Stand-in for the upstream.
    pub upstream: Arc<Upstream>,
    /// Address on which the upstream listens.
    pub upstream_address: SocketAddr,
    /// The node beside the upstream; `None` while it is stopped.
    pub node: Option<RunningNode>,
    /// Current announcement of the upstream to its node.
    pub announcement: watch::Sender<Arc<Announcement>>,
    zone: String,
    phase: watch::Sender<Phase>,
}

/// A running deployment.
pub struct Scene {
    /// Stand-in for the store.
    pub store: Arc<Store>,
    /// Address on which the store listens.
    pub store_address: SocketAddr,
    /// The hosts, in the order in which they were added.
    pub hosts: Vec<Host>,
    /// Client that sends requests to the nodes.
    pub caller: Caller,
    http: HttpClient<HttpConnector, Empty<Bytes>>,
    adjust: fn(&mut Settings),
    binary: Option<PathBuf>,
    _store_phase: watch::Sender<Phase>,
}

/// Opens a listener on a free loopback port and returns it with its address.
///
/// # Errors
/// If the listener can't be bound.
pub async fn loopback() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

impl Scene {
    /// Starts a deployment and waits until every node knows every host.
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
        scene.wait_until_joined().await;
        Ok(scene)
    }

    /// Adds a host and starts its upstream and its node.
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

    /// Adds a host as [`Self::add`] does, with further changes to its node's settings.
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

    /// Starts a new node beside the upstream of a host; the node has no state of an earlier one.
    ///
    /// # Errors
    /// If the node can't be started.
    pub fn start_node(&mut self, index: usize) -> Result<(), Error> {
        self.start_node_with(index, |_| {})
    }

    /// Starts a node as [`Self::start_node`] does, with further changes to its settings.
    ///
    /// # Errors
    /// If the node can't be started.
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
            RunningNode::Process(Process::start(binary, &settings)?)
        } else {
            let started = node::start(settings, Adapter::default());
            RunningNode::Threads(started.map_err(Error::Node)?)
        };
        let announcements = running.addresses().announcements;
        tokio::spawn(announcer::run(announcements, host.announcement.subscribe()));
        host.node = Some(running);
        Ok(())
    }

    /// Waits until every node's membership table has every host with its upstream, and every node
    /// can place requests on every upstream.
    ///
    /// # Panics
    /// If the condition isn't met within a minute.
    pub async fn wait_until_joined(&self) {
        let count = self.hosts.len();
        self.wait_until("every node knows every host", |status| {
            let members = status.view.members.iter();
            let announced = members.filter(|record| record.upstream.is_some());
            announced.count() == count && status.seen.len() == count
        })
        .await;
    }

    /// Waits until the state of every running node meets a condition.
    ///
    /// # Panics
    /// If the condition isn't met within a minute.
    pub async fn wait_until(&self, description: &str, condition: impl Fn(&Status) -> bool) {
        let running: Vec<usize> = (0..self.hosts.len())
            .filter(|index| self.hosts[*index].node.is_some())
            .collect();
        self.wait_until_on(&running, description, condition).await;
    }

    /// Waits until the state of each node in `indices` meets a condition.
    ///
    /// # Panics
    /// If the condition isn't met within a minute.
    pub async fn wait_until_on(
        &self,
        indices: &[usize],
        description: &str,
        condition: impl Fn(&Status) -> bool,
    ) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let mut met = true;
            for index in indices {
                let status = self.status(*index).await;
                met &= status.is_some_and(|status| condition(&status));
            }
            if met {
                return;
            }
            assert!(
                Instant::now() < deadline,
                "condition not met in time: {description}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the state that a node reports to operators, or `None` if it can't be read.
    pub async fn status(&self, index: usize) -> Option<Status> {
        let body = self.get(index, STATE).await?;
        serde_json::from_slice(&body).ok()
    }

    /// Returns the value of a node's counter, or 0 if the node doesn't export it.
    pub async fn counter(&self, index: usize, name: &str) -> f64 {
        let text = self.operators_text(index, METRICS).await;
        let lines = text.lines().filter_map(|line| line.strip_prefix(name));
        lines
            .filter_map(|rest| rest.trim().parse::<f64>().ok())
            .sum()
    }

    /// Returns what a node answers to operators at this path; empty if it can't be read.
    pub async fn operators_text(&self, index: usize, path: &str) -> String {
        let body = self.get(index, path).await.unwrap_or_default();
        String::from_utf8_lossy(&body).into_owned()
    }

    async fn get(&self, index: usize, path: &str) -> Option<Bytes> {
        let address = self.hosts[index].node.as_ref()?.addresses().operators;
        let uri = format!("http://{address}{path}").parse().ok()?;
        let body = async {
            let response = self.http.get(uri).await.ok()?;
            Some(response.into_body().collect().await.ok()?.to_bytes())
        };
        tokio::time::timeout(OPERATORS_REQUEST_TIMEOUT, body)
            .await
            .ok()?
    }

    /// Returns the addresses on which the node of a host listens.
    ///
    /// # Panics
    /// If the node is stopped.
    #[must_use]
    pub fn addresses(&self, index: usize) -> Addresses {
        let node = self.hosts[index].node.as_ref();
        node.expect("the node runs").addresses()
    }

    /// Returns the addresses at which the running nodes accept callers' requests.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        let running = self.hosts.iter().filter_map(|host| host.node.as_ref());
        running.map(|node| node.addresses().callers).collect()
    }

    /// Sends a request to the node of a host and returns the reply.
    pub async fn call(&self, index: usize, call: &Call) -> Reply {
        self.caller
            .call(self.addresses(index).callers, call)
            .await
            .reply
    }

    /// Returns the process of a host's node.
    ///
    /// # Panics
    /// If the node is stopped or runs as threads.
    #[must_use]
    pub fn process(&self, index: usize) -> &Process {
        match &self.hosts[index].node {
            Some(RunningNode::Process(process)) => process,
            _ => panic!("node {index} is not a process"),
        }
    }

    /// Stops a node gracefully and waits until it has ended.
    pub async fn stop(&mut self, index: usize) {
        match self.hosts[index].node.take() {
            Some(RunningNode::Threads(node)) => {
                let _ = tokio::task::spawn_blocking(move || node.stop()).await;
            }
            Some(RunningNode::Process(mut process)) => {
                let _ = process.signal(rustix::process::Signal::TERM);
                let _ = tokio::task::spawn_blocking(move || process.wait()).await;
            }
            None => {}
        }
    }

    /// Ends a node immediately: a process with SIGKILL, threads without finishing their requests.
    pub async fn kill(&mut self, index: usize) {
        match self.hosts[index].node.take() {
            Some(RunningNode::Threads(node)) => {
                let _ = tokio::task::spawn_blocking(move || node.terminate()).await;
            }
            Some(RunningNode::Process(process)) => drop(process),
            None => {}
        }
    }

    /// Ends an upstream immediately and aborts its requests in progress.
    pub fn end_upstream(&self, index: usize) {
        self.hosts[index].phase.send_replace(Phase::Closing {
            give_up_at: Instant::now(),
        });
    }

    /// Makes an upstream announce that it has restarted with an unchanged instance id.
    pub fn announce_restart(&self, index: usize) {
        supervisor::announce_restart(&self.hosts[index].announcement);
    }

    /// Makes an upstream announce a state, such as draining or ready.
    pub fn announce(&self, index: usize, state: State) {
        self.hosts[index].announcement.send_modify(|current| {
            *current = Arc::new(Announcement {
                state,
                ..current.as_ref().clone()
            });
        });
    }

    /// Changes the behaviour of an upstream.
    pub fn update_behaviour(&self, index: usize, change: impl FnOnce(&mut Behaviour)) {
        let upstream = &self.hosts[index].upstream;
        let mut behaviour = upstream.behaviour();
        change(&mut behaviour);
        upstream.set_behaviour(behaviour);
    }

    /// Creates a client of the store like the one that operators use.
    #[must_use]
    pub fn operator_client(&self) -> Client {
        Client::new(self.store_address, Duration::from_millis(500))
    }

    /// Writes a preset under the name `preset` and activates it.
    ///
    /// # Errors
    /// If the store rejects the preset or its activation.
    pub async fn activate_preset(
        &self,
        preset: Preset,
        change_id: &str,
    ) -> Result<InForce, presets::ChangeError> {
        let store = self.operator_client();
        let author = author(change_id);
        presets::put(&store, "preset", preset, None, &author).await?;
        presets::activate(&store, "preset", &author).await
    }

    /// Makes every upstream crash on a request for `path`, or on no request if it is `None`.
    pub fn crash_on(&self, path: Option<&str>) {
        for index in 0..self.hosts.len() {
            self.update_behaviour(index, |behaviour| {
                behaviour.crashes_on = path.map(ToOwned::to_owned);
            });
        }
    }

    /// Returns the number of crashes of all upstreams.
    #[must_use]
    pub fn crashes(&self) -> u64 {
        let counts = self.hosts.iter().map(|host| host.upstream.counts());
        counts.map(|host_counts| host_counts.crashes).sum()
    }

    /// Returns how often a request ran, summed over all upstreams.
    #[must_use]
    pub fn runs(&self, id: &str) -> u32 {
        let counts = self.hosts.iter().map(|host| host.upstream.counts());
        counts
            .map(|host_counts| host_counts.runs.get(id).copied().unwrap_or(0))
            .sum()
    }
}

/// Creates an author whose name and change id are both `change_id`.
#[must_use]
pub fn author(change_id: &str) -> Author {
    Author {
        name: Arc::from(change_id),
        at: 0,
        mark: Arc::from(change_id),
    }
}

/// Waits until a condition is met.
///
/// # Panics
/// If the condition isn't met within a minute.
pub async fn wait_for(description: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "condition not met in time: {description}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
