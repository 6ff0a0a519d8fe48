//! The vocabulary between a balancer and the program that hosts it.
//!
//! Time is the host's clock in whole microseconds. Zones, cells, classes and tenants are plain
//! indices: the module learns nothing from their names.

/// A moment on the host's clock, in microseconds from an arbitrary origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

/// A length of time in microseconds.
pub type Micros = u64;

impl Time {
    /// The moment `span` later.
    pub fn plus(self, span: Micros) -> Time {
        Time(self.0.saturating_add(span))
    }
    /// Microseconds from `earlier` to this moment, 0 if it lies ahead.
    pub fn since(self, earlier: Time) -> Micros {
        self.0.saturating_sub(earlier.0)
    }
}

/// A request for one connection, as numbered by the host. Never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);
/// One connection: a connection of the client, from its accept to its end. Never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);
/// A server; the same number at every balancer and across its restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);
/// Index into [`Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassId(pub u16);
/// Index into [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantId(pub u16);
/// A zone: servers and balancers of one zone reach each other without crossing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneId(pub u16);
/// A set of servers that share which keys they have seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CellId(pub u32);
/// Connections of one group share work: a server that holds any of them pays for the group once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct GroupId(pub u64);

/// Stands for a group where few bytes have to do. Two groups may have the same, one pair in 65,536.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GroupHash(pub u16);

impl GroupId {
    /// Its mark. It goes between balancers of different versions, so it is written out here: a library's hash may
    /// change with the library. Ids that follow one another have marks far apart (Knuth's multiplicative hash).
    pub fn short_hash(self) -> GroupHash {
        GroupHash((self.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 48) as u16)
    }
}

/// Which servers recognise and drop the repeat of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// Every server.
    All,
    /// Those of the zone where it may have run.
    Zone,
    /// Those of the cell where it may have run.
    Cell,
}

/// What a second attempt of a request could do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Nothing: repeat at will.
    Idempotent,
    /// Servers of `scope` drop a idempotency for `window` after the attempt that may have run was sent.
    IdempotencyKey {
        /// Who remembers.
        scope: KeyScope,
        /// For how long.
        window: Micros,
    },
    /// An effect a second time: repeat or refuse only what is known not to have run.
    NotIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// What a well-served second is worth.
    pub priority_weight: f64,
    /// A connection set up within this time counts in full.
    pub setup_objective: Micros,
    /// A message on an open connection is wanted within this time; 0 where unknown.
    pub message_objective: Micros,
    /// What repeating does.
    pub idempotency: Idempotency,
}

/// A tenant and its share of the service.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Requests a second within its share, over all balancers; 0 where unknown.
    pub quota_per_s: f64,
    /// Open connections within its share, over all balancers; 0 where unknown.
    pub quota_connections: f64,
}

/// Discovery bears so many calls in the time within which each balancer may ask, at first guess.
const LIST_CALLS: u64 = 800;

/// Everything a balancer is told at its start. `Default` is a small, strict single-zone deployment.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Balancers of this deployment, this one included.
    pub balancers: u32,
    /// Zone of this balancer.
    pub zone: ZoneId,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// What a request beyond its tenant's share is worth, as a fraction.
    pub over_quota_weight: f64,
    /// Attempts allowed for one request; never are two of them out together.
    pub max_attempts: u32,
    /// The wait on an attempt may be cancelled.
    pub cancel: bool,
    /// Clients are told how long to stay away.
    pub retry_after: bool,
    /// The longest wait that clients honour.
    pub max_retry_after: Micros,
    /// A connection not established in this time has failed.
    pub connect_timeout: Micros,
    /// The server list must be asked for; otherwise changes come unasked.
    pub poll_required: bool,
    /// Without a subscription, ask at least this often.
    pub poll_interval: Micros,
    /// It is pushed to an agent beside this balancer, and what that has counts as told.
    pub endpoints_pushed: bool,
    /// Sends to a server that is told to be leaving have to end within this time.
    pub drain_grace: Micros,
    /// Probes are allowed.
    pub probes: bool,
    /// A probe's answer carries a load report.
    pub probe_reports: bool,
    /// Price of one probe a request, as a fraction of all worth.
    pub probe_cost: f64,
    /// Price of each request crossing zones once.
    pub cross_zone_cost: f64,
    /// Price of each client moved once.
    pub migration_cost: f64,
    /// A server starts with at least this share of its capacity...
    pub slow_start_share: f64,
    /// ...and is warm after this time at the latest.
    pub slow_start_duration: Micros,
    /// A cold server sent more than this multiple of its present capacity...
    pub slow_start_overload_factor: f64,
    /// ...for this long falls over.
    pub slow_start_window: Micros,
}

