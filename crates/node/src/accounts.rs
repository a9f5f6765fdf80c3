//! Limits the request rates of client accounts, together with the other nodes.
//!
//! This duty exchanges datagrams for `mintridge_core::account::limiter`, which decides, and runs only
//! where the listeners give it an address. The entry takes a [`Permit`] for each request.

pub mod clock;
mod permit;
pub mod wire;

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::account::limiter::{Answer, Ask, Key, Limits, Pool, Statistics};
use mintridge_core::route::Document;
use tokio::net::UdpSocket;

pub use self::permit::{Limiter, Permit};
use self::wire::{Message, Received};
use crate::context::{Context, Stage, View};

/// Kind of the datagrams in the metrics.
const KIND: &str = "rate-limit";
/// Interval at which expired state is removed and metrics are published.
const TICK: Duration = Duration::from_secs(1);

/// State of the duty.
struct Duty {
    context: Arc<Context>,
    limiter: Arc<Limiter>,
    socket: UdpSocket,
    pool: Pool,
    addresses: HashMap<Arc<str>, SocketAddr>,
    published: Statistics,
}

/// Exchanges messages until the node ends.
pub async fn run(context: Arc<Context>, limiter: Arc<Limiter>, socket: UdpSocket) {
    let settings = context.settings.accounts.clone();
    let host = Arc::clone(context.host());
    let pool = Pool::new(settings, host, context.incarnation, clock::now());
    let mut stage = context.latest.stage.subscribe();
    let mut duty = Duty {
        context,
        limiter,
        socket,
        pool,
        addresses: HashMap::new(),
        published: Statistics::default(),
    };
    tokio::select! {
        () = duty.run() => {}
        _ = stage.wait_for(|stage| *stage == Stage::Ending) => {}
    }
}

impl Duty {
    async fn run(&mut self) {
        let mut view = self.context.latest.view.subscribe();
        let mut routes = self.context.latest.routes.subscribe();
        let limiter = Arc::clone(&self.limiter);
        let mut tick_at = Instant::now() + TICK;
        let mut bytes = [0_u8; wire::MAX_BYTES];
        view.mark_changed();
        routes.mark_changed();
        loop {
            self.send_due().await;
            let poll_at = limiter.client.lock().poll_at();
            let wake_at = poll_at.map_or(tick_at, |at| clock::to_monotonic(at).min(tick_at));
            tokio::select! {
                received = self.socket.recv_from(&mut bytes) => {
                    if let Ok((length, from)) = received {
                        self.receive(&bytes[..length], from).await;
                    }
                }
                () = limiter.due.notified() => {}
                Ok(()) = view.changed() => {
                    let current = Arc::clone(&view.borrow_and_update());
                    self.apply_view(&current);
                }
                Ok(()) = routes.changed() => {
                    let current = routes.borrow_and_update().clone();
                    self.apply_routes(current.as_deref());
                }
                () = tokio::time::sleep_until(wake_at.into()) => {}
            }
            if Instant::now() >= tick_at {
                tick_at = Instant::now() + TICK;
                self.pool.tick(clock::now());
                self.publish();
            }
        }
    }

    async fn send_due(&mut self) {
        let asks = self.limiter.client.lock().poll(clock::now());
        for (to, ask) in asks {
            if to == *self.context.host() {
                if let Some(answer) = self.answer(&ask) {
                    self.apply_answer(&answer);
                }
            } else if let Some(address) = self.addresses.get(&to).copied() {
                self.send(&ask.into(), address).await;
            }
        }
    }

    /// Handles a datagram. An answer to an ask goes to the address of the sender's member record, and
    /// only asks of members are handled.
    async fn receive(&mut self, bytes: &[u8], from: SocketAddr) {
        match serde_json::from_slice::<Message>(bytes).map(Received::from) {
            Ok(Received::Ask(ask)) => {
                let Some(address) = self.addresses.get(&ask.from).copied() else {
                    log::debug!(host = &*ask.from, from:% = from; "ask of an unknown host ignored");
                    return;
                };
                if let Some(answer) = self.answer(&ask) {
                    self.send(&answer.into(), address).await;
                }
            }
            Ok(Received::Answer(answer)) => self.apply_answer(&answer),
            Err(_) => self.context.metrics.bad_input(KIND),
        }
    }

    fn answer(&mut self, ask: &Ask) -> Option<Answer> {
        let now = clock::now();
        let hosts = self.limiter.client.lock().hosts(now);
        self.pool.handle(now, hosts, ask)
    }

    fn apply_answer(&self, answer: &Answer) {
        self.limiter.client.lock().receive(clock::now(), answer);
        self.limiter.answers.send_replace(());
    }

    async fn send(&self, message: &Message, to: SocketAddr) {
        let encoded = match serde_json::to_vec(message) {
            Ok(encoded) => encoded,
            Err(error) => {
                log::error!(kind = KIND, error:% = error; "failed to encode datagram");
                return;
            }
        };
        match self.socket.send_to(&encoded, to).await {
            Ok(bytes) => {
                let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
                self.context.metrics.control_sent(KIND, bytes);
            }
            Err(error) => {
                log::debug!(kind = KIND, node:% = to, error:% = error; "failed to send datagram");
            }
        }
    }

    /// Applies the members. The port is the same on all hosts.
    fn apply_view(&mut self, view: &View) {
        let Some(port) = self.context.addresses.accounts_port else {
            return;
        };
        let mut present: BTreeSet<Arc<str>> = BTreeSet::from([Arc::clone(self.context.host())]);
        self.addresses.clear();
        for member in &view.members {
            present.insert(Arc::clone(&member.host));
            let address = SocketAddr::new(member.control_address.ip(), port);
            self.addresses.insert(Arc::clone(&member.host), address);
        }
        // A node whose settings name no others may be the only one.
        let joined = present.len() > 1 || self.context.settings.peers.is_empty();
        let mut client = self.limiter.client.lock();
        client.set_hosts(clock::now(), &present, &view.left, joined);
    }

    fn apply_routes(&mut self, routes: Option<&Document>) {
        let mut limits = Limits::new();
        for account in routes
            .iter()
            .flat_map(|routes| routes.table.accounts.accounts())
        {
            let limit = account.limit.filter(|limit| limit.per_second > 0.0);
            limits.extend(limit.map(|limit| (Key::new(&account.name), limit)));
        }
        let limits = Arc::new(limits);
        log::info!(accounts = limits.len(); "limits of client accounts in force");
        self.pool.set_limits(clock::now(), &limits);
        self.limiter.set_limits(&limits);
    }

    fn publish(&mut self) {
        let current = self.limiter.statistics();
        let metrics = &self.context.metrics;
        metrics.rate_limits(&self.published, &current, self.pool.delegations());
        if current.owner_changes > self.published.owner_changes {
            log::debug!(
                changes = current.owner_changes - self.published.owner_changes,
                held = self.pool.delegations();
                "share delegated to other nodes than before"
            );
        }
        self.published = current;
    }
}
