//! Rate of the requests that are started in a cold upstream, alone and in a fleet that loses power
//! under load.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::admission::{Action, Admission, Answer, Decision};
use mintridge_core::configs::admission::Settings as AdmissionSettings;
use mintridge_core::configs::warm_up::Settings;
use mintridge_core::request::{Arrival, Id};
use mintridge_core::warm_up::WarmUp;
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);
const MILLI: Duration = Duration::from_millis(1);
/// Requests per second that a cold upstream sustains.
const RATE: f64 = 16.0;
/// A cold upstream crashes if more requests than this start in any second.
const MAX_COLD_STARTS: usize = 32;
const COLD_DURATION: Duration = Duration::from_secs(3);

fn settings() -> Settings {
    Settings {
        requests_per_second: Some(RATE),
        ..Settings::default()
    }
}

/// Returns the maximum number of starts in any second.
fn busiest_second(starts: &[Instant]) -> usize {
    let count_from = |(i, at): (usize, &Instant)| {
        let end = starts.partition_point(|other| *other < *at + SECOND);
        end - i
    };
    starts.iter().enumerate().map(count_from).max().unwrap_or(0)
}

/// Starts a request every millisecond if one may start, and checks the upstream whenever a check is
/// due. Returns when the requests started.
fn run(
    warm_up: &mut WarmUp,
    from: Instant,
    until: Instant,
    cold_for: impl Fn(Instant) -> Duration,
) -> Vec<Instant> {
    const CHECK_LATENCY: Duration = Duration::from_millis(5);
    let (mut starts, mut check_sent_at) = (Vec::new(), None);
    let mut now = from;
    while now < until {
        if let Some(at) = check_sent_at.filter(|at| now >= *at + CHECK_LATENCY) {
            warm_up.record_check(at, now, cold_for(at));
            check_sent_at = None;
        }
        if check_sent_at.is_none() && warm_up.is_check_due(now) {
            check_sent_at = Some(now);
        }
        if warm_up.next_start(now).is_none() {
            warm_up.record_start(now);
            starts.push(now);
        }
        now += MILLI;
    }
    starts
}

/// Guards against a cold upstream getting more than it sustains in a second that spans two windows.
#[test]
fn record_start_cold_from_the_start() {
    let t0 = Instant::now();
    let mut warm_up = WarmUp::new(settings(), t0);
    warm_up.record_announcement(t0, COLD_DURATION);
    let until = t0 + COLD_DURATION;
    let starts = run(&mut warm_up, t0, until, |now| {
        until.saturating_duration_since(now)
    });
    assert!(
        busiest_second(&starts) <= MAX_COLD_STARTS,
        "{}",
        busiest_second(&starts)
    );
    assert!(starts.len() >= 32, "{} in three seconds", starts.len());
}

/// Guards against overloading an upstream that turns cold under full load without announcing it.
#[rstest]
fn record_start_turned_cold_unannounced(#[values(0, 3, 17, 250, 800)] at_millis: u64) {
    let t0 = Instant::now();
    let mut warm_up = WarmUp::new(settings(), t0);
    let cold_at = t0 + 2 * SECOND + Duration::from_millis(at_millis);
    let cold_for = |now: Instant| {
        if now < cold_at {
            Duration::ZERO
        } else {
            (cold_at + COLD_DURATION).saturating_duration_since(now)
        }
    };
    let starts = run(&mut warm_up, t0, cold_at + COLD_DURATION, cold_for);
    let cold: Vec<Instant> = starts.into_iter().filter(|at| *at >= cold_at).collect();
    assert!(
        busiest_second(&cold) <= MAX_COLD_STARTS,
        "{}",
        busiest_second(&cold)
    );
}

/// Guards against overloading an upstream that turns cold a second time right after the first.
#[test]
fn record_start_two_cold_phases_in_a_row() {
    let t0 = Instant::now();
    let mut warm_up = WarmUp::new(settings(), t0);
    let cold_phases = [t0 + SECOND, t0 + 5 * SECOND];
    let cold_for = |now: Instant| {
        let cold_at = cold_phases.iter().rev().find(|at| now >= **at);
        cold_at.map_or(Duration::ZERO, |at| {
            (*at + COLD_DURATION).saturating_duration_since(now)
        })
    };
    let starts = run(&mut warm_up, t0, t0 + 9 * SECOND, cold_for);
    for cold_at in cold_phases {
        let cold = |at: &&Instant| **at >= cold_at && **at < cold_at + COLD_DURATION;
        let cold: Vec<Instant> = starts.iter().filter(cold).copied().collect();
        assert!(
            busiest_second(&cold) <= MAX_COLD_STARTS,
            "{}",
            busiest_second(&cold)
        );
    }
}

