//! Records what the upstream states about itself in its responses.

use mintridge_core::notice::{Limit, Notice};

use super::Guard;

/// Kind of request that a response answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A request of a caller.
    Request,
    /// A check by this node.
    Check,
}

impl Origin {
    /// Returns the label in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Check => "check",
        }
    }
}

impl Guard {
    /// Records the statements of one response of the current instance.
    pub(super) fn record_notice(&self, origin: Origin, notice: Notice) {
        self.context.metrics.notice(origin.as_str(), notice);
        if notice.limit == Limit::Unreadable {
            self.context.metrics.bad_input("request-limit");
            if self.log.try_acquire(1) {
                log::warn!(from = origin.as_str(); "upstream named an unreadable request limit");
            }
            return;
        }
        let mut state = self.state.lock();
        let previous = std::mem::replace(&mut state.notice, notice);
        drop(state);
        if previous == notice || !self.log.try_acquire(1) {
            return;
        }
        let limit = match notice.limit {
            Limit::Named(limit) => Some(limit),
            Limit::Absent | Limit::Unreadable => None,
        };
        log::info!(
            from = origin.as_str(),
            requests_per_second:? = limit,
            leaving = notice.leaving;
            "upstream changed its notice"
        );
    }
}