/// Waits after failed calls for the endpoint list, in microseconds.
pub(crate) struct Backoff {
    /// The wait after the first failure.
    pub(crate) initial: Micros,
    /// The longest wait.
    pub(crate) max: Micros,
}

impl Settings {
    /// After a call for the list that failed: the first wait before the next, and the most. Danger: what an agent on
    /// the balancer's own machine has counts as told, whether or not a watch is open; it has to be had within the
    /// grace. One discovery for all serves calls in turn, and such as come too soon keep each other waiting.
    pub(crate) fn endpoint_watch_backoff(&self) -> Backoff {
        if self.endpoints_pushed {
            return Backoff { initial: self.drain_grace / 8, max: self.drain_grace / 4 };
        }
        let max = self.poll_interval;
        let initial = max.saturating_mul(self.balancers.into()) / LIST_CALLS;
        Backoff { initial: initial.clamp(max / 64, max / 4), max }
    }

    /// What repeating a request of this class does: the worst where the class was never described.
    pub(crate) fn idempotency(&self, class: ClassId) -> Idempotency {
        self.class(class).map_or(Idempotency::NotIdempotent, |class| class.idempotency)
    }

    /// The description of a class, if there is one.
    pub(crate) fn class(&self, class: ClassId) -> Option<&Class> {
        self.classes.get(usize::from(class.0))
    }

    /// The tightest set-up objective of all classes; 0 where none is known.
    pub(crate) fn setup_objective(&self) -> Micros {
        self.classes.iter().map(|c| c.setup_objective).filter(|&aim| aim > 0).min().unwrap_or(0)
    }

    /// The set-up objective over the time that a set-up took; 1 where no objective is known.
    pub(crate) fn setup_objective_ratio(&self, took: Micros) -> f64 {
        match self.setup_objective() {
            0 => 1.0,
            aim => aim as f64 / took.max(1) as f64,
        }
    }

    /// For so long one word of slow set-ups is enough: what was let in before it is still being set up.
    pub(crate) fn slow_setup_hold(&self) -> Micros {
        2 * self.setup_objective()
    }

    /// The tightest message objective of all classes; 0 where none is known.
    pub(crate) fn message_objective(&self) -> Micros {
        self.classes.iter().map(|c| c.message_objective).filter(|&aim| aim > 0).min().unwrap_or(0)
    }

    /// For about so long a server is avoided that another balancer tells of: twice the time in which the clients
    /// that were refused for it come again.
    pub(crate) fn peer_observation_hold(&self) -> Micros {
        2 * self.max_retry_after
    }
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
            max_retry_after: 1_000_000,
            connect_timeout: 250_000,
            poll_required: false,
            poll_interval: 10_000_000,
            endpoints_pushed: false,
            drain_grace: 250_000,
            probes: false,
            probe_reports: false,
            probe_cost: 0.0,
            cross_zone_cost: 0.0,
            migration_cost: 0.0,
            slow_start_share: 0.3,
            slow_start_duration: 10_000_000,
            slow_start_overload_factor: 2.0,
            slow_start_window: 2_000_000,
        }
    }
}

/// What the list says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Its process runs.
    Serving,
    /// It wraps up: nothing new may go there.
    Draining,
    /// It is gone.
    #[default]
    Gone,
}

/// Weights from here on count as unknown: a sum of such weights would be infinite.
const MAX_WEIGHT: f64 = 1e9;

/// One entry of the server list.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointEntry {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// What the list says of it.
    pub state: EndpointState,
    /// Its latest start, if not long ago.
    pub started: Option<Time>,
    /// Its size against the other servers'; anything not above 0, or of 1e9 and more, counts as unknown.
    pub weight: f64,
}

impl EndpointEntry {
    /// The weight; 1 where the list carries none or an invalid one.
    pub(crate) fn valid_weight(&self) -> f64 {
        Some(self.weight).filter(|weight| *weight > 0.0 && *weight < MAX_WEIGHT).unwrap_or(1.0)
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served; for a connection: it ended in order.
    Ok,
    /// The server answered with an error; it may have run.
    Error,
    /// Rejected unseen.
    Rejected,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection could be opened.
    ConnectFailed,
    /// Broken while out: dropped by the server, or the server is lost; it may have run.
    Reset,
    /// Cancelled; for an open connection: the client left. It may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// What an open connection tells about itself or its server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Measurement {
    /// The connection's load now, in microseconds of work a second.
    Load(f64),
    /// How long a message takes at its server now.
    MessageTime(Micros),
}

/// What a server says of its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Load asked of it over what it can do.
    pub utilisation: f64,
    /// Connections it holds, where told.
    pub connections: Option<f64>,
}

