//! The fleet of a run: nodes as real processes behind relays, and the events injected into them.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::preset::Preset;
use mintridge_node::announcement::State;
use mintridge_node::operators::Status;
use mintridge_node::settings::Settings;
use rustix::process::Signal;
use tokio::task::JoinHandle;

use super::accounts;
use super::callers::Targets;
use super::plan::{self, Entry, Event};
use super::promises::{Arrivals, COLD_RATE, Leaving, Revisions, Violation};
use crate::relay::{Condition, Relay};
use crate::scene::{Error, Plan, RunningNode, Scene, loopback};
use crate::store::Faults;
use crate::store::drill::Drill;
use crate::upstream;

const SERVICE: &str = "service";
const ZONES: [&str; 2] = ["zone-a", "zone-b"];

/// Relays of one host: before the node's peer address and between the node and the store.
struct Network {
    peers: Arc<Relay>,
    peers_task: Option<JoinHandle<()>>,
    store: Arc<Relay>,
    store_address: SocketAddr,
}

/// Nodes and upstreams, with the relays between them.
pub struct Fleet {
    /// Hosts with their nodes and upstreams, and the store.
    pub scene: Scene,
    /// Caller addresses of the nodes.
    pub targets: Targets,
    /// Preset revisions in force on the nodes.
    pub revisions: Revisions,
    networks: Vec<Network>,
    /// Hosts whose node got SIGTERM and is started again once its process has ended.
    stopping: Vec<usize>,
    leaving: Vec<(usize, Leaving)>,
    preset_changes: u32,
    faults: Faults,
    /// When the third crash of an upstream was observed.
    pub third_crash_at: Option<Instant>,
}

impl Fleet {
    /// Starts a fleet of `hosts` hosts.
    ///
    /// # Errors
    /// If a socket cannot be opened or a node cannot be started.
    pub async fn start(binary: PathBuf, hosts: usize, plan: &plan::Plan) -> Result<Self, Error> {
        let scene = Scene::start(Plan {
            services: Vec::new(),
            adjust: if plan.has_cold_upstreams {
                set_cold_headers
            } else if plan.has_notices {
                set_notice_headers
            } else if plan.accounts > 0 {
                set_routes
            } else {
                set_linger
            },
            binary: Some(binary),
            ..Plan::default()
        })
        .await?;
        let mut fleet = Self {
            scene,
            targets: Targets::default(),
            revisions: Revisions::default(),
            networks: Vec::new(),
            stopping: Vec::new(),
            leaving: Vec::new(),
            preset_changes: 0,
            faults: Faults::default(),
            third_crash_at: None,
        };
        if plan.accounts > 0 {
            let document = accounts::document(SERVICE, plan.accounts);
            fleet.scene.store.overwrite(accounts::ROUTES, &document);
        }
        for index in 0..hosts {
            fleet.add(index).await?;
        }
        fleet.scene.wait_until_joined().await;
        if plan.accounts > 0 {
            fleet.begin_accounts().await;
        }
        if plan.has_notices {
            // Without a start time a restart under the same id looks like a late message.
            (0..hosts).for_each(|index| fleet.scene.announce_restart(index));
        }
        Ok(fleet)
    }

    async fn add(&mut self, index: usize) -> Result<(), Error> {
        let (listener, store_address) = loopback().await?;
        let store = Arc::new(Relay::default());
        tokio::spawn(Arc::clone(&store).run(listener, self.scene.store_address));
        let network = Network {
            peers: Arc::new(Relay::default()),
            peers_task: None,
            store,
            store_address,
        };
        let (listener, peers) = loopback().await?;
        let name = format!("host-{index}");
        let zone = ZONES[index % ZONES.len()];
        let behaviour = Plan::default().behaviour;
        self.scene
            .add_with(
                &name,
                SERVICE,
                zone,
                behaviour,
                set_relay_addresses(peers, store_address),
            )
            .await?;
        self.networks.push(network);
        self.targets.lock().push(None);
        self.attach(index, listener);
        Ok(())
    }

    /// Starts the node of a host again, with a new relay before its peer address.
    async fn start_node(&mut self, index: usize) -> Result<(), Error> {
        let (listener, peers) = loopback().await?;
        let store_address = self.networks[index].store_address;
        self.scene
            .start_node_with(index, set_relay_addresses(peers, store_address))?;
        self.attach(index, listener);
        Ok(())
    }

    /// Relays the peer address of a started node, and adds the node to the targets of the load.
    fn attach(&mut self, index: usize, listener: tokio::net::TcpListener) {
        let addresses = self.scene.addresses(index);
        let network = &mut self.networks[index];
        let relay = Arc::clone(&network.peers);
        if let Some(old) = network.peers_task.take() {
            old.abort();
        }
        network.peers_task = Some(tokio::spawn(relay.run(listener, addresses.peers)));
        self.targets.lock()[index] = Some(addresses.callers);
    }

