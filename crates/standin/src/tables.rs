//! Cost of membership against the size of the table, by plain calls in one process.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::configs::membership::Settings;
use mintridge_core::membership::{Record, State, Summary, Table, Upstream, Version};

/// Restarts among the members while rounds are measured.
const NEWS_EVERY: usize = 4;
const ROUNDS: u32 = 60;

/// What was measured.
#[derive(Clone, Copy, Debug)]
pub struct Measured {
    members: usize,
    per_exchange: Duration,
    rounds_to_all: u32,
    records_per_exchange: f64,
}

impl fmt::Display for Measured {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "members {:>4}: {:.1} us for both sides of an exchange, {:.2} records in it, news everywhere after {} rounds",
            self.members,
            self.per_exchange.as_secs_f64() * 1e6,
            self.records_per_exchange,
            self.rounds_to_all,
        )
    }
}

/// Joins tables by plain calls and measures their exchanges.
#[must_use]
pub fn measure(members: usize) -> Measured {
    let mut tables = fleet(members);
    let now = Instant::now();
    change(&mut tables[0]);
    let mut rounds_to_all = 0;
    while tables
        .iter()
        .any(|table| table.digest() != tables[0].digest())
    {
        round(&mut tables, now);
        rounds_to_all += 1;
    }
    let mut records = 0;
    let began = Instant::now();
    for number in 0..ROUNDS {
        if usize::try_from(number)
            .unwrap_or(0)
            .is_multiple_of(NEWS_EVERY)
        {
            let index = usize::try_from(number).unwrap_or(0) % members;
            change(&mut tables[index]);
        }
        records += round(&mut tables, now);
    }
    let exchanges = ROUNDS * u32::try_from(members).unwrap_or(u32::MAX);
    Measured {
        members,
        per_exchange: began.elapsed() / exchanges,
        rounds_to_all,
        records_per_exchange: f64::from(records) / f64::from(exchanges),
    }
}

fn change(table: &mut Table) {
    let slots = table
        .own()
        .upstream
        .as_ref()
        .map_or(12, |upstream| upstream.slots);
    table.set_upstream(Some(Upstream {
        service: Arc::from("service"),
        slots: slots + 1,
        leaving: false,
    }));
}

fn fleet(members: usize) -> Vec<Table> {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let record = |index: usize| Record {
        host: Arc::from(format!("host-{index}")),
        availability_zone: Arc::from(format!("zone-{}", index % 7)),
        peer_address: address,
        control_address: address,
        operators_address: address,
        version: Version {
            incarnation: 1,
            change: 0,
        },
        state: State::Alive,
        upstream: None,
        packs: true,
    };
    let settings = Settings {
        records_most: members,
        ..Settings::default()
    };
    let now = Instant::now();
    (0..members)
        .map(|index| {
            let mut table = Table::new(settings.clone(), record(index), index as u64);
            for other in (0..members).filter(|other| *other != index) {
                table.merge(now, record(other));
            }
            while !table.take_updates().is_empty() {}
            table
        })
        .collect()
}

/// One exchange begun by each; returns the records sent.
fn round(tables: &mut [Table], now: Instant) -> u32 {
    let mut sent = 0;
    for index in 0..tables.len() {
        let Some(peer) = tables[index].next_peer() else {
            continue;
        };
        let number = peer.host.rsplit('-').next().and_then(|n| n.parse().ok());
        let other: usize = number.unwrap_or(0);
        let ours = tables[index].take_updates();
        let known: Vec<Summary> = ours.iter().map(Record::summary).collect();
        for record in ours {
            tables[other].merge(now, record);
        }
        let theirs = tables[other].take_updates_except(&known);
        sent += u32::try_from(known.len() + theirs.len()).unwrap_or(u32::MAX);
        for record in theirs {
            tables[index].merge(now, record);
        }
        let _ = (tables[index].digest(), tables[other].digest());
    }
    sent
}
