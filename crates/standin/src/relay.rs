//! A network between two processes: a relay that can be cut, slow or fall silent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

const CHUNK: usize = 16 * 1024;
/// Chunks on their way at once in one direction of a connection.
const ON_THE_WAY_MOST: usize = 256;

/// State of the network.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Condition {
    /// Everything passes.
    #[default]
    Normal,
    /// Open connections are broken and new ones refused.
    Cut,
    /// Nothing passes, and nobody is told; new connections hang too.
    Silent,
    /// What callers send passes, and nothing comes back.
    NoAnswers,
    /// Everything passes, and takes so many milliseconds on its way.
    Slow(u64),
}

/// A relay from one address to another.
#[derive(Debug)]
pub struct Relay {
    condition: watch::Sender<Condition>,
    lost: Mutex<watch::Sender<bool>>,
    carried: AtomicUsize,
}

impl Default for Relay {
    fn default() -> Self {
        Self {
            condition: watch::Sender::new(Condition::Normal),
            lost: Mutex::new(watch::Sender::new(false)),
            carried: AtomicUsize::new(0),
        }
    }
}

impl Relay {
    /// Changes the condition for all connections, present and future.
    pub fn set(&self, condition: Condition) {
        self.condition.send_replace(condition);
    }

    /// Loses track of the connections open now: they stay open and nothing passes on
    /// them ever again, while new ones work.
    pub fn lose_open_connections(&self) {
        let mut lost = self.lost.lock();
        lost.send_replace(true);
        *lost = watch::Sender::new(false);
    }

    /// Bytes carried to the target so far.
    #[must_use]
    pub fn carried(&self) -> usize {
        self.carried.load(Ordering::Relaxed)
    }

    /// Relays from `listener` to `target` until dropped.
    pub async fn run(self: Arc<Self>, listener: TcpListener, target: SocketAddr) {
        while let Ok((near, _)) = listener.accept().await {
            let relay = Arc::clone(&self);
            tokio::spawn(async move { relay.carry(near, target).await });
        }
    }

    async fn carry(&self, near: TcpStream, target: SocketAddr) {
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
        let Ok(far) = TcpStream::connect(target).await else {
            return;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let lost = self.lost.lock().subscribe();
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        let there = Way {
            condition: condition.clone(),
            lost: lost.clone(),
            passes: passes_there,
            carried: Some(&self.carried),
        };
        let back = Way {
            condition: condition.clone(),
            lost,
            passes: passes_back,
            carried: None,
        };
        tokio::select! {
            () = there.pump(near_read, far_write) => {}
            () = back.pump(far_read, near_write) => {}
            () = until_cut(condition) => {}
        }
    }
}

fn passes_there(condition: Condition) -> bool {
    condition != Condition::Silent
}

const fn passes_back(condition: Condition) -> bool {
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
struct Way<'a> {
    condition: watch::Receiver<Condition>,
    lost: watch::Receiver<bool>,
    passes: fn(Condition) -> bool,
    carried: Option<&'a AtomicUsize>,
}

/// Bytes on their way, and when they arrive.
struct Chunk {
    arrives_at: Instant,
    bytes: Vec<u8>,
}

impl Way<'_> {
    /// Carries until one side ends; what was on its way arrives first.
    async fn pump(self, from: OwnedReadHalf, to: OwnedWriteHalf) {
        let (sender, chunks) = mpsc::channel(ON_THE_WAY_MOST);
        tokio::join!(self.take(from, sender), deliver(chunks, to));
    }

    async fn take(mut self, mut from: OwnedReadHalf, sender: mpsc::Sender<Chunk>) {
        let mut chunk = vec![0; CHUNK];
        while let Ok(read @ 1..) = from.read(&mut chunk).await {
            if *self.lost.borrow() {
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
            if let Some(carried) = self.carried {
                carried.fetch_add(read, Ordering::Relaxed);
            }
            let on_its_way = Chunk {
                arrives_at: Instant::now() + delay(*self.condition.borrow()),
                bytes: chunk[..read].to_vec(),
            };
            if sender.send(on_its_way).await.is_err() {
                return;
            }
        }
        if *self.lost.borrow() {
            std::future::pending::<()>().await;
        }
    }
}

async fn deliver(mut chunks: mpsc::Receiver<Chunk>, mut to: OwnedWriteHalf) {
    while let Some(chunk) = chunks.recv().await {
        tokio::time::sleep_until(chunk.arrives_at.into()).await;
        if to.write_all(&chunk.bytes).await.is_err() {
            return;
        }
    }
}
