//! Event-driven simulation of hosts and entries in virtual time, against which policies run.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use mintridge_core::admission::{Action, Admission, Answer, Decision};
use mintridge_core::configs;
use mintridge_core::load::Report;
use mintridge_core::placement::{Ending, Placement, Upstream};
use mintridge_core::request::{Arrival, Id};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{ChooseHost, Condition, Deployment, Results, View};

const SERVICE: &str = "service";
/// Mean service time at normal speed, in seconds.
const MEAN_SERVICE_SECONDS: f64 = 0.020;
const DEADLINE: Duration = Duration::from_secs(1);
const MAX_ATTEMPTS: usize = 3;
const SAME_ZONE_DELAY: Duration = Duration::from_micros(50);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    ReachHost {
        host: usize,
        request: usize,
    },
    Done {
        host: usize,
        request: usize,
    },
    Wake {
        host: usize,
    },
    Reply {
        host: usize,
        request: usize,
        /// Requests in flight, requests queued, limit and service time of a [`Report`]. Events must
        /// be ordered, and a report isn't.
        report: [u32; 4],
        ok: bool,
    },
    Noise {
        host: usize,
        slow: bool,
    },
    Join,
}

struct Request {
    entry: usize,
    arrived_at: Instant,
    tried: Vec<usize>,
    is_measured: bool,
    client_account: Arc<str>,
}

struct Host {
    admission: Admission,
    running: u32,
    queued: u32,
    slow: bool,
    present: bool,
}

struct Entry {
    placement: Placement,
    own_in_flight: Vec<u32>,
    reports: Vec<Report>,
}

/// State of one run.
struct Simulation {
    deployment: Deployment,
    condition: Condition,
    choose: Option<ChooseHost>,
    rate: f64,
    started_at: Instant,
    now: Instant,
    end: Instant,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    /// Number of the last event, which orders events at the same time.
    sequence: u64,
    requests: HashMap<usize, Request>,
    next_id: usize,
    hosts: Vec<Host>,
    entries: Vec<Entry>,
    rng: ChaCha8Rng,
    results: Results,
}

/// Simulates one policy under one condition for `seconds` of virtual time, with a load of `share`
/// of the capacity.
#[must_use]
pub fn run(
    deployment: Deployment,
    condition: Condition,
    share: f64,
    choose: Option<ChooseHost>,
    seconds: f64,
) -> Results {
    let mut simulation = Simulation::new(deployment, condition, share, choose, seconds);
    simulation.schedule_first_events();
    while let Some(Reverse((now, _, event))) = simulation.events.pop() {
        simulation.now = now;
        simulation.handle(event);
    }
    simulation.results
}

fn host_name(index: usize) -> Arc<str> {
    Arc::from(format!("host-{index}"))
}

impl Simulation {
    fn new(
        deployment: Deployment,
        condition: Condition,
        share: f64,
        choose: Option<ChooseHost>,
        seconds: f64,
    ) -> Self {
        let started_at = Instant::now();
        let slots = f64::from(deployment.slots);
        let hosts = u32::try_from(deployment.hosts).unwrap_or(u32::MAX);
        let settings = configs::admission::Settings {
            service_time_initial: Duration::from_secs_f64(MEAN_SERVICE_SECONDS),
            ..configs::admission::Settings::default()
        };
        let host = |index| Host {
            admission: Admission::new(settings.clone(), deployment.slots),
            running: 0,
            queued: 0,
            slow: false,
            present: condition != Condition::ColdStart || index > 0,
        };
        let latency = Histogram::new_with_bounds(1, 60_000_000, 3);
        let mut simulation = Self {
            rate: share * f64::from(hosts) * slots / MEAN_SERVICE_SECONDS,
            deployment,
            condition,
            choose,
            started_at,
            now: started_at,
            end: started_at + Duration::from_secs_f64(seconds),
            events: BinaryHeap::new(),
            sequence: 0,
            requests: HashMap::new(),
            next_id: 0,
            hosts: (0..deployment.hosts).map(host).collect(),
            entries: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(11),
            results: Results {
                latency: latency.expect("constant bounds are valid"),
                requests: 0,
                refused: 0,
                attempts: 0,
            },
        };
        simulation.entries = (0..deployment.entries)
            .map(|index| simulation.entry(index))
            .collect();
        simulation
    }

    fn entry(&self, index: usize) -> Entry {
        let settings = configs::placement::Settings {
            zone_cost: self.deployment.zone_delay * 2,
            service_time_initial: Duration::from_secs_f64(MEAN_SERVICE_SECONDS),
            ..configs::placement::Settings::default()
        };
        let mut placement = Placement::new(settings, 100 + index as u64);
        placement.update(self.now, &self.upstreams(index));
        Entry {
            placement,
            own_in_flight: vec![0; self.deployment.hosts],
            reports: vec![Report::default(); self.deployment.hosts],
        }
    }

