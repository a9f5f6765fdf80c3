//! Admission control in front of one upstream: run a request now, queue it, or refuse it.
//!
//! Load pattern: several nodes send requests to the same upstream concurrently, each using load
//! data that is a few hundred milliseconds old, and upstreams slow down before all their slots are
//! taken. A request runs while fewer requests than the limit are in flight. Otherwise it waits in
//! [`crate::queue`]. A request that would start too late is refused immediately with the outcome
//! "not run", so that the entry node still has time to try another host.
//!
//! Under overload, an answer within the target latency is worth far more than a late one, and both
//! occupy a slot for the same time. The wait of a request that can meet its target is therefore
//! estimated from only the requests that go before it. Late requests get the remaining capacity,
//! and only a few of them may wait. Any further late request is refused immediately, while its
//! caller still has time to retry.
//!
//! At any moment a quarter of the hosts is several times slower than usual, and a request that
//! starts on such a host stays slow until it finishes. If requests start regardless of this, they
//! use 1.75 times the slot time that they need. A request therefore doesn't start on a host in a
//! slow phase ([`crate::pace`]) if another host may take it, or if waiting for the end of the
//! phase costs less.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::configs::admission::Settings;
use crate::limit::{self, Limit};
use crate::load::{Report, Upstream};
use crate::outcome::{Reason, Refusal};
use crate::pace::Pace;
use crate::queue::Queue;
use crate::request::{Arrival, Id};
use crate::request_limit::RequestLimit;
use crate::shares::Shares;
use crate::stop::Stop;
use crate::warm_up::WarmUp;
use crate::work::{Class, Demand, Times};

/// The capacity divided by this is the number of requests that may wait although they will miss
/// their target.
const LATE_DIVISOR: usize = 2;
/// Lower bound on the estimated share of the slots that remains for a request after more urgent
/// ones. At 0.2 the estimated wait is five times the usual, which is longer than any target allows.
const MIN_REMAINING_SHARE: f64 = 0.2;

/// A start that was counted longer ago than this is counted again when the request is sent.
const START_VALIDITY: Duration = Duration::from_millis(100);
/// Longest retry delay that a refusal gives while the upstream takes no request.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Lower bound of the capacity in requests, for an upstream that names a limit of zero.
const MIN_CAPACITY: f64 = 0.01;

/// Decision on a newly arrived request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request holds a slot; send it to the upstream.
    Admit,
    /// The request is queued; an [`Action`] will follow.
    Queue,
    /// The request is refused.
    Refuse(Refusal),
}

/// What to do with a request that was queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// The request holds a slot; send it to the upstream.
    Admit(Id),
    /// The request is refused.
    Refuse(Id, Refusal),
}

/// How the upstream started to answer a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The upstream sent the result.
    Served,
    /// The upstream shed the request: the limit is too high for its current speed.
    Shed,
}

/// The slots of one upstream and the requests that wait for them.
#[derive(Debug)]
pub struct Admission {
    settings: Settings,
    limit: Limit,
    running: HashMap<Id, Running>,
    queue: Queue,
    /// Requests that were queued although they were expected to miss their target.
    expected_late: HashSet<Id>,
    times: Times,
    demand: Demand,
    shares: Shares,
    pace: Pace,
    warm_up: WarmUp,
    request_limit: RequestLimit,
    /// Requests that hold a slot and wait to be sent; no other starts before them.
    delayed: HashSet<Id>,
    stop: Stop,
    actions: VecDeque<Action>,
}

#[derive(Clone, Debug)]
struct Running {
    started_at: Instant,
    /// When the start was last counted in the rate of starts.
    counted_at: Instant,
    route: Arc<str>,
    /// Service time on the host when the request started, in percent of its usual one.
    slowness_percent: u32,
}

impl Admission {
    /// Creates the admission control of an upstream with `slots` slots, none of them in use.
    #[must_use]
    pub fn new(settings: Settings, slots: u32) -> Self {
        Self {
            times: Times::new(&settings),
            demand: Demand::default(),
            shares: Shares::default(),
            limit: Limit::new(&settings, slots),
            settings,
            running: HashMap::new(),
            queue: Queue::default(),
            expected_late: HashSet::new(),
            pace: Pace::default(),
            warm_up: WarmUp::default(),
            request_limit: RequestLimit::default(),
            delayed: HashSet::new(),
            stop: Stop::default(),
            actions: VecDeque::new(),
        }
    }

    /// Limits starts by the warm-up state of an upstream that may be cold.
    #[must_use]
    pub fn with_warm_up(self, warm_up: WarmUp) -> Self {
        Self { warm_up, ..self }
    }

