//! Parameters of an account's bucket and tokens, from its limit and the overshoot allowed.

use std::time::Duration;

use crate::account::Limit;
use crate::configs::account::Settings;

/// Part of the slack that is added to the burst, so that a small account has more than a few tokens
/// at hand for requests that arrive at random. The rest of the slack is used up by the life of
/// tokens.
const SLACK_IN_BURST: f64 = 0.25;
/// Part of the overshoot that the life of tokens uses up. The rest covers nodes that know different
/// numbers of hosts for some seconds, and the rounding of expiry times in the owner's record.
const LIFE_SHARE: f64 = 0.75;
/// Longest life of a token, as a part of the window. Tokens granted under a former limit have expired
/// one window after it was lowered.
const MAX_LIFE: f64 = 0.4;

/// Parameters of one account, over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// The limit that they follow from.
    pub limit: Limit,
    /// Capacity of the bucket.
    pub capacity: f64,
    /// How long after it was asked for a token may be used to start a request at an upstream.
    pub life: Duration,
}

impl Terms {
    /// Derives the parameters of an account with this limit.
    #[must_use]
    pub fn new(settings: &Settings, limit: Limit) -> Self {
        let overshoot = settings.rate_overshoot;
        let slack = (1.0 - SLACK_IN_BURST) * settings.rate_slack;
        let window = settings.rate_window.as_secs_f64();
        let excess = overshoot * window + (overshoot * limit.burst + slack) / limit.per_second;
        let life = (LIFE_SHARE * excess).clamp(0.0, MAX_LIFE * window);
        Self {
            limit,
            capacity: limit.burst + SLACK_IN_BURST * settings.rate_slack,
            life: Duration::from_secs_f64(life),
        }
    }

    /// Returns how long a token may be kept before it is used; the rest of its life is left for the
    /// request to wait for an upstream.
    #[must_use]
    pub fn use_within(&self) -> Duration {
        self.life / 2
    }

    /// Returns how long the owner counts a token as outstanding. It is longer than the life, so that
    /// tokens granted shortly after one another are recorded together.
    #[must_use]
    pub fn recorded_for(&self) -> Duration {
        self.life + self.life / 8
    }
}
