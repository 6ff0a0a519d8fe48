//! Settings of a balancer.

use super::{ClassId, Micros, ZoneId};

/// Set of servers that recognise and drop the repeat of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All servers.
    All,
    /// Servers in the zone in which the request may have run.
    Zone,
    /// Servers in the cell in which the request may have run.
    Cell,
}

/// Effect that a second attempt of a request could have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A second attempt has no effect: the request may always be retried.
    Idempotent,
    /// A second attempt has no effect at a server of `scope`, which recognises the key of the repeat.
    IdempotencyKey {
        /// Servers that recognise the key.
        scope: KeyScope,
        /// Time for which servers recognise the key, from the sending of the attempt that may have run.
        window: Micros,
    },
    /// A second attempt may repeat the effect of the request. Such a request may be retried or rejected only
    /// if it is known not to have run.
    NotIdempotent,
}

/// Class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Value of one second of a well-served connection, relative to the other classes.
    pub priority_weight: f64,
    /// Time within which a connection must be set up to have its full value; 0 if unknown.
    pub setup_objective: Micros,
    /// Time within which a message on an established connection must be answered; 0 if unknown.
    pub message_objective: Micros,
    /// Effect that a second attempt could have.
    pub idempotency: Idempotency,
}

/// Quotas of a tenant. No decision uses them.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Quota of requests per second, over all balancers; 0 if unknown.
    pub quota_per_second: f64,
    /// Quota of established connections, over all balancers; 0 if unknown.
    pub quota_connections: f64,
}

/// All settings of a balancer. `Default` describes a deployment of one balancer in one zone, without
/// probes, cancellation or Retry-After.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of balancers in this balancer's tier, including this one.
    pub balancers: u32,
    /// Zone of this balancer.
    pub zone: ZoneId,
    /// Request classes, indexed by [`ClassId`].
    pub classes: Vec<Class>,
    /// Tenants, indexed by [`TenantId`](crate::TenantId). May be empty.
    pub tenants: Vec<Tenant>,
    /// Priority weight of a request beyond its tenant's quota, as a fraction of the weight of one within the
    /// quota. No decision uses it.
    pub over_quota_weight: f64,
    /// Largest number of attempts for one request. Two attempts are never in flight at the same time.
    pub max_attempts: u32,
    /// Whether the balancer may cancel an attempt that it waits for.
    pub cancellation_allowed: bool,
    /// Whether rejected clients get a Retry-After.
    pub retry_after_supported: bool,
    /// Longest Retry-After that clients honour.
    pub max_retry_after: Micros,
    /// Time after which an attempt counts as failed if its connection is not open or its request not written
    /// in full.
    pub connect_timeout: Micros,
    /// Whether the endpoint list must be polled or watched. Otherwise the host reports changes unasked.
    pub poll_required: bool,
    /// Longest time between two polls of the endpoint list without a watch.
    pub poll_interval: Micros,
    /// Whether the endpoint list is pushed to an agent on the balancer's machine. Changes that have reached
    /// the agent count as notified.
    pub endpoints_pushed: bool,
    /// Time within which attempts at a server must end once its draining has been notified.
    pub drain_grace: Micros,
    /// Whether the balancer may probe servers.
    pub probes_allowed: bool,
    /// Whether the answer of a probe contains a load report.
    pub probes_report_load: bool,
    /// Total cost if one probe were sent for each request, as a fraction of the value of all requests
    /// ([`Class::priority_weight`]).
    pub probe_cost: f64,
    /// Cost if each request crossed zones once, as a fraction of the value of all requests.
    pub cross_zone_cost: f64,
    /// Cost if each client migrated once, as a fraction of the value of all requests.
    pub migration_cost: f64,
    /// Smallest share of its capacity, from 0 to 1, that a server has at its start.
    pub slow_start_share: f64,
    /// Longest time from the start of a server until it has its full capacity.
    pub slow_start_duration: Micros,
    /// Multiple of its current capacity above which a load makes a server in slow start fail, if the load
    /// lasts for `slow_start_window`.
    pub slow_start_overload_factor: f64,
    /// Time for which a server in slow start tolerates a load above `slow_start_overload_factor`.
    pub slow_start_window: Micros,
}

impl Settings {
    /// Returns the description of a class, if there is one.
    pub(crate) fn class(&self, class: ClassId) -> Option<&Class> {
        self.classes.get(usize::from(class.0))
    }

    /// Returns the effect that a second attempt of a class could have. A class without a description is
    /// assumed not to be idempotent.
    pub(crate) fn idempotency(&self, class: ClassId) -> Idempotency {
        self.class(class).map_or(Idempotency::NotIdempotent, |class| class.idempotency)
    }

    /// Returns the tightest setup objective of all classes, or 0 if none is known.
    pub(crate) fn setup_objective(&self) -> Micros {
        tightest_objective(self.classes.iter().map(|class| class.setup_objective))
    }

    /// Returns the tightest message objective of all classes, or 0 if none is known.
    pub(crate) fn message_objective(&self) -> Micros {
        tightest_objective(self.classes.iter().map(|class| class.message_objective))
    }

    /// Returns the setup objective divided by `setup_time`, or 1 if no objective is known.
    pub(crate) fn setup_objective_ratio(&self, setup_time: Micros) -> f64 {
        match self.setup_objective() {
            Micros::ZERO => 1.0,
            objective => objective.as_f64() / setup_time.max(Micros(1)).as_f64(),
        }
    }

    /// Returns the time for which an observation of slow setups is valid. Connections that were admitted
    /// before the observation are still being set up during this time.
    pub(crate) fn slow_setup_validity(&self) -> Micros {
        2 * self.setup_objective()
    }

    /// Returns the longest delay after which another balancer's observation of a server counts as a fault.
    /// Gossip does not repeat an observation within this time. It is twice the longest Retry-After, by which
    /// clients that were rejected because of the fault reconnect.
    pub(crate) fn peer_observation_validity(&self) -> Micros {
        2 * self.max_retry_after
    }
}

/// Returns the smallest objective that is not 0, or 0 if there is none.
fn tightest_objective(objectives: impl Iterator<Item = Micros>) -> Micros {
    objectives.filter(|&objective| objective > Micros::ZERO).min().unwrap_or(Micros::ZERO)
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            balancers: 1,
            zone: ZoneId(0),
            classes: Vec::new(),
            tenants: Vec::new(),
            over_quota_weight: 1.0,
            max_attempts: 2,
            cancellation_allowed: false,
            retry_after_supported: false,
            max_retry_after: Micros::from_secs(1),
            connect_timeout: Micros::from_millis(250),
            poll_required: false,
            poll_interval: Micros::from_secs(10),
            endpoints_pushed: false,
            drain_grace: Micros::from_millis(250),
            probes_allowed: false,
            probes_report_load: false,
            probe_cost: 0.0,
            cross_zone_cost: 0.0,
            migration_cost: 0.0,
            slow_start_share: 0.3,
            slow_start_duration: Micros::from_secs(10),
            slow_start_overload_factor: 2.0,
            slow_start_window: Micros::from_secs(2),
        }
    }
}
