//! The decisions of mintridge, without input, output, clock or randomness.
//!
//! Time comes in as an [`std::time::Instant`], randomness as a seed. Each module
//! owns one decision: events go in through its methods, and what to do next comes
//! out as a return value or from its `poll`. The same code runs under the node's
//! threads, under scripted tests and under the policy bench.
//!
//! A request meets the modules in this order:
//!
//! | step | module |
//! |---|---|
//! | which host? | [`placement`] |
//! | may it be tried again elsewhere? | [`attempts`], [`retry`] |
//! | may it run now, or wait, and in which order? | [`admission`] by [`queue`], [`shares`], [`work`], [`pace`], [`limit`] and [`warm_up`], closed by [`gate`] and [`health`] |
//! | did this key run before? | [`claim`] |
//! | did upstreams end under it before? | [`screen`], as [`quarantine`] decides by [`fingerprint`] and what was [`answered`] |
//! | what is the caller told? | [`outcome`] |
//!
//! Beside the path of requests: [`membership`] (who is there), [`preset`] (what is
//! in force), [`evacuation`] (which zones get nothing), [`bootstrap`] (when a node turns to the store),
//! [`failover`] (who reads the store when its regular readers do not) and [`probe`] (what
//! measuring may cost).

pub mod admission;
pub mod answered;
pub mod attempts;
pub mod audience;
pub mod bootstrap;
pub mod claim;
pub mod configs;
pub mod evacuation;
pub mod ewma;
pub mod failover;
pub mod fingerprint;
pub mod gate;
pub mod health;
pub mod instance;
pub mod limit;
pub mod load;
pub mod membership;
pub mod outcome;
pub mod pace;
pub mod placement;
pub mod preset;
pub mod probe;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod request;
pub mod retry;
pub mod route;
pub mod screen;
pub mod shares;
pub mod stagger;
pub mod warm_up;
pub mod work;