    /// Waits until all nodes have the routing table, and lets the upstreams record accounts.
    async fn begin_accounts(&self) {
        let description = "the routing table is in force everywhere";
        let has_table = |status: &Status| status.routes_version > 0;
        self.scene.wait_until(description, has_table).await;
        for index in 0..self.scene.hosts.len() {
            self.scene
                .update_behaviour(index, |behaviour| behaviour.records_accounts = true);
        }
    }

    /// What the upstreams recorded of the accounts and keys of requests.
    #[must_use]
    pub fn arrivals(&self) -> Arrivals {
        let mut arrivals = Arrivals::default();
        for host in &self.scene.hosts {
            let counts = host.upstream.counts();
            arrivals.keys += counts.keys;
            for (id, accounts) in counts.accounts {
                arrivals.accounts.entry(id).or_default().extend(accounts);
            }
        }
        arrivals
    }

    /// Whether the host's node runs and is not stopping.
    fn is_up(&self, index: usize) -> bool {
        self.scene.hosts[index].node.is_some() && !self.stopping.contains(&index)
    }

    fn signal(&self, index: usize, signal: Signal) {
        if let Err(error) = self.scene.process(index).signal(signal) {
            eprintln!("host-{index}: {error}");
        }
    }

    /// Begins an event, or skips it if it conflicts with the state of the fleet.
    pub async fn begin(&mut self, entry: &Entry) {
        let host = entry.host;
        match entry.event {
            Event::Stop if self.is_up(host) && self.stopping.is_empty() => {
                self.signal(host, Signal::TERM);
                self.stopping.push(host);
                self.excuse(host);
            }
            Event::Reload if self.is_up(host) => self.signal(host, Signal::HUP),
            Event::Drain if self.leaving.is_empty() => {
                self.scene.announce(host, State::Draining);
                let name = self.scene.hosts[host].name.to_string();
                self.leaving
                    .push((host, Leaving::new(name, Instant::now())));
            }
            Event::ChangePreset => self.change_preset().await,
            Event::Restart => self.replace_upstream(host),
            Event::Kill if self.is_up(host) => {
                self.targets.lock()[host] = None;
                self.scene.kill(host).await;
                self.excuse(host);
            }
            Event::Pause if self.is_up(host) => {
                self.signal(host, Signal::STOP);
                self.excuse(host);
            }
            Event::PeerLink(condition) => self.networks[host].peers.set(condition),
            Event::StallPeerLinks => self.networks[host].peers.stall_open_connections(),
            Event::StoreLink(condition) => self.networks[host].store.set(condition),
            Event::StoreRestore => self.scene.store.take_backup(),
            Event::TurnCold => {
                let duration = entry.until.saturating_sub(entry.at);
                self.scene.hosts[host].upstream.start_cold_period(duration);
            }
            Event::NameLimit(limit) => {
                let limit = limit.to_string();
                self.scene.hosts[host].upstream.set_limit(Some(&limit));
            }
            Event::StateLeaving if self.has_no_leaving_upstream() => {
                self.scene.hosts[host].upstream.set_leaving(true);
            }
            event => self.set_store_fault(event, true),
        }
    }

    /// Ends an event that has a duration.
    ///
    /// # Errors
    /// If a node cannot be started again.
    pub async fn end(&mut self, entry: &Entry) -> Result<(), Error> {
        let host = entry.host;
        match entry.event {
            Event::Drain => {
                self.scene.announce(host, State::Ready);
                self.leaving.retain(|(leaving, _)| *leaving != host);
            }
            Event::Kill if self.scene.hosts[host].node.is_none() => self.start_node(host).await?,
            Event::Pause if self.scene.hosts[host].node.is_some() => {
                self.signal(host, Signal::CONT);
                self.excuse(host);
            }
            Event::NameLimit(_) => self.scene.hosts[host].upstream.set_limit(None),
            Event::StateLeaving => self.replace_upstream(host),
            Event::PeerLink(_) => self.networks[host].peers.set(Condition::Normal),
            Event::StoreLink(_) => self.networks[host].store.set(Condition::Normal),
            Event::StoreRestore => self.scene.store.drill(Drill::default()).await,
            event => self.set_store_fault(event, false),
        }
        Ok(())
    }

    /// Replaces an upstream by another incarnation, which names no limit and is not leaving.
    fn replace_upstream(&self, host: usize) {
        let upstream = &self.scene.hosts[host].upstream;
        upstream.set_limit(None);
        upstream.set_leaving(false);
        self.scene.announce_restart(host);
    }

    /// Records that a node is not bound by what it passed on before.
    fn excuse(&self, host: usize) {
        let origin = &self.scene.hosts[host].name;
        for host in &self.scene.hosts {
            host.upstream.excuse(origin);
        }
    }

    fn has_no_leaving_upstream(&self) -> bool {
        let mut hosts = self.scene.hosts.iter();
        hosts.all(|host| !host.upstream.is_leaving())
    }

