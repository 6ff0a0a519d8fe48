//! The decisions of one balancer. Its vocabulary (settings, events, actions) is in `src/types/`.
//!
//! The mechanism is that of "Insensitive Load Balancing" (Bonald, Jonckheere, Proutière, 2004): each server has a slot
//! ceiling y, and connections of this balancer occupy x slots there. A new connection goes to a random ready server, in
//! proportion to its free slots max(0, y - x). Where no ready server has any, it goes beyond the ceiling of a server
//! without recent faults; where there is none of those either, it is rejected at once. The ceilings are learned.
//!
//! Each rule is a type with private state in a module of its own, whose head tells what is decided, from which inputs, by
//! what rule, and why. [`Balancer`] holds these types; its handlers list the steps that follow from each event.
//!
//! | module | what it decides |
//! | --- | --- |
//! | [`admission_rate`] | how many new requests are admitted while set-ups are slow everywhere |
//! | [`concurrency_limit`] | how many slots may be occupied at a server |
//! | [`fault_window`] | how long a fault of a server counts as recent |
//! | [`outlier_detection`] | which servers are ejected, and until when |
//! | [`slow_start`] | when a server that warms up gets its next connection |
//! | [`selection`] | which of the servers that are ready gets a connection |
//! | [`retry_policy`] | where a request may be tried again, and what its client is told |
//! | [`endpoint_lease`] | for how long the endpoint list may be used |
//! | [`endpoint_watch`] | when discovery is called again |
//! | [`migration`] | how many connections leave an overloaded server |
//! | [`probes`] | when servers are asked for their load |
//!
//! The others keep state for these: [`endpoint_list`] the servers, [`request`] the requests, [`server`] the parts of one
//! server. `requests.rs` and `observations.rs` have the steps for requests and for what is observed of servers.
#![deny(missing_docs)]

pub mod admission_rate;
pub mod concurrency_limit;
pub mod endpoint_lease;
pub mod endpoint_list;
pub mod endpoint_watch;
pub mod fault_window;
pub mod migration;
mod observations;
pub mod outlier_detection;
pub mod probes;
pub mod request;
mod requests;
pub mod retry_policy;
pub mod selection;
pub mod server;
pub mod slow_start;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use self::admission_rate::AdmissionRate;
use self::endpoint_lease::EndpointLease;
use self::endpoint_list::ServerTable;
use self::endpoint_watch::EndpointWatch;
use self::fault_window::{FaultWindow, FleetOccupancy};
use self::probes::ProbeCredit;
use self::request::{Request, RequestTable};
use self::selection::{Candidate, Preferences};
use self::slow_start::SlowStartBudget;
use crate::bookkeeping::{ConnectionSizes, GroupStatistics};
use crate::types::{
    Action, Event, GroupHash, LearnedState, Occupancy, RequestId, ServerId, Settings, Time, WatchFailure,
};

/// Decides for one balancer. Same settings, seed and events: same actions.
pub struct Balancer {
    settings: Settings,
    rng: Pcg64Mcg,
    /// The time of the event being handled, and the actions that follow from it.
    now: Time,
    actions: Vec<Action>,
    /// The earliest timer that was asked for and has not yet fired.
    armed_timer: Option<Time>,
    servers: ServerTable,
    requests: RequestTable,
    admission_rate: AdmissionRate,
    endpoint_lease: EndpointLease,
    endpoint_watch: EndpointWatch,
    fault_window: FaultWindow,
    slow_start_budget: SlowStartBudget,
    probe_credit: ProbeCredit,
    connection_sizes: ConnectionSizes,
    /// Connections observed by group, here or in other balancers' samples.
    group_statistics: GroupStatistics,
}

impl Balancer {
    /// A balancer that knows its settings and nothing else.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Balancer {
        Balancer {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now,
            actions: Vec::new(),
            armed_timer: None,
            servers: ServerTable::default(),
            requests: RequestTable::default(),
            admission_rate: AdmissionRate::new(now),
            endpoint_lease: EndpointLease::default(),
            endpoint_watch: EndpointWatch::new(settings.poll_required.then_some(now)),
            fault_window: FaultWindow::new(settings.max_retry_after),
            slow_start_budget: SlowStartBudget::new(now),
            probe_credit: ProbeCredit::default(),
            connection_sizes: ConnectionSizes::new(settings.classes.len()),
            group_statistics: GroupStatistics::default(),
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
        self.answer_overdue_requests();
        self.watch_endpoints();
        self.arm_timer();
        std::mem::swap(&mut self.actions, actions);
    }

