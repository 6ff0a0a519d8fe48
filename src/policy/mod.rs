//! The decisions of one balancer. The types of its settings, events and actions are in `src/types/`.
//!
//! The algorithm is that of "Insensitive Load Balancing" (Bonald, Jonckheere, Proutière, 2004). Each server
//! has a ceiling of y slots, and the connections of this balancer occupy x slots there. A new connection is
//! assigned to a server drawn at random among the candidates (`selection`), in proportion to its free slots
//! max(0, y - x). If no candidate has free slots, the connection exceeds the ceiling of a candidate without
//! recent faults. If there is no such candidate either, an ejected server may be tried as a last resort.
//! Otherwise the request is answered at once without a server. The ceilings are learned.
//!
//! Each rule is in a module of its own, and its state is private to the rule's type. The head of the module
//! says what is decided, from which inputs, by what rule, and why. [`Balancer`] owns the state of all rules,
//! and its handlers list the steps that follow from each event.
//!
//! | module | what it decides |
//! | --- | --- |
//! | [`admission_rate`] | which share of new requests is admitted while setups are slow at all servers |
//! | [`concurrency_limit`] | up to how many slots a server is filled |
//! | [`fault_window`] | how long a fault of a server counts as recent |
//! | [`outlier_detection`] | which servers are ejected, and until when |
//! | [`slow_start`] | when a server that is warming up may receive its next attempt |
//! | [`selection`] | which of the candidate servers receives a connection |
//! | [`retry_policy`] | where a request may be retried, and how its client is answered |
//! | [`endpoint_lease`] | for how long the endpoint list may be used |
//! | [`endpoint_watch`] | when discovery is called again |
//! | [`migration`] | how many connections are migrated away from an overloaded server |
//! | [`probes`] | when servers are probed for their load |
//!
//! The outcome of an attempt counts in up to three rules. A *failure* of the server counts in outlier
//! detection, which ejects the server. A *fault* of the server counts in the concurrency limit, which lowers
//! the server's ceiling. Both count by the outcome alone, including when the failure is correlated with the
//! failure of another server. A *slow* setup, or a *failed* setup that is *correlated* with the failure of
//! another server, cuts the admission rate. A failed setup that is not correlated only pauses its rise.
//!
//! | [`Outcome`](crate::Outcome) of an attempt | failure | fault | setup |
//! | --- | --- | --- | --- |
//! | `Rejected`: rejected | yes | yes | |
//! | `Error`: error | yes | | failed |
//! | `TimedOut`: no answer in time | yes | yes | failed |
//! | `ConnectFailed`: the request was not written in full | yes | | |
//! | `Reset`: connection broke before it was established | yes | | |
//! | `Reset`: connection dropped after it was established | yes | yes | |
//! | `Cancelled`: cancelled before its request was answered | yes | | |
//!
//! The other modules keep state for these rules: [`endpoint_list`] the servers, [`request`] the requests, and
//! [`server`] the parts of one server, including [`last_migration`] and [`load_reports`]. `requests.rs`,
//! `placement.rs` and `observations.rs` contain the steps that handle requests, choose a server and process
//! observations of servers. `host.rs` contains the queries and updates for the program that embeds the
//! balancer.
#![deny(missing_docs)]

pub mod admission_rate;
pub mod concurrency_limit;
pub mod endpoint_lease;
pub mod endpoint_list;
pub mod endpoint_watch;
pub mod fault_window;
mod host;
pub mod last_migration;
pub mod load_reports;
pub mod migration;
mod observations;
pub mod outlier_detection;
mod placement;
pub mod probes;
pub mod request;
mod requests;
pub mod retry_policy;
pub mod selection;
pub mod server;
pub mod slow_start;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use self::admission_rate::AdmissionRate;
use self::endpoint_lease::EndpointLease;
use self::endpoint_list::ServerTable;
use self::endpoint_watch::EndpointWatch;
use self::fault_window::FaultWindow;
use self::probes::ProbeCredit;
use self::request::{Request, RequestTable};
use self::slow_start::SlowStartBudget;
use crate::bookkeeping::{ConnectionSizes, GroupStatistics};
use crate::types::{Action, Event, Settings, Time, WatchFailure};

