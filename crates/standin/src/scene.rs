//! A whole deployment in one process, on loopback, over real HTTP: the store's stand-in,
//! upstreams' stand-ins, and real nodes. For tests and trials.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use error_stack::Report;
use mintridge_bench::caller::Caller;
use mintridge_core::preset::Preset;
use mintridge_http::server::Phase;
use mintridge_node::announcement::{Announcement, State};
use mintridge_node::context::View;
use mintridge_node::node::{self, Node};
use mintridge_node::settings::Settings;
use mintridge_store::client::Client;
use mintridge_store::presets::{self, Author};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::store::Store;
use crate::upstream::{Behaviour, Upstream};
use crate::{announcer, store, upstream};

/// Generous limit on any wait for a condition.
const WAIT_MOST: Duration = Duration::from_secs(30);
const LOOK_EVERY: Duration = Duration::from_millis(5);

/// What to build.
pub struct Plan {
    /// Services with the number of their servers.
    pub services: Vec<(&'static str, usize)>,
    /// Availability zones, given to the servers in turn.
    pub zones: Vec<&'static str>,
    /// Behaviour of every upstream at first.
    pub behaviour: Behaviour,
    /// Changes to every node's settings.
    pub adjust: fn(&mut Settings),
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
        }
    }
}

/// Why a scene was not built.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket could not be opened.
    #[error(transparent)]
    Socket(#[from] io::Error),
    /// A node did not start.
    #[error("{0:?}")]
    Node(Report<node::Error>),
}

/// One server: an upstream and the node beside it.
pub struct Server {
    /// Its name.
    pub name: Arc<str>,
    /// Its service.
    pub service: &'static str,
    /// The upstream.
    pub upstream: Arc<Upstream>,
    /// Where the upstream listens.
    pub upstream_address: SocketAddr,
    /// The node, until it is stopped.
    pub node: Option<Node>,
    /// What the upstream announces.
    pub announcement: watch::Sender<Arc<Announcement>>,
    phase: watch::Sender<Phase>,
}

/// A deployment.
pub struct Scene {
    /// The store.
    pub store: Arc<Store>,
    /// Where the store listens.
    pub store_address: SocketAddr,
    /// The servers.
    pub servers: Vec<Server>,
    /// A caller.
    pub caller: Caller,
    adjust: fn(&mut Settings),
    _store_phase: watch::Sender<Phase>,
}

async fn loopback() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

impl Scene {
    /// Builds a scene and waits until every node knows every server.
    ///
    /// # Errors
    /// If a socket or node cannot be started.
    pub async fn start(plan: Plan) -> Result<Self, Error> {
        let (listener, store_address) = loopback().await?;
        let store = Arc::new(Store::default());
        let store_phase = watch::Sender::new(Phase::Open);
        tokio::spawn(store::run(
            listener,
            Arc::clone(&store),
            store_phase.subscribe(),
        ));
        let mut scene = Self {
            store,
            store_address,
            servers: Vec::new(),
            caller: Caller::default(),
            adjust: plan.adjust,
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

    /// Adds a server.
    ///
    /// # Errors
    /// If a socket or node cannot be started.
    pub async fn add(
        &mut self,
        name: &str,
        service: &'static str,
        zone: &str,
        behaviour: Behaviour,
    ) -> Result<(), Error> {
        let (listener, upstream_address) = loopback().await?;
        let slots = u32::try_from(behaviour.slots).unwrap_or(u32::MAX);
        let upstream = Arc::new(Upstream::new(name, behaviour));
        let phase = watch::Sender::new(Phase::Open);
        tokio::spawn(upstream::run(
            listener,
            Arc::clone(&upstream),
            phase.subscribe(),
        ));
        let node = self.start_node(name, zone)?;
        let announcement = watch::Sender::new(Arc::new(Announcement {
            service: Arc::from(service),
            address: upstream_address,
            slots,
            health_path: Arc::from(upstream::HEALTH),
            state: State::Ready,
        }));
        let to = node.context().addresses.announcements;
        tokio::spawn(announcer::run(to, announcement.subscribe()));
        self.servers.push(Server {
            name: Arc::from(name),
            service,
            upstream,
            upstream_address,
            node: Some(node),
            announcement,
            phase,
        });
        Ok(())
    }

    fn start_node(&self, name: &str, zone: &str) -> Result<Node, Error> {
        let mut settings = Settings {
            server: Arc::from(name),
            availability_zone: Arc::from(zone),
            ..Settings::default()
        };
        settings.store.address = self.store_address;
        (self.adjust)(&mut settings);
        node::start(settings).map_err(Error::Node)
    }

    /// Waits until every node knows every server and its upstream.
    ///
    /// # Panics
    /// If that does not come true for very long.
    pub async fn until_joined(&self) {
        let count = self.servers.len();
        self.until("every node knows every server", |view| {
            let announced = view.members.iter().filter(|r| r.upstream.is_some());
            announced.count() == count
        })
        .await;
    }

    /// Waits until the view of every running node meets a condition.
    ///
    /// # Panics
    /// If that does not come true for very long.
    pub async fn until(&self, what: &str, holds: impl Fn(&View) -> bool) {
        let running = || {
            self.servers
                .iter()
                .filter_map(|server| server.node.as_ref())
        };
        wait_for(what, || {
            running().all(|node| holds(&node.context().latest.view.borrow()))
        })
        .await;
    }

    /// Where the node of this server takes callers' requests.
    ///
    /// # Panics
    /// If the node was stopped.
    #[must_use]
    pub fn entry(&self, index: usize) -> SocketAddr {
        let node = self.servers[index].node.as_ref();
        node.expect("the node runs").context().addresses.callers
    }

    /// Where all running nodes take callers' requests.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        let running = self
            .servers
            .iter()
            .filter_map(|server| server.node.as_ref());
        running
            .map(|node| node.context().addresses.callers)
            .collect()
    }

    /// Stops a node as planned; returns when it has ended.
    pub async fn stop(&mut self, index: usize) {
        if let Some(node) = self.servers[index].node.take() {
            let _ = tokio::task::spawn_blocking(move || node.stop()).await;
        }
    }

    /// Ends a node at once, without a goodbye to callers in progress.
    pub async fn end(&mut self, index: usize) {
        if let Some(node) = self.servers[index].node.take() {
            let _ = tokio::task::spawn_blocking(move || node.end()).await;
        }
    }

    /// Ends an upstream at once.
    pub fn end_upstream(&self, index: usize) {
        self.servers[index].phase.send_replace(Phase::Closing {
            give_up_at: Instant::now(),
        });
    }

    /// A client of the store as operators have it.
    #[must_use]
    pub fn operator(&self) -> Client {
        Client::new(self.store_address, Duration::from_millis(500))
    }

    /// Puts a preset in force under the name `preset`, and returns its revision.
    ///
    /// # Errors
    /// If the store refuses.
    pub async fn put_in_force(&self, preset: Preset, mark: &str) -> Result<u64, presets::Refused> {
        let store = self.operator();
        let author = author(mark);
        presets::put(&store, "preset", preset, None, &author).await?;
        let in_force = presets::activate(&store, "preset", &author).await?;
        Ok(in_force.revision.0)
    }

    /// Times a request ran, over all upstreams.
    #[must_use]
    pub fn runs(&self, id: &str) -> u32 {
        let accounts = self.servers.iter().map(|server| server.upstream.account());
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
