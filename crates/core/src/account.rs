//! Client accounts of the routing table: whose key a request carries, how urgent it is, and how
//! many requests the account may send.

pub mod limiter;

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A client account of the routing table.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name, which upstreams receive with each request of the account.
    pub name: Arc<str>,
    /// Priority, which goes before that of the route; 0 is the highest.
    pub priority: u8,
    /// Limit on the account's requests over all nodes; `None` if there is none.
    pub limit: Option<Limit>,
}

/// Limit on the requests of a client account over all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// Requests per second.
    pub per_second: f64,
    /// Requests that may be sent at once after a time without requests.
    pub burst: f64,
}

/// The client accounts of a routing table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Directory {
    accounts: Vec<Arc<Account>>,
}

impl FromIterator<Arc<Account>> for Directory {
    fn from_iter<T: IntoIterator<Item = Arc<Account>>>(accounts: T) -> Self {
        Self {
            accounts: accounts.into_iter().collect(),
        }
    }
}

impl Directory {
    /// Returns the accounts.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Account>> {
        self.accounts.iter()
    }

    /// Returns whether the routing table lists no account, so that requests need no key.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}