/// Decision state of one balancer. Equal settings, seeds and events produce equal actions.
pub struct Balancer {
    settings: Settings,
    rng: Pcg64Mcg,
    /// Time of the event that is being handled.
    now: Time,
    /// Actions that follow from the event that is being handled.
    actions: Vec<Action>,
    /// Time of the earliest requested timer that has not fired yet.
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
    /// Connections observed in each group, at this balancer and in samples from peers.
    group_statistics: GroupStatistics,
}

impl Balancer {
    /// Creates a balancer without an endpoint list, requests or learned state.
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

    /// Replaces the settings and keeps learned state and requests. Each class must keep its id.
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
            Event::EndpointListReplaced(entries) => {
                self.servers.replace(entries, self.now);
                self.on_endpoints_applied();
            }
            Event::EndpointListChanged(entries) => {
                self.servers.update(entries, self.now);
                self.on_endpoints_applied();
            }
            Event::EndpointListConfirmed => self.endpoint_lease.on_confirmed(self.now),
            Event::EndpointWatchStarted => self.endpoint_lease.on_watch_started(self.now),
            Event::DiscoveryAddressChanged => self.endpoint_lease.on_address_changed(self.now),
            Event::EndpointWatchSilent { called_at } => {
                self.endpoint_lease.on_watch_silent(self.now, called_at, self.settings.endpoints_pushed);
            }
            Event::EndpointWatchFailed { failure, called_at } => {
                self.on_endpoint_watch_failed(failure, called_at);
            }
            Event::RequestArrived { request, class, group, load, deadline, .. } => {
                let slots = self.connection_sizes.estimate(class, load);
                let deadline = retry_policy::answer_deadline(self.now, deadline);
                self.on_request_arrived(
                    request,
                    Request { class, group, slots, deadline, ..Request::default() },
                );
            }
            Event::EstablishedConnectionAdded { request, class, group, load, server, .. } => {
                let slots = self.connection_sizes.estimate(class, load);
                let established = Request { class, group, slots, ..Request::default() };
                self.on_established_connection_added(request, established, server);
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
            Event::PeerObservation { server, message_time } => self.on_peer_observation(server, message_time),
            Event::PeerObservedSlowSetups => self.admission_rate.on_slow_setups(self.now, &self.settings),
            Event::PeerGroupSample(groups) => {
                groups.iter().for_each(|&group| self.group_statistics.record(group));
            }
            Event::TimerFired => {}
            Event::ProbeCompleted { server, report, .. } => self.on_load_report(server, report),
        }
    }

    /// Gives each server with a ceiling of 0 the initial ceiling and the first wait of a slow start, after an
    /// endpoint list was applied. Such a server is new, or decreases have reduced its ceiling to 0.
    fn on_endpoints_applied(&mut self) {
        self.endpoint_watch.on_list_applied();
        let interval = self.slow_start_budget.pacing_interval(&self.settings);
        let mean_weight = self.servers.mean_weight();
        for server in self.servers.with_zero_ceiling_mut() {
            server.slow_start.begin(&self.settings, self.now, interval, &mut self.rng);
            server.limit.set_initial(server.entry.valid_weight(), mean_weight);
        }
    }

    fn on_endpoint_watch_failed(&mut self, failure: WatchFailure, called_at: Time) {
        let is_pushed = self.settings.endpoints_pushed;
        self.endpoint_lease.on_call_failed(self.now, failure, called_at, is_pushed);
        self.endpoint_watch.on_call_failed(self.now, &self.settings, &mut self.rng);
    }

    fn watch_endpoints(&mut self) {
        if self.endpoint_watch.begin_call(self.now) {
            self.actions.push(Action::WatchEndpoints);
        }
    }

    /// Requests a timer for the next deadline, unless an earlier timer is armed.
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
