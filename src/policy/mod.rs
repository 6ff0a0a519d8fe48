//! The decisions of one balancer. Its vocabulary (settings, events, actions) is in `src/types/`.
//!
//! The mechanism is that of "Insensitive Load Balancing" (Bonald, Jonckheere, Proutière, 2004): each server
//! has a slot ceiling y, and x slots there are held by connections of this balancer. A new connection goes to
//! a random ready server, in proportion to its free slots max(0, y - x). Where no ready server has any, it
//! goes one over the ceiling of one without recent faults; where there is none of those either, it is
//! rejected at once. Ceilings are learned: a few slots at first, one more when a connection that filled the
//! last slot is accepted, cut when the server rejects, drops, or reports that it nears its capacity, and
//! raised to what has long been held without faults. Departures from the paper are marked DEPARTURE.
#![deny(missing_docs)]

mod admission;
mod ceilings;
mod endpoint_list;
mod endpoint_watch;
mod migration;
mod outlier_detection;
mod probes;
mod requests;
mod selection;
mod slow_start;

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;

use self::{admission::AdmissionRate, endpoint_watch::EndpointWatch, selection::Totals};
use crate::bookkeeping::{draw_weighted, exponential_for, jittered, jittered_backoff, server_of};
use crate::bookkeeping::{AnswerDeadline, Attempt, ConnectionSizes, GroupStatistics, Request, Server};
use crate::types::*;

/// A request is answered when this part of its time is left: the answer has to reach the client.
const ANSWER_TIME_DIVISOR: u64 = 64;

/// Decides for one balancer. Same settings, seed and events: same actions.
pub struct Balancer {
    settings: Settings,
    rng: Pcg64Mcg,
    /// The time of the event being handled, and the actions that follow from it.
    now: Time,
    actions: Vec<Action>,
    servers: BTreeMap<ServerId, Server>,
    /// The number of the newest server process.
    last_incarnation: u64,
    requests: FxHashMap<RequestId, Request>,
    /// Requests that have no answer yet.
    deadlines: BTreeSet<AnswerDeadline>,
    /// The earliest timer that was asked for and is not yet due.
    armed_timer: Option<Time>,
    endpoint_watch: EndpointWatch,
    /// Probes that established connections have paid for.
    probe_credit: f64,
    /// How long a fault counts as recent: as long as rejected clients stay away, more where little is held.
    fault_window: Micros,
    /// This balancer's part of the connections that fill a server, by load reports; 0 without reports.
    connections_at_capacity: f64,
    /// The most slots ever held in all, and the most servers that ever served at a time.
    peaks: Totals,
    last_selection: Time,
    /// DEPARTURE: the paper's customers are alike. Here a slot is the load of a mean connection, and a
    /// connection takes as many as its own load, or else its class, is known to ask for.
    connection_sizes: ConnectionSizes,
    /// Connections observed by group, here or in other balancers' samples.
    group_statistics: GroupStatistics,
    admission: AdmissionRate,
}

