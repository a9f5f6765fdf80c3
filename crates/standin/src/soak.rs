//! A randomized soak: real nodes as processes, faults from outside them in series that
//! overlap, and the promises checked while it runs.
//!
//! [`plan`] draws from a seed what happens, [`fleet`] does it, [`callers`] send requests
//! meanwhile, and [`promises`] says what must hold. A run ends with every fault undone and the
//! fleet serving again.

pub mod callers;
pub mod fleet;
pub mod plan;
pub mod promises;

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use self::callers::{Sent, Targets};
use self::fleet::Fleet;
use self::plan::{Entry, Mode};
use self::promises::Broken;
use crate::scene::Error;
use crate::upstream::CRASHES;

/// How often the fleet is looked at.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Requests sent after the last fault.
const AFTERWARDS: Duration = Duration::from_secs(1);
/// Time for the fleet to serve everybody again after the last fault: suspicions are over
/// within a few rounds of exchanges, announcements come every second.
const RECOVERS_WITHIN: Duration = Duration::from_secs(15);

/// One run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The node's binary.
    pub binary: PathBuf,
    /// Draws the plan and the load.
    pub seed: u64,
    /// Hosts.
    pub hosts: usize,
    /// Time of load with faults.
    pub load: Duration,
    /// Requests a second.
    pub rate: f64,
    /// Whether some requests bring large bodies.
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

/// What came of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Requests sent.
    pub sent: usize,
    /// How many of them succeeded.
    pub succeeded: usize,
    /// Requests that ended without a word and did not run.
    pub without_a_word: Vec<Sent>,
    /// Promises broken.
    pub broken: Vec<Broken>,
}

/// Plays one seed.
///
/// # Errors
/// If a socket or node cannot be started.
pub async fn run(settings: &Settings) -> Result<Outcome, Error> {
    let plan = plan::draw(settings.seed, settings.hosts, settings.load);
    let mut fleet = Fleet::start(settings.binary.clone(), settings.hosts, plan.cold).await?;
    let mut broken = Vec::new();
    let began = Instant::now();
    let sending = tokio::spawn(callers::run(
        load(settings, format!("seed-{}", settings.seed)),
        Targets::clone(&fleet.targets),
        began + settings.load,
    ));
    let repeating = plan.crashing.then(|| {
        fleet.scene.crash_on(Some(CRASHES));
        let run = format!("seed-{}", settings.seed);
        let targets = Targets::clone(&fleet.targets);
        tokio::spawn(callers::repeat(run, targets, began + settings.load))
    });
    play(&mut fleet, &plan.entries, began, &mut broken).await?;
    let sent = sending.await.unwrap_or_default();
    let repeated = match repeating {
        Some(repeating) => repeating.await.unwrap_or_default(),
        None => Vec::new(),
    };
    recover(&mut fleet, settings, &mut broken).await?;
    broken.append(&mut fleet.versions.broken);
    let runs = runs(&fleet);
    broken.extend(promises::of_answers(&sent, &runs));
    broken.extend(promises::of_repeats(&repeated, fleet.third_end_at, &runs));
    if plan.cold {
        broken.extend(promises::of_cold_upstreams(&fleet.cold_most()));
    }
    if plan.mode == Mode::Planned {
        broken.extend(promises::of_planned_work(&sent, &runs));
    }
    Ok(Outcome {
        sent: sent.len(),
        succeeded: sent.iter().filter(|sent| sent.told.is_success()).count(),
        without_a_word: without_a_word(&sent, &runs),
        broken,
    })
}

fn without_a_word(sent: &[Sent], runs: &BTreeMap<String, u32>) -> Vec<Sent> {
    sent.iter()
        .filter(|sent| promises::ended_without_a_word(sent, runs))
        .cloned()
        .collect()
}

fn load(settings: &Settings, run: String) -> callers::Load {
    callers::Load {
        seed: settings.seed,
        run,
        rate: settings.rate,
        bodies: settings.bodies,
    }
}

/// Begins and ends what is planned, in order of time.
async fn play(
    fleet: &mut Fleet,
    entries: &[Entry],
    began: Instant,
    broken: &mut Vec<Broken>,
) -> Result<(), Error> {
    let mut to_begin = entries.iter().peekable();
    let mut to_end: Vec<&Entry> = Vec::new();
    while to_begin.peek().is_some() || !to_end.is_empty() || fleet.is_stopping() {
        let now = began.elapsed();
        while let Some(entry) = to_begin.next_if(|entry| now >= entry.at) {
            fleet.begin(entry).await;
            to_end.push(entry);
        }
        let (due, later): (Vec<&Entry>, _) = to_end.iter().partition(|entry| now >= entry.until);
        for entry in due {
            fleet.end(entry).await?;
        }
        to_end = later;
        fleet.look(broken).await?;
        fleet.look_at_versions().await;
        tokio::time::sleep(LOOK_EVERY).await;
    }
    Ok(())
}

/// Waits until the fleet serves again, and counts what fails after that.
async fn recover(
    fleet: &mut Fleet,
    settings: &Settings,
    broken: &mut Vec<Broken>,
) -> Result<(), Error> {
    let give_up_at = Instant::now() + RECOVERS_WITHIN;
    loop {
        fleet.look(broken).await?;
        let run = format!("after-{}-{:?}", settings.seed, Instant::now());
        let targets = Targets::clone(&fleet.targets);
        let until = Instant::now() + AFTERWARDS;
        let sent = callers::run(load(settings, run), targets, until).await;
        let failed = |sent: &&Sent| !sent.told.is_success();
        let failed = sent.iter().filter(failed).count();
        if failed == 0 && !sent.is_empty() {
            return Ok(());
        }
        if Instant::now() > give_up_at {
            let sent = sent.len();
            broken.push(Broken::NotRecovered { sent, failed });
            return Ok(());
        }
    }
}

/// Runs of all requests, over all upstreams.
fn runs(fleet: &Fleet) -> BTreeMap<String, u32> {
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for host in &fleet.scene.hosts {
        for (id, count) in host.upstream.account().runs {
            *runs.entry(id).or_default() += count;
        }
    }
    runs
}
