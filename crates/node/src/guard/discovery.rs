//! Discovers the upstream beside the node by a health check, before the upstream announces itself.
//!
//! Failure: the node restarts while its upstream keeps running. Symptom: until the next
//! announcement, a second or more, the upstream is idle and the others carry its load.
//! The response to the health check names the instance and its slots at once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http_body_util::Empty;
use hyper::header::HeaderMap;
use hyper::{Method, Request};

use super::Guard;
use crate::announcement::Announcement;

/// Timeout of a health check, and delay before the next one. Several health checks fit into the
/// interval between two announcements.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of health checks: an upstream that answers none of them is down and announces
/// itself once it runs again. The delays alone add up to two seconds; if all checks time out, they
/// take two more.
const MAX_CHECKS: u32 = 10;

/// Runs a discovery at startup and after each response of an instance other than the expected one.
pub async fn run(guard: Arc<Guard>) {
    let Some(address) = guard.context.settings.upstream.address else {
        return;
    };
    guard.discovery_due.notify_one();
    loop {
        guard.discovery_due.notified().await;
        let health_path = health_path(&guard).await;
        for _ in 0..MAX_CHECKS {
            if guard.state.lock().announcement.is_some() {
                break;
            }
            if let Some((announcement, headers)) = check_health(&guard, address, &health_path).await
            {
                guard.apply_announcement(announcement);
                // The check was sent before the previous instance was known to be gone.
                guard.record_check(Instant::now(), &headers);
                guard.publish();
                break;
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }
}

/// Returns the service's health check path from the routing table; waits for a table if one is
/// configured.
async fn health_path(guard: &Guard) -> Arc<str> {
    let default = Announcement::default().health_path;
    if guard.context.settings.routes.key.is_none() {
        return default;
    }
    let mut routes = guard.context.latest.routes.subscribe();
    let Ok(latest) = routes.wait_for(Option::is_some).await else {
        return default;
    };
    let service = guard.context.settings.callers.origin.as_str();
    let service = latest
        .as_ref()
        .and_then(|document| document.table.services.get(service));
    service.map_or(default, |service| Arc::clone(&service.health_path))
}

async fn check_health(
    guard: &Guard,
    address: SocketAddr,
    path: &str,
) -> Option<(Announcement, HeaderMap)> {
    let request = Request::builder()
        .method(Method::GET)
        .uri(format!("http://{address}{path}"))
        .body(Empty::new())
        .ok()?;
    let give_up_at = Instant::now() + CHECK_INTERVAL;
    let response = guard.prober.request(request);
    let response = tokio::time::timeout_at(give_up_at.into(), response).await;
    match response {
        Ok(Ok(response)) if response.status().is_success() => {
            let announcement = read_announcement(guard, address, path, response.headers());
            if announcement.is_none() {
                log::warn!(
                    upstream:% = address;
                    "health check response lacks the instance or the load"
                );
            }
            Some((announcement?, response.headers().clone()))
        }
        Ok(Ok(response)) => {
            let status = response.status().as_u16();
            log::info!(upstream:% = address, status = status; "upstream is not ready");
            None
        }
        Ok(Err(error)) => {
            log::info!(
                upstream:% = address, error:% = error;
                "health check of the upstream failed"
            );
            None
        }
        Err(_) => {
            log::info!(upstream:% = address; "health check of the upstream timed out");
            None
        }
    }
}

fn read_announcement(
    guard: &Guard,
    address: SocketAddr,
    path: &str,
    headers: &HeaderMap,
) -> Option<Announcement> {
    Some(Announcement {
        service: Arc::from(guard.context.settings.callers.origin.as_str()),
        address,
        slots: guard.upstream.load(headers)?.slots,
        health_path: Arc::from(path),
        cold_for: guard.upstream.cold_for(headers).unwrap_or_default(),
        instance: guard.upstream.instance(headers)?,
        ..Announcement::default()
    })
}
