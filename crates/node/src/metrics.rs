//! Metrics of a node in the Prometheus text format. Label sets are bounded: label values are
//! constants of this program and never come from callers.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use hyper::Response;
use mintridge_core::account::limiter::Statistics;
use mintridge_core::claim::Verdict as ClaimVerdict;
use mintridge_core::health::Verdict;
use mintridge_core::notice::{Limit, Notice};
use mintridge_core::outcome::Refusal;
use mintridge_http::{Body, problem};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::context::GuardState;

/// Bucket bounds of the latency histogram, in seconds.
const LATENCY_BOUNDS: [f64; 12] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0, 30.0,
];

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabels {
    outcome: &'static str,
    reason: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct NoticeLabels {
    from: &'static str,
    limit: &'static str,
    leaving: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabels {
    kind: &'static str,
}

/// Outcome of a reload of the settings file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reload {
    /// The settings differed and were applied.
    Applied,
    /// The file is invalid.
    Rejected,
    /// The settings equal those in force.
    Unchanged,
}

/// Why a retry that the budget allows is not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withheld {
    /// The rest of the budget is reserved for more urgent requests and for calls.
    Reserved,
    /// No other host is likelier to run the request than to shed it.
    Unlikely,
}

impl Withheld {
    /// Returns the form used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Reserved => "reserved",
            Self::Unlikely => "unlikely",
        }
    }
}

