//! HTTP interface of the store, with injected faults applied.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::{Request, Response, StatusCode};
use mintridge_http::handler::{Function, ResponseFuture};
use mintridge_http::server::{Limits, Phase, Protocol, serve};
use mintridge_http::{Body, reply};
use mintridge_store::wire;
use tokio::net::TcpListener;
use tokio::sync::{broadcast, watch};

use super::drill::EPOCH;
use super::member::Member;
use super::{CALLS, FAULTS, Faults, MAX_BODY_BYTES, Store, is_watched, select};

/// Serves the store on `listener` until `phase` closes.
pub async fn run(listener: TcpListener, store: Arc<Store>, phase: watch::Receiver<Phase>) {
    run_member(listener, store, Arc::default(), phase).await;
}

/// Serves the store through one of its members on `listener` until `phase` closes.
pub async fn run_member(
    listener: TcpListener,
    store: Arc<Store>,
    member: Arc<Member>,
    phase: watch::Receiver<Phase>,
) {
    let limits = Limits {
        connections: 65_536,
        ..Limits::default()
    };
    let front = Arc::new(Front { store, member });
    let handler = Function::new(front, |front, request| -> ResponseFuture {
        Box::pin(respond(front, request))
    });
    serve(listener, handler, Protocol::Http1, limits, phase).await;
}

/// The store and the member through which a client reaches it.
struct Front {
    store: Arc<Store>,
    member: Arc<Member>,
}

async fn respond(front: Arc<Front>, request: Request<Body>) -> Response<Body> {
    let mut response = handle(&front, request).await;
    let epoch = front.store.inner.lock().epoch;
    response.headers_mut().insert(EPOCH, epoch.into());
    response
}

