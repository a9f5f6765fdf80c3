//! Which of the members may be chosen.

use std::sync::Arc;

use mintridge_core::membership::{Record, State};
use mintridge_core::placement::Upstream;

use crate::context::View;

/// Hosts that may be chosen: those that answer, are not leaving and stand in no evacuated zone; a
/// suspected one only while its service has no other, since a suspicion must not empty the set.
pub fn candidates(view: &View, own_zone: &Arc<str>) -> Vec<Upstream> {
    let members = &view.members;
    let offering = |record: &&Record| {
        let upstream = record.upstream.as_ref();
        upstream.is_some_and(|upstream| !upstream.leaving)
            && !view.evacuated.contains(&record.availability_zone)
    };
    let alive = |service: &Arc<str>| {
        members.iter().filter(offering).any(|record| {
            let upstream = record.upstream.as_ref();
            record.state == State::Alive && upstream.is_some_and(|u| u.service == *service)
        })
    };
    members
        .iter()
        .filter(offering)
        .filter_map(|record| {
            let upstream = record.upstream.as_ref()?;
            if record.state != State::Alive && alive(&upstream.service) {
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
