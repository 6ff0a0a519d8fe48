//! Keys and words of the platform's settings, beside the names that the code uses. Both the daemon's configuration and
//! the simulator's messages hold these settings. Times are in milliseconds.

/// Keys of the settings.
pub mod key {
    /// Names of all zones.
    pub const ZONES: &str = "zones";
    /// Name of the balancer's zone.
    pub const ZONE: &str = "zone";
    /// What is particular to this family of servers: see [`family_key`](super::family_key).
    pub const FAMILY_INFO: &str = "family-info";
    /// See [`limit_key`](super::limit_key).
    pub const LIMITS: &str = "limits";
    /// See [`charge_key`](super::charge_key).
    pub const CHARGES: &str = "charges";
    /// Priority classes: see [`class_key`](super::class_key).
    pub const CLASSES: &str = "classes";
    /// Tenants: see [`tenant_key`](super::tenant_key).
    pub const TENANTS: &str = "accounts";
    /// See [`rule_key`](super::rule_key).
    pub const RULES: &str = "invariants";
    /// Number of balancers that share the servers.
    pub const BALANCERS: &str = "balancers";
    /// Weight of requests over their tenant's quota, 0 to 1.
    pub const OVER_QUOTA_WEIGHT: &str = "over-share-worth";
    /// How the endpoint list is received: see [`DISCOVERY_PUSHED`](super::DISCOVERY_PUSHED).
    pub const DISCOVERY_MODE: &str = "discovery";
    /// Load reports: see [`reporting_key`](super::reporting_key).
    pub const REPORTING: &str = "reporting";
}

/// Keys of what is particular to this family of servers.
pub mod family_key {
    /// Whether servers report how long messages take.
    pub const REPORTS_MESSAGE_TIME: &str = "tells-delay";
    /// Whether servers report the load of connections.
    pub const REPORTS_LOAD: &str = "tells-load";
    /// Latency objective of a message for each class, in milliseconds.
    pub const MESSAGE_OBJECTIVES: &str = "message-aim";
    /// Established connections of each tenant within its quota.
    pub const TENANT_CONNECTION_QUOTAS: &str = "tenant-quota-connections";
    /// Present if the first field of load reports is the utilisation.
    pub const FIRST_REPORT_FIELD: &str = "report-x0";
}

/// Keys of a priority class.
pub mod class_key {
    /// Its name.
    pub const NAME: &str = "name";
    /// How long its clients wait, in milliseconds.
    pub const DEADLINE_MS: &str = "deadline";
    /// The value of one second of its service.
    pub const PRIORITY_WEIGHT: &str = "gain";
    /// Latency objective of a connection setup, in milliseconds.
    pub const SETUP_OBJECTIVE_MS: &str = "objective";
    /// Whether its requests may be repeated: see [`IDEMPOTENT`](super::IDEMPOTENT).
    pub const IDEMPOTENCY: &str = "repeat";
    /// Servers that recognise an idempotency key: see [`SCOPE_ALL`](super::SCOPE_ALL).
    pub const KEY_SCOPE: &str = "group";
    /// How long servers recognise an idempotency key, in milliseconds.
    pub const DEDUPLICATION_WINDOW_MS: &str = "window";
}

/// Keys of a tenant.
pub mod tenant_key {
    /// Its name.
    pub const NAME: &str = "name";
    /// Requests a second within its quota.
    pub const QUOTA_PER_SECOND: &str = "quota-per-s";
}

/// Keys of the limits.
pub mod limit_key {
    /// The most attempts of a request.
    pub const MAX_ATTEMPTS: &str = "try-limit";
    /// Whether an attempt may be cancelled.
    pub const CANCEL: &str = "cancel";
    /// Whether rejected clients get a Retry-After.
    pub const RETRY_AFTER: &str = "retry-after";
    /// The longest Retry-After that clients honour, in milliseconds.
    pub const MAX_RETRY_AFTER_MS: &str = "max-retry-after";
    /// Timeout of a connection to a server, in milliseconds.
    pub const CONNECT_TIMEOUT_MS: &str = "connect-timeout";
    /// Whether servers may be probed.
    pub const PROBES: &str = "probing";
    /// Whether balancers may gossip with each other.
    pub const PEERS: &str = "peers";
}

/// Keys of the charges, as shares of all delivered value.
pub mod charge_key {
    /// If each request were probed for once.
    pub const PROBE: &str = "probe";
    /// If each request crossed zones once.
    pub const CROSS_ZONE: &str = "cross-zone";
    /// If each client migrated once.
    pub const MIGRATION: &str = "moves";
    /// For gossip.
    pub const GOSSIP: &str = "peer";
}

/// Keys of the rules that servers and balancers keep.
pub mod rule_key {
    /// Longest time between polls of the endpoint list, in milliseconds.
    pub const POLL_INTERVAL_MS: &str = "must-ask-in";
    /// Time within which attempts to a server have to end once its draining is notified, in milliseconds.
    pub const DRAIN_GRACE_MS: &str = "drain-grace";
    /// Share of its capacity that a server has when it starts.
    pub const SLOW_START_SHARE: &str = "cold-share";
    /// Time after which a started server has all of its capacity, in milliseconds.
    pub const SLOW_START_DURATION_MS: &str = "warm-up";
    /// Load at which a server in slow start fails, as a multiple of its present capacity.
    pub const SLOW_START_OVERLOAD_FACTOR: &str = "tip-multiple";
    /// Time for which it has to get such a load to fail, in milliseconds.
    pub const SLOW_START_WINDOW_MS: &str = "overload-for";
}

/// Keys of load reports.
pub mod reporting_key {
    /// Names of the reported fields.
    pub const FIELDS: &str = "fields";
    /// How reports are received: see [`REPORTING_OFF`](super::REPORTING_OFF).
    pub const MODE: &str = "how";
}

/// Discovery pushes the endpoint list.
pub const DISCOVERY_PUSHED: &str = "pushed";
/// The endpoint list has to be polled.
pub const DISCOVERY_POLLED: &str = "on_request";

/// Requests may be repeated at any server.
pub const IDEMPOTENT: &str = "repeatable";
/// Requests may be repeated where their idempotency key is recognised.
pub const IDEMPOTENT_BY_KEY: &str = "by_key";
/// Requests may not be repeated.
pub const NOT_IDEMPOTENT: &str = "once";
/// All servers recognise a key.
pub const SCOPE_ALL: &str = "all";
/// Servers of one zone recognise a key.
pub const SCOPE_ZONE: &str = "zone";
/// Servers of one cell recognise a key.
pub const SCOPE_CELL: &str = "cell";

/// There are no load reports.
pub const REPORTING_OFF: &str = "off";
/// Name of the first field of a load report.
pub const FIRST_FIELD: &str = "x0";
/// Field of a load report with the utilisation.
pub const UTILISATION: &str = "utilization";
/// The short form of [`UTILISATION`], which answers on sockets also use.
pub const UTILISATION_SHORT: &str = "util";