/// Guards against a node that is killed and restarted within a second: it has lost the count of the
/// requests that it started before.
#[rstest]
fn record_start_node_restarts(
    #[values(1, 120, 350, 700, 999)] killed_after: u64,
    #[values(1, 90, 400)] restarted_after: u64,
    #[values(1.0, 1.5)] rate_factor: f64,
) {
    let settings = || Settings {
        rate_factor,
        ..settings()
    };
    let started_at = Instant::now();
    let mut before = WarmUp::new(settings(), started_at);
    let t0 = started_at + SECOND;
    let cold_until = t0 + 10 * SECOND;
    let cold_for = |now: Instant| cold_until.saturating_duration_since(now);
    before.record_announcement(t0, COLD_DURATION);
    let killed_at = t0 + Duration::from_millis(killed_after);
    let mut starts = run(&mut before, t0, killed_at, cold_for);
    let restarted_at = killed_at + Duration::from_millis(restarted_after);
    let mut after = WarmUp::new(settings(), restarted_at);
    starts.extend(run(
        &mut after,
        restarted_at,
        restarted_at + 2 * SECOND,
        cold_for,
    ));
    assert!(
        busiest_second(&starts) <= MAX_COLD_STARTS,
        "{}",
        busiest_second(&starts)
    );
}

/// Guards against a late announcement, or a late answer to an older check, ending a warm-up.
#[test]
fn record_check_out_of_order() {
    let t0 = Instant::now();
    let mut warm_up = WarmUp::new(settings(), t0);
    warm_up.record_check(t0 + 10 * MILLI, t0 + 12 * MILLI, COLD_DURATION);
    warm_up.record_check(t0, t0 + 20 * MILLI, Duration::ZERO);
    warm_up.record_announcement(t0 + 30 * MILLI, Duration::ZERO);
    assert!(warm_up.is_cold(t0 + 40 * MILLI));
}

/// Guards against a limit on an upstream without a configured rate.
#[test]
fn next_start_without_a_rate() {
    let t0 = Instant::now();
    let mut warm_up = WarmUp::new(Settings::default(), t0);
    warm_up.record_announcement(t0, COLD_DURATION);
    (0..1000).for_each(|_| warm_up.record_start(t0));
    assert_eq!(warm_up.next_start(t0), None);
    assert!(!warm_up.is_check_due(t0));
}

/// An upstream that works on each request for a fixed time, and crashes when it is cold and too
/// many requests start. The admission control of its node decides which requests start.
struct Host {
    admission: Admission,
    /// Whether the node limits the rate of requests to the cold upstream.
    bounded: bool,
    running: Vec<(Instant, Id)>,
    starts: VecDeque<Instant>,
    cold_until: Instant,
    down_until: Option<Instant>,
    crashes: usize,
    served: Vec<Instant>,
}

impl Host {
    const SERVICE_TIME: Duration = Duration::from_millis(65);
    const RESTART_DELAY: Duration = Duration::from_secs(1);

    fn new(now: Instant, bounded: bool) -> Self {
        let settings = AdmissionSettings {
            slots_share: 0.8,
            ..AdmissionSettings::default()
        };
        let warm_up = if bounded {
            WarmUp::new(self::settings(), now)
        } else {
            WarmUp::default()
        };
        let mut host = Self {
            admission: Admission::new(settings, 9).with_warm_up(warm_up),
            bounded,
            running: Vec::new(),
            starts: VecDeque::new(),
            cold_until: now,
            down_until: None,
            crashes: 0,
            served: Vec::new(),
        };
        host.start(now);
        host
    }

    /// Starts the upstream in the cold state.
    fn start(&mut self, now: Instant) {
        self.cold_until = now + COLD_DURATION;
        self.starts.clear();
        self.admission.reset_after_restart(now);
        if self.bounded {
            self.admission
                .warm_up_mut()
                .record_announcement(now, COLD_DURATION);
        }
    }