    /// Returns the warm-up state of the upstream.
    #[must_use]
    pub const fn warm_up(&self) -> &WarmUp {
        &self.warm_up
    }

    /// Returns the warm-up state for updates; call [`Self::poll`] after changing it.
    pub const fn warm_up_mut(&mut self) -> &mut WarmUp {
        &mut self.warm_up
    }

    /// Limits starts by the limit that the upstream names in its responses.
    #[must_use]
    pub fn with_request_limit(self, request_limit: RequestLimit) -> Self {
        Self {
            request_limit,
            ..self
        }
    }

    /// Returns the limit that the upstream names.
    #[must_use]
    pub const fn request_limit(&self) -> &RequestLimit {
        &self.request_limit
    }

    /// Returns the named limit for updates; call [`Self::poll`] after changing it.
    pub const fn request_limit_mut(&mut self) -> &mut RequestLimit {
        &mut self.request_limit
    }

    /// Replaces the settings and resets the limit.
    pub fn set_settings(&mut self, settings: Settings) {
        self.settings = settings;
        self.limit = Limit::new(&self.settings, self.limit.slots());
    }

    /// Sets the number of slots that the upstream announced; a change resets the limit.
    pub fn set_slots(&mut self, slots: u32) {
        if slots != self.limit.slots() {
            self.limit = Limit::new(&self.settings, slots);
        }
    }

    /// Records that the node is stopping; call [`Self::poll`] afterwards. Queued requests that may
    /// not end before the process does are refused.
    pub const fn set_stop(&mut self, stop: Stop) {
        self.stop = stop;
    }

    /// Returns whether a request with this deadline ends before the process does.
    #[must_use]
    pub fn can_end_in_time(&self, deadline: Instant) -> bool {
        self.stop.can_end(deadline)
    }

    /// Records a load report of the upstream; returns whether the known slowness changed.
    pub fn observe_load(&mut self, now: Instant, load: &Upstream) -> bool {
        let before = self.pace.reported_percent(&self.settings, now);
        self.pace
            .observe(&self.settings, now, load.slowness_percent);
        before != self.pace.reported_percent(&self.settings, now)
    }

    /// Resets what was learned about the upstream after it restarted. A new instance is cold, so
    /// the pace, service times and limit of the previous one no longer apply. Requests that hold a
    /// slot release it once they are found to be lost.
    pub fn reset_after_restart(&mut self, now: Instant) {
        self.times = Times::new(&self.settings);
        self.limit = Limit::new(&self.settings, self.limit.slots());
        self.pace = Pace::default();
        self.warm_up.reset_after_restart();
        self.request_limit.reset_after_restart(now);
    }

    /// Returns whether the upstream recently reported the pace of its host.
    #[must_use]
    pub fn has_recent_pace(&self, now: Instant) -> bool {
        self.pace.is_fresh(&self.settings, now)
    }

    /// Returns whether requests are queued until a slow phase ends.
    #[must_use]
    pub fn is_waiting_for_slow_phase(&self, now: Instant) -> bool {
        !self.queue.is_empty() && self.pace.slow_percent(&self.settings, now).is_some()
    }

    /// Admits, queues or refuses a request that just arrived.
    pub fn arrive(&mut self, now: Instant, arrival: Arrival, weight: f64) -> Decision {
        let (priority, may_go_elsewhere) = (arrival.priority, arrival.only_in_time);
        let decision = self.decide(now, arrival, weight);
        if matches!(decision, Decision::Refuse(_)) && !may_go_elsewhere {
            self.shares.record(now, priority, false);
        }
        decision
    }

    fn decide(&mut self, now: Instant, arrival: Arrival, weight: f64) -> Decision {
        if !self.can_end_in_time(arrival.deadline) {
            return Decision::Refuse(self.refusal(now, Reason::Leaving));
        }
        if self.pace.slow_percent(&self.settings, now).is_some() && arrival.only_in_time {
            return Decision::Refuse(self.refusal(now, Reason::Late));
        }
        let may_begin = self.pace.start_policy(&self.settings, now);
        if self.can_run(now) && self.queue.is_empty() && may_begin(self.expected_time(&arrival)) {
            self.queue.charge(&arrival, weight);
            self.run(now, &arrival);
            return Decision::Admit;
        }
        let in_time = self.expected_completion(now, &arrival, weight, false) <= arrival.target;
        if !in_time {
            if self.expected_completion(now, &arrival, weight, true) > arrival.deadline {
                return Decision::Refuse(self.refusal(now, Reason::Deadline));
            }
            if arrival.only_in_time || self.max_late(now) <= self.late_count(now) {
                return Decision::Refuse(self.refusal(now, Reason::Late));
            }
        }
        if self.queue.len() >= self.max_queued() {
            let order = self.order(now);
            let Some(displaced) = self.queue.displace(&arrival, weight, order) else {
                return Decision::Refuse(self.refusal(now, Reason::Busy));
            };
            self.refuse_queued_request(now, &displaced, Reason::Busy);
        }
        if !in_time {
            self.expected_late.insert(arrival.id);
        }
        self.queue.push(arrival, weight);
        Decision::Queue
    }

