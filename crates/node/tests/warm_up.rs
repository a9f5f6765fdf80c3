//! A node limits the rate at which requests start in its upstream while the upstream is cold.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::serve_connections;
use mintridge_bench::caller::{Call, Caller};
use mintridge_node::adapter::Adapter;
use mintridge_node::node::{self, Node};
use mintridge_node::settings::Settings;
use parking_lot::Mutex;

const MAX_WAIT: Duration = Duration::from_secs(30);
/// Requests per second that the cold upstream can serve.
const RATE: f64 = 16.0;
/// More requests than this within any second would crash the cold upstream.
const MAX_REQUESTS_PER_SECOND: usize = 32;
const CALLERS: usize = 12;

/// An upstream that turns cold and records the requests that it gets while cold.
struct Upstream {
    cold_until: Mutex<Instant>,
    /// Arrival times of the requests while the upstream was cold.
    arrivals_while_cold: Mutex<Vec<Instant>>,
}

impl Upstream {
    fn start(self: &Arc<Self>) -> SocketAddr {
        let upstream = Arc::clone(self);
        serve_connections(move |stream| upstream.answer(stream))
    }

    /// Answers requests without a body until the connection is closed.
    fn answer(&self, mut stream: TcpStream) {
        let mut buffer = [0; 4096];
        while let Ok(read) = stream.read(&mut buffer) {
            if read == 0 {
                return;
            }
            let now = Instant::now();
            let cold_for = self.cold_until.lock().saturating_duration_since(now);
            if !buffer.starts_with(b"GET /health ") {
                if !cold_for.is_zero() {
                    self.arrivals_while_cold.lock().push(now);
                }
                std::thread::sleep(Duration::from_millis(5));
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\nx-instance: i-7\r\ncontent-length: 2\r\n\
                 x-cold: {}\r\nx-load: {{\"slots\":9}}\r\n\r\nok",
                cold_for.as_millis()
            );
            if stream.write_all(head.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns the maximum number of requests within any second while the upstream was cold.
    fn busiest_second(&self) -> usize {
        let arrivals = self.arrivals_while_cold.lock();
        let within = |(i, at): (usize, &Instant)| {
            let end = *at + Duration::from_secs(1);
            arrivals.partition_point(|other| *other < end) - i
        };
        arrivals.iter().enumerate().map(within).max().unwrap_or(0)
    }
}

fn start(address: SocketAddr) -> Node {
    let mut settings = Settings::default();
    settings.callers.origin = String::from("service");
    settings.upstream.address = Some(address);
    settings.upstream.instance_header = Some("x-instance".to_owned());
    settings.upstream.load_header = Some("x-load".to_owned());
    settings.upstream.cold_header = Some("x-cold".to_owned());
    settings.warm_up.requests_per_second = Some(RATE);
    settings.gate.announcement_lapses = MAX_WAIT;
    let node = node::start(settings, Adapter::default()).expect("it starts");
    let give_up_at = Instant::now() + MAX_WAIT;
    while node.context().latest.upstreams.borrow().is_empty()
        || node.context().latest.guarded.borrow().closed.is_some()
    {
        assert!(
            Instant::now() < give_up_at,
            "the upstream is never discovered"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
    node
}

/// Runs callers that send requests one after the other until `until`; returns how many requests
/// were served.
async fn load(node: &Node, until: Instant) -> usize {
    let address = node.context().addresses.callers;
    let callers = (0..CALLERS).map(|_| {
        tokio::spawn(async move {
            let caller = Caller::default();
            let mut served = 0;
            while Instant::now() < until {
                let call = Call {
                    timeout: Duration::from_millis(500),
                    ..Call::default()
                };
                if caller.call(address, &call).await.reply.is_success() {
                    served += 1;
                } else {
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
            served
        })
    });
    let mut served = 0;
    for caller in callers.collect::<Vec<_>>() {
        served += caller.await.expect("the caller lives");
    }
    served
}

/// An upstream turns cold under full load without announcing it. It must not get more requests than
/// it can serve.
#[tokio::test(flavor = "multi_thread")]
async fn starts_are_bounded_when_the_upstream_turns_cold() {
    let upstream = Arc::new(Upstream {
        cold_until: Mutex::new(Instant::now()),
        arrivals_while_cold: Mutex::default(),
    });
    let node = start(upstream.start());
    let turned = Arc::clone(&upstream);
    let turning = tokio::spawn(async move {
        for _ in 0..2 {
            tokio::time::sleep(Duration::from_millis(700)).await;
            *turned.cold_until.lock() = Instant::now() + Duration::from_secs(2);
            tokio::time::sleep(Duration::from_secs(2)).await;
        }
    });
    let served = load(&node, Instant::now() + Duration::from_secs(7)).await;
    turning.await.expect("it turned cold twice");
    let busiest = upstream.busiest_second();
    assert!(
        busiest <= MAX_REQUESTS_PER_SECOND,
        "{busiest} requests in a second"
    );
    assert!(
        served > 300,
        "{served} served in three warm seconds and four cold ones"
    );
    node.terminate();
}

/// A node restarts within a second beside a cold upstream. It must not assume that the upstream has
/// received no requests.
#[tokio::test(flavor = "multi_thread")]
async fn starts_are_bounded_over_a_restart_of_the_node() {
    let upstream = Arc::new(Upstream {
        cold_until: Mutex::new(Instant::now() + Duration::from_secs(20)),
        arrivals_while_cold: Mutex::default(),
    });
    let address = upstream.start();
    for millis in [300, 150, 800] {
        let node = start(address);
        load(&node, Instant::now() + Duration::from_millis(millis)).await;
        tokio::task::spawn_blocking(|| node.terminate())
            .await
            .expect("the node ends");
    }
    let busiest = upstream.busiest_second();
    assert!(
        busiest <= MAX_REQUESTS_PER_SECOND,
        "{busiest} requests in a second"
    );
}
