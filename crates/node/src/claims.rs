//! Claims idempotency keys in the store for this node, on a thread of its own.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::claim::{Action, Claim, Claims, Completion, Owner, Ticket, Verdict};
use mintridge_store::client::Client;
use mintridge_store::epoch::{Epoch, Restoration};
use mintridge_store::operation::Freshness;
use mintridge_store::{keys, wire};
use tokio::sync::{mpsc, oneshot};

use crate::context::{Context, Stage};

/// Sleep time of the thread when no action is due.
const IDLE_SLEEP: Duration = Duration::from_hours(1);

/// A job that another duty of this node submits.
#[derive(Debug)]
pub enum Job {
    /// Claim a key before its request is handed over to the upstream.
    Submit {
        /// Claim to make.
        claim: Claim,
        /// The verdict is useless after this instant.
        deadline: Instant,
        /// Receives the verdict.
        verdict_sender: oneshot::Sender<Verdict>,
    },
    /// Release a key whose request was refused by every host.
    Release(Claim),
}

/// The store lease that new claims are attached to.
struct Lease {
    id: i64,
    use_until: Instant,
}

struct Worker {
    context: Arc<Context>,
    store: Client,
    claims: Claims,
    verdict_senders: HashMap<Ticket, oneshot::Sender<Verdict>>,
    next_ticket: u64,
    lease: Option<Lease>,
    /// Store epoch in which the claims known to this node were made.
    epoch: Option<Epoch>,
}

/// Processes jobs until the node ends.
pub async fn run(context: Arc<Context>, mut jobs: mpsc::Receiver<Job>) {
    let settings = &context.settings;
    let mut stage = context.latest.stage.subscribe();
    let mut newest_epoch = context.epochs.subscribe();
    let store = Client::new(settings.store.address, settings.store.timeout);
    let mut worker = Worker {
        store: store.with_epochs(context.epochs.clone()),
        claims: Claims::new(settings.claim.clone(), Instant::now()),
        verdict_senders: HashMap::new(),
        next_ticket: 0,
        lease: None,
        epoch: None,
        context: Arc::clone(&context),
    };
    loop {
        while let Ok(job) = jobs.try_recv() {
            worker.submit(job);
        }
        if worker.run_next_action().await {
            continue;
        }
        let wake_at = worker
            .claims
            .wake_at()
            .unwrap_or_else(|| Instant::now() + IDLE_SLEEP);
        tokio::select! {
            job = jobs.recv() => match job {
                Some(job) => worker.submit(job),
                None => return,
            },
            () = tokio::time::sleep_until(wake_at.into()) => {}
            _ = newest_epoch.changed() => worker.follow_epoch(),
            _ = stage.wait_for(|stage| *stage == Stage::Ending) => return,
        }
    }
}

impl Worker {
    fn submit(&mut self, job: Job) {
        match job {
            Job::Submit {
                claim,
                deadline,
                verdict_sender,
            } => {
                let ticket = Ticket(self.next_ticket);
                self.next_ticket += 1;
                self.verdict_senders.insert(ticket, verdict_sender);
                self.claims.submit(ticket, claim, deadline);
            }
            Job::Release(claim) => self.claims.release(claim),
        }
    }

    /// Performs the next action that is due; returns false if there is none.
    async fn run_next_action(&mut self) -> bool {
        let Some(action) = self.claims.poll(Instant::now()) else {
            return false;
        };
        match action {
            Action::Answer(ticket, verdict) => self.send_verdict(ticket, verdict),
            Action::Write(claims) => {
                let written = self.write(&claims).await;
                self.follow_epoch();
                self.claims.write_finished(written);
            }
            Action::Read(claims) => {
                let holders = self.read(&claims).await;
                self.follow_epoch();
                self.claims.read_finished(holders.as_deref());
            }
            Action::Check => {
                self.check().await;
                self.follow_epoch();
                self.claims.check_finished();
            }
            Action::Release(claim) => {
                self.release(&claim).await;
                self.claims.release_finished();
            }
        }
        true
    }

    /// Detects a restore of the store from an older copy. Called before the reply to a store call
    /// is used, since that reply may already come from the epoch after the restore.
    fn follow_epoch(&mut self) {
        let newest_epoch = self.context.epochs.newest();
        if let Some(restoration) = Restoration::between(self.epoch, newest_epoch) {
            log::warn!(
                epoch_before = restoration.before.0,
                epoch = restoration.now.0;
                "the store was restored from an older copy: writing claims again, granting none yet"
            );
            self.lease = None;
            self.claims.store_restored(Instant::now());
        }
        self.epoch = newest_epoch;
    }