/// All metrics of one node.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: Counter,
    request_seconds: Histogram,
    refusals: Family<RefusalLabels, Counter>,
    guard_refusals: Family<RefusalLabels, Counter>,
    retries: Counter,
    calls: Counter,
    retries_withheld: Family<KindLabels, Counter>,
    upstream_crashes: Counter,
    suspects: Gauge,
    quarantined: Gauge,
    pace_polls: Counter,
    reloads: Family<KindLabels, Counter>,
    store_restores: Counter,
    claims: Family<KindLabels, Counter>,
    store_calls: Family<KindLabels, Counter>,
    probes: Family<KindLabels, Counter>,
    notices: Family<NoticeLabels, Counter>,
    rings_full: Family<KindLabels, Counter>,
    bad_input: Family<KindLabels, Counter>,
    keys: Family<KindLabels, Counter>,
    announcements: Family<KindLabels, Counter>,
    exchanges: Family<KindLabels, Counter>,
    exchange_bytes: Counter,
    catch_ups: Family<KindLabels, Counter>,
    control_bytes: Family<KindLabels, Counter>,
    in_flight: Gauge,
    queued: Gauge,
    limit: Gauge,
    named_limit: Gauge<f64, AtomicU64>,
    probe_micros: Gauge,
    members: Gauge,
    links: Gauge,
    revision: Gauge,
    routes_version: Gauge,
    reads_store: Gauge,
    verified_age: Gauge,
    confirmed_age: Gauge,
    unconfirmed_keys: Counter,
    evacuated_zones: Gauge,
    rate_limits: Family<KindLabels, Counter>,
    delegations: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("mintridge"),
            requests: Counter::default(),
            request_seconds: Histogram::new(LATENCY_BOUNDS),
            refusals: Family::default(),
            guard_refusals: Family::default(),
            retries: Counter::default(),
            calls: Counter::default(),
            retries_withheld: Family::default(),
            upstream_crashes: Counter::default(),
            suspects: Gauge::default(),
            quarantined: Gauge::default(),
            pace_polls: Counter::default(),
            reloads: Family::default(),
            store_restores: Counter::default(),
            claims: Family::default(),
            store_calls: Family::default(),
            probes: Family::default(),
            notices: Family::default(),
            rings_full: Family::default(),
            bad_input: Family::default(),
            keys: Family::default(),
            announcements: Family::default(),
            exchanges: Family::default(),
            exchange_bytes: Counter::default(),
            catch_ups: Family::default(),
            control_bytes: Family::default(),
            in_flight: Gauge::default(),
            queued: Gauge::default(),
            limit: Gauge::default(),
            named_limit: Gauge::default(),
            probe_micros: Gauge::default(),
            members: Gauge::default(),
            links: Gauge::default(),
            revision: Gauge::default(),
            routes_version: Gauge::default(),
            reads_store: Gauge::default(),
            verified_age: Gauge::default(),
            confirmed_age: Gauge::default(),
            unconfirmed_keys: Counter::default(),
            evacuated_zones: Gauge::default(),
            rate_limits: Family::default(),
            delegations: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "requests",
            "Requests of callers answered",
            self.requests.clone(),
        );
        let help = "Time until the answer to a caller began";
        registry.register("request_seconds", help, self.request_seconds.clone());
        let help = "Refusals given to callers";
        registry.register("refusals", help, self.refusals.clone());
        let help = "Refusals given to peers by the guard of this upstream";
        registry.register("guard_refusals", help, self.guard_refusals.clone());
        registry.register("retries", "Second attempts made", self.retries.clone());
        let help = "Requests recognized as calls of requests in progress at the upstream";
        registry.register("calls", help, self.calls.clone());
        let help = "Retries not made, kept for other requests or unlikely to be run";
        registry.register("retries_withheld", help, self.retries_withheld.clone());
        let help = "Ends of the upstream, unplanned, with requests in progress";
        registry.register("upstream_ends", help, self.upstream_crashes.clone());
        let help = "Requests known under which upstreams ended";
        registry.register("suspects", help, self.suspects.clone());
        let help = "Requests held back because upstreams ended under them";
        registry.register("held_back", help, self.quarantined.clone());
        let help = "Availability zones whose upstreams get nothing new";
        registry.register("evacuated_zones", help, self.evacuated_zones.clone());
        let help = "Requests of limited accounts by decision, and changes of owners";
        registry.register("rate_limits", help, self.rate_limits.clone());
        let help = "Shares of limits delegated to this node, counted for each shard";
        registry.register("delegations", help, self.delegations.clone());
        registry.register("reloads", "Settings files read again", self.reloads.clone());
        registry.register(
            "pace_asked",
            "Times the upstream was asked how fast its host is",
            self.pace_polls.clone(),
        );
        let help = "Times the store came back from an older copy";
        registry.register("store_returns", help, self.store_restores.clone());
        let help = "Claims on idempotency keys by verdict";
        registry.register("claims", help, self.claims.clone());
        registry.register(
            "store_calls",
            "Calls to the store",
            self.store_calls.clone(),
        );
        registry.register("probes", "Probes of the upstream", self.probes.clone());
        let help = "Responses of the upstream that name a request limit or leaving";
        registry.register("notices", help, self.notices.clone());
        let help = "Messages refused because a ring was full";
        registry.register("rings_full", help, self.rings_full.clone());
        registry.register(
            "bad_input",
            "Malformed input by kind",
            self.bad_input.clone(),
        );
        let help = "Keys of client accounts in requests by outcome";
        registry.register("keys", help, self.keys.clone());
        let help = "Announcements of other incarnations of the upstream, by outcome";
        registry.register("announcements", help, self.announcements.clone());
        registry.register("exchanges", "Exchanges with peers", self.exchanges.clone());
        let help = "Bytes of exchange messages, both ways";
        registry.register("exchange_bytes", help, self.exchange_bytes.clone());
        let help = "Exchanges with peers that reported a newer document";
        registry.register("catch_ups", help, self.catch_ups.clone());
        let help = "Bytes of messages between nodes beside requests, sent";
        registry.register("control_bytes", help, self.control_bytes.clone());
        let help = "Requests in the upstream";
        registry.register("upstream_in_flight", help, self.in_flight.clone());
        let help = "Requests waiting for the upstream";
        registry.register("upstream_queued", help, self.queued.clone());
        let help = "Requests the upstream may have at once";
        registry.register("upstream_limit", help, self.limit.clone());
        let help = "Requests per second that the upstream takes, by its own statement; -1 if none";
        registry.register("upstream_named_limit", help, self.named_limit.clone());
        let help = "Upstream time spent on probes, in microseconds";
        registry.register("probe_microseconds", help, self.probe_micros.clone());
        let help = "Hosts that are there, this one included";
        registry.register("members", help, self.members.clone());
        registry.register("links", "Open links to peers", self.links.clone());
        let help = "Revision of the preset in force here";
        registry.register("preset_revision", help, self.revision.clone());
        let help = "Version of the routing table in force here";
        registry.register("routes_version", help, self.routes_version.clone());
        let help = "Whether this node follows documents in the store itself";
        registry.register("reads_store", help, self.reads_store.clone());
        let help = "Time since the store was known to hold no newer documents than this node";
        registry.register("verified_age_milliseconds", help, self.verified_age.clone());
        let help = "Age of the proof that the routing table is the newest; -1 if there is none";
        registry.register(
            "confirmed_age_milliseconds",
            help,
            self.confirmed_age.clone(),
        );
        let help = "Requests with a key refused because the routing table is not confirmed";
        registry.register("unconfirmed_keys", help, self.unconfirmed_keys.clone());
    }

    /// Counts a request whose response head was sent to the caller, and records its latency unless
    /// it was refused.
    pub fn record_response(&self, took: Duration, response: &Response<Body>) {
        self.requests.inc();
        if !response.headers().contains_key(problem::OUTCOME) {
            self.request_seconds.observe(took.as_secs_f64());
        }
    }

    /// Counts a refusal sent to a caller.
    pub fn refusal(&self, refusal: &Refusal) {
        self.refusals.get_or_create(&labels(refusal)).inc();
    }

    /// Counts a refusal that the guard sent to a peer.
    pub fn guard_refusal(&self, refusal: &Refusal) {
        self.guard_refusals.get_or_create(&labels(refusal)).inc();
    }

    /// Counts a request recognized as a call of a request in progress.
    pub fn call(&self) {
        self.calls.inc();
    }

    /// Counts a retry that is not made.
    pub fn retry_withheld(&self, withheld: Withheld) {
        let kind = withheld.as_str();
        self.retries_withheld
            .get_or_create(&KindLabels { kind })
            .inc();
    }

    /// Counts a retry.
    pub fn retry(&self) {
        self.retries.inc();
    }

    /// Counts a crash of the upstream with requests in progress.
    pub fn record_upstream_crash(&self) {
        self.upstream_crashes.inc();
    }

    /// Sets the number of requests suspected of crashing upstreams, and how many of them are in
    /// quarantine.
    pub fn suspects(&self, suspects: usize, quarantined: usize) {
        self.suspects
            .set(i64::try_from(suspects).unwrap_or(i64::MAX));
        self.quarantined
            .set(i64::try_from(quarantined).unwrap_or(i64::MAX));
    }

    /// Counts a reload of the settings file by its outcome.
    pub fn reload(&self, reload: Reload) {
        let kind = match reload {
            Reload::Applied => "taken",
            Reload::Rejected => "rejected",
            Reload::Unchanged => "unchanged",
        };
        self.reloads.get_or_create(&KindLabels { kind }).inc();
    }

    /// Counts a restore of the store from an older copy.
    pub fn record_store_restore(&self) {
        self.store_restores.inc();
    }

    /// Counts a poll of the upstream for the speed of its host.
    pub fn record_pace_poll(&self) {
        self.pace_polls.inc();
    }

    /// Counts a claim on an idempotency key by its verdict.
    pub fn claim(&self, verdict: ClaimVerdict) {
        let kind = match verdict {
            ClaimVerdict::Granted => "granted",
            ClaimVerdict::Duplicate => "duplicate",
            ClaimVerdict::Unavailable => "unavailable",
            ClaimVerdict::Doubtful => "doubtful",
        };
        count(&self.claims, kind);
    }

    /// Counts a call to the store by its kind.
    pub fn store_call(&self, kind: &'static str) {
        count(&self.store_calls, kind);
    }

    /// Counts a finished probe of the upstream by its verdict.
    pub fn probe(&self, verdict: Verdict) {
        let kind = match verdict {
            Verdict::Answered => "answered",
            Verdict::Failed => "failed",
        };
        count(&self.probes, kind);
    }

    /// Counts a response of the upstream that states something, by what it states and by whether it
    /// answers a request or a check.
    pub fn notice(&self, from: &'static str, notice: Notice) {
        let labels = NoticeLabels {
            from,
            limit: match notice.limit {
                Limit::Absent => "absent",
                Limit::Named(_) => "named",
                Limit::Unreadable => "unreadable",
            },
            leaving: if notice.leaving { "named" } else { "absent" },
        };
        self.notices.get_or_create(&labels).inc();
    }

    /// Counts a message that was rejected because a queue was full.
    pub fn ring_full(&self, ring: &'static str) {
        count(&self.rings_full, ring);
    }

    /// Counts what limited accounts were granted and refused since the last call, and sets the number
    /// of delegations that this node holds as an owner.
    pub fn rate_limits(&self, before: &Statistics, now: &Statistics, delegations: usize) {
        let kinds = [
            ("granted", before.granted, now.granted),
            ("refused", before.refused, now.refused),
            ("returned", before.returned, now.returned),
            ("owner-change", before.owner_changes, now.owner_changes),
        ];
        for (kind, before, now) in kinds {
            let counter = self.rate_limits.get_or_create(&KindLabels { kind });
            counter.inc_by(now.saturating_sub(before));
        }
        self.delegations
            .set(i64::try_from(delegations).unwrap_or(i64::MAX));
    }

    /// Counts malformed input by its kind.
    pub fn bad_input(&self, kind: &'static str) {
        count(&self.bad_input, kind);
    }

    /// Counts a request by the outcome of the check of its key.
    pub fn key(&self, outcome: &'static str) {
        count(&self.keys, outcome);
    }

    /// Counts an announcement of another incarnation of the upstream than the current one.
    pub fn announcement(&self, kind: &'static str) {
        count(&self.announcements, kind);
    }

    /// Counts a finished exchange with a peer and the bytes of its messages in both directions.
    pub fn exchange(&self, kind: &'static str, bytes: u64) {
        count(&self.exchanges, kind);
        self.exchange_bytes.inc_by(bytes);
    }

    /// Counts an exchange with a peer that reported a newer document, by whether it brought one.
    pub fn catch_up(&self, kind: &'static str) {
        count(&self.catch_ups, kind);
    }

    /// Counts the bytes of a control message sent to a peer, that is of any message other than a
    /// request.
    pub fn control_sent(&self, kind: &'static str, bytes: u64) {
        let labels = KindLabels { kind };
        self.control_bytes.get_or_create(&labels).inc_by(bytes);
    }

    /// Sets the metrics of the guarded upstream.
    pub fn guarded(&self, guarded: &GuardState) {
        self.in_flight.set(guarded.load.in_flight.into());
        self.queued.set(guarded.load.queued.into());
        self.limit.set(guarded.load.limit.into());
        self.probe_micros
            .set(i64::try_from(guarded.probe_micros).unwrap_or(i64::MAX));
    }

    /// Sets the limit that the upstream names, in requests per second.
    pub fn named_limit(&self, limit: Option<f64>) {
        self.named_limit.set(limit.unwrap_or(-1.0));
    }

    /// Sets the number of members and the revision of the preset in force on this node.
    pub fn view(&self, members: usize, revision: u64) {
        self.members.set(i64::try_from(members).unwrap_or(i64::MAX));
        self.revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
    }

    /// Sets the version of the routing table in force on this node.
    pub fn routes_version(&self, version: u64) {
        self.routes_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// Sets whether this node reads documents from the store itself.
    pub fn reads_store(&self, reads: bool) {
        self.reads_store.set(i64::from(reads));
    }

    /// Sets the time since the store was last known to hold nothing newer than the documents in
    /// force on this node.
    pub fn verified_age(&self, age: Duration) {
        self.verified_age
            .set(i64::try_from(age.as_millis()).unwrap_or(i64::MAX));
    }

    /// Sets the age of the latest proof that the routing table is the newest.
    pub fn confirmed_age(&self, age: Option<Duration>) {
        let millis = age.map(|age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX));
        self.confirmed_age.set(millis.unwrap_or(-1));
    }

    /// Counts a request with a key that was refused because the routing table is not confirmed.
    pub fn unconfirmed_key(&self) {
        self.unconfirmed_keys.inc();
    }

    /// Sets the number of evacuated availability zones.
    pub fn evacuated_zones(&self, zones: usize) {
        self.evacuated_zones
            .set(i64::try_from(zones).unwrap_or(i64::MAX));
    }

    /// Sets the number of open links to peers.
    pub fn links(&self, open: usize) {
        self.links.set(i64::try_from(open).unwrap_or(i64::MAX));
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    /// If the metrics cannot be encoded.
    pub fn text(&self) -> Result<String, std::fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}

const fn labels(refusal: &Refusal) -> RefusalLabels {
    RefusalLabels {
        outcome: refusal.outcome.as_str(),
        reason: refusal.reason.as_str(),
    }
}

fn count(family: &Family<KindLabels, Counter>, kind: &'static str) {
    family.get_or_create(&KindLabels { kind }).inc();
}
