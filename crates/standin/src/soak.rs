//! A randomized fault soak: nodes run as real processes, overlapping faults are injected from
//! outside, and the guarantees to callers and operators are checked during and after the run.
//!
//! [`plan`] draws the events from a seed, [`fleet`] executes them, [`callers`] generates load
//! meanwhile, with keys of [`accounts`] in some runs, and [`promises`] checks the guarantees. At the end of a run every fault has been
//! cleared, and the fleet must serve all requests again.

pub mod accounts;
pub mod callers;
pub mod fleet;
pub mod plan;
pub mod promises;

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use self::callers::{Record, Targets};
use self::fleet::Fleet;
use self::plan::{Entry, Mode, Plan};
use self::promises::Violation;
use crate::scene::Error;
use crate::upstream::CRASHES;

/// Interval at which the state of the fleet is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Duration of each round of load after the last fault.
const RECOVERY_LOAD_DURATION: Duration = Duration::from_secs(1);
/// Time after the last fault within which the fleet must serve all requests again: suspicions of
/// peers are cleared within a few gossip rounds, and upstreams announce themselves every second.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);

/// Settings of one run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Path of the node binary.
    pub binary: PathBuf,
    /// Seed of the plan and of the load.
    pub seed: u64,
    /// Number of hosts.
    pub hosts: usize,
    /// Duration of the load with faults.
    pub load: Duration,
    /// Requests per second.
    pub rate: f64,
    /// Whether some requests carry large bodies.
    pub bodies: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            binary: PathBuf::from("target/debug/mintridge-node"),
            seed: 1,
            hosts: 5,
            load: Duration::from_secs(10),
            rate: 120.0,
            bodies: true,
        }
    }
}

/// Result of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Number of requests sent.
    pub sent: usize,
    /// Number of requests that succeeded.
    pub succeeded: usize,
    /// Requests whose connection closed without a response and that did not run.
    pub closed_unanswered: Vec<Record>,
    /// Guarantees that were violated.
    pub violations: Vec<Violation>,
}

/// Runs the soak with one seed.
///
/// # Errors
/// If a socket cannot be opened or a node cannot be started.
pub async fn run(settings: &Settings) -> Result<Outcome, Error> {
    let plan = plan::draw(settings.seed, settings.hosts, settings.load);
    let mut fleet = Fleet::start(settings.binary.clone(), settings.hosts, &plan).await?;
    let mut violations = Vec::new();
    let started_at = Instant::now();
    let load_task = tokio::spawn(callers::run(
        load(settings, &plan, format!("seed-{}", settings.seed)),
        Targets::clone(&fleet.targets),
        started_at + settings.load,
    ));
    let repeat_task = plan.repeats_crash_request.then(|| {
        fleet.scene.crash_on(Some(CRASHES));
        let id_prefix = format!("seed-{}", settings.seed);
        let targets = Targets::clone(&fleet.targets);
        tokio::spawn(callers::repeat(
            id_prefix,
            targets,
            started_at + settings.load,
        ))
    });
    run_plan(&mut fleet, &plan.entries, started_at, &mut violations).await?;
    let records = load_task.await.unwrap_or_default();
    let repeats = match repeat_task {
        Some(repeat_task) => repeat_task.await.unwrap_or_default(),
        None => Vec::new(),
    };
    recover(&mut fleet, settings, &plan, &mut violations).await?;
    violations.append(&mut fleet.revisions.violations);
    let runs = runs(&fleet);
    violations.extend(promises::check_answers(&records, &runs));
    violations.extend(promises::check_repeats(
        &repeats,
        fleet.third_crash_at,
        &runs,
    ));
    if plan.has_cold_upstreams {
        violations.extend(promises::check_cold_upstreams(&fleet.max_cold_requests()));
    }
    if plan.has_notices {
        violations.extend(promises::check_notices(&fleet.notice_counts()));
    }
    if plan.accounts > 0 {
        let arrivals = fleet.arrivals();
        violations.extend(promises::check_accounts(&records, &arrivals));
    }
    if plan.mode == Mode::Planned {
        violations.extend(promises::check_planned_work(&records, &runs));
    }
    Ok(Outcome {
        sent: records.len(),
        succeeded: records
            .iter()
            .filter(|record| record.result.is_success())
            .count(),
        closed_unanswered: closed_unanswered(&records, &runs),
        violations,
    })
}

fn closed_unanswered(records: &[Record], runs: &BTreeMap<String, u32>) -> Vec<Record> {
    records
        .iter()
        .filter(|record| promises::is_closed_unanswered(record, runs))
        .cloned()
        .collect()
}

fn load(settings: &Settings, plan: &Plan, id_prefix: String) -> callers::Load {
    callers::Load {
        seed: settings.seed,
        id_prefix,
        rate: settings.rate,
        bodies: settings.bodies,
        accounts: plan.accounts,
    }
}

/// Begins and ends the events of a plan at their times.
async fn run_plan(
    fleet: &mut Fleet,
    entries: &[Entry],
    started_at: Instant,
    violations: &mut Vec<Violation>,
) -> Result<(), Error> {
    let mut pending = entries.iter().peekable();
    let mut active: Vec<&Entry> = Vec::new();
    while pending.peek().is_some() || !active.is_empty() || fleet.is_stopping() {
        let now = started_at.elapsed();
        while let Some(entry) = pending.next_if(|entry| now >= entry.at) {
            fleet.begin(entry).await;
            active.push(entry);
        }
        let (due, remaining): (Vec<&Entry>, _) =
            active.iter().partition(|entry| now >= entry.until);
        for entry in due {
            fleet.end(entry).await?;
        }
        active = remaining;
        fleet.poll(violations).await?;
        fleet.poll_revisions().await;
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Sends rounds of load until every request of a round succeeds; reports a violation on timeout.
async fn recover(
    fleet: &mut Fleet,
    settings: &Settings,
    plan: &Plan,
    violations: &mut Vec<Violation>,
) -> Result<(), Error> {
    let deadline = Instant::now() + RECOVERY_TIMEOUT;
    loop {
        fleet.poll(violations).await?;
        let id_prefix = format!("after-{}-{:?}", settings.seed, Instant::now());
        let targets = Targets::clone(&fleet.targets);
        let until = Instant::now() + RECOVERY_LOAD_DURATION;
        let records = callers::run(load(settings, plan, id_prefix), targets, until).await;
        let is_failed = |record: &&Record| !accounts::is_due(&record.call, &record.result);
        let failed = records.iter().filter(is_failed).count();
        if failed == 0 && !records.is_empty() {
            return Ok(());
        }
        if Instant::now() > deadline {
            let sent = records.len();
            violations.push(Violation::NotRecovered { sent, failed });
            return Ok(());
        }
    }
}

/// How often each request ran, summed over all upstreams.
fn runs(fleet: &Fleet) -> BTreeMap<String, u32> {
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for host in &fleet.scene.hosts {
        for (id, count) in host.upstream.counts().runs {
            *runs.entry(id).or_default() += count;
        }
    }
    runs
}