    /// Records that the upstream started to answer a request that holds a slot.
    ///
    /// The time until the start of the answer counts as the request's service time. The time for
    /// the body depends on how fast the caller reads it.
    pub fn record_answer(&mut self, now: Instant, id: Id, answer: Answer) {
        let Some(running) = self.running.get(&id) else {
            return;
        };
        match answer {
            Answer::Served => {
                let service_time = now.duration_since(running.started_at);
                self.times
                    .record(&running.route, service_time, running.slowness_percent);
                self.limit.raise(&self.settings);
            }
            Answer::Shed => {
                let mean = self.times.mean();
                self.limit.lower(&self.settings, now, mean);
            }
        }
    }

    /// Returns whether a request that holds a slot may be sent to the upstream now; if not, when to
    /// ask again.
    ///
    /// Failure: requests hold slots while they wait for their claims or bodies, and all of them
    /// are sent at once. Symptom: an upstream that is cold or names a limit gets a burst of them.
    ///
    /// # Errors
    /// The time of the next start, if the request held its slot for a while and the upstream takes
    /// none now.
    pub fn confirm_start(&mut self, now: Instant, id: Id) -> Result<(), Instant> {
        let counted_at = self.running.get(&id).map(|running| running.counted_at);
        if counted_at.is_none_or(|counted_at| now < counted_at + START_VALIDITY) {
            return Ok(());
        }
        if let Some(starts_at) = self.next_start(now) {
            self.delayed.insert(id);
            return Err(starts_at);
        }
        self.delayed.remove(&id);
        self.record_start(now);
        if let Some(running) = self.running.get_mut(&id) {
            running.counted_at = now;
        }
        Ok(())
    }

    /// Releases the slot of a finished request, whatever its outcome.
    pub fn finish(&mut self, id: Id) {
        self.running.remove(&id);
        self.delayed.remove(&id);
    }

    /// Removes a queued request whose caller has gone away.
    pub fn cancel(&mut self, id: Id) {
        self.queue.remove(id);
    }

    /// Refuses all queued requests, for example when the upstream becomes doubtful.
    pub fn refuse_queued(&mut self, now: Instant, reason: Reason) {
        let refusal = self.refusal(now, reason);
        let actions = &mut self.actions;
        self.queue.retain(
            |_| false,
            |arrival| actions.push_back(Action::Refuse(arrival.id, refusal)),
        );
    }

    /// Returns the next action; call until `None` after each event and at [`Self::wake_at`].
    pub fn poll(&mut self, now: Instant) -> Option<Action> {
        self.refuse_past_end(now);
        self.refuse_past_deadline(now);
        self.refuse_excess_late(now);
        if let Some(action) = self.actions.pop_front() {
            return Some(action);
        }
        if self.queue.is_empty() || !self.can_run(now) {
            return None;
        }
        let times = &self.times;
        let order = self.order(now);
        let may_begin = self.pace.start_policy(&self.settings, now);
        let arrival = self.queue.pop(
            now,
            order,
            |arrival| times.for_route(&arrival.route),
            may_begin,
        )?;
        self.run(now, &arrival);
        Some(Action::Admit(arrival.id))
    }

