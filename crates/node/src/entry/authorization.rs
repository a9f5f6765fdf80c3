//! Decides on whose behalf a caller's request runs, and whether it may.
//!
//! All checks that concern the key of a request are made here, after its route is known and before
//! it is placed.

use std::time::{Duration, Instant};

use hyper::header::{AUTHORIZATION, HeaderMap, HeaderValue};
use mintridge_core::account::Directory;
use mintridge_core::account::authorization::{Caller, Finding, Presented};
use mintridge_core::outcome::{Reason, Refusal};

use super::{Entry, UNVERIFIED_RETRY_DELAY};
use crate::arrival::Resolution;
use crate::clock;
use crate::request_log::millis;

impl Entry {
    /// Returns the caller of a request, or the refusal to send. `may_use_keys` is the result of
    /// [`crate::context::Context::may_use_keys`] from before the routing table was loaded.
    pub(super) fn authorize(
        &self,
        now: Instant,
        request_id: &str,
        resolution: &Resolution<'_>,
        headers: &HeaderMap,
        may_use_keys: bool,
    ) -> Result<Caller, Refusal> {
        let Some(directory) = resolution.accounts else {
            return Ok(Caller::default());
        };
        let (caller, finding) = identify(directory, headers);
        let has_key = matches!(finding, Finding::Resolved | Finding::Unknown);
        if has_key && !may_use_keys {
            return if resolution.anonymous {
                Ok(Caller::default())
            } else {
                Err(self.refuse_lapsed_key(now, request_id))
            };
        }
        if resolution.anonymous {
            if finding != Finding::Missing {
                self.context.metrics.key(finding.as_str());
            }
            return Ok(caller);
        }
        self.check_key(now, request_id, finding)?;
        Ok(caller)
    }

    /// Refuses a request whose key no account has, and one without a key.
    fn check_key(&self, now: Instant, request_id: &str, finding: Finding) -> Result<(), Refusal> {
        let refused = finding.refusal(self.context.is_table_verified(now));
        let outcome = match refused {
            Some(Reason::Unverified) => Reason::Unverified.as_str(),
            _ => finding.as_str(),
        };
        self.context.metrics.key(outcome);
        let Some(reason) = refused else { return Ok(()) };
        if self.log.try_acquire(1) {
            let verified_at = *self.context.latest.verified.borrow();
            log::info!(
                request = request_id,
                key = finding.as_str(),
                routes_version = self.context.routes_version(),
                verified_ms = millis(now.saturating_duration_since(verified_at));
                "request without a valid key not taken"
            );
        }
        let delay = match reason {
            Reason::Unverified => UNVERIFIED_RETRY_DELAY,
            _ => Duration::ZERO,
        };
        Err(Refusal::not_run(reason, now + delay))
    }

    /// Refuses a request whose key may have been revoked by a newer routing table.
    fn refuse_lapsed_key(&self, now: Instant, request_id: &str) -> Refusal {
        self.context.metrics.unconfirmed_key();
        if self.log.try_acquire(1) {
            let confirmed = *self.context.latest.confirmed.borrow();
            let age = confirmed.map(|confirmed| millis(confirmed.age(clock::end_at(now))));
            log::info!(
                request = request_id,
                routes_version = self.context.routes_version(),
                confirmed_ms:? = age;
                "key not accepted: the routing table is not confirmed as the newest"
            );
        }
        Refusal::not_run(Reason::Unverified, now + UNVERIFIED_RETRY_DELAY)
    }
}

/// Returns on whose behalf a request is sent, by the key that it carries.
fn identify(directory: &Directory, headers: &HeaderMap) -> (Caller, Finding) {
    let fields = headers.get_all(AUTHORIZATION).iter();
    Presented::read(fields.map(HeaderValue::as_bytes)).find(directory)
}
