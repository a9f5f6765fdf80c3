//! Request log: every failed request and a sample of the others, with a limit on the lines per
//! second.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hyper::StatusCode;
use mintridge_core::load::Report;
use mintridge_core::notice::Known;
use mintridge_core::quota::Quota;
use parking_lot::Mutex;

use crate::configs::logs::Settings;
use crate::headers::Head;

/// Log of all requests that one role of the node handles.
#[derive(Debug)]
pub struct RequestLog {
    quota: Mutex<Quota>,
    sample_one_in: AtomicU64,
    request_count: AtomicU64,
}

impl RequestLog {
    /// Creates a request log.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        Self {
            quota: Mutex::new(Quota::new(
                settings.request_lines_per_second,
                Instant::now(),
            )),
            sample_one_in: AtomicU64::new(settings.sample_one_in),
            request_count: AtomicU64::new(0),
        }
    }

    /// Replaces the settings.
    pub fn set_settings(&self, settings: &Settings) {
        let lines = settings.request_lines_per_second;
        *self.quota.lock() = Quota::new(lines, Instant::now());
        let sample_one_in = settings.sample_one_in;
        self.sample_one_in.store(sample_one_in, Ordering::Relaxed);
    }

    /// Returns whether `lines` lines may be written now, and counts them against the rate limit.
    pub fn try_acquire(&self, lines: usize) -> bool {
        let lines = u32::try_from(lines).unwrap_or(u32::MAX);
        let Some(dropped) = self.quota.lock().try_acquire(Instant::now(), lines) else {
            return false;
        };
        if dropped > 0 {
            log::warn!(lines = dropped; "request log lines dropped by the rate limit");
        }
        true
    }

    /// Counts a request that did not fail, and returns whether to log it.
    fn sample(&self) -> bool {
        let request_count = self.request_count.fetch_add(1, Ordering::Relaxed);
        let sample_one_in = self.sample_one_in.load(Ordering::Relaxed);
        sample_one_in > 0 && request_count.is_multiple_of(sample_one_in)
    }
}

/// One attempt and the data on which it was based.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The host that the attempt was sent to.
    pub host: Arc<str>,
    /// Last known load of the host's upstream.
    pub report: Report,
    /// Age of that load report.
    pub report_age: Duration,
    /// Last known statements of the host's upstream.
    pub known: Option<Known>,
    /// Whether the host had to refuse the request if it would miss its target.
    pub only_in_time: bool,
    /// Outcome of the attempt.
    pub outcome: &'static str,
    /// Status of the upstream's response, if there is one.
    pub upstream_status: Option<StatusCode>,
    /// When the attempt started.
    pub started_at: Instant,
    /// Duration of the attempt.
    pub took: Duration,
}

/// What happened to one request; logged when the request ends.
#[derive(Debug)]
pub struct History {
    log: Arc<RequestLog>,
    request_id: Arc<str>,
    arrived_at: Instant,
    service: Option<Arc<str>>,
    client_account: Option<Arc<str>>,
    /// Digest of the request without its body; repeats of the request have the same one.
    fingerprint: u64,
    routes_version: u64,
    time_limit: Duration,
    attempts: Vec<Attempt>,
    finished: bool,
}

impl History {
    /// Starts the history of a request that has arrived.
    #[must_use]
    pub fn new(log: &Arc<RequestLog>, now: Instant, request_id: &Arc<str>) -> Self {
        Self {
            log: Arc::clone(log),
            request_id: Arc::clone(request_id),
            arrived_at: now,
            service: None,
            client_account: None,
            fingerprint: 0,
            routes_version: 0,
            time_limit: Duration::ZERO,
            attempts: Vec::new(),
            finished: false,
        }
    }

    /// Sets the request's id, which may be the caller's own.
    pub fn set_request_id(&mut self, request_id: &Arc<str>) {
        self.request_id = Arc::clone(request_id);
    }

    /// Sets the version of the routing table that routes the request; 0 without a table.
    pub const fn set_routes_version(&mut self, version: u64) {
        self.routes_version = version;
    }

    /// Records the request's service, client account and deadline once they are known.
    pub fn record_routing(&mut self, head: &Head) {
        self.service = Some(Arc::clone(&head.service));
        self.client_account = Some(Arc::clone(&head.client_account));
        self.time_limit = head.deadline.saturating_duration_since(self.arrived_at);
    }

    /// Sets the digest of the request without its body.
    pub const fn set_fingerprint(&mut self, fingerprint: u64) {
        self.fingerprint = fingerprint;
    }

    /// Records an attempt that has ended.
    pub fn record_attempt(&mut self, attempt: Attempt) {
        self.attempts.push(attempt);
    }

    /// Records the response to the caller and writes the log lines. `refused` is the reason if the
    /// response does not come from an upstream.
    pub fn finish(&mut self, status: StatusCode, refused: Option<&'static str>) {
        self.finished = true;
        let failed = refused.is_some() || status.is_server_error();
        let outcome = refused.unwrap_or("answered");
        if failed || self.log.sample() {
            self.write(outcome, status.as_u16());
        }
    }

    fn write(&self, outcome: &'static str, status: u16) {
        if !self.log.try_acquire(self.attempts.len() + 1) {
            return;
        }
        for (index, attempt) in self.attempts.iter().enumerate() {
            self.write_attempt(index + 1, attempt);
        }
        log::info!(
            request = &*self.request_id,
            service = self.service.as_deref().unwrap_or(""),
            client_account = self.client_account.as_deref().unwrap_or(""),
            fingerprint = format!("{:016x}", self.fingerprint),
            routes_version = self.routes_version,
            attempts = self.attempts.len(),
            allowed_ms = millis(self.time_limit),
            took_ms = millis(self.arrived_at.elapsed()),
            status = status,
            outcome = outcome;
            "request"
        );
    }

    fn write_attempt(&self, number: usize, attempt: &Attempt) {
        let offset = attempt.started_at.duration_since(self.arrived_at);
        let known = attempt.known.as_ref();
        log::info!(
            request = &*self.request_id,
            attempt = number,
            to = &*attempt.host,
            after_ms = millis(offset),
            took_ms = millis(attempt.took),
            known_in_flight = attempt.report.in_flight,
            known_queued = attempt.report.queued,
            known_limit = attempt.report.limit,
            known_slowness_percent = attempt.report.slowness_percent,
            known_age_ms = millis(attempt.report_age),
            known_named_limit = limit_text(known.and_then(|known| known.requests_per_second)),
            known_leaving = known.is_some_and(|known| known.leaving),
            only_in_time = attempt.only_in_time,
            upstream_status = attempt.upstream_status.as_ref().map_or("", StatusCode::as_str),
            outcome = attempt.outcome;
            "attempt"
        );
    }
}

impl Drop for History {
    /// Logs a request whose caller disconnected; such a request is dropped at whatever stage it has
    /// reached.
    fn drop(&mut self) {
        if !self.finished {
            self.write("caller-left", 0);
        }
    }
}

/// Returns whole milliseconds for a log line.
#[must_use]
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns a request limit for a log line; empty if there is none.
#[must_use]
pub fn limit_text(limit: Option<f64>) -> String {
    limit.map_or_else(String::new, |limit| limit.to_string())
}
