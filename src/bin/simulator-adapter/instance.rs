//! An instance: one simulated balancer, and the mapping of the protocol's names to the decision module's
//! identifiers.

use std::rc::Rc;

use connection_balancer::{
    Action, Balancer, ClassId, EndpointEntry, Event, RequestId, TenantId, Time, WatchFailure, ZoneId,
};
use rustc_hash::FxHashMap;

use crate::configuration::InstanceConfig;
use crate::message::{
    parse_load_report, EndpointSync, InstanceEvent, RequestArrival, RequestProgress, UnresolvedEntry,
};

/// Index of a zone or class that is not configured.
const UNKNOWN_INDEX: u16 = u16::MAX;

/// A balancer, its configuration, and the identifiers of the requests that it tracks.
pub(crate) struct Instance {
    balancer: Balancer,
    config: InstanceConfig,
    request_ids: FxHashMap<Rc<str>, RequestId>,
    request_names: FxHashMap<RequestId, Rc<str>>,
    next_request: u64,
}

/// Returns the index of a configured name.
fn index_of(names: &[String], name: &str) -> Option<u16> {
    names.iter().position(|known| known == name).map(|index| index as u16)
}

impl Instance {
    pub(crate) fn start(now: Time, config: InstanceConfig, seed: u64) -> Instance {
        Instance {
            balancer: Balancer::new(config.settings.clone(), seed, now),
            config,
            request_ids: FxHashMap::default(),
            request_names: FxHashMap::default(),
            next_request: 0,
        }
    }

    /// Returns the name of a request in the protocol, or empty text for an unknown request.
    pub(crate) fn request_name(&self, request: RequestId) -> &str {
        self.request_names.get(&request).map_or("", |name| name)
    }

    /// Passes an event to the balancer and appends the balancer's actions to `actions`. Returns the request
    /// that the event concerns, if any.
    pub(crate) fn handle_event(
        &mut self,
        now: Time,
        event: InstanceEvent<'_>,
        sets: &[Vec<UnresolvedEntry>],
        actions: &mut Vec<Action>,
    ) -> Option<RequestId> {
        match event {
            InstanceEvent::EndpointsSynced(sync) => {
                self.sync_endpoints(now, sync, sets, actions);
                None
            }
            InstanceEvent::RequestArrived(arrival) => Some(self.start_request(now, arrival, actions)),
            InstanceEvent::RequestProgressed { request, progress } => {
                self.handle_progress(now, request, progress, actions)
            }
            InstanceEvent::TimerFired => {
                self.balancer.handle(now, Event::TimerFired, actions);
                None
            }
            InstanceEvent::ProbeCompleted { server, outcome, report } => {
                let report = parse_load_report(report, &self.config.utilisation_fields);
                self.balancer.handle(now, Event::ProbeCompleted { server, outcome, report }, actions);
                None
            }
        }
    }

    fn sync_endpoints(
        &mut self,
        now: Time,
        sync: EndpointSync,
        sets: &[Vec<UnresolvedEntry>],
        actions: &mut Vec<Action>,
    ) {
        match sync {
            EndpointSync::Failed => {
                // The simulator does not report the reason for the failure. The reason has no effect here: it
                // matters only for a list with a lease, and the adapter passes no confirmations, which would
                // start a lease.
                let failed = Event::EndpointWatchFailed { failure: WatchFailure::Rejected, called_at: now };
                self.balancer.handle(now, failed, actions);
            }
            EndpointSync::Snapshot { set } => {
                let endpoints = self.resolve_zones(&sets[set]);
                self.balancer.handle(now, Event::EndpointListReplaced(&endpoints), actions);
            }
            EndpointSync::Changes { set } => {
                let endpoints = self.resolve_zones(&sets[set]);
                self.balancer.handle(now, Event::EndpointListChanged(&endpoints), actions);
            }
        }
    }

    /// Resolves the zone names of an endpoint set.
    fn resolve_zones(&self, set: &[UnresolvedEntry]) -> Vec<EndpointEntry> {
        let zone = |name: &str| ZoneId(index_of(&self.config.zones, name).unwrap_or(UNKNOWN_INDEX));
        let resolve =
            |unresolved: &UnresolvedEntry| EndpointEntry { zone: zone(&unresolved.zone), ..unresolved.entry };
        set.iter().map(resolve).collect()
    }

    fn start_request(
        &mut self,
        now: Time,
        arrival: RequestArrival<'_>,
        actions: &mut Vec<Action>,
    ) -> RequestId {
        let class = ClassId(index_of(&self.config.classes, arrival.class).unwrap_or(UNKNOWN_INDEX));
        let tenant = arrival.tenant.and_then(|name| index_of(&self.config.tenants, name)).map(TenantId);
        let request = self.add_request(arrival.request);
        let RequestArrival { group, load, .. } = arrival;
        let event = match arrival.server {
            Some(server) => Event::EstablishedConnectionAdded { request, class, tenant, group, load, server },
            None => {
                let deadline = arrival.deadline.unwrap_or(now);
                Event::RequestArrived { request, class, tenant, group, load, deadline }
            }
        };
        self.balancer.handle(now, event, actions);
        request
    }

    /// Assigns the next identifier to a request.
    fn add_request(&mut self, name: &str) -> RequestId {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        let name: Rc<str> = name.into();
        self.request_ids.insert(name.clone(), id);
        self.request_names.insert(id, name);
        id
    }

    fn handle_progress(
        &mut self,
        now: Time,
        name: &str,
        progress: RequestProgress,
        actions: &mut Vec<Action>,
    ) -> Option<RequestId> {
        let request = *self.request_ids.get(name)?;
        let event = match progress {
            RequestProgress::Established { attempt } => Event::ConnectionEstablished { request, attempt },
            RequestProgress::Measured(measurement) => {
                Event::ConnectionMeasured { request, measurement: measurement? }
            }
            RequestProgress::AttemptEnded { attempt, outcome, answered } => {
                Event::AttemptEnded { request, attempt, outcome, answered }
            }
            RequestProgress::ClientLeft => Event::ClientLeft { request },
        };
        self.balancer.handle(now, event, actions);
        Some(request)
    }

    /// Removes the name and identifier of a request if the balancer no longer tracks it.
    pub(crate) fn remove_if_untracked(&mut self, request: RequestId) {
        if self.balancer.is_tracked(request) {
            return;
        }
        if let Some(name) = self.request_names.remove(&request) {
            self.request_ids.remove(&name);
        }
    }
}
