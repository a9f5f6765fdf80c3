//! The thread that claims idempotency keys in the store for this node.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::claim::{Action, Claim, Claims, Completion, Owner, Ticket, Verdict};
use mintridge_store::client::Client;
use mintridge_store::epoch::{Epoch, Rise};
use mintridge_store::operation::Freshness;
use mintridge_store::{keys, wire};
use tokio::sync::{mpsc, oneshot};

use crate::context::{Context, Stage};

/// How long the thread sleeps when nothing is due.
const IDLE: Duration = Duration::from_hours(1);

/// What the other duties ask of this one.
#[derive(Debug)]
pub enum Job {
    /// Claim a key before its request is handed over.
    Ask {
        /// The claim.
        claim: Claim,
        /// No answer is wanted after this instant.
        deadline: Instant,
        /// Where the answer goes.
        answer: oneshot::Sender<Verdict>,
    },
    /// Give a key back whose request was refused everywhere.
    Release(Claim),
}

/// The lease on which new claims hang.
struct Lease {
    id: i64,
    use_until: Instant,
}

struct Worker {
    context: Arc<Context>,
    store: Client,
    claims: Claims,
    answers: HashMap<Ticket, oneshot::Sender<Verdict>>,
    next_ticket: u64,
    lease: Option<Lease>,
    /// The epoch of the store in which the claims known here were made.
    epoch: Option<Epoch>,
}

/// Works until the node ends.
pub async fn run(context: Arc<Context>, mut jobs: mpsc::Receiver<Job>) {
    let settings = &context.settings;
    let mut stage = context.latest.stage.subscribe();
    let mut newest = context.epochs.subscribe();
    let store = Client::new(settings.store.address, settings.store.timeout);
    let mut worker = Worker {
        store: store.in_epochs(context.epochs.clone()),
        claims: Claims::new(settings.claim.clone(), Instant::now()),
        answers: HashMap::new(),
        next_ticket: 0,
        lease: None,
        epoch: None,
        context: Arc::clone(&context),
    };
    loop {
        while let Ok(job) = jobs.try_recv() {
            worker.take(job);
        }
        if worker.act().await {
            continue;
        }
        let wake_at = worker
            .claims
            .wake_at()
            .unwrap_or_else(|| Instant::now() + IDLE);
        tokio::select! {
            job = jobs.recv() => match job {
                Some(job) => worker.take(job),
                None => return,
            },
            () = tokio::time::sleep_until(wake_at.into()) => {}
            _ = newest.changed() => worker.follow_epoch(),
            _ = stage.wait_for(|stage| *stage == Stage::Ending) => return,
        }
    }
}

impl Worker {
    fn take(&mut self, job: Job) {
        match job {
            Job::Ask {
                claim,
                deadline,
                answer,
            } => {
                let ticket = Ticket(self.next_ticket);
                self.next_ticket += 1;
                self.answers.insert(ticket, answer);
                self.claims.submit(ticket, claim, deadline);
            }
            Job::Release(claim) => self.claims.release(claim),
        }
    }

    /// Does what is due; false if nothing is.
    async fn act(&mut self) -> bool {
        let Some(action) = self.claims.poll(Instant::now()) else {
            return false;
        };
        match action {
            Action::Answer(ticket, verdict) => self.answer(ticket, verdict),
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

    /// Takes in that the store has come back from an older copy, before any answer of the epoch
    /// after it counts.
    fn follow_epoch(&mut self) {
        let newest = self.context.epochs.newest();
        if let Some(rise) = Rise::between(self.epoch, newest) {
            log::warn!(
                epoch_before = rise.before.0,
                epoch = rise.now.0;
                "the store came back from an older copy: claims are written again, none is granted"
            );
            self.lease = None;
            self.claims.store_restored(Instant::now());
        }
        self.epoch = newest;
    }

    /// A store that names no epochs cannot show its return.
    async fn check(&self) {
        if self.context.epochs.newest().is_none() {
            return;
        }
        self.context.metrics.store_call("claim-check");
        let read = self.store.list(keys::IN_FORCE, Freshness::MayLag).await;
        if let Err(error) = read {
            log::debug!(error:% = error; "no sign of the store");
        }
    }

    fn answer(&mut self, ticket: Ticket, verdict: Verdict) {
        self.context.metrics.claim(verdict);
        if let Some(answer) = self.answers.remove(&ticket) {
            let _ = answer.send(verdict);
        }
    }

    async fn write(&mut self, claims: &[Claim]) -> Completion {
        let Some(lease) = self.lease().await else {
            return Completion::NotApplied;
        };
        let txn = wire::Txn {
            compare: claims.iter().map(absent).collect(),
            success: claims.iter().map(|claim| put(claim, lease)).collect(),
            failure: claims.iter().map(range).collect(),
        };
        self.context.metrics.store_call("claim");
        match self.store.etcd_txn(&txn).await {
            Ok(reply) if reply.succeeded => Completion::Applied,
            Ok(reply) => Completion::Conflict(holders(&reply)),
            Err(error) => {
                log::warn!(error:% = error, keys = claims.len(); "claims not confirmed");
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
            success: claims.iter().map(range).collect(),
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
            success: vec![wire::Operation::Delete(range_of(claim))],
            failure: vec![],
        };
        self.context.metrics.store_call("release");
        if let Err(error) = self.store.etcd_txn(&txn).await {
            log::warn!(error:% = error; "claim not released: its key stays unknown");
        }
    }

    /// A lease that outlives every claim hung on it by the time keys are remembered.
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

fn absent(claim: &Claim) -> wire::Compare {
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

fn range(claim: &Claim) -> wire::Operation {
    wire::Operation::Range(range_of(claim))
}

fn range_of(claim: &Claim) -> wire::Range {
    wire::Range {
        key: keys::claim(&claim.key.0).into(),
        ..wire::Range::default()
    }
}
