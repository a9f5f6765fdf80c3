//! Measures how the cost of membership exchanges grows with the number of members. The tables
//! exchange records by plain function calls in one process, without a network.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::configs::membership::Settings;
use mintridge_core::membership::{Record, State, Summary, Table, Upstream, Version};

/// While rounds are measured, one member changes its record every this many rounds.
const ROUNDS_PER_CHANGE: usize = 4;
const ROUNDS: u32 = 60;

/// Cost of membership exchanges at one number of members.
#[derive(Clone, Copy, Debug)]
pub struct Measurement {
    members: usize,
    exchange_time: Duration,
    rounds_to_converge: u32,
    records_per_exchange: f64,
}

impl fmt::Display for Measurement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "members {:>4}: {:.1} us for both sides of an exchange, {:.2} records in it, news everywhere after {} rounds",
            self.members,
            self.exchange_time.as_secs_f64() * 1e6,
            self.records_per_exchange,
            self.rounds_to_converge,
        )
    }
}

/// Measures exchanges between the tables of `members` hosts that all know each other.
#[must_use]
pub fn measure(members: usize) -> Measurement {
    let mut tables = build_tables(members);
    let now = Instant::now();
    change_upstream(&mut tables[0]);
    let mut rounds_to_converge = 0;
    while tables
        .iter()
        .any(|table| table.digest() != tables[0].digest())
    {
        run_round(&mut tables, now);
        rounds_to_converge += 1;
    }
    let mut records = 0;
    let started_at = Instant::now();
    for round in 0..ROUNDS {
        if usize::try_from(round)
            .unwrap_or(0)
            .is_multiple_of(ROUNDS_PER_CHANGE)
        {
            let index = usize::try_from(round).unwrap_or(0) % members;
            change_upstream(&mut tables[index]);
        }
        records += run_round(&mut tables, now);
    }
    let exchanges = ROUNDS * u32::try_from(members).unwrap_or(u32::MAX);
    Measurement {
        members,
        exchange_time: started_at.elapsed() / exchanges,
        rounds_to_converge,
        records_per_exchange: f64::from(records) / f64::from(exchanges),
    }
}

fn change_upstream(table: &mut Table) {
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

fn build_tables(members: usize) -> Vec<Table> {
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

/// Lets each table start one exchange and returns the number of records sent.
fn run_round(tables: &mut [Table], now: Instant) -> u32 {
    let mut sent_records = 0;
    for index in 0..tables.len() {
        let Some(peer) = tables[index].next_peer() else {
            continue;
        };
        let peer_index = peer.host.rsplit('-').next().and_then(|n| n.parse().ok());
        let peer_index: usize = peer_index.unwrap_or(0);
        let ours = tables[index].take_updates();
        let sent_summaries: Vec<Summary> = ours.iter().map(Record::summary).collect();
        for record in ours {
            tables[peer_index].merge(now, record);
        }
        let theirs = tables[peer_index].take_updates_except(&sent_summaries);
        sent_records += u32::try_from(sent_summaries.len() + theirs.len()).unwrap_or(u32::MAX);
        for record in theirs {
            tables[index].merge(now, record);
        }
        let _ = (tables[index].digest(), tables[peer_index].digest());
    }
    sent_records
}