    /// Starts a request in the upstream, which may crash it.
    fn start_request(&mut self, now: Instant, id: Id) {
        while self.starts.front().is_some_and(|at| now >= *at + SECOND) {
            self.starts.pop_front();
        }
        self.starts.push_back(now);
        let cold = now < self.cold_until;
        if cold && self.starts.len() > MAX_COLD_STARTS {
            self.crashes += 1;
            self.down_until = Some(now + Self::RESTART_DELAY);
            for (_, id) in self.running.drain(..) {
                self.admission.finish(id);
            }
            self.admission.finish(id);
            return;
        }
        let duration = if cold {
            Self::SERVICE_TIME * 2
        } else {
            Self::SERVICE_TIME
        };
        self.running.push((now + duration, id));
    }

    fn arrive(&mut self, now: Instant, id: Id) {
        if self.down_until.is_some() {
            return;
        }
        let arrival = Arrival {
            id,
            client_account: Arc::from("anonymous"),
            deadline: now + Duration::from_millis(500),
            target: now + Duration::from_millis(200),
            priority: 1,
            route: Arc::from("short"),
            only_in_time: false,
        };
        if self.admission.arrive(now, arrival, 1.0) == Decision::Admit {
            self.start_request(now, id);
        }
    }

    fn tick(&mut self, now: Instant) {
        if self.down_until.is_some_and(|until| now >= until) {
            self.down_until = None;
            self.start(now);
        }
        if self.bounded && now >= self.cold_until && self.admission.warm_up().is_check_due(now) {
            self.admission
                .warm_up_mut()
                .record_check(now, now, Duration::ZERO);
        }
        let is_done = |(at, _): &(Instant, Id)| *at <= now;
        let done: Vec<(Instant, Id)> = self.running.iter().copied().filter(is_done).collect();
        self.running.retain(|running| !is_done(running));
        for (_, id) in done {
            self.admission.record_answer(now, id, Answer::Served);
            self.admission.finish(id);
            self.served.push(now);
        }
        while let Some(action) = self.admission.poll(now) {
            if let Action::Admit(id) = action {
                self.start_request(now, id);
            }
        }
    }
}

/// Simulates a service whose upstreams have all lost power and start together, under the load that
/// they sustain when warm. Returns the number of crashes, and the requests served in the third
/// second after the warm-up.
fn simulate_power_loss(bounded: bool) -> (usize, usize) {
    const HOSTS: usize = 16;
    const REQUESTS_PER_SECOND: u64 = 650;
    let t0 = Instant::now();
    let mut hosts: Vec<Host> = (0..HOSTS).map(|_| Host::new(t0, bounded)).collect();
    let (mut arrived, mut now) = (0, t0);
    let end = t0 + COLD_DURATION + 3 * SECOND;
    while now < end {
        let elapsed = u64::try_from(now.duration_since(t0).as_millis()).expect("seconds");
        while arrived < elapsed * REQUESTS_PER_SECOND / 1000 {
            // Every fourth request leaves the round-robin order, since load is never quite even.
            let host = if arrived % 4 == 0 {
                arrived * 7
            } else {
                arrived
            };
            let index = usize::try_from(host).expect("small") % HOSTS;
            hosts[index].arrive(now, Id(arrived));
            arrived += 1;
        }
        for host in &mut hosts {
            host.tick(now);
        }
        now += MILLI;
    }
    let crashes = hosts.iter().map(|host| host.crashes).sum();
    let in_last_second = |at: &&Instant| **at + SECOND >= end;
    let served = hosts
        .iter()
        .flat_map(|host| &host.served)
        .filter(in_last_second);
    (crashes, served.count())
}

/// Guards against upstreams that crash under load while cold, restart cold, and crash again.
#[rstest]
#[case::unbounded(false)]
#[case::bounded(true)]
fn admit_after_a_power_loss(#[case] bounded: bool) {
    let (crashes, served) = simulate_power_loss(bounded);
    if bounded {
        assert_eq!(crashes, 0);
        assert!(served >= 600, "{served} of 650 a second");
    } else {
        assert!(
            crashes > 16,
            "{crashes} crashes: the load is too low to provoke the failure"
        );
        assert!(served < 500, "{served} of 650 a second");
    }
}
