//! One balancer with what its messages need to be put in the decision module's terms.

use std::rc::Rc;

use connection_balancer::{
    Action, Balancer, ClassId, EndpointEntry, Event, RequestId, TenantId, Time, WatchFailure, ZoneId,
};
use rustc_hash::FxHashMap;

use crate::configuration::InstanceConfig;
use crate::message::{
    parse_load_report, EndpointSync, InstanceEvent, RequestArrival, RequestProgress, ZonedEntry,
};

/// The number of a zone or class that is not configured.
const UNKNOWN_NUMBER: u16 = u16::MAX;

/// A balancer, its configuration, and the numbers of its requests.
pub(crate) struct Instance {
    balancer: Balancer,
    config: InstanceConfig,
    request_ids: FxHashMap<Rc<str>, RequestId>,
    request_names: FxHashMap<RequestId, Rc<str>>,
    next_request: u64,
}

/// The number of a configured name.
fn number_of(names: &[String], name: &str) -> Option<u16> {
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

    /// The protocol's name of a request.
    pub(crate) fn request_name(&self, request: RequestId) -> &str {
        self.request_names.get(&request).map_or("", |name| name)
    }

    /// Notifies the balancer of an event and adds its actions; the request that the event concerns.
    pub(crate) fn handle_event(
        &mut self,
        now: Time,
        event: InstanceEvent<'_>,
        sets: &[Vec<ZonedEntry>],
        actions: &mut Vec<Action>,
    ) -> Option<RequestId> {
        match event {
            InstanceEvent::EndpointsSynced(sync) => {
                self.sync_endpoints(now, sync, sets, actions);
                None
            }
            InstanceEvent::RequestArrived(arrival) => Some(self.start_request(now, arrival, actions)),
            InstanceEvent::RequestProgressed { request, progress } => {
                self.advance_request(now, request, progress, actions)
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
        sets: &[Vec<ZonedEntry>],
        actions: &mut Vec<Action>,
    ) {
        match sync {
            EndpointSync::Failed => {
                // The simulator does not say why. The list has no lease here, as no confirmation is handed in, so the
                // kind does not matter.
                let failed = Event::EndpointWatchFailed(WatchFailure::Rejected);
                self.balancer.handle(now, failed, actions);
            }
            EndpointSync::Snapshot { set } => {
                let endpoints = self.resolve_zones(&sets[set]);
                self.balancer.handle(now, Event::EndpointsReplaced(&endpoints), actions);
            }
            EndpointSync::Changes { set } => {
                let endpoints = self.resolve_zones(&sets[set]);
                self.balancer.handle(now, Event::EndpointsChanged(&endpoints), actions);
            }
        }
    }

    fn resolve_zones(&self, set: &[ZonedEntry]) -> Vec<EndpointEntry> {
        let zone = |name: &str| ZoneId(number_of(&self.config.zones, name).unwrap_or(UNKNOWN_NUMBER));
        set.iter().map(|zoned| EndpointEntry { zone: zone(&zoned.zone), ..zoned.entry }).collect()
    }

    fn start_request(
        &mut self,
        now: Time,
        arrival: RequestArrival<'_>,
        actions: &mut Vec<Action>,
    ) -> RequestId {
        let class = ClassId(number_of(&self.config.classes, arrival.class).unwrap_or(UNKNOWN_NUMBER));
        let tenant = arrival.tenant.and_then(|name| number_of(&self.config.tenants, name)).map(TenantId);
        let request = self.add_request(arrival.request);
        let RequestArrival { group, load, .. } = arrival;
        let event = match arrival.server {
            Some(server) => Event::ConnectionRestored { request, class, tenant, group, load, server },
            None => {
                let deadline = arrival.deadline.unwrap_or(now);
                Event::RequestArrived { request, class, tenant, group, load, deadline }
            }
        };
        self.balancer.handle(now, event, actions);
        request
    }

    fn add_request(&mut self, name: &str) -> RequestId {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        let name: Rc<str> = name.into();
        self.request_ids.insert(name.clone(), id);
        self.request_names.insert(id, name);
        id
    }

    fn advance_request(
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

    /// Drops the name of a request that the balancer no longer tracks.
    pub(crate) fn forget_untracked(&mut self, request: RequestId) {
        if self.balancer.is_tracked(request) {
            return;
        }
        if let Some(name) = self.request_names.remove(&request) {
            self.request_ids.remove(&name);
        }
    }
}
