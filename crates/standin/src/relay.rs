//! A network between two processes: a relay that can be cut or fall silent.

use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const CHUNK: usize = 16 * 1024;

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
}

/// A relay from one address to another.
#[derive(Debug)]
pub struct Relay {
    condition: watch::Sender<Condition>,
    lost: Mutex<watch::Sender<bool>>,
}

impl Default for Relay {
    fn default() -> Self {
        Self {
            condition: watch::Sender::new(Condition::Normal),
            lost: Mutex::new(watch::Sender::new(false)),
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
        let cut = condition.clone();
        tokio::select! {
            () = pump(near_read, far_write, condition.clone(), lost.clone(), passes_there) => {}
            () = pump(far_read, near_write, condition, lost, passes_back) => {}
            () = until_cut(cut) => {}
        }
    }
}

fn passes_there(condition: Condition) -> bool {
    condition != Condition::Silent
}

const fn passes_back(condition: Condition) -> bool {
    !matches!(condition, Condition::Silent | Condition::NoAnswers)
}

async fn until_cut(mut condition: watch::Receiver<Condition>) {
    let _ = condition.wait_for(|now| *now == Condition::Cut).await;
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut condition: watch::Receiver<Condition>,
    lost: watch::Receiver<bool>,
    passes: fn(Condition) -> bool,
) {
    let mut chunk = vec![0; CHUNK];
    while let Ok(read @ 1..) = from.read(&mut chunk).await {
        if *lost.borrow() {
            std::future::pending::<()>().await;
        }
        if condition.wait_for(|now| passes(*now)).await.is_err() {
            return;
        }
        if to.write_all(&chunk[..read]).await.is_err() {
            return;
        }
    }
    if *lost.borrow() {
        std::future::pending::<()>().await;
    }
}
