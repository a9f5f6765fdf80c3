//! Request rates of client accounts, enforced by real nodes that exchange datagrams.

mod common;

use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use common::{Plan, Scene, get, hosts, route, start_threads, table};
use mintridge_bench::caller::{Call, Reply};
use mintridge_core::account::limiter::{Answer, AnswerId, Ask, Entry, Grant, Key, Returned};
use mintridge_core::account::limiter::{MAX_ENTRIES, SETTLED_AFTER};
use mintridge_core::outcome::Reason;
use mintridge_core::route::Document;
use mintridge_node::accounts::wire::{MAX_BYTES, Message, Received};
use mintridge_node::settings::Settings;
use mintridge_standin::scene::RunningNode;
use serde_json::{Value, json};

const HOSTS: usize = 4;

/// Gives each host an address of its own, with the same port for the messages of limiters.
fn enable(settings: &mut Settings) {
    static PORT: OnceLock<u16> = OnceLock::new();
    let port = *PORT.get_or_init(|| {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
        socket.local_addr().expect("an address").port()
    });
    let number: u8 = settings.host["service-".len()..].parse().expect("a number");
    let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 5, number));
    settings.listeners.control = SocketAddr::new(ip, 0);
    settings.listeners.accounts = Some(SocketAddr::new(ip, port));
}

fn key_of(account: &str) -> String {
    format!("key-of-{account}")
}

fn limits(scene: &Scene, accounts: &[(&str, f64, f64)]) {
    let accounts = accounts.iter().map(|(name, per_second, burst)| {
        json!({
            "name": name,
            "keys": [key_of(name)],
            "requests_per_second": per_second,
            "burst": burst,
        })
    });
    let accounts: Vec<Value> = accounts.collect();
    let mut table = table(1, vec![route("/")]);
    table.accounts = serde_json::from_value(Value::from(accounts)).expect("accounts");
    let document = Arc::new(Document {
        table,
        packed: Arc::from([]),
    });
    for host in &scene.hosts {
        if let Some(RunningNode::Threads(node)) = &host.node {
            let routes = &node.context().latest.routes;
            routes.send_replace(Some(Arc::clone(&document)));
        }
    }
}

/// Sends requests of an account to all nodes in turn; returns the replies.
async fn send(scene: &Scene, account: &str, every: Duration, count: usize) -> Vec<Reply> {
    let mut sent = Vec::new();
    for index in 0..count {
        let call = Call {
            account_key: Some(key_of(account)),
            ..get(&format!("{account}-{index}"))
        };
        let (caller, address) = (scene.caller.clone(), scene.addresses(index % HOSTS).callers);
        sent.push(tokio::spawn(async move {
            caller.call(address, &call).await.reply
        }));
        tokio::time::sleep(every).await;
    }
    let mut replies = Vec::new();
    for reply in sent {
        replies.push(reply.await.expect("a reply"));
    }
    replies
}

/// Guards against nodes that each allow the whole limit, and against refusals of an account below
/// its limit while another one floods the same nodes.
#[tokio::test]
async fn requests_above_limit_are_refused_and_others_served() {
    let scene = start_threads(Plan {
        adjust: enable,
        ..hosts(HOSTS)
    })
    .await;
    limits(&scene, &[("flood", 20.0, 5.0), ("small", 5.0, 5.0)]);
    tokio::time::sleep(SETTLED_AFTER + Duration::from_secs(3)).await;
    let started_at = Instant::now();
    let (flood, small) = tokio::join!(
        send(&scene, "flood", Duration::from_millis(10), 450),
        send(&scene, "small", Duration::from_millis(300), 16),
    );
    let took = started_at.elapsed().as_secs_f64();
    let served = flood.iter().filter(|reply| reply.is_success()).count();
    let allowed = (20.0 * took.max(5.0) + 5.0) * 1.1 + 20.0;
    #[allow(clippy::cast_precision_loss)]
    let served_share = served as f64 / allowed;
    assert!((0.5..=1.0).contains(&served_share), "{served} in {took} s");
    let refused = flood.iter().filter(|reply| !reply.is_success());
    for reply in refused {
        let Reply::Refused { status, reason, .. } = reply else {
            panic!("neither served nor refused: {reply:?}");
        };
        assert_eq!((status.as_u16(), *reason), (429, Reason::RateLimited));
        assert!(reply.is_not_run(), "{reply:?}");
    }
    assert!(small.iter().all(Reply::is_success), "{small:?}");
    let total: f64 = {
        let mut total = 0.0;
        for index in 0..HOSTS {
            let name = "mintridge_rate_limits_total{kind=\"refused\"}";
            total += scene.counter(index, name).await;
        }
        total
    };
    assert!(total > 0.0, "refusals are counted");
}

/// Guards against messages that do not fit into a datagram, and against fields that change places
/// on the way.
#[test]
fn messages_are_read_as_sent_and_fit_into_a_datagram() {
    let id = AnswerId {
        incarnation: 1_796_353_200_000,
        number: 86_400_000,
    };
    let key = Key(u64::MAX >> 16);
    let ask = Ask {
        from: Arc::from("a-host-with-a-long-name-in-zone-b.example"),
        incarnation: 1_796_353_200_001,
        sequence: 10_000_000,
        shard: 15,
        hosts: 510,
        delegation: Some(id),
        release: false,
        entries: vec![
            Entry {
                key,
                needed: 10,
                spare: 100,
                returned: Some(Returned {
                    tokens: 100,
                    granted: id,
                }),
            };
            MAX_ENTRIES
        ],
    };
    let answer = Answer {
        from: Arc::clone(&ask.from),
        id,
        sequence: ask.sequence,
        hosts: 510,
        grants: vec![
            Grant {
                key,
                tokens: 100,
                life: Duration::from_millis(1_999),
                wait: Some(Duration::from_millis(900)),
            };
            MAX_ENTRIES
        ],
    };
    for (message, expected) in [
        (Message::from(ask.clone()), Received::Ask(ask)),
        (Message::from(answer.clone()), Received::Answer(answer)),
    ] {
        let bytes = serde_json::to_vec(&message).expect("encoded");
        assert!(bytes.len() <= MAX_BYTES, "{} bytes", bytes.len());
        let read: Message = serde_json::from_slice(&bytes).expect("decoded");
        assert_eq!(Received::from(read), expected);
    }
}