    /// Returns when [`Self::poll`] must be called next if no other event happens before. At that
    /// time a queued request becomes late or has to be refused, the last report of a slow phase
    /// expires, or an upstream that is cold or names a limit can take another request.
    #[must_use]
    pub fn wake_at(&self, now: Instant) -> Option<Instant> {
        let latest_starts = self.queue.iter().map(|arrival| {
            let expected_time = self.expected_time(arrival);
            let in_time = latest_start(arrival.target, expected_time);
            if now < in_time {
                in_time
            } else {
                latest_start(arrival.deadline, expected_time)
            }
        });
        let earliest = latest_starts.min()?;
        let slow_report_expires_at = self.pace.slow_report_expires_at(&self.settings);
        let starts_at = self.next_start(now);
        [Some(earliest), slow_report_expires_at, starts_at]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns the current load.
    #[must_use]
    pub fn report(&self, now: Instant) -> Report {
        Report {
            in_flight: saturating_u32(self.running.len()),
            queued: saturating_u32(self.queue.len()),
            limit: limit::whole_requests(self.capacity(now)),
            service_micros: saturating_u32(self.times.mean().as_micros()),
            slowness_percent: self.pace.reported_percent(&self.settings, now),
            start_delay_micros: self.start_delay_micros(now),
        }
    }

    /// Returns the mean service time of requests in the upstream.
    #[must_use]
    pub fn service_time(&self) -> Duration {
        self.times.mean()
    }

    /// Returns a "not run" refusal whose retry time is when the queue is expected to be empty.
    #[must_use]
    pub fn refusal(&self, now: Instant, reason: Reason) -> Refusal {
        let drain_seconds =
            self.times.mean().as_secs_f64() * to_f64(self.queue.len() + 1) / self.capacity(now);
        let wait = Duration::from_secs_f64(drain_seconds).max(self.settings.retry_after_least);
        let starts_at = self.next_start(now).unwrap_or(now);
        Refusal::not_run(
            reason,
            (now + wait).max(starts_at.min(now + MAX_RETRY_DELAY)),
        )
    }

    /// Returns when the upstream can take another request; `None` if it can at once.
    fn next_start(&self, now: Instant) -> Option<Instant> {
        let cold = self.warm_up.next_start(now);
        cold.max(self.request_limit.next_start(now))
    }

    /// Returns how long the limit that the upstream names delays the start of another request.
    fn start_delay_micros(&self, now: Instant) -> u32 {
        let starts_at = self.request_limit.next_start(now).unwrap_or(now);
        saturating_u32(starts_at.saturating_duration_since(now).as_micros())
    }

    fn can_run(&self, now: Instant) -> bool {
        saturating_u32(self.running.len()) < self.limit.whole_requests()
            && self.delayed.is_empty()
            && self.next_start(now).is_none()
    }

    /// Mean number of requests that the upstream processes concurrently. While the upstream is
    /// cold or names a limit, its request rate may be the tighter limit.
    fn capacity(&self, now: Instant) -> f64 {
        let rates = [self.warm_up.rate(now), self.request_limit.start_rate()];
        let by_rate = rates
            .into_iter()
            .flatten()
            .map(|rate| (rate * self.times.mean().as_secs_f64()).max(MIN_CAPACITY));
        by_rate.fold(self.limit.requests(), f64::min)
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn max_queued(&self) -> usize {
        let by_slots = (f64::from(self.limit.slots()) * self.settings.queue_per_slot) as usize;
        by_slots.max(self.settings.queue_least)
    }

    /// Number of requests that may wait although they will miss their target. It is what the
    /// upstream can finish in about one service time if nothing more urgent arrives, and small
    /// enough that few of them are refused at their deadline.
    fn max_late(&self, now: Instant) -> usize {
        let capacity = limit::whole_requests(self.capacity(now));
        usize::try_from(capacity).unwrap_or(usize::MAX) / LATE_DIVISOR
    }

    /// Number of queued requests that are expected to miss their target.
    fn late_count(&mut self, now: Instant) -> usize {
        let queued: HashSet<Id> = self.queue.iter().map(|arrival| arrival.id).collect();
        self.expected_late.retain(|id| queued.contains(id));
        let late = |arrival: &&Arrival| {
            self.expected_late.contains(&arrival.id) || self.is_late(now, arrival)
        };
        self.queue.iter().filter(late).count()
    }

    /// Estimates when a new request would be answered. With `as_late` it has the class of requests
    /// that will miss their target, and late requests in the queue also count as ahead of it.
    fn expected_completion(
        &self,
        now: Instant,
        arrival: &Arrival,
        weight: f64,
        as_late: bool,
    ) -> Instant {
        let expected_time = self.expected_time(arrival);
        let order = self.order(now);
        let rank = order(arrival.priority);
        let goes_first = |other: &Arrival| {
            let meets_target = !self.is_late(now, other);
            as_late
                || meets_target && (order(other.priority) < rank || other.target <= arrival.target)
        };
        let turns_ahead = self.queue.turns_before(arrival, weight, &order, goes_first) + 1.0;
        let class = Class {
            late: as_late,
            rank,
        };
        let capacity = self.capacity(now);
        let remaining_share = 1.0 - self.demand.share_before(now, class, capacity);
        let wait = self.times.mean().as_secs_f64() * turns_ahead
            / (capacity * remaining_share.max(MIN_REMAINING_SHARE));
        let starts_at = self.next_start(now).unwrap_or(now);
        starts_at.max(now + Duration::from_secs_f64(wait))
            + expected_time
            + self.pace.penalty(&self.settings, now, expected_time)
    }

    /// Returns whether a request misses its target even if it starts now.
    fn is_late(&self, now: Instant, arrival: &Arrival) -> bool {
        now + self.expected_time(arrival) > arrival.target
    }

    /// Returns the current order of the ranks.
    fn order(&self, now: Instant) -> impl Fn(u8) -> u8 + use<> {
        self.shares.order(now, self.settings.rank_share_least)
    }

    /// Refuses a request that was queued.
    fn refuse_queued_request(&mut self, now: Instant, arrival: &Arrival, reason: Reason) {
        if !arrival.only_in_time {
            self.shares.record(now, arrival.priority, false);
        }
        let refusal = self.refusal(now, reason);
        self.actions.push_back(Action::Refuse(arrival.id, refusal));
    }

    /// Expected service time of this request in the upstream.
    fn expected_time(&self, arrival: &Arrival) -> Duration {
        self.times.for_route(&arrival.route)
    }

    fn run(&mut self, now: Instant, arrival: &Arrival) {
        let class = Class {
            late: self.is_late(now, arrival),
            rank: self.order(now)(arrival.priority),
        };
        self.demand
            .record_start(now, class, self.expected_time(arrival));
        self.shares.record(now, arrival.priority, !class.late);
        let running = Running {
            started_at: now,
            counted_at: now,
            route: Arc::clone(&arrival.route),
            slowness_percent: self.pace.relative_percent(&self.settings, now),
        };
        self.running.insert(arrival.id, running);
        self.record_start(now);
    }

    /// Counts a start in the rate that an upstream takes that is cold or names a limit.
    fn record_start(&mut self, now: Instant) {
        self.warm_up.record_start(now);
        self.request_limit.record_start(now);
    }

    /// Refuses queued requests that may not end before the process of a stopping node does.
    fn refuse_past_end(&mut self, now: Instant) {
        if !self.stop.is_known() {
            return;
        }
        let queued = self.queue.iter();
        let outlasting = queued.filter(|arrival| !self.can_end_in_time(arrival.deadline));
        let outlasting: Vec<Arrival> = outlasting.cloned().collect();
        for arrival in outlasting {
            self.queue.remove(arrival.id);
            self.refuse_queued_request(now, &arrival, Reason::Leaving);
        }
    }

    /// Refuses queued requests that can no longer finish by their deadline, at a time when the
    /// refusal still reaches the caller before the deadline.
    fn refuse_past_deadline(&mut self, now: Instant) {
        if self.queue.is_empty() {
            return;
        }
        let (times, mut expired) = (&self.times, Vec::new());
        self.queue.retain(
            |arrival| now < latest_start(arrival.deadline, times.for_route(&arrival.route)),
            |arrival| expired.push(arrival.clone()),
        );
        for arrival in expired {
            self.refuse_queued_request(now, &arrival, Reason::Deadline);
        }
    }

    /// Refuses late requests beyond the number that may wait: less urgent ranks first, and within
    /// a rank the requests with the latest deadline first.
    ///
    /// Failure: requests that were expected to meet their target are overtaken by more urgent ones
    /// and keep waiting. Symptom: their callers wait until the deadline, and those that do run use
    /// slots for answers that are worth little.
    fn refuse_excess_late(&mut self, now: Instant) {
        let max_late = self.max_late(now);
        if self.queue.len() <= max_late {
            return;
        }
        let queued = self.queue.iter();
        let late = queued.filter(|arrival| self.is_late(now, arrival));
        let mut late: Vec<Arrival> = late.cloned().collect();
        late.sort_unstable_by_key(|arrival| (arrival.priority, arrival.deadline, arrival.id));
        for arrival in late.into_iter().skip(max_late) {
            self.queue.remove(arrival.id);
            self.refuse_queued_request(now, &arrival, Reason::Late);
        }
    }
}

fn latest_start(finish_by: Instant, expected_time: Duration) -> Instant {
    finish_by.checked_sub(expected_time).unwrap_or(finish_by)
}

fn saturating_u32<T: TryInto<u32>>(number: T) -> u32 {
    number.try_into().unwrap_or(u32::MAX)
}

#[allow(clippy::cast_precision_loss)]
const fn to_f64(number: usize) -> f64 {
    number as f64
}
