//! Client accounts: who may send requests, what upstreams receive, and where keys must not appear.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{
    Plan, ROUTES, Scene, get, hosts, route, start_processes, table, wait_for_reason,
    wait_for_version,
};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::WWW_AUTHENTICATE;
use hyper::{Request, Response, StatusCode};
use mintridge_bench::caller::Call;
use mintridge_core::account::authorization::Caller;
use mintridge_core::outcome::Reason;
use mintridge_core::route::{Route, Table};
use mintridge_http::reply;
use mintridge_node::adapter::Adapter;
use mintridge_node::arrival::{self, ANONYMOUS, Routing};
use mintridge_node::configs::callers;
use mintridge_node::headers::{self, Head};
use mintridge_node::link::Links;
use mintridge_node::operators::{METRICS, STATE};
use mintridge_node::settings::Settings;
use mintridge_standin::store::Faults;
use mintridge_standin::upstream::FIELDS;
use rstest::rstest;
use serde_json::{Value, json};

/// Header in which the upstreams of these tests get the account. Unlike the default name it has no
/// prefix by which nodes remove all of their own headers.
const ACCOUNT_HEADER: &str = "x-tenant-name";
/// Counter of keys that entry nodes passed on to the node beside the upstream.
const KEYS_FROM_PEERS: &str = r#"mintridge_bad_input_total{kind="key-from-peer"}"#;
/// Beginning of all keys, by which they are searched for.
const SECRET: &str = "secret-";

fn require_keys(settings: &mut Settings) {
    settings.routes.key = Some(String::from(ROUTES));
    settings.callers.client_account_header = String::from(ACCOUNT_HEADER);
    settings.logs.level = String::from("trace");
    settings.logs.sample_one_in = 1;
}

/// Returns a document with a route for `/`, an anonymous one for `/open/`, and these accounts.
fn document(version: u64, accounts: Value) -> Value {
    let open = |prefix| Route {
        anonymous: true,
        ..route(prefix)
    };
    let routes = vec![route("/"), open("/open/")];
    let mut document = serde_json::to_value(table(version, routes)).expect("a document");
    document["client_accounts"] = accounts;
    document
}

fn accounts() -> Value {
    json!([
        {"name": "größte", "keys": ["secret-1", "secret-2"], "priority": 1},
        {"name": "small", "keys": ["secret-3"], "requests_per_second": 5, "burst": 5, "new": {}},
    ])
}

async fn start_without_table() -> Scene {
    let plan = Plan {
        adjust: require_keys,
        ..hosts(2)
    };
    start_processes(plan).await
}

async fn start(accounts: Value) -> Scene {
    let scene = start_without_table().await;
    put(&scene, &document(1, accounts));
    wait_for_version(&scene, 1).await;
    scene
}

fn put(scene: &Scene, document: &Value) {
    let document = document.to_string();
    scene.store.overwrite(ROUTES, document.as_bytes());
}

/// Returns the sum of a counter over all nodes.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
async fn count(scene: &Scene, counter: &str) -> usize {
    let mut sum = 0.0;
    for index in 0..scene.hosts.len() {
        sum += scene.counter(index, counter).await;
    }
    sum as usize
}