    /// Reads from the store to learn its epoch, which reveals a restore from an older copy. A store
    /// that sends no epochs cannot reveal a restore, so it is not read.
    async fn check(&self) {
        if self.context.epochs.newest().is_none() {
            return;
        }
        self.context.metrics.store_call("claim-check");
        let read = self.store.list(keys::IN_FORCE, Freshness::MayLag).await;
        if let Err(error) = read {
            log::debug!(error:% = error; "store check failed");
        }
    }

    fn send_verdict(&mut self, ticket: Ticket, verdict: Verdict) {
        self.context.metrics.claim(verdict);
        if let Some(verdict_sender) = self.verdict_senders.remove(&ticket) {
            let _ = verdict_sender.send(verdict);
        }
    }

    async fn write(&mut self, claims: &[Claim]) -> Completion {
        let Some(lease) = self.lease().await else {
            return Completion::NotApplied;
        };
        let txn = wire::Txn {
            compare: claims.iter().map(key_is_absent).collect(),
            success: claims.iter().map(|claim| put(claim, lease)).collect(),
            failure: claims.iter().map(range_operation).collect(),
        };
        self.context.metrics.store_call("claim");
        match self.store.etcd_txn(&txn).await {
            Ok(reply) if reply.succeeded => Completion::Applied,
            Ok(reply) => Completion::Conflict(holders(&reply)),
            Err(error) => {
                log::warn!(error:% = error, keys = claims.len(); "store did not confirm claims");
                self.lease = None;
                if error.proves_no_effect() {
                    Completion::NotApplied
                } else {
                    Completion::Lost
                }
            }
        }
    }

    async fn read(&self, claims: &[Claim]) -> Option<Vec<Option<Owner>>> {
        let txn = wire::Txn {
            success: claims.iter().map(range_operation).collect(),
            ..wire::Txn::default()
        };
        self.context.metrics.store_call("claim-read");
        let reply = self.store.etcd_txn(&txn).await.ok()?;
        Some(holders(&reply))
    }

    async fn release(&self, claim: &Claim) {
        let unchanged = wire::Compare {
            key: keys::claim(&claim.key.0).into(),
            target: wire::Target::Value,
            value: Some(claim.owner.0.as_bytes().to_vec()),
            ..wire::Compare::default()
        };
        let txn = wire::Txn {
            compare: vec![unchanged],
            success: vec![wire::Operation::Delete(key_range(claim))],
            failure: vec![],
        };
        self.context.metrics.store_call("release");
        if let Err(error) = self.store.etcd_txn(&txn).await {
            log::warn!(
                error:% = error;
                "claim not released: repeats with its key are refused with an unknown outcome"
            );
        }
    }

    /// Returns a lease that lives for at least `remember_for` after a claim is attached to it.
    async fn lease(&mut self) -> Option<i64> {
        let now = Instant::now();
        if let Some(lease) = &self.lease
            && now < lease.use_until
        {
            return Some(lease.id);
        }
        let settings = &self.context.settings.claim;
        let time_to_live = settings.remember_for + settings.lease_used_for;
        self.context.metrics.store_call("lease");
        let granted = self.store.grant(time_to_live).await.ok()?;
        self.lease = Some(Lease {
            id: granted,
            use_until: now + settings.lease_used_for,
        });
        Some(granted)
    }
}

fn holders(reply: &wire::TxnReply) -> Vec<Option<Owner>> {
    reply
        .responses
        .iter()
        .map(|response| {
            let found = response.response_range.as_ref()?.kvs.first()?;
            Some(Owner(Arc::from(String::from_utf8_lossy(&found.value))))
        })
        .collect()
}

fn key_is_absent(claim: &Claim) -> wire::Compare {
    wire::Compare {
        key: keys::claim(&claim.key.0).into(),
        target: wire::Target::Create,
        create_revision: Some(0),
        ..wire::Compare::default()
    }
}

fn put(claim: &Claim, lease: i64) -> wire::Operation {
    wire::Operation::Put(wire::Put {
        key: keys::claim(&claim.key.0).into(),
        value: claim.owner.0.as_bytes().to_vec(),
        lease,
    })
}

fn range_operation(claim: &Claim) -> wire::Operation {
    wire::Operation::Range(key_range(claim))
}

fn key_range(claim: &Claim) -> wire::Range {
    wire::Range {
        key: keys::claim(&claim.key.0).into(),
        ..wire::Range::default()
    }
}
