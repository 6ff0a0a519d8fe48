//! Steps of the servers and measurement of the day. Each step adds the requested and served value of service,
//! and each second is sampled.

use std::collections::{BTreeMap, BTreeSet};

use connection_balancer::routing::{AttemptOutcome, Input, PoolId};

use super::client_events::ClientPhase;
use super::{Day, DayResult, Event, ServerSample, STEP_INTERVAL};
use crate::clients::CLASSES;
use crate::deployment::SECOND;
use crate::invariants::ConnectionRef;
use crate::pool::MIGRATION_COST;

/// Number of steps between two connections that a draining server closes.
const DRAIN_STEPS: u64 = 2;
/// Servers report message times above the tightest message objective divided by this.
const REPORT_THRESHOLD_DIVISOR: f64 = 3.0;
/// Fewest established connections of a group that is included in the mean number of servers per group.
const MIN_MEASURED_GROUP: usize = 3;
/// Lower bounds of divisors, a value and a mean, which avoid a division by zero.
const MIN_VALUE: f64 = 1e-9;
const MIN_MEAN_CONNECTIONS: f64 = 0.01;

/// Value of service summed since the start of the day.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceValue {
    requested: f64,
    served: f64,
}

/// Sums for the mean number of servers over which a group is spread.
#[derive(Clone, Copy, Debug, Default)]
struct GroupSpread {
    /// Number of servers, summed over all sampled groups.
    servers: f64,
    /// Number of sampled groups.
    groups: f64,
}

/// Sums from which the day's result is computed.
#[derive(Debug, Default)]
pub(super) struct Measurement {
    value: ServiceValue,
    /// The value at the previous sample.
    last_value: ServiceValue,
    group_spread: GroupSpread,
}

/// A group's established connections.
#[derive(Debug, Default)]
struct GroupPlacement {
    connections: usize,
    servers: BTreeSet<usize>,
}