/// Returns the values of the account header that the upstream got with a request.
async fn send(scene: &Scene, path: &str, headers: &[(&'static str, &str)]) -> Vec<String> {
    let call = Call {
        path: path.to_owned(),
        ..get("fields")
    };
    let reply = scene.caller.send(scene.entries()[0], &call, headers);
    account_fields(reply.await.expect("a response")).await
}

/// Returns the values of the account header among the fields that the upstream received, none of
/// which may contain a key.
async fn account_fields(response: Response<Incoming>) -> Vec<String> {
    assert_eq!(response.status(), StatusCode::OK);
    let body = response.into_body().collect().await.expect("a body");
    let fields: Vec<(String, String)> =
        serde_json::from_slice(&body.to_bytes()).expect("a list of fields");
    for (name, value) in &fields {
        assert!(
            name != "authorization" && !value.contains(SECRET),
            "{name}: {value}"
        );
    }
    let named = fields
        .into_iter()
        .filter(|(name, _)| name == ACCOUNT_HEADER);
    named.map(|(_, value)| value).collect()
}

/// Guards against a caller that names another account, on any kind of route, and against a key that
/// reaches the upstream.
#[tokio::test]
async fn upstream_receives_the_account_of_the_key_and_no_key() {
    let scene = start(accounts()).await;
    let forged = (ACCOUNT_HEADER, "forged");
    let large = ("authorization", "Bearer secret-2");
    let small = ("authorization", "bearer secret-3");
    let unknown = ("authorization", "Bearer secret-4");
    assert_eq!(send(&scene, FIELDS, &[large, forged]).await, ["größte"]);
    assert_eq!(send(&scene, FIELDS, &[small]).await, ["small"]);
    let open = format!("/open{FIELDS}");
    assert_eq!(send(&scene, &open, &[small, forged]).await, ["small"]);
    assert!(send(&scene, &open, &[forged]).await.is_empty());
    assert!(send(&scene, &open, &[unknown, forged]).await.is_empty());
    assert_eq!(
        count(&scene, r#"mintridge_keys_total{kind="resolved"}"#).await,
        3
    );
    assert_eq!(
        count(&scene, r#"mintridge_keys_total{kind="unknown"}"#).await,
        1
    );
    assert_eq!(count(&scene, KEYS_FROM_PEERS).await, 0);
}

/// Guards against an entry node with a table from before the accounts: it passes on the key that its
/// caller sent, and the account that the caller names as one of its headers.
#[tokio::test]
async fn guard_removes_what_an_older_entry_passes_on() {
    let scene = start(accounts()).await;
    let now = Instant::now();
    let head = Head {
        service: Arc::from("service"),
        client_account: Arc::from(ANONYMOUS),
        deadline: now + Duration::from_secs(5),
        request_id: Arc::from("fields"),
        claim: None,
        priority: 0,
        route: Arc::from("/"),
        target: now + Duration::from_secs(5),
        repeatable: true,
        only_in_time: false,
        report_to: None,
        run_by: None,
        known: None,
    };
    let request = Request::get(format!("http://127.0.0.1{FIELDS}"))
        .header("authorization", "Bearer secret-1")
        .header(ACCOUNT_HEADER, "forged");
    let mut request = request.body(reply::empty()).expect("a request");
    headers::write(now, &head, request.headers_mut());
    let links = Links::new(<_>::default());
    let response = links.send(scene.addresses(0).peers, request, head.deadline);
    let response = response.await.expect("a response");
    assert!(account_fields(response).await.is_empty());
    assert_eq!(count(&scene, KEYS_FROM_PEERS).await, 1);
}

/// Guards against a table that is no longer served as before once nodes know accounts.
#[tokio::test]
async fn table_without_accounts_leaves_the_headers_alone() {
    let scene = start(json!([])).await;
    let call = get("fields");
    let headers = [
        ("authorization", "Basic own"),
        (ACCOUNT_HEADER, "printer-7"),
    ];
    let call = Call {
        path: String::from(FIELDS),
        ..call
    };
    let response = scene.caller.send(scene.entries()[0], &call, &headers).await;
    let body = response.expect("a response").into_body().collect().await;
    let body = body.expect("a body").to_bytes();
    let fields: Vec<(&str, &str)> = serde_json::from_slice(&body).expect("a list of fields");
    for expected in headers {
        assert!(fields.contains(&expected), "{fields:?}");
    }
}

/// Guards against a request that runs without a valid key.
#[tokio::test]
async fn request_without_a_valid_key_is_unauthorized() {
    let scene = start(accounts()).await;
    let long = format!("Bearer {}", "k".repeat(257));
    let refused = ["Bearer secret-4", "Basic secret-1", "Bearer ", &long];
    let fields = refused.map(|value| vec![("authorization", value)]);
    for fields in fields.iter().chain([&Vec::new()]) {
        let call = get("refused");
        let response = scene.caller.send(scene.entries()[1], &call, fields).await;
        let response = response.expect("a response");
        assert_eq!(response.status(), StatusCode::UNAUTHORIZED);
        assert_eq!(response.headers()[WWW_AUTHENTICATE], "Bearer");
        assert_eq!(response.headers()["mintridge-reason"], "unauthorized");
        assert_eq!(response.headers()["mintridge-outcome"], "not-run");
    }
    assert_eq!(scene.runs("refused"), 0);
}

fn with_key(id: &str, key: &str) -> Call {
    Call {
        account_key: Some(key.to_owned()),
        ..get(id)
    }
}

/// Guards against a key that is refused for good by a node without a table, that is not served once
/// the table has it, or that is served after a new table has removed it.
#[tokio::test]
async fn key_is_valid_from_one_table_to_another() {
    let scene = start_without_table().await;
    let call = with_key("small", "secret-3");
    wait_for_reason(&scene, &call, Reason::Unconfigured).await;
    put(&scene, &document(1, accounts()));
    wait_for_version(&scene, 1).await;
    assert!(scene.call(0, &call).await.is_success());
    let mut remaining = accounts();
    remaining.as_array_mut().expect("a list").pop();
    put(&scene, &document(2, remaining));
    wait_for_version(&scene, 2).await;
    wait_for_reason(&scene, &call, Reason::Unauthorized).await;
    assert_eq!(scene.runs("small"), 1);
}

/// Guards against a node that has lost touch with the store and tells callers that a key which was
/// added meanwhile is wrong. Known keys are served throughout.
#[tokio::test]
async fn unknown_key_is_refused_as_unverified_while_the_store_is_down() {
    let scene = start(accounts()).await;
    let unknown = with_key("unknown", "secret-4");
    wait_for_reason(&scene, &unknown, Reason::Unauthorized).await;
    scene.store.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    wait_for_reason(&scene, &unknown, Reason::Unverified).await;
    wait_for_reason(&scene, &get("missing"), Reason::Unverified).await;
    assert!(
        scene
            .call(0, &with_key("known", "secret-1"))
            .await
            .is_success()
    );
    scene.store.set_faults(Faults::default());
    wait_for_reason(&scene, &unknown, Reason::Unauthorized).await;
    assert_eq!(scene.runs("unknown") + scene.runs("missing"), 0);
}

/// Guards against keys in logs, metrics and the state for operators, at any level and also where a
/// table, an account or a key cannot be read. The other accounts are served.
#[tokio::test]
async fn keys_appear_in_no_log_line_and_no_metric() {
    let scene = start(json!([
        {"name": "good", "keys": ["secret-1"]},
        {"name": "broken", "keys": "secret-5"},
        {"name": ["secret-6"], "keys": ["secret-7"]},
        ["secret-8", ["secret-9"]],
        {"name": "partly", "keys": ["secret-10", 5, "secret-with ü"], "priority": 2},
        "secret-11",
    ]))
    .await;
    for key in ["secret-1", "secret-10", "secret-4"] {
        let call = with_key(key.trim_start_matches(SECRET), key);
        assert_eq!(scene.call(0, &call).await.is_success(), key != "secret-4");
    }
    let mut unreadable = document(2, accounts());
    unreadable["limits"] = json!("secret-12");
    put(&scene, &unreadable);
    wait_until_logged(&scene, "failed to parse the routing table").await;
    wait_until_logged(&scene, "part of the client accounts left out").await;
    wait_until_logged(&scene, "contents of the routing table").await;
    let faults = count(&scene, r#"mintridge_bad_input_total{kind="account"}"#).await;
    assert_eq!(faults, 5 * scene.hosts.len());
    for index in 0..scene.hosts.len() {
        let logs = scene.process(index).logs();
        let leaks: Vec<_> = logs.iter().filter(|line| line.contains(SECRET)).collect();
        assert!(!logs.is_empty() && leaks.is_empty(), "{leaks:?}");
        for path in [METRICS, STATE] {
            let text = scene.operators_text(index, path).await;
            assert!(!text.is_empty() && !text.contains(SECRET), "{text}");
        }
    }
}

async fn wait_until_logged(scene: &Scene, message: &str) {
    let give_up_at = Instant::now() + Duration::from_mins(1);
    let is_logged = |index| {
        let logs = scene.process(index).logs();
        logs.iter().any(|line| line.contains(message))
    };
    while !(0..scene.hosts.len()).any(is_logged) {
        assert!(Instant::now() < give_up_at, "never logged: {message}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Returns the head of a request that names an account of its own; `key` resolves to its account.
fn read(settings: &callers::Settings, table: &Table, key: &str) -> Head {
    let request = Request::get("/")
        .header("host", "127.0.0.1")
        .header(&settings.client_account_header, "forged");
    let (parts, ()) = request.body(()).expect("a request").into_parts();
    let routing = Routing::Table { table, count: 0 };
    let resolution = arrival::resolve(settings, &parts, routing).expect("a route");
    let caller = Caller {
        account: table.accounts.resolve(key).cloned(),
    };
    let id = Arc::from("id");
    let read = arrival::read(settings, Instant::now(), id, &parts, resolution, &caller);
    read.expect("a request").head
}

/// Guards against a request that claims an account or a rank by a header of its own.
#[test]
fn read_takes_account_and_rank_from_the_key() {
    let document = document(1, accounts()).to_string();
    let table = (Adapter::default().routes)(document.as_bytes()).expect("a table");
    let settings = callers::Settings::default();
    let large = read(&settings, &table, "secret-1");
    assert_eq!((&*large.client_account, large.priority), ("größte", 16));
    let none = read(&settings, &table, "secret-4");
    assert_eq!((&*none.client_account, none.priority), (ANONYMOUS, 0));
}

/// Guards against a platform whose callers choose their share of the queue by a header that nodes
/// did not read before.
#[rstest]
#[case::own_interface(true, "forged")]
#[case::platform(false, ANONYMOUS)]
fn read_trusts_callers_only_where_the_settings_say_so(
    #[case] client_account_from_caller: bool,
    #[case] expected: &str,
) {
    let settings = callers::Settings {
        client_account_from_caller,
        ..callers::Settings::default()
    };
    let head = read(&settings, &table(1, vec![route("/")]), "");
    assert_eq!(&*head.client_account, expected);
}
