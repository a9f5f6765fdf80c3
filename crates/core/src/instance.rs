//! Which instance of the upstream stands beside this node.
//!
//! An upstream that starts again is a new instance at the same address. Messages of the
//! one before may still arrive, late or out of order, and must change nothing.

use std::collections::VecDeque;
use std::sync::Arc;

/// Past instances remembered; each start of the upstream adds one, and a message is late
/// by seconds, so that a few would do.
const PAST_MOST: usize = 32;

/// What to do with a message of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It tells the present state.
    Current,
    /// It is late or of an instance that has ended: acknowledge it and change nothing.
    Outdated,
}

/// The present instance, and those before it.
#[derive(Debug, Default)]
pub struct Register {
    current: Option<Known>,
    past: VecDeque<Arc<str>>,
}

#[derive(Debug)]
struct Known {
    instance: Arc<str>,
    sequence: u64,
}

impl Register {
    /// An instance tells its state; `sequence` rises with each of its messages.
    ///
    /// Failure: a message of an upstream that has crashed arrives after its successor's
    /// first. Symptom: requests name an instance that is gone and are all refused. An
    /// instance that was succeeded is not taken back.
    pub fn heard(&mut self, instance: &Arc<str>, sequence: u64) -> Verdict {
        if self.past.contains(instance) {
            return Verdict::Outdated;
        }
        match &mut self.current {
            Some(known) if known.instance == *instance => {
                if sequence < known.sequence {
                    return Verdict::Outdated;
                }
                known.sequence = sequence;
            }
            _ => self.succeed(instance, sequence),
        }
        Verdict::Current
    }

    /// An instance says that it ends; none of its messages counts from now on.
    pub fn left(&mut self, instance: &Arc<str>) -> Verdict {
        let is_current = self.current().is_some_and(|current| current == instance);
        self.retire(Arc::clone(instance));
        if is_current {
            self.current = None;
            return Verdict::Current;
        }
        Verdict::Outdated
    }

    /// The upstream itself refused a request as meant for another instance than this one.
    ///
    /// Failure: the first message ever heard of an instance is a late one, after that of
    /// its successor. Symptom: the successor counts as past and is never taken back. What
    /// stands at the address settles it.
    pub fn found(&mut self, instance: &Arc<str>) {
        if self.current().is_some_and(|current| current == instance) {
            return;
        }
        self.past.retain(|past| past != instance);
        self.succeed(instance, 0);
    }

    /// The present instance.
    #[must_use]
    pub fn current(&self) -> Option<&Arc<str>> {
        self.current.as_ref().map(|known| &known.instance)
    }

    fn succeed(&mut self, instance: &Arc<str>, sequence: u64) {
        let known = Known {
            instance: Arc::clone(instance),
            sequence,
        };
        if let Some(before) = self.current.replace(known) {
            self.retire(before.instance);
        }
    }

    fn retire(&mut self, instance: Arc<str>) {
        if self.past.contains(&instance) {
            return;
        }
        if self.past.len() == PAST_MOST {
            self.past.pop_front();
        }
        self.past.push_back(instance);
    }
}
