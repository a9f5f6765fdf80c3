//! Selects the members that may be chosen for a request.

use std::sync::Arc;

use mintridge_core::membership::{Record, State};
use mintridge_core::placement::Upstream;

use crate::context::View;

/// Returns the upstreams that may be chosen: those of hosts that are alive, not leaving, and in an
/// availability zone that is not evacuated. A suspected host is included only while its service
/// has no host that is alive, because a mere suspicion must not leave a service without candidates.
pub fn candidates(view: &View, own_zone: &Arc<str>) -> Vec<Upstream> {
    let members = &view.members;
    let is_available = |record: &&Record| {
        let upstream = record.upstream.as_ref();
        upstream.is_some_and(|upstream| !upstream.leaving)
            && !view.evacuated.contains(&record.availability_zone)
    };
    let has_alive_host = |service: &Arc<str>| {
        members.iter().filter(is_available).any(|record| {
            let upstream = record.upstream.as_ref();
            record.state == State::Alive && upstream.is_some_and(|u| u.service == *service)
        })
    };
    members
        .iter()
        .filter(is_available)
        .filter_map(|record| {
            let upstream = record.upstream.as_ref()?;
            if record.state != State::Alive && has_alive_host(&upstream.service) {
                return None;
            }
            Some(Upstream {
                host: Arc::clone(&record.host),
                service: Arc::clone(&upstream.service),
                slots: upstream.slots,
                same_zone: record.availability_zone == *own_zone,
            })
        })
        .collect()
}
