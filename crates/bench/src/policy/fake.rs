//! The fake that the policies meet: a queue of events in virtual time, slots, service
//! times, and a speed that changes.

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

use super::{Choose, Condition, Deployment, Figures, View};

const SERVICE: &str = "service";
const SERVICE_MEAN: f64 = 0.020;
const DEADLINE: Duration = Duration::from_secs(1);
const ATTEMPTS: usize = 3;
const SAME_ZONE: Duration = Duration::from_micros(50);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Reach {
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
    Answer {
        host: usize,
        request: usize,
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
    arrived: Instant,
    tried: Vec<usize>,
    looked_at: bool,
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
    own: Vec<u32>,
    reports: Vec<Report>,
}

/// One run.
struct Bench {
    deployment: Deployment,
    condition: Condition,
    choose: Option<Choose>,
    rate: f64,
    began: Instant,
    now: Instant,
    end: Instant,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
    requests: HashMap<usize, Request>,
    next_request: usize,
    hosts: Vec<Host>,
    entries: Vec<Entry>,
    rng: ChaCha8Rng,
    figures: Figures,
}

/// Runs one policy under one condition at a share of capacity.
#[must_use]
pub fn run(
    deployment: Deployment,
    condition: Condition,
    share: f64,
    choose: Option<Choose>,
    seconds: f64,
) -> Figures {
    let mut bench = Bench::new(deployment, condition, share, choose, seconds);
    bench.begin();
    while let Some(Reverse((now, _, event))) = bench.events.pop() {
        bench.now = now;
        bench.handle(event);
    }
    bench.figures
}

fn host_name(index: usize) -> Arc<str> {
    Arc::from(format!("host-{index}"))
}

impl Bench {
    fn new(
        deployment: Deployment,
        condition: Condition,
        share: f64,
        choose: Option<Choose>,
        seconds: f64,
    ) -> Self {
        let began = Instant::now();
        let slots = f64::from(deployment.slots);
        let hosts = u32::try_from(deployment.hosts).unwrap_or(u32::MAX);
        let settings = configs::admission::Settings {
            service_time_initial: Duration::from_secs_f64(SERVICE_MEAN),
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
        let mut bench = Self {
            rate: share * f64::from(hosts) * slots / SERVICE_MEAN,
            deployment,
            condition,
            choose,
            began,
            now: began,
            end: began + Duration::from_secs_f64(seconds),
            events: BinaryHeap::new(),
            sequence: 0,
            requests: HashMap::new(),
            next_request: 0,
            hosts: (0..deployment.hosts).map(host).collect(),
            entries: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(11),
            figures: Figures {
                latency: latency.expect("constant bounds are valid"),
                requests: 0,
                refused: 0,
                attempts: 0,
            },
        };
        bench.entries = (0..deployment.entries)
            .map(|index| bench.entry(index))
            .collect();
        bench
    }

    fn entry(&self, index: usize) -> Entry {
        let settings = configs::placement::Settings {
            zone_cost: self.deployment.zone_delay * 2,
            service_time_initial: Duration::from_secs_f64(SERVICE_MEAN),
            ..configs::placement::Settings::default()
        };
        let mut placement = Placement::new(settings, 100 + index as u64);
        placement.update(self.now, &self.upstreams(index));
        Entry {
            placement,
            own: vec![0; self.deployment.hosts],
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

    fn begin(&mut self) {
        self.after(Duration::ZERO, Event::Arrive);
        if self.condition == Condition::Noisy {
            for host in 0..self.hosts.len() {
                let at = self.exponential(0.5);
                self.after(at, Event::Noise { host, slow: true });
            }
        }
        if self.condition == Condition::ColdStart {
            self.after(Duration::from_secs(1), Event::Join);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Reach { host, request } => self.reach(host, request),
            Event::Done { host, request } => self.done(host, request),
            Event::Wake { host } => self.pump(host),
            Event::Answer {
                host,
                request,
                report,
                ok,
            } => self.answer(host, request, report, ok),
            Event::Noise { host, slow } => self.noise(host, slow),
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
        let since = (self.now - self.began).as_secs_f64();
        let surge = match self.condition {
            Condition::Auction if (1.0..1.3).contains(&since) => 10.0,
            Condition::Auction => 0.5,
            _ => 1.0,
        };
        let mut rate = self.rate * surge;
        let mut large = 0.1;
        if self.condition == Condition::Burst && (1.0..2.0).contains(&since) {
            rate *= 1.9;
            large = 1.0 / 1.9;
        }
        let is_large = self.rng.random::<f64>() < large;
        let small = self.rng.random_range(0..20);
        let client_account = if is_large {
            Arc::from("large")
        } else {
            Arc::from(format!("small-{small}"))
        };
        let id = self.next_request;
        self.next_request += 1;
        let request = Request {
            entry: self.rng.random_range(0..self.entries.len()),
            arrived: self.now,
            tried: Vec::new(),
            looked_at: !(self.condition == Condition::Burst && is_large),
            client_account,
        };
        self.figures.requests += u64::from(request.looked_at);
        self.requests.insert(id, request);
        self.place(id);
        let gap = self.exponential(1.0 / rate);
        self.after(gap, Event::Arrive);
    }

    fn place(&mut self, id: usize) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let present = (0..self.hosts.len()).filter(|host| self.hosts[*host].present);
        let open: Vec<usize> = present
            .filter(|host| !request.tried.contains(host))
            .collect();
        let truth: Vec<f64> = (0..self.hosts.len())
            .map(|host| truth(self.condition, &self.hosts, host, self.deployment.slots))
            .collect();
        let entry = &mut self.entries[request.entry];
        let host = if let Some(choose) = self.choose {
            choose(&mut View {
                entry: request.entry,
                open: &open,
                own: &entry.own,
                reports: &entry.reports,
                truth: &truth,
                rng: &mut self.rng,
            })
        } else {
            let tried: Vec<Arc<str>> = request.tried.iter().map(|s| host_name(*s)).collect();
            let picked = entry.placement.pick(self.now, SERVICE, &tried);
            let picked = picked.and_then(|name| name.strip_prefix("host-")?.parse().ok());
            picked.unwrap_or(open[0])
        };
        entry.own[host] += 1;
        request.tried.push(host);
        self.figures.attempts += 1;
        let delay = self.delay(request_entry(&self.requests, id), host);
        self.after(delay, Event::Reach { host, request: id });
    }

    fn reach(&mut self, host: usize, id: usize) {
        if self.condition == Condition::FailFast && host == 0 {
            return self.reply(host, id, false);
        }
        let request = &self.requests[&id];
        let arrival = Arrival {
            id: Id(id as u64),
            client_account: Arc::clone(&request.client_account),
            deadline: request.arrived + DEADLINE,
            target: request.arrived + DEADLINE,
            priority: 0,
            route: Arc::from("route"),
            only_in_time: false,
        };
        match self.hosts[host].admission.arrive(self.now, arrival, 1.0) {
            Decision::Admit => self.start(host, id),
            Decision::Queue => self.hosts[host].queued += 1,
            Decision::Refuse(_) => self.reply(host, id, false),
        }
        self.pump(host);
    }

    fn start(&mut self, host: usize, id: usize) {
        self.hosts[host].running += 1;
        let work = self.exponential(SERVICE_MEAN);
        let took = work.div_f64(self.speed(host));
        self.after(took, Event::Done { host, request: id });
    }

    fn done(&mut self, host: usize, id: usize) {
        let at = &mut self.hosts[host];
        at.running -= 1;
        at.admission
            .record_answer(self.now, Id(id as u64), Answer::Served);
        at.admission.finish(Id(id as u64));
        self.reply(host, id, true);
        self.pump(host);
    }

    fn pump(&mut self, host: usize) {
        while let Some(action) = self.hosts[host].admission.poll(self.now) {
            self.hosts[host].queued -= 1;
            match action {
                Action::Admit(id) => self.start(host, usize::try_from(id.0).unwrap_or(0)),
                Action::Refuse(id, _) => {
                    self.reply(host, usize::try_from(id.0).unwrap_or(0), false);
                }
            }
        }
        if let Some(at) = self.hosts[host].admission.wake_at(self.now) {
            self.at(at, Event::Wake { host });
        }
    }

    fn reply(&mut self, host: usize, id: usize, ok: bool) {
        let report = self.hosts[host].admission.report(self.now);
        let report = [
            report.in_flight,
            report.queued,
            report.limit,
            report.service_micros,
        ];
        let delay = self.delay(request_entry(&self.requests, id), host);
        let answer = Event::Answer {
            host,
            request: id,
            report,
            ok,
        };
        self.after(delay, answer);
    }

    fn answer(&mut self, host: usize, id: usize, report: [u32; 4], ok: bool) {
        let [in_flight, queued, limit, service_micros] = report;
        let report = Report {
            in_flight,
            queued,
            limit,
            service_micros,
            slowness_percent: 0,
        };
        let failing = self.condition == Condition::FailFast && host == 0;
        let entry = &mut self.entries[request_entry(&self.requests, id)];
        entry.own[host] -= 1;
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
        if !ok && request.tried.len() < ATTEMPTS.min(self.hosts.len()) {
            return self.place(id);
        }
        if request.looked_at {
            if ok {
                let took = (self.now - request.arrived).as_micros();
                self.figures
                    .latency
                    .saturating_record(u64::try_from(took).unwrap_or(u64::MAX));
            } else {
                self.figures.refused += 1;
            }
        }
        self.requests.remove(&id);
    }

    fn noise(&mut self, host: usize, slow: bool) {
        if self.now >= self.end {
            return;
        }
        self.hosts[host].slow = slow;
        let lasts = if slow {
            Duration::from_millis(self.rng.random_range(5..200))
        } else {
            self.exponential(0.5)
        };
        self.after(lasts, Event::Noise { host, slow: !slow });
    }

    fn speed(&self, host: usize) -> f64 {
        let since = (self.now - self.began).as_secs_f64();
        match self.condition {
            Condition::Straggler if host == 0 => 0.1,
            Condition::ColdStart if host == 0 && since < 4.0 => 0.2,
            Condition::Noisy if self.hosts[host].slow => 0.5,
            _ => 1.0,
        }
    }

    fn delay(&self, entry: usize, host: usize) -> Duration {
        if host % self.deployment.zones == entry % self.deployment.zones {
            SAME_ZONE
        } else {
            self.deployment.zone_delay
        }
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        let uniform: f64 = self.rng.random::<f64>().max(1e-12);
        Duration::from_secs_f64(-uniform.ln() * mean)
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.at(self.now + delay, event);
    }

    fn at(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }
}

fn request_entry(requests: &HashMap<usize, Request>, id: usize) -> usize {
    requests[&id].entry
}

/// Expected seconds until an answer, knowing all queues and speeds at once.
fn truth(condition: Condition, hosts: &[Host], host: usize, slots: u32) -> f64 {
    let at = &hosts[host];
    let speed = match condition {
        Condition::Straggler if host == 0 => 0.1,
        Condition::ColdStart if host == 0 => 0.2,
        Condition::FailFast if host == 0 => 0.001,
        _ if at.slow => 0.5,
        _ => 1.0,
    };
    let slots = f64::from(slots);
    let load = f64::from(at.running + at.queued);
    let wait = (load + 1.0 - slots).max(0.0) / slots;
    (1.0 + wait + 0.01 * load / slots) * SERVICE_MEAN / speed
}
