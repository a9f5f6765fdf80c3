//! Replays of an upstream that names a request limit, in virtual time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::admission::{Action, Admission, Answer, Decision};
use mintridge_core::configs::admission::Settings;
use mintridge_core::configs::warm_up;
use mintridge_core::notice::Limit;
use mintridge_core::outcome::{Outcome, Refusal};
use mintridge_core::request::{Arrival, Id};
use mintridge_core::request_limit::{Observation, Origin, RequestLimit};
use mintridge_core::warm_up::WarmUp;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const TICK: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
/// Window in which the requests to an upstream that names a limit are counted.
const WINDOW: Duration = Duration::from_secs(4);

fn response(origin: Origin, sent_at: Instant, received_at: Instant, limit: Limit) -> Observation {
    Observation {
        origin,
        sent_at,
        received_at,
        limit,
    }
}

/// Records a response that was sent for and received at the same moment.
fn name(limit: &mut RequestLimit, at: Instant, named: Limit) -> bool {
    limit.record(&response(Origin::Request, at, at, named))
}

/// Starts a request in each millisecond in which one may start; returns the starts.
fn start_all(limit: &mut RequestLimit, from: Instant, until: Instant) -> Vec<Instant> {
    let (mut now, mut starts) = (from, Vec::new());
    while now < until {
        if limit.next_start(now).is_none() {
            limit.record_start(now);
            starts.push(now);
        }
        now += TICK;
    }
    starts
}

