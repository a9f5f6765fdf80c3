//! The decision logic of mintridge, free of I/O, clocks and sources of randomness.
//!
//! Time is passed in as an [`std::time::Instant`] and randomness as a seed. Each module makes one
//! decision: events are passed to its methods, and the next action is a return value or the result
//! of its `poll`. The same code runs on the node's threads, in scripted tests and in the policy
//! benchmark.
//!
//! Each host of the fleet runs a node beside an upstream, which is an instance of a service. The
//! node to which a caller sends a request is its entry node: it chooses a host and forwards the
//! request to the node beside that host's upstream, which sends it to the upstream. The store is an
//! external key-value store. Usually only a few designated readers in each availability zone watch
//! the operators' documents there, such as the routing table; other nodes receive changes from
//! peers.
//!
//! A request passes through the modules in this order:
//!
//! | step | module |
//! |---|---|
//! | which service gets it, and whose call is it? | [`route`], [`call`] |
//! | may its client account send it now? | [`account`] |
//! | which host gets it? | [`placement`], from each host's [`load`] |
//! | may it be retried on another host? | [`attempts`], [`retry`] |
//! | does it run now or wait, and in which order? | [`admission`] with [`queue`], [`shares`], [`work`], [`pace`], [`limit`], [`warm_up`] and [`request_limit`]; [`gate`], [`health`], [`stop`] and [`dependency`] can refuse it |
//! | was its idempotency key used before? | [`claim`] |
//! | did upstreams crash while they ran it? | [`screen`], from the decisions of [`quarantine`] by [`fingerprint`] and by which requests were [`answered`] |
//! | did the upstream run it, and may its response be passed on? | [`response`] |
//! | how much of its body is passed on after the deadline? | [`late_body`] |
//! | what does the caller receive if no upstream answers? | [`outcome`] |
//!
//! Modules outside the request path: [`membership`] (which hosts are present), [`preset`] (the
//! preset in force), [`evacuation`] (which zones get no new requests), [`bootstrap`] (when a
//! starting or isolated node reads the store), [`failover`] (which nodes read the store when its
//! designated readers cannot), [`account::currency`] (until when keys of the routing table may be
//! used), [`stagger`] (delays between calls to an unavailable store),
//! [`instance`] (which incarnation of the upstream is running), [`notice`] (what the upstream
//! states about itself in its responses), [`recipients`] (which nodes receive
//! load reports between responses), [`probe`] (the budget for probes) and [`quota`] (the rate limit
//! for log lines).

pub mod account;
pub mod admission;
pub mod answered;
pub mod attempts;
pub mod bootstrap;
pub mod call;
pub mod claim;
pub mod configs;
pub mod dependency;
pub mod evacuation;
pub mod ewma;
pub mod failover;
pub mod fingerprint;
pub mod gate;
pub mod health;
pub mod instance;
pub mod late_body;
pub mod limit;
pub mod load;
pub mod membership;
pub mod notice;
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
pub mod request_limit;
pub mod response;
pub mod retry;
pub mod route;
pub mod screen;
pub mod shares;
pub mod stagger;
pub mod stop;
pub mod warm_up;
pub mod work;
