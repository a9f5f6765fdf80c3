//! Admission beside the upstream: run now, wait, or refuse at once.
//!
//! A request runs while the upstream has fewer than its limit. Beyond that it waits
//! in a short queue that is fair between customers by their weights, and it is
//! refused at once, truthfully as not run, when its turn would come too late for its
//! deadline or when its customer already fills its part of the queue.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::configs::admission::Settings;
use crate::ewma::Ewma;
use crate::load::Report;
use crate::outcome::{Reason, Refusal};
use crate::request::{Arrival, Id};

/// What happens to a request that just arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It holds a slot; hand it over.
    Admit,
    /// It waits; an [`Action`] will follow.
    Queue,
    /// It is given up on.
    Refuse(Refusal),
}

/// What to do with a request that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// It holds a slot; hand it over.
    Admit(Id),
    /// It is given up on.
    Refuse(Id, Refusal),
}

/// How the upstream began to answer a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// With its result.
    Served,
    /// By shedding it: the limit is too high for its present speed.
    Shed,
}

/// The queue and the slots of one upstream.
#[derive(Debug)]
pub struct Admission {
    settings: Settings,
    slots: u32,
    limit: f64,
    lowered_at: Option<Instant>,
    running: HashMap<Id, Instant>,
    customers: BTreeMap<Arc<str>, Customer>,
    queued: usize,
    virtual_time: f64,
    service_time: Ewma,
    actions: VecDeque<Action>,
}

/// Requests of one customer; `tag` is its virtual finish time.
#[derive(Debug)]
struct Customer {
    weight: f64,
    tag: f64,
    waiting: VecDeque<Arrival>,
}

impl Customer {
    fn backlog(&self) -> f64 {
        count(self.waiting.len()) / self.weight
    }
}

impl Admission {
    /// An upstream with `slots` and nothing running.
    #[must_use]
    pub fn new(settings: Settings, slots: u32) -> Self {
        let initial = settings.service_time_initial.as_secs_f64();
        Self {
            service_time: Ewma::new(initial, settings.service_time_share),
            limit: most_of(&settings, slots),
            settings,
            slots,
            lowered_at: None,
            running: HashMap::new(),
            customers: BTreeMap::new(),
            queued: 0,
            virtual_time: 0.0,
            actions: VecDeque::new(),
        }
    }

    /// Takes the number of slots that the upstream announced.
    pub fn set_slots(&mut self, slots: u32) {
        if slots == self.slots {
            return;
        }
        self.slots = slots;
        self.limit = most_of(&self.settings, slots);
    }

    /// Decides on a request that just arrived.
    pub fn arrive(&mut self, now: Instant, arrival: Arrival, weight: f64) -> Decision {
        if self.can_run() && self.queued == 0 {
            self.charge(&arrival.customer, weight);
            self.running.insert(arrival.id, now);
            return Decision::Admit;
        }
        let wait = self.expected_wait(&arrival.customer, weight);
        if now + wait + self.service_time.mean() > arrival.deadline {
            return Decision::Refuse(self.refusal(now, Reason::Deadline));
        }
        if self.queued >= self.queue_most() && !self.displace(now, &arrival.customer, weight) {
            return Decision::Refuse(self.refusal(now, Reason::Busy));
        }
        self.enqueue(arrival, weight);
        Decision::Queue
    }

    /// The upstream began to answer a request that holds a slot.
    ///
    /// The time until then is what a request costs; how long the body then takes is
    /// up to the caller who reads it.
    pub fn answered(&mut self, now: Instant, id: Id, answer: Answer) {
        let Some(started) = self.running.get(&id) else {
            return;
        };
        match answer {
            Answer::Served => {
                self.service_time.add(now.duration_since(*started));
                self.raise_limit();
            }
            Answer::Shed => self.lower_limit(now),
        }
    }

    /// A request that held a slot is over, whatever came of it.
    pub fn finish(&mut self, id: Id) {
        self.running.remove(&id);
    }

