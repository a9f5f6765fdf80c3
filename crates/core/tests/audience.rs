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
    audience.sent(start, node(1));
    audience.sent(start, node(2));
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
        audience.sent(start + Duration::from_millis(u64::from(port)), node(port));
    }
    let told = audience.current(start + Duration::from_millis(501));
    assert_eq!(told.len(), 24);
    assert!(told.contains(&node(500)) && told.contains(&node(477)));
}
