//! What a move gains: which servers are pressed, by how much, and where there is room. Pure functions.

use super::view::View;
use super::{RebalanceConfig, RebalanceContext, ServerSnapshot, FRESH};
use crate::{Micros, Time};

/// At this use of a server's capacity messages take a third of a tight objective, which is when servers begin to tell; the
/// time grows as 1/(1 - use) (the mean of M/M/1 with shared service; Kleinrock, Queueing Systems, vol. 1).
const TELLS_AT: f64 = 0.85;
const THIRD: f64 = 1.0 / 3.0;
/// One part in n less at a server of n lowers its message time by about so many parts in n, at that use.
const RELIEF: f64 = 5.0;
/// What is inferred is never believed to be nearer to the brink than this.
const MOST_INFERRED: f64 = 0.97;
/// Begin to move, and go on: so many deviations over the fair part where pressure is measured, and where it is
/// inferred.
const MEASURED: (f64, f64) = (0.5, 0.25);
const INFERRED: (f64, f64) = (2.5, 1.5);
/// Over its fair part by so many slots a server takes nothing new that another can take.
const LEAST_OVER: f64 = 1.0;
/// Where more than this share stands in groups, it takes so many deviations over the fair part for anything.
const FEW_GROUPED: f64 = 0.1;
const GROUPED: f64 = 2.0;
/// So many deviations under its fair part a server has room: one that has started lately, and any other.
const ROOM_FRESH: f64 = 1.0;
const ROOM_OLD: f64 = 3.0;
/// A server that was in trouble so lately has no room, whatever its ceiling says.
const LATELY: Micros = 5_000_000;
/// Room that a cold server has at a time: what fills it in so many seconds.
const COLD_AT_ONCE: f64 = 2.0;

/// A server that holds more than its part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Press {
    /// Message time over the tightest objective.
    pub late: f64,
    /// Slots that it holds over its fair part.
    pub excess: f64,
    /// Sure enough to move standing connections; else new ones go elsewhere, and that is all.
    pub sure: bool,
}

impl Press {
    /// Share of messages that miss the objective: exponential times.
    pub fn lost(&self) -> f64 {
        (-1.0 / self.late.max(0.01)).exp()
    }

    /// Connection-seconds a second that those who stay gain from each slot that goes.
    pub fn relief(&self) -> f64 {
        RELIEF * self.lost() / self.late.max(0.01)
    }
}

/// Message time over the objective at a use of the capacity.
fn late_at(used: f64) -> f64 {
    THIRD * (1.0 - TELLS_AT) / (1.0 - used.min(MOST_INFERRED))
}

/// Weights and slots held of all servers in use.
pub fn fleet(servers: &[ServerSnapshot]) -> (f64, f64) {
    let ready = servers.iter().filter(|server| server.ready);
    ready.fold((0.0, 0.0), |(weights, slots), server| (weights + server.weight, slots + server.held))
}

/// Whether a server holds more than its `fair` part, and is pressed beyond what chance explains.
pub fn press(
    terms: &RebalanceContext,
    config: &RebalanceConfig,
    view: &View,
    now: Time,
    server: &ServerSnapshot,
    fair: f64,
    going: bool,
) -> Option<Press> {
    let excess = server.held - fair;
    // Before anything that costs: most servers, most of the time.
    if excess < LEAST_OVER {
        return None;
    }
    let (noise, grouped) = view.chance(server.server);
    // Danger: where free slots are gone a group's next members go elsewhere, and a second server pays for it.
    if grouped > FEW_GROUPED && excess < GROUPED * noise {
        return None;
    }
    let pick = |(begin, go_on): (f64, f64)| if going { go_on } else { begin };
    if terms.tells_delay && terms.message_objective > 0 {
        // One that could tell of slow messages and does not is not pressed.
        let late =
            view.slow(now, server.server).map_or(0.0, |took| took as f64 / terms.message_objective as f64);
        let sure = late > 0.0 && excess >= pick(MEASURED) * noise;
        return Some(Press { late, excess, sure });
    }
    // Only what chance does not explain counts towards the use that is inferred.
    let certain = server.held - pick(INFERRED) * noise * 0.5;
    let late = late_at(config.assumed_use * certain / fair.max(1.0));
    Some(Press { late, excess, sure: excess >= pick(INFERRED) * noise })
}

/// Whether a server has started lately and nothing speaks against it: its low ceiling says only that nothing is known.
pub fn unknown(view: &View, now: Time, server: &ServerSnapshot) -> bool {
    let fresh = server.started.is_some_and(|at| now.since(at) < FRESH);
    fresh && server.ready && server.last_fault.is_none() && !view.ever_slow(now, server.server)
}

/// Slots that a server surely bears beyond what it holds, for clients that are moved.
pub fn room(terms: &RebalanceContext, view: &View, now: Time, server: &ServerSnapshot, fair: f64) -> f64 {
    if view.ever_slow(now, server.server) {
        return 0.0;
    }
    let fresh = server.started.is_some_and(|at| now.since(at) < FRESH);
    // Danger: by chance some server is always under its part; whoever is moved for that has moved for nothing.
    if fair - server.held < if fresh { ROOM_FRESH } else { ROOM_OLD } * fair.sqrt() {
        return 0.0;
    }
    match server.last_fault {
        // Danger: a slow server shows few connections because that is all it bears.
        Some(at) if now.since(at) < LATELY => 0.0,
        Some(_) => server.ceiling.min(fair) * server.warmth - server.held,
        None if server.warmth < 1.0 => {
            let pace = fair * 1e6 / terms.slow_start_duration.max(1) as f64;
            (fair * server.warmth - server.held).min(COLD_AT_ONCE * pace)
        }
        None => fair - server.held,
    }
}