/// Returns the maximum number of starts within any window.
fn busiest_window(starts: &[Instant]) -> usize {
    let within = |(i, at): (usize, &Instant)| starts.partition_point(|o| *o < *at + WINDOW) - i;
    starts.iter().enumerate().map(within).max().unwrap_or(0)
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(count: usize) -> f64 {
    count as f64
}

/// Guards against more than the limit in a window, against bursts after quiet seconds, and against
/// wasting the limit.
#[rstest]
#[case::below_one(0.4, Duration::ZERO)]
#[case::fraction(5.8, Duration::ZERO)]
#[case::after_quiet_seconds(5.8, Duration::from_secs(20))]
#[case::large(300.0, Duration::from_secs(5))]
fn next_start_holds_the_limit(#[case] rate: f64, #[case] quiet: Duration) {
    let t0 = Instant::now();
    let mut limit = RequestLimit::new();
    name(&mut limit, t0, Limit::Named(rate));
    let from = t0 + quiet;
    let starts = start_all(&mut limit, from, from + 20 * SECOND);
    let busiest = to_f64(busiest_window(&starts));
    let burst = (rate / 2.0).max(1.0);
    assert!(busiest <= rate * 4.0 + burst + 1.0, "{busiest} in a window");
    let served = to_f64(starts.len());
    assert!(served >= rate * 20.0 - 1.0, "{served} in 20 s");
}

/// Guards against counting the requests only from the moment at which the limit is named: those of
/// the second before are in the same window.
#[rstest]
#[case::usual(16)]
#[case::burst(30)]
fn record_charges_the_starts_before_a_limit(#[case] per_second: u32) {
    let t0 = Instant::now();
    let mut limit = RequestLimit::new();
    name(&mut limit, t0, Limit::Absent);
    let mut starts: Vec<Instant> = (0..2 * per_second)
        .map(|i| t0 + SECOND * i / per_second)
        .collect();
    for start in &starts {
        limit.record_start(*start);
    }
    // The first response that names the limit takes a while.
    let named_at = t0 + 2 * SECOND;
    name(&mut limit, named_at, Limit::Named(5.8));
    starts.extend(start_all(&mut limit, named_at, named_at + 10 * SECOND));
    let first_named = named_at.checked_sub(Duration::from_millis(200)).unwrap();
    let counted_from = first_named.checked_sub(SECOND).unwrap();
    let counted: Vec<Instant> = starts
        .into_iter()
        .filter(|at| *at >= counted_from)
        .collect();
    let busiest = to_f64(busiest_window(&counted));
    assert!(busiest <= 1.5 * 4.0 * 5.8 + 5.0, "{busiest} in a window");
}

/// Guards against a limit that ends, or rises, by a response which overtook an earlier one.
#[test]
fn record_orders_responses_that_overtake_each_other() {
    let t0 = Instant::now();
    let at = |millis| t0 + Duration::from_millis(millis);
    let mut limit = RequestLimit::new();
    limit.record(&response(
        Origin::Request,
        at(0),
        at(100),
        Limit::Named(5.0),
    ));
    for late in [Limit::Absent, Limit::Named(50.0)] {
        assert!(!limit.record(&response(Origin::Request, at(50), at(120), late)));
    }
    assert_eq!(limit.rate(), Some(5.0));
    assert!(limit.record(&response(
        Origin::Request,
        at(60),
        at(130),
        Limit::Named(4.0)
    )));
    assert!(!limit.record(&response(
        Origin::Request,
        at(200),
        at(125),
        Limit::Named(3.0)
    )));
    assert!(limit.record(&response(
        Origin::Request,
        at(140),
        at(300),
        Limit::Named(9.0)
    )));
    assert_eq!(limit.rate(), Some(9.0));
    assert!(limit.record(&response(Origin::Request, at(310), at(400), Limit::Absent)));
    assert_eq!(limit.rate(), None);
}

/// Guards against ending or lifting a limit by a value that cannot be read.
#[test]
fn record_ignores_an_unreadable_limit() {
    let t0 = Instant::now();
    let mut limit = RequestLimit::new();
    name(&mut limit, t0, Limit::Named(5.0));
    assert!(!name(&mut limit, t0 + SECOND, Limit::Unreadable));
    assert_eq!(limit.rate(), Some(5.0));
}

/// Guards against ending a limit by a check of an upstream whose responses to checks name none.
#[test]
fn record_ends_a_limit_by_checks_only_if_they_name_limits() {
    let t0 = Instant::now();
    let check = |at, limit| response(Origin::Check, at, at, limit);
    let mut limit = RequestLimit::new();
    name(&mut limit, t0, Limit::Named(5.0));
    assert!(!limit.record(&check(t0 + SECOND, Limit::Absent)));
    assert!(!limit.is_check_due(t0 + 5 * SECOND));
    limit.record(&check(t0 + 2 * SECOND, Limit::Named(5.0)));
    assert!(limit.is_check_due(t0 + 5 * SECOND));
    assert!(limit.record(&check(t0 + 5 * SECOND, Limit::Absent)));
    assert_eq!(limit.rate(), None);
}

/// Guards against a limit of zero that nothing can end, and against requests despite checks that
/// would show its end.
#[rstest]
#[case::only_requests_show_it(false, 3)]
#[case::checks_show_it(true, 0)]
fn next_start_at_a_limit_of_zero(#[case] checked: bool, #[case] max_starts: usize) {
    let t0 = Instant::now();
    let mut limit = RequestLimit::new();
    name(&mut limit, t0, Limit::Named(0.0));
    if checked {
        limit.record(&response(Origin::Check, t0, t0, Limit::Named(0.0)));
    }
    let starts = start_all(&mut limit, t0, t0 + 13 * SECOND);
    assert_eq!(starts.len(), max_starts);
}

/// Guards against a limit that outlives the incarnation that named it, also by a late response.
#[test]
fn reset_after_restart_ends_the_limit() {
    let t0 = Instant::now();
    let mut limit = RequestLimit::new();
    name(&mut limit, t0, Limit::Named(0.4));
    limit.reset_after_restart(t0 + SECOND);
    let late = response(Origin::Request, t0, t0 + 2 * SECOND, Limit::Named(0.4));
    assert!(!limit.record(&late));
    assert_eq!(limit.rate(), None);
    assert_eq!(limit.next_start(t0 + 2 * SECOND), None);
}

/// Guards against the rate of before after a restart of the node: it waits for the first response,
/// and adopts what other nodes heard until then.
#[test]
fn new_process_waits_for_the_first_response() {
    let t0 = Instant::now();
    let mut limit = RequestLimit::new();
    limit.reset_after_restart(t0);
    let starts = start_all(&mut limit, t0, t0 + SECOND);
    assert_eq!(starts.len(), 4);
    assert!(limit.adopt(t0 + SECOND, 5.0));
    name(&mut limit, t0 + 2 * SECOND, Limit::Absent);
    assert!(!limit.adopt(t0 + 3 * SECOND, 5.0));
    assert_eq!(limit.next_start(t0 + 3 * SECOND), None);
}

/// An upstream with twelve slots under more requests than the limit that it names.
struct Host {
    admission: Admission,
    now: Instant,
    next_id: u64,
    /// Ids and priorities of the requests waiting or running.
    priorities: std::collections::HashMap<Id, u8>,
    running: Vec<(Instant, Id)>,
    starts: Vec<Instant>,
    arrived: [usize; 2],
    served: [usize; 2],
    refusals: Vec<(Instant, Refusal)>,
    named: Limit,
}

const SERVICE_TIME: Duration = Duration::from_millis(140);

impl Host {
    fn new() -> Self {
        let settings = Settings {
            slots_share: 0.8,
            service_time_initial: SERVICE_TIME,
            retry_after_least: Duration::from_millis(50),
            ..Settings::default()
        };
        Self {
            admission: Admission::new(settings, 12).with_request_limit(RequestLimit::new()),
            now: Instant::now(),
            next_id: 0,
            priorities: std::collections::HashMap::new(),
            running: Vec::new(),
            starts: Vec::new(),
            arrived: [0; 2],
            served: [0; 2],
            refusals: Vec::new(),
            named: Limit::Absent,
        }
    }

    fn begin(&mut self, id: Id) {
        self.starts.push(self.now);
        self.running.push((self.now, id));
    }

    fn arrive(&mut self, priority: u8) {
        self.next_id += 1;
        let id = Id(self.next_id);
        self.priorities.insert(id, priority);
        self.arrived[usize::from(priority)] += 1;
        let arrival = Arrival {
            id,
            client_account: Arc::from("account"),
            deadline: self.now + SECOND,
            target: self.now + Duration::from_millis(400),
            priority,
            route: Arc::from("route"),
            only_in_time: false,
        };
        match self.admission.arrive(self.now, arrival, 1.0) {
            Decision::Admit => self.begin(id),
            Decision::Queue => {}
            Decision::Refuse(refusal) => self.refusals.push((self.now, refusal)),
        }
    }

    fn advance(&mut self) {
        self.now += TICK;
        let now = self.now;
        let ended: Vec<(Instant, Id)> = self
            .running
            .extract_if(.., |(at, _)| now >= *at + SERVICE_TIME)
            .collect();
        for (sent_at, id) in ended {
            self.admission.record_answer(now, id, Answer::Served);
            self.admission.finish(id);
            let limit = self.admission.request_limit_mut();
            limit.record(&response(Origin::Request, sent_at, now, self.named));
            self.served[usize::from(self.priorities[&id])] += 1;
        }
        while let Some(action) = self.admission.poll(now) {
            match action {
                Action::Admit(id) => self.begin(id),
                Action::Refuse(_, refusal) => self.refusals.push((now, refusal)),
            }
        }
    }

    /// Sends requests at random moments for a while, a quarter of them urgent.
    fn load(&mut self, rng: &mut ChaCha8Rng, per_second: f64, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            if rng.random::<f64>() < per_second / 1000.0 {
                let priority = u8::from(rng.random::<f64>() >= 0.25);
                self.arrive(priority);
            }
            self.advance();
        }
    }
}