impl LoadReport {
    /// Itself, if it makes sense; without its connections where only those make none.
    pub(crate) fn validated(self) -> Option<LoadReport> {
        let sound = |figure: &f64| figure.is_finite() && *figure >= 0.0;
        let connections = self.connections.filter(sound);
        sound(&self.utilisation).then_some(LoadReport { connections, ..self })
    }
}

/// What a balancer has learned of a server, apart from what it holds there.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// y: the ceiling.
    pub ceiling: f64,
    /// When it last refused, dropped or was slow.
    pub last_fault: Option<Time>,
    /// Failures in a row; while there are any it gets single trials.
    pub consecutive_failures: u32,
    /// When it last failed.
    pub last_failure: Option<Time>,
    /// With failures: no trial before this.
    pub ejected_until: Time,
    /// While cold: no send before this.
    pub next_slow_start_send: Time,
    /// When a connection was last asked to leave it.
    pub last_migration: Option<Time>,
}

/// What happened, as told by the host. Events come in the order in which they happened.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// The whole list, at the start perhaps a stale one; a server missing from it is gone.
    EndpointsReplaced(&'a [EndpointEntry]),
    /// Changed entries of the list.
    EndpointsChanged(&'a [EndpointEntry]),
    /// The list could not be had, or a subscription broke off. The old list remains.
    EndpointWatchFailed,
    /// A client asks for a connection: exactly one final answer is owed from now on.
    RequestArrived {
        /// The request.
        request: RequestId,
        /// Its class.
        class: ClassId,
        /// Its tenant, if any.
        tenant: Option<TenantId>,
        /// Its group, if any.
        group: Option<GroupId>,
        /// Its usual load, in work a second, where told.
        load: Option<f64>,
        /// When the client gives up.
        deadline: Time,
    },
    /// A connection that was open at the start; its attempt 0 counts as sent.
    ConnectionRestored {
        /// The request it came from.
        request: RequestId,
        /// Its class.
        class: ClassId,
        /// Its tenant, if any.
        tenant: Option<TenantId>,
        /// Its group, if any.
        group: Option<GroupId>,
        /// Its usual load, where told.
        load: Option<f64>,
        /// The server that holds it.
        server: ServerId,
    },
    /// The connection of this attempt stands: that answers the request.
    ConnectionEstablished {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// A word on a connection that stands.
    ConnectionMeasured {
        /// The request.
        request: RequestId,
        /// What it tells.
        measurement: Measurement,
    },
    /// An attempt ended; exactly one such event comes for each attempt.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// How.
        outcome: Outcome,
        /// The request has had its final answer, with this event or earlier.
        answered: bool,
    },
    /// The client left: no answer is owed any more.
    ClientLeft {
        /// The request.
        request: RequestId,
    },
    /// Another balancer's word of trouble at a server.
    PeerObservation {
        /// The server.
        server: ServerId,
        /// How long a message takes there; none where it dropped a connection.
        took: Option<Micros>,
    },
    /// Another balancer found that connections take long to set up for what all servers share.
    PeerSetupSlow,
    /// Groups of some connections that stand at another balancer, drawn at random.
    PeerGroupSample(&'a [Option<GroupHash>]),
    /// A wake-up that was asked for is due.
    TimerFired,
    /// A probe came back.
    ProbeCompleted {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Its load report, if one came along.
        report: Option<LoadReport>,
    },
}

/// What the host is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a server. Attempts of a request are numbered from 0 in the order sent.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// Where to.
        server: ServerId,
        /// Report [`Outcome::TimedOut`] after this time.
        timeout: Micros,
        /// Report [`Outcome::NotSent`] if it could not be written in full within this time: one that went before
        /// may have run, and from then on the server would not know it for a repeat.
        within: Option<Micros>,
    },
    /// Final answer: refused; trying again is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should stay away; 0 for no advice.
        retry_after: Micros,
    },
    /// Final answer: failed; promises nothing.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Ask a client politely to reconnect.
    Migrate {
        /// Its request.
        request: RequestId,
    },
    /// Probe a server.
    ProbeServer {
        /// The server.
        server: ServerId,
    },
    /// Connections take long to set up for what all servers share: the other balancers may be told.
    ReportSlowSetup,
    /// A server dropped a connection that stood: the other balancers may be told.
    ReportDrop {
        /// The server.
        server: ServerId,
    },
    /// Subscribe to changes of the list; what was missed comes first.
    WatchEndpoints,
    /// Hand in [`Event::TimerFired`] after this time.
    SetTimer(Micros),
}