impl Day<'_> {
    /// Advances the servers by one step, and counts the value of the service in it.
    pub(super) fn step(&mut self) {
        let seconds = STEP_INTERVAL as f64 / 1e6;
        for server in &mut self.servers {
            server.advance(self.now, seconds);
        }
        self.add_service_value(seconds);
        if self.now.is_multiple_of(SECOND) {
            self.sample();
            if self.deployment.reports_message_time {
                self.report_message_times();
            }
        }
        for server in 0..self.servers.len() {
            self.end_connections(server);
        }
        self.schedule(self.now + STEP_INTERVAL, Event::Step);
    }

    /// Adds the value of service that clients requested and received in a step.
    fn add_service_value(&mut self, seconds: f64) {
        for (client, profile) in self.clients.iter().enumerate() {
            if profile.arrives_at >= self.now {
                break;
            }
            if profile.leaves_at <= self.now {
                continue;
            }
            let class = &CLASSES[profile.class];
            self.measurement.value.requested += class.priority_weight * seconds;
            if let ClientPhase::Connected { server, .. } = self.client_states[client].phase {
                let share_in_time =
                    self.servers[server].share_within(self.now, class.message_objective_micros);
                self.measurement.value.served += class.priority_weight * seconds * share_in_time;
                self.result.connection_minutes += seconds / 60.0;
            }
        }
    }

    /// Resets one connection of an overloaded server, and redirects one client of a draining server.
    fn end_connections(&mut self, server: usize) {
        if self.servers[server].drops_connections() {
            self.end_first_connection(server, AttemptOutcome::Reset);
        }
        let draining = self.servers[server].draining && self.servers[server].up;
        if draining && self.now.is_multiple_of(DRAIN_STEPS * STEP_INTERVAL) {
            self.end_first_connection(server, AttemptOutcome::RedirectedByServer);
        }
    }

    fn end_first_connection(&mut self, server: usize, end: AttemptOutcome) {
        let first = self.servers[server].clients().next();
        if let Some(client) = first {
            self.end_by_server(client, end);
        }
    }

    /// Adds this second's samples to the result.
    fn sample(&mut self) {
        self.sample_quality();
        self.sample_servers();
        let metrics = self.balancers[0].state.rebalance_metrics(PoolId(0)).unwrap_or_default();
        self.result.rates.push(metrics.allowed_migrations_per_second);
        self.result.hold_reasons.push(metrics.hold_reason);
        self.sample_groups();
    }

    fn sample_quality(&mut self) {
        let Measurement { value, last_value, .. } = &mut self.measurement;
        let requested = value.requested - last_value.requested;
        let served = value.served - last_value.served;
        *last_value = *value;
        self.result.quality.push(served / requested.max(MIN_VALUE));
    }

    fn sample_servers(&mut self) {
        let now = self.now;
        let running = self.servers.iter().filter(|server| server.up);
        let connections: Vec<f64> = running.map(|server| server.connection_count() as f64).collect();
        let mean = connections.iter().sum::<f64>() / connections.len().max(1) as f64;
        let fullest = connections.iter().copied().fold(0.0, f64::max);
        self.result.spread.push(fullest / mean.max(MIN_MEAN_CONNECTIONS));
        let samples = self.servers.iter().map(|server| ServerSample {
            connections: server.connection_count(),
            message_millis: server.message_micros(now) / 1000.0,
        });
        self.result.servers.push(samples.collect());
    }

    fn sample_groups(&mut self) {
        let mut groups: BTreeMap<u64, GroupPlacement> = BTreeMap::new();
        for (state, profile) in self.client_states.iter().zip(self.clients) {
            if let (ClientPhase::Connected { server, .. }, Some(group)) = (state.phase, profile.group) {
                let placement = groups.entry(group).or_default();
                placement.connections += 1;
                placement.servers.insert(server);
            }
        }
        for placement in groups.values().filter(|group| group.connections >= MIN_MEASURED_GROUP) {
            self.measurement.group_spread.servers += placement.servers.len() as f64;
            self.measurement.group_spread.groups += 1.0;
        }
    }

    /// Reports the message time of each slow server on one of its connections at each balancer.
    fn report_message_times(&mut self) {
        let objectives = CLASSES.iter().map(|class| class.message_objective_micros);
        let threshold = objectives.fold(f64::INFINITY, f64::min) / REPORT_THRESHOLD_DIVISOR;
        for server in 0..self.servers.len() {
            let message_micros = self.servers[server].message_micros(self.now);
            if self.servers[server].up && message_micros > threshold {
                self.report_message_time(server, (message_micros / 1000.0).round());
            }
        }
    }

    fn report_message_time(&mut self, server: usize, millis: f64) {
        let mut reported = vec![false; self.balancers.len()];
        for client in self.servers[server].clients().collect::<Vec<_>>() {
            let ClientPhase::Connected { connection: request, .. } = self.client_states[client].phase else {
                continue;
            };
            let ConnectionRef { balancer, incarnation, connection } = request;
            if std::mem::replace(&mut reported[balancer], true) {
                continue;
            }
            if self.balancers[balancer].incarnation == incarnation {
                self.feed(balancer, Input::LoadReported { connection, value: millis });
            }
        }
    }

    /// Computes the totals of the day, and returns its result.
    pub(super) fn finish(mut self) -> DayResult {
        let arrived_clients = self.clients.iter().filter(|client| client.arrives_at < self.now).count();
        let migrated = self.client_states.iter().filter(|state| state.migrated).count();
        let Measurement { value, group_spread, .. } = self.measurement;
        self.result.served_value = value.served / value.requested.max(MIN_VALUE)
            - MIGRATION_COST * migrated as f64 / arrived_clients.max(1) as f64;
        let metrics =
            self.balancers.iter().filter_map(|balancer| balancer.state.rebalance_metrics(PoolId(0)));
        self.result.migrations_for_balance = metrics.map(|metrics| metrics.migrated).sum();
        if group_spread.groups > 0.0 {
            self.result.servers_per_group = group_spread.servers / group_spread.groups;
        }
        self.result.violations = self.invariants.violations;
        self.result
    }
}
