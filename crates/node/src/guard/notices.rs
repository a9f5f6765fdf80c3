//! Applies what the upstream states about itself in its responses.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::notice::{Limit, Notice};
use mintridge_core::request_limit::{Observation, Origin};

use super::{Guard, pace};

/// Interval at which it is determined whether a check of an upstream that names a limit is due.
const CHECK_TICK: Duration = Duration::from_millis(250);
/// Timeout of such a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(150);

/// A response of the current instance.
pub struct Statement {
    /// Kind of request that it answers.
    pub origin: Origin,
    /// When the request was sent.
    pub sent_at: Instant,
    /// When the head of the response was received.
    pub received_at: Instant,
    /// What the upstream states.
    pub notice: Notice,
}

/// Checks an upstream that names a limit when no response has arrived for a while, to learn when
/// the limit ends.
pub async fn check_limit(guard: Arc<Guard>) {
    loop {
        tokio::time::sleep(CHECK_TICK).await;
        let now = Instant::now();
        let is_due = {
            let mut state = guard.state.lock();
            let limit = state.admission.request_limit_mut();
            let is_due = limit.is_check_due(now);
            if is_due {
                limit.record_check(now);
            }
            is_due
        };
        if is_due && pace::poll(&guard, CHECK_TIMEOUT).await {
            guard.pump();
        }
    }
}

impl Guard {
    /// Records the statements of one response of the current instance.
    pub(super) fn record_notice(&self, statement: &Statement) {
        let Statement { origin, notice, .. } = *statement;
        self.context.metrics.notice(origin.as_str(), notice);
        if notice.limit == Limit::Unreadable {
            self.context.metrics.bad_input("request-limit");
            if self.log.try_acquire(1) {
                log::warn!(from = origin.as_str(); "upstream named an unreadable request limit");
            }
        }
        let mut state = self.state.lock();
        let limit = state.admission.request_limit_mut();
        let has_changed = limit.record(&Observation {
            origin,
            sent_at: statement.sent_at,
            received_at: statement.received_at,
            limit: notice.limit,
        });
        let rate = limit.rate();
        drop(state);
        if !has_changed {
            return;
        }
        self.reporting.notify_change();
        self.queued.notify_one();
        if self.log.try_acquire(1) {
            log::info!(
                from = origin.as_str(),
                requests_per_second:? = rate;
                "upstream changed its request limit"
            );
        }
    }
}
