//! Which connections are moved first: the units with the most relief for their cost. A group is moved whole or not at
//! all.

use super::pressure::Pressure;
use super::view::{EstablishedConnection, SingleConnection, View, GROUP_SLOTS};
use super::RebalanceContext;
use crate::{ConnectionId, ServerId};

/// A unit may be moved if this share of its slots is within the limit: where the excess is small a unit that is a
/// little too large would otherwise be put off for ever.
const MIN_FITTING_SHARE: f64 = 0.5;

/// Connections that are moved together.
#[derive(Clone, Debug, PartialEq)]
pub struct MoveUnit {
    /// Its connections.
    pub members: Vec<ConnectionId>,
    /// Slots that they take.
    pub slots: f64,
    /// Slots that the server is relieved of, with what the group costs beyond its members.
    pub relief: f64,
    /// Sum of the members' priority weights, over the mean of all classes.
    pub priority_weight: f64,
}

/// What may be moved off one server.
#[derive(Clone, Copy, Debug)]
pub struct MoveLimits {
    /// Clients that may be moved now.
    pub tokens: f64,
    /// Clients that may be moved at once when the bucket is full.
    pub max_tokens: f64,
    /// Slots that may be moved now.
    pub slots: f64,
    /// What a move costs a client of mean priority weight, in seconds of good service.
    pub cost_seconds: f64,
    /// The gain has to be so many times the cost.
    pub margin: f64,
}

/// The classes' priority weights over their mean.
struct RelativeWeights<'a> {
    weights: &'a [f64],
    mean: f64,
}

impl RelativeWeights<'_> {
    fn new(weights: &[f64]) -> RelativeWeights<'_> {
        let mean = weights.iter().sum::<f64>() / weights.len().max(1) as f64;
        RelativeWeights { weights, mean }
    }

    fn of_class(&self, class: u16) -> f64 {
        let weight = self.weights.get(usize::from(class)).copied().unwrap_or(self.mean);
        if self.mean > 0.0 {
            weight / self.mean
        } else {
            1.0
        }
    }
}

/// A server's units. Clients that came back from a migration are in none, and neither is a group with such a member.
pub fn movable_units(view: &View, context: &RebalanceContext, server: ServerId) -> Vec<MoveUnit> {
    let weights = RelativeWeights::new(&context.priority_weights);
    let server_units = view.units(server);
    let singles = server_units.singles.iter();
    let mut units: Vec<MoveUnit> = singles.filter_map(|single| single_unit(view, &weights, single)).collect();
    for (group, members) in server_units.groups {
        units.extend(group_unit(view, &weights, server, group, members));
    }
    units
}

fn single_unit(view: &View, weights: &RelativeWeights<'_>, single: &SingleConnection) -> Option<MoveUnit> {
    let EstablishedConnection { properties, reconnected, .. } = single.connection;
    if reconnected {
        return None;
    }
    let slots = view.slots(&properties);
    let priority_weight = weights.of_class(properties.class);
    Some(MoveUnit { members: vec![single.id], slots, relief: slots, priority_weight })
}

fn group_unit(
    view: &View,
    weights: &RelativeWeights<'_>,
    server: ServerId,
    group: u64,
    members: Vec<ConnectionId>,
) -> Option<MoveUnit> {
    let connections: Vec<EstablishedConnection> =
        members.iter().filter_map(|id| view.connection(*id)).collect();
    if connections.iter().any(|connection| connection.reconnected) {
        return None;
    }
    let elsewhere = view.group_members_elsewhere(group, server);
    // The larger part of a split group would draw the rest after it and then be drawn back, so only the smaller part
    // is moved: where the others are, the group's cost is paid already.
    if (1..=members.len()).contains(&elsewhere) {
        return None;
    }
    let slots: f64 = connections.iter().map(|connection| view.slots(&connection.properties)).sum();
    let group_cost = if members.len() > 1 || elsewhere > 0 { GROUP_SLOTS } else { 0.0 };
    let priority_weight =
        connections.iter().map(|connection| weights.of_class(connection.properties.class)).sum();
    Some(MoveUnit { members, slots, relief: slots + group_cost, priority_weight })
}

/// The gain and cost of moving units off one server.
struct Economics<'a> {
    pressure: &'a Pressure,
    /// Seconds that a move's gain lasts.
    horizon_seconds: f64,
    limits: &'a MoveLimits,
}

impl Economics<'_> {
    fn gain(&self, unit: &MoveUnit) -> f64 {
        let relief = unit.relief * self.pressure.relief_per_slot();
        let own = unit.priority_weight * self.pressure.missed_share();
        (relief + own) * self.horizon_seconds
    }

    fn cost(&self, unit: &MoveUnit) -> f64 {
        unit.priority_weight * self.limits.cost_seconds
    }

    fn pays(&self, unit: &MoveUnit) -> bool {
        self.gain(unit) > self.cost(unit) * self.limits.margin
    }

    fn efficiency(&self, unit: &MoveUnit) -> f64 {
        self.gain(unit) / self.cost(unit).max(f64::MIN_POSITIVE)
    }
}

/// Of these units of a server that holds so many slots, the ones that are moved now.
pub fn select_units(
    units: Vec<MoveUnit>,
    pressure: &Pressure,
    held: f64,
    mean_lifetime_seconds: f64,
    limits: MoveLimits,
) -> Vec<MoveUnit> {
    // The pressure and the migrated connection both last about half a lifetime.
    let horizon_seconds = mean_lifetime_seconds / 2.0;
    let economics = Economics { pressure, horizon_seconds, limits: &limits };
    let mut paying: Vec<MoveUnit> = units.into_iter().filter(|unit| economics.pays(unit)).collect();
    // Ties go by number, which is age: the same choice from the same state.
    paying.sort_by(|a, b| {
        let by_efficiency = economics.efficiency(b).total_cmp(&economics.efficiency(a));
        by_efficiency.then(a.members.cmp(&b.members))
    });
    take_within_limits(paying, limits.tokens, limits.slots.min(held), limits.max_tokens)
}

/// The units that the tokens and slots allow, in this order.
fn take_within_limits(
    units: Vec<MoveUnit>,
    mut tokens: f64,
    mut slots: f64,
    max_tokens: f64,
) -> Vec<MoveUnit> {
    let mut selected = Vec::new();
    for unit in units {
        let members = unit.members.len() as f64;
        let fits = unit.slots * MIN_FITTING_SHARE <= slots;
        // Tokens are saved up for a group: single connections would otherwise take each token as it comes, and no
        // group would ever be moved.
        if members > tokens && members <= max_tokens && fits {
            break;
        }
        if members <= tokens && fits && slots > 0.0 {
            tokens -= members;
            slots -= unit.slots;
            selected.push(unit);
        }
    }
    selected
}
