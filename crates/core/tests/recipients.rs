//! Selection of the nodes that receive an upstream's load reports.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use mintridge_core::recipients::Recipients;

fn node(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// A node that stops sending requests must get no more reports after two seconds; one that
/// continues must get them.
#[test]
fn select_drops_nodes_that_stopped_sending() {
    let start = Instant::now();
    let mut recipients = Recipients::default();
    for port in [1, 2, 1, 2] {
        recipients.record_request(start, node(port));
    }
    recipients.record_request(start + Duration::from_millis(1500), node(2));
    assert_eq!(recipients.select(start + Duration::from_secs(1)).len(), 2);
    assert_eq!(recipients.select(start + Duration::from_secs(3)), [node(2)]);
}

/// Hundreds of nodes send to one upstream: the number of reports must stay bounded, and the most
/// recent senders must be among the selected.
#[test]
fn record_request_keeps_the_latest_of_many() {
    let start = Instant::now();
    let mut recipients = Recipients::default();
    for port in 1..=500 {
        let at = start + Duration::from_millis(u64::from(port));
        recipients.record_request(at, node(port));
        recipients.record_request(at, node(port));
    }
    let selected = recipients.select(start + Duration::from_millis(501));
    assert_eq!(selected.len(), 24);
    assert!(selected.contains(&node(500)) && selected.contains(&node(477)));
}

/// Three hundred nodes each send to one upstream every ten seconds, and three do so twice a
/// second. Reports to the 300 would be out of date before their next choice, and at 50 changes a
/// second reports to 24 of them would take some 150 KB a second. Only the three must get them.
#[test]
fn select_returns_only_frequent_senders() {
    let start = Instant::now();
    let mut recipients = Recipients::default();
    for tick in 0..1_000_u16 {
        let at = start + Duration::from_millis(u64::from(tick) * 33);
        recipients.record_request(at, node(1_000 + tick % 300));
        if tick % 15 == 0 {
            for port in 1..=3 {
                recipients.record_request(at, node(port));
            }
        }
    }
    let mut selected = recipients.select(start + Duration::from_secs(33));
    selected.sort_unstable();
    assert_eq!(selected, [node(1), node(2), node(3)]);
}
