//! Which servers can take migrated clients, and how many. Pure functions.

use super::view::View;
use super::{RebalanceContext, ServerSnapshot};
use crate::{Micros, Time};

/// A server that started longer ago than this has shown what it can hold.
const RECENT_START: Micros = Micros::from_secs(60);
/// A server has room where it is so many deviations under its fair share: one that has started recently...
const MIN_ROOM_DEVIATIONS_RECENT_START: f64 = 1.0;
/// ...and any other.
const MIN_ROOM_DEVIATIONS: f64 = 3.0;
/// A server with a fault more recent than this has no room, whatever its ceiling is.
const FAULT_COOLDOWN: Micros = Micros::from_secs(5);
/// Room of a server that is warming up: what fills it in so many seconds.
const WARMING_ROOM_SECONDS: f64 = 2.0;

/// Whether a server has started recently and has shown no fault: its low ceiling then only means that nothing is known
/// of what it can hold.
pub fn has_unknown_capacity(view: &View, now: Time, server: &ServerSnapshot) -> bool {
    started_recently(now, server)
        && server.ready
        && server.last_fault.is_none()
        && !view.reported_slow(now, server.server)
}

/// Slots that a server can surely take beyond what it holds, for clients that are migrated.
pub fn free_slots(
    context: &RebalanceContext,
    view: &View,
    now: Time,
    server: &ServerSnapshot,
    fair: f64,
) -> f64 {
    if view.reported_slow(now, server.server) {
        return 0.0;
    }
    let min_deviations =
        if started_recently(now, server) { MIN_ROOM_DEVIATIONS_RECENT_START } else { MIN_ROOM_DEVIATIONS };
    // By chance some server is always under its fair share; a client that is moved for that is moved for nothing.
    if fair - server.occupied_slots < min_deviations * fair.sqrt() {
        return 0.0;
    }
    match server.last_fault {
        // A slow server shows few connections because that is all it can hold.
        Some(at) if now.since(at) < FAULT_COOLDOWN => 0.0,
        Some(_) => server.ceiling.min(fair) * server.warmth - server.occupied_slots,
        None if server.warmth < 1.0 => {
            let slots_per_second = fair * 1e6 / context.slow_start_duration.max(Micros(1)).as_f64();
            (fair * server.warmth - server.occupied_slots).min(WARMING_ROOM_SECONDS * slots_per_second)
        }
        None => fair - server.occupied_slots,
    }
}

fn started_recently(now: Time, server: &ServerSnapshot) -> bool {
    server.started.is_some_and(|at| now.since(at) < RECENT_START)
}
