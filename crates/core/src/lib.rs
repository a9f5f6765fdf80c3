//! The decision logic of mintridge, free of I/O, clocks and sources of randomness.
//!
//! Time is passed in as an [`std::time::Instant`] and randomness as a seed. Each module makes one
//! decision: events are passed to its methods, and the next action is a return value or the result
//! of its `poll`. The same code runs on the node's threads, in scripted tests and in the policy
//! benchmark.
//!
//! A request passes through the modules in this order:
//!
//! | step | module |
//! |---|---|
//! | which host gets it? | [`placement`] |
//! | may it be retried on another host? | [`attempts`], [`retry`] |
//! | does it run now or wait, and in which order? | [`admission`] with [`queue`], [`shares`], [`work`], [`pace`], [`limit`] and [`warm_up`]; [`gate`] and [`health`] can refuse it |
//! | was its idempotency key used before? | [`claim`] |
//! | did upstreams end while they ran it? | [`screen`], from the decisions of [`quarantine`] by [`fingerprint`] and by which requests were [`answered`] |
//! | what does the caller receive if no upstream answers? | [`outcome`] |
//!
//! Modules outside the request path: [`membership`] (which hosts are present), [`preset`] (the
//! preset in force), [`evacuation`] (which zones get no new requests), [`bootstrap`] (when a starting
//! or isolated node reads the store), [`failover`] (which nodes read the store when its regular
//! readers do not) and [`probe`] (the budget for probes).

pub mod admission;
pub mod answered;
pub mod attempts;
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
pub mod recipients;
pub mod request;
pub mod retry;
pub mod route;
pub mod screen;
pub mod shares;
pub mod stagger;
pub mod warm_up;
pub mod work;