    fn apply_event(&mut self, event: Event<'_>) {
        match event {
            Event::EndpointsReplaced(entries) => {
                self.servers.replace(entries, self.now);
                self.on_endpoints_applied();
            }
            Event::EndpointsChanged(entries) => {
                self.servers.update(entries, self.now);
                self.on_endpoints_applied();
            }
            Event::EndpointListConfirmed => self.endpoint_lease.on_confirmed(self.now),
            Event::EndpointWatchSilent { since } => {
                self.endpoint_lease.on_watch_silent(since, self.settings.endpoints_pushed);
            }
            Event::EndpointWatchFailed(failure) => self.on_endpoint_watch_failed(failure),
            Event::RequestArrived { request, class, group, load, deadline, .. } => {
                let slots = self.connection_sizes.estimate(class, load);
                let deadline = retry_policy::answer_deadline(self.now, deadline);
                self.on_request_arrived(
                    request,
                    Request { class, group, slots, deadline, ..Request::default() },
                );
            }
            Event::ConnectionRestored { request, class, group, load, server, .. } => {
                let slots = self.connection_sizes.estimate(class, load);
                let restored = Request { class, group, slots, ..Request::default() };
                self.on_connection_restored(request, restored, server);
            }
            Event::ConnectionEstablished { request, attempt } => {
                self.on_established(request, attempt);
                self.send_probes();
            }
            Event::ConnectionMeasured { request, measurement } => {
                self.on_connection_measured(request, measurement);
            }
            Event::AttemptEnded { request, attempt, outcome, answered } => {
                self.on_attempt_ended(request, attempt, outcome, answered);
            }
            Event::ClientLeft { request } => self.requests.mark_answered(request),
            Event::PeerObservation { server, took } => self.on_peer_observation(server, took),
            Event::PeerSetupSlow => self.admission_rate.on_slow_setups(self.now, &self.settings),
            Event::PeerGroupSample(groups) => {
                groups.iter().for_each(|&group| self.group_statistics.record(group));
            }
            Event::TimerFired => {}
            Event::ProbeCompleted { server, report, .. } => self.on_load_report(server, report),
        }
    }

    /// The endpoint list was applied: servers without a concurrency limit get their first one.
    fn on_endpoints_applied(&mut self) {
        self.endpoint_watch.on_list_applied();
        let interval = self.slow_start_budget.pacing_interval(&self.settings);
        let mean_weight = self.servers.mean_weight();
        for server in self.servers.without_limit_mut() {
            server.slow_start.begin(&self.settings, self.now, interval, &mut self.rng);
            server.limit.set_initial(server.entry.valid_weight(), mean_weight);
        }
    }

    fn on_endpoint_watch_failed(&mut self, failure: WatchFailure) {
        self.endpoint_lease.on_watch_failed(failure, self.settings.endpoints_pushed);
        self.endpoint_watch.on_call_failed(self.now, &self.settings, &mut self.rng);
    }

    /// Selects a server for a request: updates the servers' limits and waits, collects the candidates, and draws one.
    fn select_server(&mut self, id: RequestId) -> Option<ServerId> {
        self.update_servers();
        let fleet = self.fleet_occupancy();
        let candidates = self.collect_candidates(id);
        self.slow_start_budget.record_occupancy(fleet);
        self.fault_window.adapt(self.settings.max_retry_after, fleet);
        let group = self.requests.get(id)?.group;
        let group_share = group.map_or(0.0, |group| self.group_statistics.share(group));
        let preferences = Preferences::new(group, group_share, fleet, &self.settings);
        preferences.select(&mut self.rng, &candidates).or_else(|| self.select_last_resort(id))
    }

    /// Lets ceilings recover, and shortens waits of slow start that were set when less was known.
    fn update_servers(&mut self) {
        let interval = self.slow_start_budget.pacing_interval(&self.settings);
        for server in self.servers.serving_mut() {
            let occupied = server.connections.occupied_slots();
            let is_connecting = server.connections.has_attempt_in_flight();
            server.limit.recover(self.now, self.fault_window, occupied, is_connecting);
            server.slow_start.tighten_pacing(self.now, interval);
        }
    }

    fn fleet_occupancy(&self) -> FleetOccupancy {
        let mut fleet = FleetOccupancy::default();
        for server in self.servers.serving() {
            fleet.servers += 1.0;
            fleet.occupied_slots += server.connections.occupied_slots();
        }
        fleet
    }

