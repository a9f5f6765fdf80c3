//! Who is told of an upstream's load.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use mintridge_core::audience::Audience;

fn node(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// A node that stops sending is told no more after two seconds; one that goes on is.
#[test]
fn current_forgets_nodes_that_send_no_more() {
    let start = Instant::now();
    let mut audience = Audience::default();
    for port in [1, 2, 1, 2] {
        audience.sent(start, node(port));
    }
    audience.sent(start + Duration::from_millis(1500), node(2));
    assert_eq!(audience.current(start + Duration::from_secs(1)).len(), 2);
    assert_eq!(audience.current(start + Duration::from_secs(3)), [node(2)]);
}

/// Hundreds of nodes send to one upstream: the messages stay bounded, and the latest
/// senders are among those told.
#[test]
fn sent_keeps_the_latest_of_many() {
    let start = Instant::now();
    let mut audience = Audience::default();
    for port in 1..=500 {
        let at = start + Duration::from_millis(u64::from(port));
        audience.sent(at, node(port));
        audience.sent(at, node(port));
    }
    let told = audience.current(start + Duration::from_millis(501));
    assert_eq!(told.len(), 24);
    assert!(told.contains(&node(500)) && told.contains(&node(477)));
}

/// Three hundred nodes each send to one upstream every ten seconds, and three do so twice a
/// second. What the many are told would be out of date before their next choice; at 50 changes
/// a second 24 of them would take some 150 KB a second. The three alone are told.
#[test]
fn current_tells_those_that_come_back_soon() {
    let start = Instant::now();
    let mut audience = Audience::default();
    for tick in 0..1_000_u16 {
        let at = start + Duration::from_millis(u64::from(tick) * 33);
        audience.sent(at, node(1_000 + tick % 300));
        if tick % 15 == 0 {
            for often in 1..=3 {
                audience.sent(at, node(often));
            }
        }
    }
    let mut told = audience.current(start + Duration::from_secs(33));
    told.sort_unstable();
    assert_eq!(told, [node(1), node(2), node(3)]);
}