    fn upstreams(&self, entry: usize) -> Vec<Upstream> {
        let present = (0..self.hosts.len()).filter(|host| self.hosts[*host].present);
        present
            .map(|host| Upstream {
                host: host_name(host),
                service: Arc::from(SERVICE),
                slots: self.deployment.slots,
                same_zone: host % self.deployment.zones == entry % self.deployment.zones,
            })
            .collect()
    }

    fn schedule_first_events(&mut self) {
        self.schedule_after(Duration::ZERO, Event::Arrive);
        if self.condition == Condition::Noisy {
            for host in 0..self.hosts.len() {
                let delay = self.exponential(0.5);
                self.schedule_after(delay, Event::Noise { host, slow: true });
            }
        }
        if self.condition == Condition::ColdStart {
            self.schedule_after(Duration::from_secs(1), Event::Join);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::ReachHost { host, request } => self.reach_host(host, request),
            Event::Done { host, request } => self.finish(host, request),
            Event::Wake { host } => self.poll_admission(host),
            Event::Reply {
                host,
                request,
                report,
                ok,
            } => self.handle_reply(host, request, report, ok),
            Event::Noise { host, slow } => self.set_slow(host, slow),
            Event::Join => {
                self.hosts[0].present = true;
                for index in 0..self.entries.len() {
                    let upstreams = self.upstreams(index);
                    self.entries[index].placement.update(self.now, &upstreams);
                }
            }
        }
    }

    fn arrive(&mut self) {
        if self.now >= self.end {
            return;
        }
        let elapsed = (self.now - self.started_at).as_secs_f64();
        let rate_factor = match self.condition {
            Condition::Auction if (1.0..1.3).contains(&elapsed) => 10.0,
            Condition::Auction => 0.5,
            _ => 1.0,
        };
        let mut rate = self.rate * rate_factor;
        // The large client account sends a tenth of the load; ten times that is 1.0 beside the 0.9
        // of the others.
        let mut large_share = 0.1;
        if self.condition == Condition::Burst && (1.0..2.0).contains(&elapsed) {
            rate *= 1.9;
            large_share = 1.0 / 1.9;
        }
        let is_large = self.rng.random::<f64>() < large_share;
        let small_account = self.rng.random_range(0..20);
        let client_account = if is_large {
            Arc::from("large")
        } else {
            Arc::from(format!("small-{small_account}"))
        };
        let id = self.next_id;
        self.next_id += 1;
        let request = Request {
            entry: self.rng.random_range(0..self.entries.len()),
            arrived_at: self.now,
            tried: Vec::new(),
            is_measured: !(self.condition == Condition::Burst && is_large),
            client_account,
        };
        self.results.requests += u64::from(request.is_measured);
        self.requests.insert(id, request);
        self.place(id);
        let gap = self.exponential(1.0 / rate);
        self.schedule_after(gap, Event::Arrive);
    }

