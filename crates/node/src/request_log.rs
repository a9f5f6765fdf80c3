//! Log lines about requests: complete for those that failed, sampled for the others, and
//! bounded in a second.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hyper::StatusCode;
use mintridge_core::load::Report;
use mintridge_core::quota::Quota;
use parking_lot::Mutex;

use crate::configs::logs::Settings;

/// Where the lines of all requests of one duty go.
#[derive(Debug)]
pub struct RequestLog {
    quota: Mutex<Quota>,
    sample_one_in: AtomicU64,
    seen: AtomicU64,
}

impl RequestLog {
    /// An empty log.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        Self {
            quota: Mutex::new(Quota::new(
                settings.request_lines_per_second,
                Instant::now(),
            )),
            sample_one_in: AtomicU64::new(settings.sample_one_in),
            seen: AtomicU64::new(0),
        }
    }

    /// Takes other settings.
    pub fn set_settings(&self, settings: &Settings) {
        let lines = settings.request_lines_per_second;
        *self.quota.lock() = Quota::new(lines, Instant::now());
        let sample_one_in = settings.sample_one_in;
        self.sample_one_in.store(sample_one_in, Ordering::Relaxed);
    }

    /// Whether so many lines may be written now.
    pub fn admits(&self, lines: usize) -> bool {
        let lines = u32::try_from(lines).unwrap_or(u32::MAX);
        let Some(dropped) = self.quota.lock().try_acquire(Instant::now(), lines) else {
            return false;
        };
        if dropped > 0 {
            log::warn!(lines = dropped; "lines about requests left out");
        }
        true
    }

    fn samples(&self) -> bool {
        let seen = self.seen.fetch_add(1, Ordering::Relaxed);
        let sample_one_in = self.sample_one_in.load(Ordering::Relaxed);
        sample_one_in > 0 && seen.is_multiple_of(sample_one_in)
    }
}

/// One attempt and what it was decided on.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The host that was asked.
    pub host: Arc<str>,
    /// What was known of its upstream.
    pub report: Report,
    /// How old that was.
    pub report_age: Duration,
    /// Whether it was to refuse a late answer.
    pub only_in_time: bool,
    /// What came of it.
    pub outcome: &'static str,
    /// When it was begun.
    pub asked_at: Instant,
    /// How long it took.
    pub took: Duration,
}

/// What happened to one request, told when it is over.
#[derive(Debug)]
pub struct History {
    log: Arc<RequestLog>,
    request: Arc<str>,
    began_at: Instant,
    service: Option<Arc<str>>,
    /// Digest of the request without its body, which repeats of it share.
    fingerprint: u64,
    routes: u64,
    allowed: Duration,
    attempts: Vec<Attempt>,
    ended: bool,
}

impl History {
    /// A request has arrived.
    #[must_use]
    pub fn new(log: &Arc<RequestLog>, now: Instant, request: &Arc<str>) -> Self {
        Self {
            log: Arc::clone(log),
            request: Arc::clone(request),
            began_at: now,
            service: None,
            fingerprint: 0,
            routes: 0,
            allowed: Duration::ZERO,
            attempts: Vec::new(),
            ended: false,
        }
    }

    /// It goes by the caller's own id.
    pub fn identified(&mut self, request: &Arc<str>) {
        self.request = Arc::clone(request);
    }

    /// It is read by this version of the routing table; 0 without one.
    pub const fn read_by(&mut self, routes: u64) {
        self.routes = routes;
    }

    /// It was read: its service is known, and until when it may be answered.
    pub fn routed(&mut self, service: &Arc<str>, deadline: Instant) {
        self.service = Some(Arc::clone(service));
        self.allowed = deadline.saturating_duration_since(self.began_at);
    }

    /// Repeats of it share this digest of all but the body.
    pub const fn repeats(&mut self, fingerprint: u64) {
        self.fingerprint = fingerprint;
    }

    /// An attempt has ended.
    pub fn attempted(&mut self, attempt: Attempt) {
        self.attempts.push(attempt);
    }

    /// The caller is answered; `refused` tells why, if not by an upstream.
    pub fn answered(&mut self, status: StatusCode, refused: Option<&'static str>) {
        self.ended = true;
        let failed = refused.is_some() || status.is_server_error();
        let outcome = refused.unwrap_or("answered");
        if failed || self.log.samples() {
            self.write(outcome, status.as_u16());
        }
    }

    fn write(&self, outcome: &'static str, status: u16) {
        if !self.log.admits(self.attempts.len() + 1) {
            return;
        }
        for (index, attempt) in self.attempts.iter().enumerate() {
            self.write_attempt(index + 1, attempt);
        }
        log::info!(
            request = &*self.request,
            service = self.service.as_deref().unwrap_or(""),
            fingerprint = format!("{:016x}", self.fingerprint),
            routes_version = self.routes,
            attempts = self.attempts.len(),
            allowed_ms = millis(self.allowed),
            took_ms = millis(self.began_at.elapsed()),
            status = status,
            outcome = outcome;
            "request"
        );
    }

    fn write_attempt(&self, number: usize, attempt: &Attempt) {
        let begun = attempt.asked_at.duration_since(self.began_at);
        log::info!(
            request = &*self.request,
            attempt = number,
            to = &*attempt.host,
            after_ms = millis(begun),
            took_ms = millis(attempt.took),
            known_in_flight = attempt.report.in_flight,
            known_queued = attempt.report.queued,
            known_limit = attempt.report.limit,
            known_slowness_percent = attempt.report.slowness_percent,
            known_age_ms = millis(attempt.report_age),
            only_in_time = attempt.only_in_time,
            outcome = attempt.outcome;
            "attempt"
        );
    }
}

impl Drop for History {
    /// A request whose caller left is dropped wherever it stands.
    fn drop(&mut self) {
        if !self.ended {
            self.write("caller-left", 0);
        }
    }
}

/// Milliseconds for a log line.
#[must_use]
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