async fn handle(front: &Front, request: Request<Body>) -> Response<Body> {
    let store = Arc::clone(&front.store);
    let path = request.uri().path().to_owned();
    match path.as_str() {
        FAULTS => return set_faults(&store, request).await,
        CALLS => return reply::json(StatusCode::OK, &store.calls()),
        _ => {}
    }
    let faults = store.inner.lock().faults.clone();
    if faults.slow_millis > 0 {
        tokio::time::sleep(Duration::from_millis(faults.slow_millis)).await;
    }
    count_call(&store, &path);
    if store.inner.lock().faults.down {
        return reply::text(StatusCode::SERVICE_UNAVAILABLE, "down\n");
    }
    if path == wire::RANGE {
        return range(front, request).await;
    }
    if path == wire::WATCH {
        return watch(front, request).await;
    }
    front.member.connected().await;
    match path.as_str() {
        wire::TXN => txn(store, request).await,
        wire::GRANT | wire::KEEP_ALIVE | wire::REVOKE => lease(&store, &path, request).await,
        _ => reply::text(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

fn count_call(store: &Store, path: &str) {
    let calls = &mut store.inner.lock().calls;
    match path {
        wire::RANGE => calls.reads += 1,
        wire::TXN => calls.writes += 1,
        wire::WATCH => calls.watches += 1,
        _ => calls.leases += 1,
    }
}

async fn set_faults(store: &Store, request: Request<Body>) -> Response<Body> {
    match reply::read_json::<Faults, _>(request.into_body(), MAX_BODY_BYTES).await {
        Ok(faults) => {
            store.set_faults(faults);
            reply::text(StatusCode::OK, "set\n")
        }
        Err(error) => bad_request(&error),
    }
}

async fn range(front: &Front, request: Request<Body>) -> Response<Body> {
    let range: wire::Range = match reply::read_json(request.into_body(), MAX_BODY_BYTES).await {
        Ok(range) => range,
        Err(error) => return bad_request(&error),
    };
    if !range.serializable {
        front.member.connected().await;
    }
    let stale_data = front.member.stale_data();
    let mut inner = front.store.inner.lock();
    inner.data.expire_leases(Instant::now());
    let stale_keys = stale_data.as_deref().or(inner.snapshot.as_ref());
    let keys = stale_keys.unwrap_or(&inner.data.keys);
    let found = wire::RangeReply {
        header: inner.data.header(),
        kvs: select(keys, &range),
    };
    reply::json(StatusCode::OK, &found)
}

async fn txn(store: Arc<Store>, request: Request<Body>) -> Response<Body> {
    let txn: wire::Txn = match reply::read_json(request.into_body(), MAX_BODY_BYTES).await {
        Ok(txn) => txn,
        Err(error) => return bad_request(&error),
    };
    let largest = [txn.compare.len(), txn.success.len(), txn.failure.len()];
    if largest
        .into_iter()
        .any(|length| length > wire::MAX_TXN_OPERATIONS)
    {
        return reply::text(
            StatusCode::BAD_REQUEST,
            "too many operations in txn request\n",
        );
    }
    if try_consume(&store, |faults| &mut faults.late_writes) {
        let late = Duration::from_millis(store.inner.lock().faults.late_millis);
        tokio::spawn(async move {
            tokio::time::sleep(late).await;
            store.write(txn);
        });
        return std::future::pending().await;
    }
    let reply = store.write(txn);
    if try_consume(&store, |faults| &mut faults.deny_writes) {
        return reply::text(StatusCode::SERVICE_UNAVAILABLE, "request timed out\n");
    }
    if try_consume(&store, |faults| &mut faults.lose_replies) {
        return std::future::pending().await;
    }
    reply::json(StatusCode::OK, &reply)
}

/// Uses up one of the writes that a fault counts; returns false if none is left.
fn try_consume(store: &Store, field: impl Fn(&mut Faults) -> &mut u32) -> bool {
    let mut inner = store.inner.lock();
    let remaining = field(&mut inner.faults);
    let is_consumed = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    is_consumed
}

async fn lease(store: &Store, path: &str, request: Request<Body>) -> Response<Body> {
    let lease: wire::Lease = match reply::read_json(request.into_body(), MAX_BODY_BYTES).await {
        Ok(lease) => lease,
        Err(error) => return bad_request(&error),
    };
    let data = &mut store.inner.lock().data;
    match path {
        wire::GRANT => reply::json(StatusCode::OK, &data.grant(lease.ttl)),
        wire::KEEP_ALIVE => {
            let result = data.renew(lease.id);
            reply::json(StatusCode::OK, &wire::Streamed { result })
        }
        _ => {
            data.revoke(lease.id);
            reply::json(StatusCode::OK, &wire::RangeReply::default())
        }
    }
}

async fn watch(front: &Front, request: Request<Body>) -> Response<Body> {
    let store = &front.store;
    let body: wire::Watch = match reply::read_json(request.into_body(), MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(error) => return bad_request(&error),
    };
    let request = body.create_request;
    if request.start_revision > store.inner.lock().data.revision + 1 {
        return reply::text(StatusCode::GONE, "no such revision\n");
    }
    let subscription = Subscription {
        events: store.events.subscribe(),
        watch_cuts: store.watch_cuts.subscribe(),
        missed_changes: store.missed_changes(&request),
        member: Arc::clone(&front.member),
        request,
        created: false,
    };
    let items = stream::unfold(subscription, |mut subscription| async move {
        let item = subscription.next().await?;
        let mut line = serde_json::to_vec(&wire::Streamed { result: item }).ok()?;
        line.push(b'\n');
        let frame = Frame::data(Bytes::from(line));
        Some((Ok::<_, io::Error>(frame), subscription))
    });
    Response::new(Body::new(StreamBody::new(items)))
}

struct Subscription {
    request: wire::WatchCreate,
    /// Changes between the start revision of the watch and its opening.
    missed_changes: Vec<wire::KeyValue>,
    events: broadcast::Receiver<wire::KeyValue>,
    watch_cuts: watch::Receiver<u64>,
    member: Arc<Member>,
    created: bool,
}

impl Subscription {
    async fn next(&mut self) -> Option<wire::WatchReply> {
        if !self.created {
            self.created = true;
            return Some(wire::WatchReply {
                created: true,
                events: vec![],
            });
        }
        if !self.missed_changes.is_empty() {
            self.member.connected().await;
            let missed_changes = std::mem::take(&mut self.missed_changes);
            return Some(wire::WatchReply {
                created: false,
                events: missed_changes.into_iter().map(put_event).collect(),
            });
        }
        loop {
            let kv = tokio::select! {
                event = self.events.recv() => event.ok()?,
                _ = self.watch_cuts.changed() => return None,
            };
            if is_watched(&self.request, &kv.key) {
                self.member.connected().await;
                return Some(wire::WatchReply {
                    created: false,
                    events: vec![put_event(kv)],
                });
            }
        }
    }
}

fn put_event(kv: wire::KeyValue) -> wire::Event {
    wire::Event {
        kind: wire::EventKind::Put,
        kv,
    }
}

fn bad_request(error: &reply::BodyError) -> Response<Body> {
    reply::text(StatusCode::BAD_REQUEST, format!("{error}\n"))
}