    /// The servers that are ready for a request: slow start does not hold them back, the retry policy allows the request
    /// to run there, and they are not ejected.
    fn collect_candidates(&mut self, id: RequestId) -> Vec<Candidate> {
        let now = self.now;
        let serving_count = self.servers.serving().count();
        let probability = self.slow_start_budget.admission_probability(now, serving_count, &self.settings);
        let Some(request) = self.requests.get(id) else { return Vec::new() };
        let idempotency = self.settings.idempotency(request.class);
        let mut candidates = Vec::with_capacity(self.servers.len());
        for server in self.servers.serving() {
            let warmth = server.slow_start.warmth(&self.settings, now);
            let is_ready = match probability.filter(|_| warmth < 1.0) {
                Some(probability) => self.rng.random_bool((probability * warmth).min(1.0)),
                None => server.slow_start.is_ready(now),
            };
            let is_connecting = server.connections.has_attempt_in_flight();
            if is_ready
                && request.retry.may_try(&server.entry, idempotency, now)
                && server.outlier.is_eligible(now, is_connecting)
            {
                let demand = request.demand();
                candidates.push(Candidate::new(server, demand, &self.settings, now, self.fault_window));
            }
        }
        candidates
    }

    fn select_last_resort(&self, id: RequestId) -> Option<ServerId> {
        let request = self.requests.get(id)?;
        let idempotency = self.settings.idempotency(request.class);
        selection::select_last_resort(self.servers.serving(), self.now, self.fault_window, |server| {
            request.retry.may_run_at(&server.entry, idempotency, self.now)
        })
    }

    fn watch_endpoints(&mut self) {
        if self.endpoint_watch.begin_call(self.now) {
            self.actions.push(Action::WatchEndpoints);
        }
    }

    /// Asks for a timer at the next deadline, unless an earlier one has been asked for.
    fn arm_timer(&mut self) {
        self.armed_timer = self.armed_timer.filter(|&at| at > self.now);
        let next = self.requests.next_deadline().into_iter().chain(self.endpoint_watch.next_call_at()).min();
        let Some(next) = next.filter(|&next| self.armed_timer.is_none_or(|armed| next < armed)) else {
            return;
        };
        self.armed_timer = Some(next);
        self.actions.push(Action::SetTimer(next.since(self.now)));
    }
}

/// What the host may ask and set.
impl Balancer {
    /// Whether anything may still come or go for a request; if not, the host can forget it.
    pub fn is_tracked(&self, request: RequestId) -> bool {
        self.requests.contains(request)
    }

    /// Slots occupied at a server and its ceiling: for gauges and tests.
    pub fn occupancy(&self, server: ServerId) -> Option<Occupancy> {
        self.servers.get(server).map(|server| Occupancy {
            occupied_slots: server.connections.occupied_slots(),
            ceiling: server.limit.ceiling(),
        })
    }

    /// Groups of the connections that are established here, for other balancers.
    pub fn established_groups(&self) -> impl Iterator<Item = GroupHash> + '_ {
        let established = self.servers.iter().flat_map(|server| server.connections.established());
        established.filter_map(|id| Some(self.requests.get(id)?.group?.short_hash()))
    }

    /// Until when the endpoint list may be used; none where it does not expire.
    pub fn endpoint_list_expires_at(&self) -> Option<Time> {
        self.endpoint_lease.expires_at()
    }

    /// Whether selection avoids a listed server now: it is ejected, or had a recent fault and has no free slot.
    pub fn is_avoided(&self, now: Time, server: ServerId) -> bool {
        let Some(server) = self.servers.get(server) else { return false };
        let is_full = server.connections.occupied_slots() >= server.limit.ceiling();
        let is_connecting = server.connections.has_attempt_in_flight();
        !server.outlier.is_eligible(now, is_connecting)
            || (is_full && !server.limit.is_stable(now, self.fault_window))
    }

    /// What was learned of a server, for a balancer that takes the place of this one.
    pub fn learned_state(&self, server: ServerId) -> Option<LearnedState> {
        self.servers.get(server).map(server::Server::learned_state)
    }

    /// Takes over what another balancer learned of a listed server.
    pub fn restore_learned_state(&mut self, server: ServerId, learned: LearnedState) {
        if let Some(server) = self.servers.get_mut(server) {
            server.restore_learned_state(&learned);
        }
    }

    /// Rebalancing raises a server's ceiling to `slots`, if it is lower.
    pub fn raise_ceiling(&mut self, server: ServerId, slots: f64) {
        if let Some(server) = self.servers.get_mut(server) {
            server.limit.raise_to(slots);
            server.slow_start.fix_wait();
        }
    }

    /// Rebalancing lowers a server's ceiling to what is occupied there.
    pub fn lower_ceiling_to_occupancy(&mut self, server: ServerId) {
        if let Some(server) = self.servers.get_mut(server) {
            server.limit.lower_to(server.connections.occupied_slots());
            server.slow_start.fix_wait();
        }
    }

    /// Rebalancing has migrated a connection away from a server. The slot that it frees may be the only free one, and
    /// would draw the same client again.
    pub fn on_migrated_for_balance(&mut self, now: Time, server: ServerId) {
        self.lower_ceiling_to_occupancy(server);
        if let Some(server) = self.servers.get_mut(server) {
            server.last_migration.record(now);
        }
    }
}
