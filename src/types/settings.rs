//! What a balancer is configured with.

use super::{ClassId, Micros, ZoneId};

/// Which servers recognise and drop the repeat of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// Every server.
    All,
    /// Servers of the zone where the request may have run.
    Zone,
    /// Servers of the cell where the request may have run.
    Cell,
}

/// What a second attempt of a request could do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Nothing: retry at will.
    Idempotent,
    /// Nothing, where the servers of `scope` recognise the key of the repeat.
    IdempotencyKey {
        /// Which servers recognise it.
        scope: KeyScope,
        /// For how long, from when the attempt was sent that may have run.
        window: Micros,
    },
    /// Have its effect a second time: only what is known not to have run may be retried or rejected.
    NotIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// The value of a second of a well-served connection, relative to the other classes.
    pub priority_weight: f64,
    /// A connection that is set up within this time has its full value; 0 where unknown.
    pub setup_objective: Micros,
    /// A message on an established connection is in time within this; 0 where unknown.
    pub message_objective: Micros,
    /// What a second attempt could do.
    pub idempotency: Idempotency,
}

/// A tenant and its quotas.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Requests a second within its quota, over all balancers; 0 where unknown.
    pub quota_per_s: f64,
    /// Established connections within its quota, over all balancers; 0 where unknown.
    pub quota_connections: f64,
}

/// Everything a balancer is configured with. `Default` is a small, strict single-zone deployment.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The number of balancers of this deployment, this one included.
    pub balancers: u32,
    /// The zone of this balancer.
    pub zone: ZoneId,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The priority weight of a request beyond its tenant's quota, as a fraction of one within it.
    pub over_quota_weight: f64,
    /// Attempts allowed for one request; never are two of them in flight together.
    pub max_attempts: u32,
    /// Waiting for an attempt may be cancelled.
    pub cancel: bool,
    /// Rejected clients get a Retry-After.
    pub retry_after: bool,
    /// The longest Retry-After that clients honour.
    pub max_retry_after: Micros,
    /// A connection that is not opened within this time has failed.
    pub connect_timeout: Micros,
    /// The endpoint list must be polled or watched; otherwise changes come unasked.
    pub poll_required: bool,
    /// Without a watch, the endpoint list is polled at least this often.
    pub poll_interval: Micros,
    /// The endpoint list is pushed to an agent beside this balancer, and what the agent has counts as
    /// notified.
    pub endpoints_pushed: bool,
    /// Attempts to a server have to end within this time once its draining is notified.
    pub drain_grace: Micros,
    /// Probes are allowed.
    pub probes: bool,
    /// A probe's answer carries a load report.
    pub probe_reports: bool,
    /// The cost of one probe for each request, as a fraction of the value of all requests.
    pub probe_cost: f64,
    /// The cost if each request crossed zones once, as a fraction of the value of all requests.
    pub cross_zone_cost: f64,
    /// The cost if each client migrated once, as a fraction of the value of all requests.
    pub migration_cost: f64,
    /// The share of its capacity, from 0 to 1, that a server has at least when it starts.
    pub slow_start_share: f64,
    /// A server has all of its capacity this long after its start at the latest.
    pub slow_start_duration: Micros,
    /// A server in slow start fails if it gets more than this multiple of its present capacity for
    /// `slow_start_window`.
    pub slow_start_overload_factor: f64,
    /// See `slow_start_overload_factor`.
    pub slow_start_window: Micros,
}

impl Settings {
    /// The description of a class, if there is one.
    pub(crate) fn class(&self, class: ClassId) -> Option<&Class> {
        self.classes.get(usize::from(class.0))
    }

    /// What a second attempt of a class could do; the worst is assumed where the class was never described.
    pub(crate) fn idempotency(&self, class: ClassId) -> Idempotency {
        self.class(class).map_or(Idempotency::NotIdempotent, |class| class.idempotency)
    }

    /// The tightest set-up objective of all classes; 0 where none is known.
    pub(crate) fn setup_objective(&self) -> Micros {
        tightest(self.classes.iter().map(|class| class.setup_objective))
    }

    /// The tightest message objective of all classes; 0 where none is known.
    pub(crate) fn message_objective(&self) -> Micros {
        tightest(self.classes.iter().map(|class| class.message_objective))
    }

    /// The set-up objective over the time that a set-up took; 1 where no objective is known.
    pub(crate) fn setup_objective_ratio(&self, took: Micros) -> f64 {
        match self.setup_objective() {
            Micros::ZERO => 1.0,
            objective => objective.as_f64() / took.max(Micros(1)).as_f64(),
        }
    }

    /// How long one observation of slow set-ups counts: what was admitted before it is still being set up.
    pub(crate) fn slow_setup_hold(&self) -> Micros {
        2 * self.setup_objective()
    }

    /// The longest time for which a server is avoided after another balancer observed a fault of it: twice
    /// the longest wait of a client that was rejected because of it.
    pub(crate) fn peer_observation_hold(&self) -> Micros {
        2 * self.max_retry_after
    }
}

/// The smallest objective that is not 0; 0 if there is none.
fn tightest(objectives: impl Iterator<Item = Micros>) -> Micros {
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
            cancel: false,
            retry_after: false,
            max_retry_after: Micros::from_secs(1),
            connect_timeout: Micros::from_millis(250),
            poll_required: false,
            poll_interval: Micros::from_secs(10),
            endpoints_pushed: false,
            drain_grace: Micros::from_millis(250),
            probes: false,
            probe_reports: false,
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