/// Demand of several times the limit: the sum holds, what it allows is used, urgent requests go
/// first, and all others are refused without running; when the limit ends, the rate is back within
/// two seconds.
#[rstest]
#[case::twice(2.0)]
#[case::five_times(5.0)]
fn admission_at_a_multiple_of_the_limit(#[case] factor: f64) {
    const LIMIT: f64 = 5.8;
    let mut rng = ChaCha8Rng::seed_from_u64(47);
    let mut host = Host::new();
    let per_second = LIMIT * factor;
    host.load(&mut rng, per_second, 5 * SECOND);
    host.named = Limit::Named(LIMIT);
    host.load(&mut rng, per_second, 4 * SECOND);
    (host.arrived, host.served, host.refusals) = ([0; 2], [0; 2], Vec::new());
    let from = host.now;
    host.load(&mut rng, per_second, 30 * SECOND);
    let limited: Vec<Instant> = host
        .starts
        .iter()
        .copied()
        .filter(|at| *at >= from)
        .collect();
    let busiest = to_f64(busiest_window(&limited));
    assert!(
        busiest <= LIMIT * 4.0 + LIMIT / 2.0 + 1.0,
        "{busiest} in a window"
    );
    let started = to_f64(limited.len());
    assert!(started >= LIMIT * 30.0 * 0.85, "{started} in 30 s");
    let share = |rank: usize| to_f64(host.served[rank]) / to_f64(host.arrived[rank]);
    let (urgent, common) = (share(0), share(1));
    assert!(
        urgent >= 1.5 * common,
        "{urgent} of urgent and {common} of others served"
    );
    for (at, refusal) in &host.refusals {
        assert_eq!(refusal.outcome, Outcome::NotRun);
        let delay = refusal.retry_at.saturating_duration_since(*at);
        assert!(delay <= 2 * SECOND, "come back in {delay:?}");
    }
    host.named = Limit::Absent;
    host.load(&mut rng, per_second, 2 * SECOND);
    let from = host.starts.len();
    host.load(&mut rng, per_second, 2 * SECOND);
    let back = to_f64(host.starts.len() - from);
    assert!(
        back >= per_second * 2.0 * 0.75,
        "{back} in 2 s after the limit"
    );
}