impl Balancer {
    /// A balancer that knows its settings and nothing else.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Balancer {
        Balancer {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now,
            actions: Vec::new(),
            servers: BTreeMap::new(),
            last_incarnation: 0,
            requests: FxHashMap::default(),
            deadlines: BTreeSet::new(),
            armed_timer: None,
            endpoint_watch: EndpointWatch::opening_at(settings.poll_required.then_some(now)),
            probe_credit: 0.0,
            fault_window: settings.max_retry_after,
            connections_at_capacity: 0.0,
            peaks: Totals::default(),
            last_selection: now,
            connection_sizes: ConnectionSizes::new(settings.classes.len()),
            group_statistics: GroupStatistics::default(),
            admission: AdmissionRate::new(now),
            settings,
        }
    }

    /// Replaces the settings; learned state and requests stay. Classes must keep their numbers.
    pub fn configure(&mut self, settings: Settings) {
        self.connection_sizes.resize(settings.classes.len());
        self.settings = settings;
    }

    /// Applies one event and appends the actions that follow from it.
    pub fn handle(&mut self, now: Time, event: Event<'_>, actions: &mut Vec<Action>) {
        self.now = now;
        std::mem::swap(&mut self.actions, actions);
        self.apply_event(event);
        self.run_timers();
        std::mem::swap(&mut self.actions, actions);
    }

    fn apply_event(&mut self, event: Event<'_>) {
        match event {
            Event::EndpointsReplaced(entries) => self.replace_endpoints(entries),
            Event::EndpointsChanged(entries) => self.apply_endpoint_update(entries),
            Event::EndpointListConfirmed => self.on_endpoint_list_confirmed(),
            Event::EndpointWatchSilent { since } => self.on_endpoint_watch_silent(since),
            Event::EndpointWatchFailed(failure) => self.on_endpoint_watch_failed(failure),
            Event::RequestArrived { request, class, group, load, deadline, .. } => {
                let slots = self.connection_sizes.estimate(class, load);
                let due = deadline.minus(deadline.since(self.now) / ANSWER_TIME_DIVISOR);
                self.admit_request(request, Request { class, group, slots, due, ..Request::default() });
            }
            Event::ConnectionRestored { request, class, group, load, server, .. } => {
                let slots = self.connection_sizes.estimate(class, load);
                let restored = Request { class, group, slots, ..Request::default() };
                self.restore_connection(request, restored, server);
            }
            Event::ConnectionEstablished { request, attempt } => {
                self.on_established(request, attempt);
                self.spend_probe_credit();
            }
            Event::ConnectionMeasured { request, measurement } => {
                self.apply_measurement(request, measurement);
            }
            Event::AttemptEnded { request, attempt, outcome, answered } => {
                self.on_attempt_ended(request, attempt, outcome, answered);
            }
            Event::ClientLeft { request } => self.mark_answered(request),
            Event::PeerObservation { server, took } => self.apply_peer_observation(server, took),
            Event::PeerSetupSlow => self.admission.decrease(self.now, Micros::ZERO, &self.settings),
            Event::PeerGroupSample(groups) => groups.iter().for_each(|&g| self.group_statistics.record(g)),
            Event::TimerFired => {}
            Event::ProbeCompleted { server, report, .. } => self.apply_load_report(server, report),
        }
    }

    /// Whether anything may still come or go for a request; if not, the host can forget it.
    pub fn is_tracked(&self, request: RequestId) -> bool {
        self.requests.contains_key(&request)
    }

    /// Slots held at a server and its ceiling: for gauges and tests.
    pub fn occupancy(&self, server: ServerId) -> Option<Occupancy> {
        self.servers
            .get(&server)
            .map(|s| Occupancy { occupied_slots: s.held.slots, ceiling: s.learned.ceiling })
    }

    /// Groups of the connections that are established here, for other balancers.
    pub fn established_groups(&self) -> impl Iterator<Item = GroupHash> + '_ {
        let established = self.servers.values().flat_map(|s| &s.held.established);
        established.filter_map(|id| Some(self.requests.get(id)?.group?.short_hash()))
    }

    /// What was learned of a server, for a balancer that takes the place of this one.
    pub fn learned_state(&self, server: ServerId) -> Option<LearnedState> {
        self.servers.get(&server).map(|s| s.learned)
    }

    /// Takes over what another balancer learned of a listed server.
    pub fn restore_learned_state(&mut self, server: ServerId, learned: LearnedState) {
        self.servers.entry(server).and_modify(|s| (s.learned, s.slow_start_interval) = (learned, 0.0));
    }

    /// Whether selection avoids a listed server now: it failed, or had recent faults and has no free slot.
    pub fn is_avoided(&self, now: Time, server: ServerId) -> bool {
        let Some(server) = self.servers.get(&server) else { return false };
        let is_full = server.held.slots >= server.learned.ceiling;
        !server.is_healthy(now) || (is_full && !server.is_stable(now, self.fault_window))
    }

    fn run_timers(&mut self) {
        let now = self.now;
        while let Some(&AnswerDeadline { request, .. }) = self.deadlines.first().filter(|d| d.due <= now) {
            if let Some(silent) = self.requests.get(&request).and_then(|r| r.attempt) {
                self.record_failure(silent.endpoint.server, silent.sent_at);
            }
            self.send_final_answer(request, RefusalReason::OutOfTime);
        }
        if self.endpoint_watch.due.is_some_and(|at| at <= now) {
            self.endpoint_watch.due = None;
            self.actions.push(Action::WatchEndpoints);
        }
        self.armed_timer = self.armed_timer.filter(|&at| at > now);
        let next_answer = self.deadlines.first().map(|deadline| deadline.due);
        let next = next_answer.into_iter().chain(self.endpoint_watch.due).min();
        if let Some(next) = next.filter(|&next| self.armed_timer.is_none_or(|armed| next < armed)) {
            self.armed_timer = Some(next);
            self.actions.push(Action::SetTimer(next.since(now)));
        }
    }

    fn serving(&self) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(|s| s.is_serving())
    }
}
