//! Datagrams between the nodes that limit accounts: JSON arrays, so that a message about one account
//! takes less than 100 bytes and one about [`limiter::MAX_ENTRIES`] accounts fits into 1,024.

use std::sync::Arc;
use std::time::Duration;

use mintridge_core::account::limiter::{Answer, AnswerId, Ask, Entry, Grant, Key, Returned};
use serde::{Deserialize, Serialize};

/// Maximum size of a datagram.
pub const MAX_BYTES: usize = 1024;

/// A message as it is sent.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Sender, its incarnation, number, shard, hosts, delegation, release, and entries.
    #[serde(rename = "q")]
    Ask(Arc<str>, u64, u64, u32, u32, Option<Id>, bool, Vec<Asked>),
    /// Sender, its answer, number of the ask, hosts, and grants.
    #[serde(rename = "a")]
    Answer(Arc<str>, Id, u64, u32, Vec<Granted>),
}

/// Incarnation of an owner and number of its answer.
type Id = (u64, u64);
/// Account, tokens needed, spare tokens, and returned ones with the answer that granted them.
type Asked = (u64, u32, u32, Option<(u32, u64, u64)>);
/// Account, tokens, their life and the time to wait for more, in milliseconds.
type Granted = (u64, u32, u64, Option<u64>);

impl From<Ask> for Message {
    fn from(ask: Ask) -> Self {
        let entry = |entry: Entry| {
            let returned = entry
                .returned
                .map(|it| (it.tokens, it.granted.incarnation, it.granted.number));
            (entry.key.0, entry.needed, entry.spare, returned)
        };
        Self::Ask(
            ask.from,
            ask.incarnation,
            ask.sequence,
            ask.shard,
            ask.hosts,
            ask.delegation.map(|id| (id.incarnation, id.number)),
            ask.release,
            ask.entries.into_iter().map(entry).collect(),
        )
    }
}

impl From<Answer> for Message {
    fn from(answer: Answer) -> Self {
        let grant = |grant: Grant| {
            let wait = grant.wait.map(millis);
            (grant.key.0, grant.tokens, millis(grant.life), wait)
        };
        Self::Answer(
            answer.from,
            (answer.id.incarnation, answer.id.number),
            answer.sequence,
            answer.hosts,
            answer.grants.into_iter().map(grant).collect(),
        )
    }
}

/// A message as it was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    /// A node asks.
    Ask(Ask),
    /// An owner answers.
    Answer(Answer),
}

impl From<Message> for Received {
    fn from(message: Message) -> Self {
        match message {
            Message::Ask(
                from,
                incarnation,
                sequence,
                shard,
                hosts,
                delegation,
                release,
                entries,
            ) => {
                let entry = |(key, needed, spare, returned): Asked| Entry {
                    key: Key(key),
                    needed,
                    spare,
                    returned: returned.map(|(tokens, incarnation, number)| Returned {
                        tokens,
                        granted: id((incarnation, number)),
                    }),
                };
                Self::Ask(Ask {
                    from,
                    incarnation,
                    sequence,
                    shard,
                    hosts,
                    delegation: delegation.map(id),
                    release,
                    entries: entries.into_iter().map(entry).collect(),
                })
            }
            Message::Answer(from, answer, sequence, hosts, grants) => {
                let grant = |(key, tokens, life, wait): Granted| Grant {
                    key: Key(key),
                    tokens,
                    life: Duration::from_millis(life),
                    wait: wait.map(Duration::from_millis),
                };
                Self::Answer(Answer {
                    from,
                    id: id(answer),
                    sequence,
                    hosts,
                    grants: grants.into_iter().map(grant).collect(),
                })
            }
        }
    }
}

const fn id((incarnation, number): Id) -> AnswerId {
    AnswerId {
        incarnation,
        number,
    }
}

/// Returns whole milliseconds, rounded down, so that no token lives longer than granted.
fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