    fn place(&mut self, id: usize) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let present = (0..self.hosts.len()).filter(|host| self.hosts[*host].present);
        let candidates: Vec<usize> = present
            .filter(|host| !request.tried.contains(host))
            .collect();
        let actual_latency: Vec<f64> = (0..self.hosts.len())
            .map(|host| actual_latency(self.condition, &self.hosts, host, self.deployment.slots))
            .collect();
        let entry = &mut self.entries[request.entry];
        let host = if let Some(choose) = self.choose {
            choose(&mut View {
                entry: request.entry,
                candidates: &candidates,
                own_in_flight: &entry.own_in_flight,
                reports: &entry.reports,
                actual_latency: &actual_latency,
                rng: &mut self.rng,
            })
        } else {
            let tried: Vec<Arc<str>> = request.tried.iter().map(|host| host_name(*host)).collect();
            let picked = entry.placement.pick(self.now, SERVICE, &tried);
            let picked = picked.and_then(|name| name.strip_prefix("host-")?.parse().ok());
            picked.unwrap_or(candidates[0])
        };
        entry.own_in_flight[host] += 1;
        request.tried.push(host);
        self.results.attempts += 1;
        let delay = self.delay(request_entry(&self.requests, id), host);
        self.schedule_after(delay, Event::ReachHost { host, request: id });
    }

    fn reach_host(&mut self, host: usize, id: usize) {
        if self.condition == Condition::FailFast && host == 0 {
            return self.send_reply(host, id, false);
        }
        let request = &self.requests[&id];
        let arrival = Arrival {
            id: Id(id as u64),
            client_account: Arc::clone(&request.client_account),
            deadline: request.arrived_at + DEADLINE,
            target: request.arrived_at + DEADLINE,
            priority: 0,
            route: Arc::from("route"),
            only_in_time: false,
        };
        match self.hosts[host].admission.arrive(self.now, arrival, 1.0) {
            Decision::Admit => self.start(host, id),
            Decision::Queue => self.hosts[host].queued += 1,
            Decision::Refuse(_) => self.send_reply(host, id, false),
        }
        self.poll_admission(host);
    }

    fn start(&mut self, host: usize, id: usize) {
        self.hosts[host].running += 1;
        let work = self.exponential(MEAN_SERVICE_SECONDS);
        let service_time = work.div_f64(self.speed(host));
        self.schedule_after(service_time, Event::Done { host, request: id });
    }

    fn finish(&mut self, host: usize, id: usize) {
        let state = &mut self.hosts[host];
        state.running -= 1;
        state
            .admission
            .record_answer(self.now, Id(id as u64), Answer::Served);
        state.admission.finish(Id(id as u64));
        self.send_reply(host, id, true);
        self.poll_admission(host);
    }

    fn poll_admission(&mut self, host: usize) {
        while let Some(action) = self.hosts[host].admission.poll(self.now) {
            self.hosts[host].queued -= 1;
            match action {
                Action::Admit(id) => self.start(host, usize::try_from(id.0).unwrap_or(0)),
                Action::Refuse(id, _) => {
                    self.send_reply(host, usize::try_from(id.0).unwrap_or(0), false);
                }
            }
        }
        if let Some(at) = self.hosts[host].admission.wake_at(self.now) {
            self.schedule_at(at, Event::Wake { host });
        }
    }

    fn send_reply(&mut self, host: usize, id: usize, ok: bool) {
        let report = self.hosts[host].admission.report(self.now);
        let report = [
            report.in_flight,
            report.queued,
            report.limit,
            report.service_micros,
        ];
        let delay = self.delay(request_entry(&self.requests, id), host);
        let reply = Event::Reply {
            host,
            request: id,
            report,
            ok,
        };
        self.schedule_after(delay, reply);
    }

    fn handle_reply(&mut self, host: usize, id: usize, report: [u32; 4], ok: bool) {
        let [in_flight, queued, limit, service_micros] = report;
        let report = Report {
            in_flight,
            queued,
            limit,
            service_micros,
            slowness_percent: 0,
            start_delay_micros: 0,
        };
        let failing = self.condition == Condition::FailFast && host == 0;
        let entry = &mut self.entries[request_entry(&self.requests, id)];
        entry.own_in_flight[host] -= 1;
        entry.reports[host] = report;
        let name = host_name(host);
        let ending = match (ok, failing) {
            (true, _) => Ending::Answered,
            (false, true) => Ending::Avoid,
            (false, false) => Ending::Full,
        };
        entry
            .placement
            .record_report(self.now, SERVICE, &name, report);
        if self.choose.is_none() {
            entry.placement.finish(self.now, SERVICE, &name, ending);
        }
        let request = &self.requests[&id];
        if !ok && request.tried.len() < MAX_ATTEMPTS.min(self.hosts.len()) {
            return self.place(id);
        }
        if request.is_measured {
            if ok {
                let took = (self.now - request.arrived_at).as_micros();
                self.results
                    .latency
                    .saturating_record(u64::try_from(took).unwrap_or(u64::MAX));
            } else {
                self.results.refused += 1;
            }
        }
        self.requests.remove(&id);
    }

    fn set_slow(&mut self, host: usize, slow: bool) {
        if self.now >= self.end {
            return;
        }
        self.hosts[host].slow = slow;
        let duration = if slow {
            Duration::from_millis(self.rng.random_range(5..200))
        } else {
            self.exponential(0.5)
        };
        self.schedule_after(duration, Event::Noise { host, slow: !slow });
    }

    fn speed(&self, host: usize) -> f64 {
        let elapsed = (self.now - self.started_at).as_secs_f64();
        match self.condition {
            Condition::Straggler if host == 0 => 0.1,
            Condition::ColdStart if host == 0 && elapsed < 4.0 => 0.2,
            Condition::Noisy if self.hosts[host].slow => 0.5,
            _ => 1.0,
        }
    }

    fn delay(&self, entry: usize, host: usize) -> Duration {
        if host % self.deployment.zones == entry % self.deployment.zones {
            SAME_ZONE_DELAY
        } else {
            self.deployment.zone_delay
        }
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        let uniform: f64 = self.rng.random::<f64>().max(1e-12);
        Duration::from_secs_f64(-uniform.ln() * mean)
    }

    fn schedule_after(&mut self, delay: Duration, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    fn schedule_at(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }
}

fn request_entry(requests: &HashMap<usize, Request>, id: usize) -> usize {
    requests[&id].entry
}

/// Returns the expected latency in seconds, from the actual queues and speeds of all hosts.
fn actual_latency(condition: Condition, hosts: &[Host], host: usize, slots: u32) -> f64 {
    let state = &hosts[host];
    let speed = match condition {
        Condition::Straggler if host == 0 => 0.1,
        Condition::ColdStart if host == 0 => 0.2,
        Condition::FailFast if host == 0 => 0.001,
        _ if state.slow => 0.5,
        _ => 1.0,
    };
    let slots = f64::from(slots);
    let load = f64::from(state.running + state.queued);
    let wait = (load + 1.0 - slots).max(0.0) / slots;
    (1.0 + wait + 0.01 * load / slots) * MEAN_SERVICE_SECONDS / speed
}