/// An upstream that names a limit is cold as well: the lower bound holds, whichever it is.
#[rstest]
#[case::limit_is_lower(2.0, 8.0)]
#[case::cold_rate_is_lower(20.0, 3.0)]
fn admission_of_a_cold_upstream_with_a_limit(#[case] limit: f64, #[case] cold_rate: f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(47);
    let mut host = Host::new();
    let mut warm_up = WarmUp::new(warm_up::Settings::default(), host.now);
    warm_up.set_rate(Some(cold_rate));
    warm_up.record_announcement(host.now, 20 * SECOND);
    host.admission = host.admission.with_warm_up(warm_up);
    host.named = Limit::Named(limit);
    name(host.admission.request_limit_mut(), host.now, host.named);
    host.load(&mut rng, 30.0, 10 * SECOND);
    let busiest = to_f64(busiest_window(&host.starts));
    let bound = limit.min(cold_rate) * 4.0 + 2.0;
    assert!(busiest <= bound, "{busiest} in a window");
    assert!(to_f64(host.starts.len()) >= bound, "{}", host.starts.len());
}

/// Requests hold their slots while they wait for their bodies, and all of them are sent at once: an
/// upstream with a limit gets a burst of them.
#[test]
fn confirm_start_counts_requests_when_they_are_sent() {
    const LIMIT: f64 = 2.0;
    let mut rng = ChaCha8Rng::seed_from_u64(47);
    let mut host = Host::new();
    name(
        host.admission.request_limit_mut(),
        host.now,
        Limit::Named(LIMIT),
    );
    host.named = Limit::Named(LIMIT);
    // Requests that are granted a slot are only sent after ten seconds, in the order of their ids.
    let (granted_at, send_at) = (host.now, host.now + 10 * SECOND);
    while host.now < send_at {
        if rng.random::<f64>() < 0.01 {
            host.arrive(0);
        }
        host.running.iter_mut().for_each(|(at, _)| *at = send_at);
        host.advance();
    }
    let mut held: Vec<Id> = host.running.drain(..).map(|(_, id)| id).collect();
    assert!(held.len() >= 8, "{} held", held.len());
    let mut sent = Vec::new();
    while host.now < granted_at + 30 * SECOND {
        let now = host.now;
        held.retain(|id| {
            let waits = host.admission.confirm_start(now, *id).is_err();
            if !waits {
                sent.push(now);
                host.running.push((now, *id));
            }
            waits
        });
        let before = host.starts.len();
        host.arrive(0);
        host.advance();
        sent.extend(host.starts[before..].iter());
    }
    assert!(held.is_empty(), "{} are still held", held.len());
    let busiest = to_f64(busiest_window(&sent));
    assert!(busiest <= LIMIT * 4.0 + 2.0, "{busiest} in a window");
}
