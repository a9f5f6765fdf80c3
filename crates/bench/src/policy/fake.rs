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
        server: usize,
        request: usize,
    },
    Done {
        server: usize,
        request: usize,
    },
    Wake {
        server: usize,
    },
    Answer {
        server: usize,
        request: usize,
        report: [u32; 4],
        ok: bool,
    },
    Noise {
        server: usize,
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

struct Server {
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
    servers: Vec<Server>,
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

fn server_name(index: usize) -> Arc<str> {
    Arc::from(format!("server-{index}"))
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
        let servers = u32::try_from(deployment.servers).unwrap_or(u32::MAX);
        let settings = configs::admission::Settings {
            service_time_initial: Duration::from_secs_f64(SERVICE_MEAN),
            ..configs::admission::Settings::default()
        };
        let server = |index| Server {
            admission: Admission::new(settings.clone(), deployment.slots),
            running: 0,
            queued: 0,
            slow: false,
            present: condition != Condition::ColdStart || index > 0,
        };
        let latency = Histogram::new_with_bounds(1, 60_000_000, 3);
        let mut bench = Self {
            rate: share * f64::from(servers) * slots / SERVICE_MEAN,
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
            servers: (0..deployment.servers).map(server).collect(),
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
            own: vec![0; self.deployment.servers],
            reports: vec![Report::default(); self.deployment.servers],
        }
    }

    fn upstreams(&self, entry: usize) -> Vec<Upstream> {
        let present = (0..self.servers.len()).filter(|server| self.servers[*server].present);
        present
            .map(|server| Upstream {
                server: server_name(server),
                service: Arc::from(SERVICE),
                slots: self.deployment.slots,
                same_zone: server % self.deployment.zones == entry % self.deployment.zones,
            })
            .collect()
    }

    fn begin(&mut self) {
        self.after(Duration::ZERO, Event::Arrive);
        if self.condition == Condition::Noisy {
            for server in 0..self.servers.len() {
                let at = self.exponential(0.5);
                self.after(at, Event::Noise { server, slow: true });
            }
        }
        if self.condition == Condition::ColdStart {
            self.after(Duration::from_secs(1), Event::Join);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Reach { server, request } => self.reach(server, request),
            Event::Done { server, request } => self.done(server, request),
            Event::Wake { server } => self.pump(server),
            Event::Answer {
                server,
                request,
                report,
                ok,
            } => self.answer(server, request, report, ok),
            Event::Noise { server, slow } => self.noise(server, slow),
            Event::Join => {
                self.servers[0].present = true;
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
        let present = (0..self.servers.len()).filter(|server| self.servers[*server].present);
        let open: Vec<usize> = present
            .filter(|server| !request.tried.contains(server))
            .collect();
        let truth: Vec<f64> = (0..self.servers.len())
            .map(|server| truth(self.condition, &self.servers, server, self.deployment.slots))
            .collect();
        let entry = &mut self.entries[request.entry];
        let server = if let Some(choose) = self.choose {
            choose(&mut View {
                entry: request.entry,
                open: &open,
                own: &entry.own,
                reports: &entry.reports,
                truth: &truth,
                rng: &mut self.rng,
            })
        } else {
            let tried: Vec<Arc<str>> = request.tried.iter().map(|s| server_name(*s)).collect();
            let picked = entry.placement.pick(self.now, SERVICE, &tried);
            let picked = picked.and_then(|name| name.strip_prefix("server-")?.parse().ok());
            picked.unwrap_or(open[0])
        };
        entry.own[server] += 1;
        request.tried.push(server);
        self.figures.attempts += 1;
        let delay = self.delay(request_entry(&self.requests, id), server);
        self.after(
            delay,
            Event::Reach {
                server,
                request: id,
            },
        );
    }

    fn reach(&mut self, server: usize, id: usize) {
        if self.condition == Condition::FailFast && server == 0 {
            return self.reply(server, id, false);
        }
        let request = &self.requests[&id];
        let arrival = Arrival {
            id: Id(id as u64),
            client_account: Arc::clone(&request.client_account),
            deadline: request.arrived + DEADLINE,
            target: request.arrived + DEADLINE,
            priority: 0,
            only_in_time: false,
        };
        match self.servers[server]
            .admission
            .arrive(self.now, arrival, 1.0)
        {
            Decision::Admit => self.start(server, id),
            Decision::Queue => self.servers[server].queued += 1,
            Decision::Refuse(_) => self.reply(server, id, false),
        }
        self.pump(server);
    }

    fn start(&mut self, server: usize, id: usize) {
        self.servers[server].running += 1;
        let work = self.exponential(SERVICE_MEAN);
        let took = work.div_f64(self.speed(server));
        self.after(
            took,
            Event::Done {
                server,
                request: id,
            },
        );
    }

    fn done(&mut self, server: usize, id: usize) {
        let at = &mut self.servers[server];
        at.running -= 1;
        at.admission
            .answered(self.now, Id(id as u64), Answer::Served);
        at.admission.finish(Id(id as u64));
        self.reply(server, id, true);
        self.pump(server);
    }

    fn pump(&mut self, server: usize) {
        while let Some(action) = self.servers[server].admission.poll(self.now) {
            self.servers[server].queued -= 1;
            match action {
                Action::Admit(id) => self.start(server, usize::try_from(id.0).unwrap_or(0)),
                Action::Refuse(id, _) => {
                    self.reply(server, usize::try_from(id.0).unwrap_or(0), false);
                }
            }
        }
        if let Some(at) = self.servers[server].admission.wake_at() {
            self.at(at, Event::Wake { server });
        }
    }

    fn reply(&mut self, server: usize, id: usize, ok: bool) {
        let report = self.servers[server].admission.report(self.now);
        let report = [
            report.in_flight,
            report.queued,
            report.limit,
            report.service_micros,
        ];
        let delay = self.delay(request_entry(&self.requests, id), server);
        let answer = Event::Answer {
            server,
            request: id,
            report,
            ok,
        };
        self.after(delay, answer);
    }

    fn answer(&mut self, server: usize, id: usize, report: [u32; 4], ok: bool) {
        let [in_flight, queued, limit, service_micros] = report;
        let report = Report {
            in_flight,
            queued,
            limit,
            service_micros,
            slowness_percent: 0,
        };
        let failing = self.condition == Condition::FailFast && server == 0;
        let entry = &mut self.entries[request_entry(&self.requests, id)];
        entry.own[server] -= 1;
        entry.reports[server] = report;
        let name = server_name(server);
        let ending = match (ok, failing) {
            (true, _) => Ending::Answered,
            (false, true) => Ending::Avoid,
            (false, false) => Ending::Full,
        };
        entry.placement.reported(self.now, SERVICE, &name, report);
        if self.choose.is_none() {
            entry.placement.finish(self.now, SERVICE, &name, ending);
        }
        let request = &self.requests[&id];
        if !ok && request.tried.len() < ATTEMPTS.min(self.servers.len()) {
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

    fn noise(&mut self, server: usize, slow: bool) {
        if self.now >= self.end {
            return;
        }
        self.servers[server].slow = slow;
        let lasts = if slow {
            Duration::from_millis(self.rng.random_range(5..200))
        } else {
            self.exponential(0.5)
        };
        self.after(
            lasts,
            Event::Noise {
                server,
                slow: !slow,
            },
        );
    }

    fn speed(&self, server: usize) -> f64 {
        let since = (self.now - self.began).as_secs_f64();
        match self.condition {
            Condition::Straggler if server == 0 => 0.1,
            Condition::ColdStart if server == 0 && since < 4.0 => 0.2,
            Condition::Noisy if self.servers[server].slow => 0.5,
            _ => 1.0,
        }
    }

    fn delay(&self, entry: usize, server: usize) -> Duration {
        if server % self.deployment.zones == entry % self.deployment.zones {
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
fn truth(condition: Condition, servers: &[Server], server: usize, slots: u32) -> f64 {
    let at = &servers[server];
    let speed = match condition {
        Condition::Straggler if server == 0 => 0.1,
        Condition::ColdStart if server == 0 => 0.2,
        Condition::FailFast if server == 0 => 0.001,
        _ if at.slow => 0.5,
        _ => 1.0,
    };
    let slots = f64::from(slots);
    let load = f64::from(at.running + at.queued);
    let wait = (load + 1.0 - slots).max(0.0) / slots;
    (1.0 + wait + 0.01 * load / slots) * SERVICE_MEAN / speed
}