    fn set_store_fault(&mut self, event: Event, active: bool) {
        let faults = &mut self.faults;
        match event {
            Event::StoreDown => faults.down = active,
            Event::StoreSlow(millis) => faults.slow_millis = if active { millis } else { 0 },
            Event::StoreLosesReplies(writes) => {
                faults.lose_replies = if active { writes } else { 0 }
            }
            Event::StoreWritesLate(millis) => {
                faults.late_writes = u32::from(active);
                faults.late_millis = millis;
            }
            Event::StoreWatchesSilent => faults.silent_watches = active,
            Event::StoreReadsStale => faults.stale_reads = active,
            _ => return,
        }
        self.scene.store.set_faults(self.faults.clone());
    }

    /// Puts a new preset in force; during faults the store may reject it.
    async fn change_preset(&mut self) {
        self.preset_changes += 1;
        let preset = Preset {
            retry_share: f64::from(self.preset_changes % 10) / 100.0,
            ..Preset::default()
        };
        let change_id = format!("change-{}", self.preset_changes);
        if let Err(error) = self.scene.activate_preset(preset, &change_id).await {
            eprintln!("{change_id} not accepted: {error}");
        }
    }

    /// Restarts nodes that have stopped, and checks that leaving upstreams get no new requests.
    ///
    /// # Errors
    /// If a node cannot be started again.
    pub async fn poll(&mut self, violations: &mut Vec<Violation>) -> Result<(), Error> {
        for index in self.stopping.clone() {
            let node = &mut self.scene.hosts[index].node;
            let ended = match node {
                Some(RunningNode::Process(process)) => process.has_ended(),
                _ => true,
            };
            if ended {
                self.targets.lock()[index] = None;
                *node = None;
                self.stopping.retain(|stopping| *stopping != index);
                self.start_node(index).await?;
            }
        }
        let now = Instant::now();
        if self.scene.crashes() >= 3 {
            self.third_crash_at.get_or_insert(now);
        }
        for (host, leaving) in &mut self.leaving {
            let requests = self.scene.hosts[*host].upstream.counts().requests;
            violations.extend(leaving.check(now, requests));
        }
        Ok(())
    }

    /// Reads the preset revision in force from every node that responds in time.
    pub async fn poll_revisions(&mut self) {
        for index in 0..self.scene.hosts.len() {
            if !self.is_up(index) {
                continue;
            }
            let process = self.scene.process(index).id();
            let status = self.scene.status(index);
            let status = tokio::time::timeout(Duration::from_millis(100), status).await;
            if let Ok(Some(status)) = status {
                let revision = status.view.in_force.revision.0;
                self.revisions.record(&status.host, process, revision);
            }
        }
    }

    /// Maximum number of requests that each host got in any second while it was cold.
    #[must_use]
    pub fn max_cold_requests(&self) -> Vec<(String, usize)> {
        let hosts = self.scene.hosts.iter();
        let requests = hosts.map(|host| (host.name.to_string(), host.upstream.counts().cold_most));
        requests.collect()
    }

    /// Requests beyond named limits, and after statements of leaving, of each host.
    #[must_use]
    pub fn notice_counts(&self) -> Vec<(String, usize, u64)> {
        let hosts = self.scene.hosts.iter();
        let counts = hosts.map(|host| {
            let counts = host.upstream.counts();
            (
                host.name.to_string(),
                counts.limit_excess,
                counts.after_leaving,
            )
        });
        counts.collect()
    }

    /// Whether a planned stop is in progress.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        !self.stopping.is_empty()
    }
}

fn set_linger(settings: &mut Settings) {
    settings.node.linger = Duration::from_millis(800);
}

/// Configures nodes to follow the routing table that lists client accounts.
fn set_routes(settings: &mut Settings) {
    set_linger(settings);
    settings.routes.key = Some(String::from(accounts::ROUTES));
}

/// Configures nodes to check whether their upstreams are cold, and to limit the rate of cold ones.
fn set_cold_headers(settings: &mut Settings) {
    set_linger(settings);
    settings.upstream.instance_header = Some(String::from(upstream::SERVER));
    settings.upstream.load_header = Some(String::from(upstream::LOAD_HEADER));
    settings.upstream.cold_header = Some(String::from(upstream::COLD_HEADER));
    settings.warm_up.requests_per_second = Some(COLD_RATE.into());
}

/// Configures nodes to read limits and leaving from responses, and to name themselves in requests.
fn set_notice_headers(settings: &mut Settings) {
    set_linger(settings);
    settings.upstream.instance_header = Some(String::from(upstream::SERVER));
    settings.upstream.load_header = Some(String::from(upstream::LOAD_HEADER));
    settings.upstream.request_limit_header = Some(String::from(upstream::LIMIT_HEADER));
    settings.upstream.leaving_header = Some(String::from(upstream::LEAVING_HEADER));
    settings.callers.origin_header = Some(String::from(upstream::ORIGIN));
    settings.callers.origin = settings.host.to_string();
}

/// Points a node's settings at its relays.
fn set_relay_addresses(peers: SocketAddr, store: SocketAddr) -> impl FnOnce(&mut Settings) {
    move |settings| {
        settings.listeners.peers_public = Some(peers);
        settings.store.address = store;
    }
}