    /// The caller of a request that waits has gone.
    pub fn withdraw(&mut self, id: Id) {
        for customer in self.customers.values_mut() {
            let before = customer.waiting.len();
            customer.waiting.retain(|arrival| arrival.id != id);
            self.queued -= before - customer.waiting.len();
        }
    }

    /// Refuses everything that waits, as when the upstream turns doubtful.
    pub fn refuse_waiting(&mut self, now: Instant, reason: Reason) {
        let refusal = self.refusal(now, reason);
        for customer in self.customers.values_mut() {
            for arrival in customer.waiting.drain(..) {
                self.actions.push_back(Action::Refuse(arrival.id, refusal));
            }
        }
        self.queued = 0;
    }

    /// What to do next; call until `None` after each event and at [`Self::wake_at`].
    pub fn poll(&mut self, now: Instant) -> Option<Action> {
        self.refuse_late(now);
        if let Some(action) = self.actions.pop_front() {
            return Some(action);
        }
        if !self.can_run() {
            return None;
        }
        let arrival = self.dequeue()?;
        self.running.insert(arrival.id, now);
        Some(Action::Admit(arrival.id))
    }

    /// When a waiting request must be refused unless its turn comes before.
    #[must_use]
    pub fn wake_at(&self) -> Option<Instant> {
        let service_time = self.service_time.mean();
        self.customers
            .values()
            .flat_map(|customer| &customer.waiting)
            .map(|arrival| latest_start(arrival, service_time))
            .min()
    }

    /// The load at this moment.
    #[must_use]
    pub fn report(&self) -> Report {
        Report {
            in_flight: saturate(self.running.len()),
            queued: saturate(self.queued),
            limit: self.limit_whole(),
            service_micros: saturate(self.service_time.mean().as_micros()),
        }
    }

    /// Mean time of a request in the upstream.
    #[must_use]
    pub fn service_time(&self) -> Duration {
        self.service_time.mean()
    }

    /// A refusal as not run that says when the queue will have drained.
    #[must_use]
    pub fn refusal(&self, now: Instant, reason: Reason) -> Refusal {
        let drained = self.service_time.seconds() * count(self.queued + 1) / self.limit;
        let wait = Duration::from_secs_f64(drained).max(self.settings.retry_after_least);
        Refusal::not_run(reason, now + wait)
    }

