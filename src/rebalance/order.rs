//! Who goes first: units with the most relief for their cost. A group goes whole or not at all.

use super::gain::Press;
use super::view::{View, GROUP_SLOTS};
use super::RebalanceContext;
use crate::{ConnectionId, ServerId};

/// What moves together.
#[derive(Clone, Debug, PartialEq)]
pub struct Unit {
    /// Its connections.
    pub members: Vec<ConnectionId>,
    /// Slots that they take.
    pub slots: f64,
    /// Slots that the server is rid of: the group's part too.
    pub relief: f64,
    /// Sum of the members' worths, over the mean worth of a class.
    pub priority_weight: f64,
}

/// What may be moved off one server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Clients, now and once the bucket is full.
    pub tokens: f64,
    /// See `tokens`.
    pub saved: f64,
    /// Slots.
    pub slots: f64,
    /// What a move costs a client of mean worth, in seconds of good service.
    pub cost: f64,
    /// The gain has to be so many times the cost.
    pub margin: f64,
}

/// A server's units. Clients that came back from a move are in none, and a group with such a member neither.
pub fn units(view: &View, terms: &RebalanceContext, server: ServerId) -> Vec<Unit> {
    let mean = terms.priority_weights.iter().sum::<f64>() / terms.priority_weights.len().max(1) as f64;
    let priority_weight = |class: u16| {
        let priority_weight = terms.priority_weights.get(usize::from(class)).copied().unwrap_or(mean);
        if mean > 0.0 {
            priority_weight / mean
        } else {
            1.0
        }
    };
    let (singles, groups) = view.units(server);
    let single = |(connection, at, again): &(ConnectionId, super::Connection, bool)| {
        let slots = view.slots(at);
        (!again).then(|| Unit {
            members: vec![*connection],
            slots,
            relief: slots,
            priority_weight: priority_weight(at.class),
        })
    };
    let mut units: Vec<Unit> = singles.iter().filter_map(single).collect();
    for (group, members) in groups {
        let known: Vec<_> = members.iter().filter_map(|connection| view.connection(*connection)).collect();
        if known.iter().any(|(_, _, again)| *again) {
            continue;
        }
        // Danger: the larger part of a split group would draw the rest after it, and then be drawn back.
        if view.held_by_predecessor(group, server) > members.len() {
            // The smaller part: where the others are it is paid for already.
        } else if view.held_by_predecessor(group, server) > 0 {
            continue;
        }
        let slots: f64 = known.iter().map(|(at, _, _)| view.slots(at)).sum();
        let paid =
            if members.len() > 1 || view.held_by_predecessor(group, server) > 0 { GROUP_SLOTS } else { 0.0 };
        let priority_weight = known.iter().map(|(at, _, _)| priority_weight(at.class)).sum();
        units.push(Unit { members, slots, relief: slots + paid, priority_weight });
    }
    units
}

/// Of these units of a server that holds so many slots, the ones that are moved now. `life` is the mean life of a
/// connection in seconds: press and mover both last about half of it.
pub fn choose(units: Vec<Unit>, press: &Press, held: f64, life: f64, limits: Limits) -> Vec<Unit> {
    let horizon = life / 2.0;
    let gain = |unit: &Unit| (unit.relief * press.relief() + unit.priority_weight * press.lost()) * horizon;
    let cost = |unit: &Unit| unit.priority_weight * limits.cost;
    let pays = |unit: &Unit| gain(unit) > cost(unit) * limits.margin;
    let mut paying: Vec<Unit> = units.into_iter().filter(pays).collect();
    let efficiency = |unit: &Unit| gain(unit) / cost(unit).max(f64::MIN_POSITIVE);
    // Ties go by number, which is age: the same choice from the same state.
    let by = |a: &Unit, b: &Unit| efficiency(b).total_cmp(&efficiency(a)).then(a.members.cmp(&b.members));
    paying.sort_by(by);
    let (mut tokens, mut slots) = (limits.tokens, limits.slots.min(held));
    let mut chosen = Vec::new();
    for unit in paying {
        let members = unit.members.len() as f64;
        // Danger: single connections would take each token as it comes, and no group would ever go.
        if members > tokens && members <= limits.saved && unit.slots * 0.5 <= slots {
            break;
        }
        // One that is a little too large would be put off for ever where the excess is small: half will do.
        if members <= tokens && unit.slots * 0.5 <= slots && slots > 0.0 {
            tokens -= members;
            slots -= unit.slots;
            chosen.push(unit);
        }
    }
    chosen
}
