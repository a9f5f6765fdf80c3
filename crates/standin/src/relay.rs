//! A network between two processes: a TCP relay that can be cut, delayed or stalled.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

const CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of chunks in flight in one direction of a connection.
const MAX_IN_FLIGHT_CHUNKS: usize = 256;

/// Condition of the network.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Condition {
    /// All data passes.
    #[default]
    Normal,
    /// Open connections are closed, and new ones are closed at once.
    Cut,
    /// No data passes and no connection is closed; new connections hang as well.
    Silent,
    /// Data from clients passes, and no data passes back.
    NoAnswers,
    /// All data passes with a delay of this many milliseconds in each direction.
    Slow(u64),
}

/// Which of the connections that are open at some moment are stalled from then on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stall {
    #[default]
    None,
    All,
    /// Those whose latest request opened a watch of the store.
    Watches,
}

/// Beginning of a request that opens a watch of the store.
const WATCH_REQUEST: &[u8] = b"POST /v3/watch ";

/// A TCP relay from one address to another.
#[derive(Debug)]
pub struct Relay {
    condition: watch::Sender<Condition>,
    /// Set to stall open connections, then replaced for new ones.
    stall: Mutex<watch::Sender<Stall>>,
    forwarded_bytes: AtomicUsize,
}

impl Default for Relay {
    fn default() -> Self {
        Self {
            condition: watch::Sender::new(Condition::Normal),
            stall: Mutex::new(watch::Sender::default()),
            forwarded_bytes: AtomicUsize::new(0),
        }
    }
}

impl Relay {
    /// Sets the condition of all open and future connections.
    pub fn set(&self, condition: Condition) {
        self.condition.send_replace(condition);
    }

    /// Stalls the open connections: they stay open and no data passes on them again, while new
    /// connections work.
    pub fn stall_open_connections(&self) {
        self.stall_open(Stall::All);
    }

    /// Stalls the open watches of the store as [`Self::stall_open_connections`] does; all other
    /// connections work.
    pub fn stall_open_watches(&self) {
        self.stall_open(Stall::Watches);
    }

    fn stall_open(&self, stalled: Stall) {
        let mut stall = self.stall.lock();
        stall.send_replace(stalled);
        *stall = watch::Sender::default();
    }

    /// Number of bytes forwarded to the target.
    #[must_use]
    pub fn forwarded_bytes(&self) -> usize {
        self.forwarded_bytes.load(Ordering::Relaxed)
    }

    /// Relays connections from `listener` to `target` until dropped.
    pub async fn run(self: Arc<Self>, listener: TcpListener, target: SocketAddr) {
        while let Ok((client, _)) = listener.accept().await {
            let relay = Arc::clone(&self);
            tokio::spawn(async move { relay.forward(client, target).await });
        }
    }

    async fn forward(&self, client: TcpStream, target: SocketAddr) {
        let mut condition = self.condition.subscribe();
        if condition
            .wait_for(|now| *now != Condition::Silent)
            .await
            .is_err()
        {
            return;
        }
        if *condition.borrow() == Condition::Cut {
            return;
        }
        let Ok(server) = TcpStream::connect(target).await else {
            return;
        };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let stall = self.stall.lock().subscribe();
        let is_watch = AtomicBool::new(false);
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        let outbound = Direction {
            condition: condition.clone(),
            stall: stall.clone(),
            is_watch: &is_watch,
            passes: passes_outbound,
            forwarded_bytes: Some(&self.forwarded_bytes),
        };
        let inbound = Direction {
            condition: condition.clone(),
            stall,
            is_watch: &is_watch,
            passes: passes_inbound,
            forwarded_bytes: None,
        };
        tokio::select! {
            () = outbound.pump(client_read, server_write) => {}
            () = inbound.pump(server_read, client_write) => {}
            () = until_cut(condition) => {}
        }
    }
}

fn passes_outbound(condition: Condition) -> bool {
    condition != Condition::Silent
}

const fn passes_inbound(condition: Condition) -> bool {
    !matches!(condition, Condition::Silent | Condition::NoAnswers)
}

const fn delay(condition: Condition) -> Duration {
    match condition {
        Condition::Slow(millis) => Duration::from_millis(millis),
        _ => Duration::ZERO,
    }
}

async fn until_cut(mut condition: watch::Receiver<Condition>) {
    let _ = condition.wait_for(|now| *now == Condition::Cut).await;
}

/// One direction of a connection.
struct Direction<'a> {
    condition: watch::Receiver<Condition>,
    stall: watch::Receiver<Stall>,
    /// Whether the latest request on the connection opened a watch.
    is_watch: &'a AtomicBool,
    passes: fn(Condition) -> bool,
    forwarded_bytes: Option<&'a AtomicUsize>,
}

/// Bytes in flight, and when they arrive.
struct Chunk {
    arrives_at: Instant,
    bytes: Vec<u8>,
}

impl Direction<'_> {
    /// Forwards until one side closes; chunks in flight are delivered first.
    async fn pump(self, from: OwnedReadHalf, to: OwnedWriteHalf) {
        let (sender, chunks) = mpsc::channel(MAX_IN_FLIGHT_CHUNKS);
        tokio::join!(self.read_chunks(from, sender), write_chunks(chunks, to));
    }

    async fn read_chunks(mut self, mut from: OwnedReadHalf, sender: mpsc::Sender<Chunk>) {
        let mut buffer = vec![0; CHUNK_BYTES];
        while let Ok(read @ 1..) = from.read(&mut buffer).await {
            if self.forwarded_bytes.is_some() && buffer[..read].starts_with(b"POST ") {
                let is_watch = buffer[..read].starts_with(WATCH_REQUEST);
                self.is_watch.store(is_watch, Ordering::Relaxed);
            }
            if self.is_stalled() {
                std::future::pending::<()>().await;
            }
            if self
                .condition
                .wait_for(|now| (self.passes)(*now))
                .await
                .is_err()
            {
                return;
            }
            if let Some(forwarded_bytes) = self.forwarded_bytes {
                forwarded_bytes.fetch_add(read, Ordering::Relaxed);
            }
            let chunk = Chunk {
                arrives_at: Instant::now() + delay(*self.condition.borrow()),
                bytes: buffer[..read].to_vec(),
            };
            if sender.send(chunk).await.is_err() {
                return;
            }
        }
        if self.is_stalled() {
            std::future::pending::<()>().await;
        }
    }

    fn is_stalled(&self) -> bool {
        match *self.stall.borrow() {
            Stall::None => false,
            Stall::All => true,
            Stall::Watches => self.is_watch.load(Ordering::Relaxed),
        }
    }
}

async fn write_chunks(mut chunks: mpsc::Receiver<Chunk>, mut to: OwnedWriteHalf) {
    while let Some(chunk) = chunks.recv().await {
        tokio::time::sleep_until(chunk.arrives_at.into()).await;
        if to.write_all(&chunk.bytes).await.is_err() {
            return;
        }
    }
}