    fn can_run(&self) -> bool {
        saturate(self.running.len()) < self.limit_whole()
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn limit_whole(&self) -> u32 {
        self.limit.max(1.0) as u32
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn queue_most(&self) -> usize {
        let by_slots = (f64::from(self.slots) * self.settings.queue_per_slot) as usize;
        by_slots.max(self.settings.queue_least)
    }

    /// Expected wait of one more request of this customer.
    ///
    /// Between its own requests each other customer with a backlog gets its turns, but
    /// no more of them than it has waiting.
    fn expected_wait(&self, name: &str, weight: f64) -> Duration {
        let own = self.customers.get(name).map_or(0, |c| c.waiting.len());
        let rounds = count(own + 1) / weight;
        let ahead: f64 = self
            .customers
            .iter()
            .filter(|(other, _)| other.as_ref() != name)
            .map(|(_, other)| count(other.waiting.len()).min(rounds * other.weight))
            .sum();
        let turns = count(own + 1) + ahead;
        Duration::from_secs_f64(self.service_time.seconds() * turns / self.limit)
    }

    /// Makes room in a full queue by refusing the newest of the longest backlog.
    ///
    /// Failure: one customer sends ten times its share. Symptom: the queue is full of
    /// its requests and small customers are refused. The longest backlog pays instead,
    /// so a large customer waits behind itself.
    fn displace(&mut self, now: Instant, name: &Arc<str>, weight: f64) -> bool {
        let own = self.customers.get(name).map_or(0, |c| c.waiting.len());
        let own_backlog = count(own + 1) / weight;
        let refusal = self.refusal(now, Reason::Busy);
        let Some(longest) = self
            .customers
            .values_mut()
            .max_by(|a, b| a.backlog().total_cmp(&b.backlog()))
        else {
            return false;
        };
        if longest.backlog() <= own_backlog {
            return false;
        }
        let Some(displaced) = longest.waiting.pop_back() else {
            return false;
        };
        self.queued -= 1;
        self.actions
            .push_back(Action::Refuse(displaced.id, refusal));
        true
    }

    fn enqueue(&mut self, arrival: Arrival, weight: f64) {
        let customer = self.customer(&arrival.customer, weight);
        customer.waiting.push_back(arrival);
        self.queued += 1;
    }

    /// Takes the request of the customer that has had least, relative to its weight.
    fn dequeue(&mut self) -> Option<Arrival> {
        let (_, customer) = self
            .customers
            .iter_mut()
            .filter(|(_, customer)| !customer.waiting.is_empty())
            .min_by(|(_, a), (_, b)| a.tag.total_cmp(&b.tag))?;
        let arrival = customer.waiting.pop_front()?;
        let weight = customer.weight;
        self.queued -= 1;
        self.charge(&arrival.customer, weight);
        Some(arrival)
    }

    /// Counts one turn against a customer, and forgets customers that are even.
    fn charge(&mut self, name: &Arc<str>, weight: f64) {
        let customer = self.customer(name, weight);
        let started = customer.tag;
        customer.tag += 1.0 / weight;
        self.virtual_time = self.virtual_time.max(started);
        let even = self.virtual_time;
        self.customers
            .retain(|_, customer| !customer.waiting.is_empty() || customer.tag > even);
    }

    fn customer(&mut self, name: &Arc<str>, weight: f64) -> &mut Customer {
        let virtual_time = self.virtual_time;
        let customer = self
            .customers
            .entry(Arc::clone(name))
            .or_insert_with(|| Customer {
                weight,
                tag: virtual_time,
                waiting: VecDeque::new(),
            });
        customer.weight = weight;
        if customer.waiting.is_empty() {
            customer.tag = customer.tag.max(virtual_time);
        }
        customer
    }

    /// Refuses what can no longer be answered by its deadline, while it still knows.
    fn refuse_late(&mut self, now: Instant) {
        if self.queued == 0 {
            return;
        }
        let service_time = self.service_time.mean();
        let refusal = self.refusal(now, Reason::Deadline);
        for customer in self.customers.values_mut() {
            let before = customer.waiting.len();
            customer.waiting.retain(|arrival| {
                let in_time = now < latest_start(arrival, service_time);
                if !in_time {
                    self.actions.push_back(Action::Refuse(arrival.id, refusal));
                }
                in_time
            });
            self.queued -= before - customer.waiting.len();
        }
    }

    fn raise_limit(&mut self) {
        let raised = self.limit + self.settings.limit_increase / self.limit;
        self.limit = raised.min(most_of(&self.settings, self.slots));
    }

    /// Lowers the limit once per service time: what was already running when it fell
    /// says nothing about the new limit.
    fn lower_limit(&mut self, now: Instant) {
        let settled = self
            .lowered_at
            .is_none_or(|at| now >= at + self.service_time.mean());
        if !settled {
            return;
        }
        self.lowered_at = Some(now);
        let lowered = self.limit * self.settings.limit_decrease;
        self.limit = lowered.max(self.settings.limit_least);
    }
}

/// Requests that run at once while all is well.
fn most_of(settings: &Settings, slots: u32) -> f64 {
    (f64::from(slots) * settings.slots_share).max(1.0)
}

fn latest_start(arrival: &Arrival, service_time: Duration) -> Instant {
    arrival
        .deadline
        .checked_sub(service_time)
        .unwrap_or(arrival.deadline)
}

fn saturate<T: TryInto<u32>>(number: T) -> u32 {
    number.try_into().unwrap_or(u32::MAX)
}

#[allow(clippy::cast_precision_loss)]
const fn count(number: usize) -> f64 {
    number as f64
}
