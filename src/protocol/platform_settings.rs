//! Keys and values of the platform's settings, under the names that the code uses for them. Both the daemon's
//! configuration and the simulator's messages contain these settings. Times are in milliseconds.

/// Keys of the settings.
pub mod key {
    /// Names of all zones.
    pub const ZONES: &str = "zones";
    /// Name of the balancer's zone.
    pub const ZONE: &str = "zone";
    /// Properties of this family of servers: see [`family_key`](super::family_key).
    pub const FAMILY_INFO: &str = "family-info";
    /// Limits and permissions of the balancer: see [`limit_key`](super::limit_key).
    pub const LIMITS: &str = "limits";
    /// Charges for probes, cross-zone requests, migrations and gossip: see [`charge_key`](super::charge_key).
    pub const CHARGES: &str = "charges";
    /// Priority classes: see [`class_key`](super::class_key).
    pub const CLASSES: &str = "classes";
    /// Tenants: see [`tenant_key`](super::tenant_key).
    pub const TENANTS: &str = "accounts";
    /// Rules that servers and balancers keep: see [`rule_key`](super::rule_key).
    pub const RULES: &str = "invariants";
    /// Number of balancers that share the servers.
    pub const BALANCERS: &str = "balancers";
    /// Weight of requests that exceed their tenant's quota, from 0 to 1.
    pub const OVER_QUOTA_WEIGHT: &str = "over-share-worth";
    /// Whether discovery pushes the endpoint list or has to be polled: see
    /// [`DISCOVERY_PUSHED`](super::DISCOVERY_PUSHED).
    pub const DISCOVERY_MODE: &str = "discovery";
    /// Load reports: see [`reporting_key`](super::reporting_key).
    pub const REPORTING: &str = "reporting";
}

/// Keys of the properties of a family of servers.
pub mod family_key {
    /// Whether servers report how long messages take.
    pub const REPORTS_MESSAGE_TIME: &str = "tells-delay";
    /// Whether servers report the load of connections.
    pub const REPORTS_LOAD: &str = "tells-load";
    /// Latency objective of a message for each class, in milliseconds.
    pub const MESSAGE_OBJECTIVES: &str = "message-aim";
    /// Number of established connections that each tenant's quota covers.
    pub const TENANT_CONNECTION_QUOTAS: &str = "tenant-quota-connections";
    /// Present if the first field of load reports is the utilisation.
    pub const FIRST_REPORT_FIELD: &str = "report-x0";
}

/// Keys of a priority class.
pub mod class_key {
    /// Name of the class.
    pub const NAME: &str = "name";
    /// Time that clients of the class wait for an answer, in milliseconds.
    pub const DEADLINE_MS: &str = "deadline";
    /// Value of one second of service for the class.
    pub const PRIORITY_WEIGHT: &str = "gain";
    /// Latency objective of a connection setup, in milliseconds.
    pub const SETUP_OBJECTIVE_MS: &str = "objective";
    /// Whether requests of the class may be repeated: see [`IDEMPOTENT`](super::IDEMPOTENT).
    pub const IDEMPOTENCY: &str = "repeat";
    /// Servers that recognise an idempotency key: see [`SCOPE_ALL`](super::SCOPE_ALL).
    pub const KEY_SCOPE: &str = "group";
    /// How long servers recognise an idempotency key, in milliseconds.
    pub const DEDUPLICATION_WINDOW_MS: &str = "window";
}

/// Keys of a tenant.
pub mod tenant_key {
    /// Name of the tenant.
    pub const NAME: &str = "name";
    /// Number of requests per second that the tenant's quota covers.
    pub const QUOTA_PER_SECOND: &str = "quota-per-s";
}

/// Keys of the limits.
pub mod limit_key {
    /// Maximum number of attempts for a request.
    pub const MAX_ATTEMPTS: &str = "try-limit";
    /// Whether an attempt may be cancelled.
    pub const CANCEL: &str = "cancel";
    /// Whether rejected clients receive a Retry-After.
    pub const RETRY_AFTER: &str = "retry-after";
    /// Longest Retry-After that clients honour, in milliseconds.
    pub const MAX_RETRY_AFTER_MS: &str = "max-retry-after";
    /// Timeout for connecting to a server, in milliseconds.
    pub const CONNECT_TIMEOUT_MS: &str = "connect-timeout";
    /// Whether servers may be probed.
    pub const PROBES: &str = "probing";
    /// Whether balancers may gossip with each other.
    pub const PEERS: &str = "peers";
}

/// Keys of the charges. A charge is a share of the value of all delivered service.
pub mod charge_key {
    /// Charge for probes if one probe were sent for each request.
    pub const PROBE: &str = "probe";
    /// Charge for cross-zone requests if each request crossed zones once.
    pub const CROSS_ZONE: &str = "cross-zone";
    /// Charge for migrations if each client migrated once.
    pub const MIGRATION: &str = "moves";
    /// Charge for gossip.
    pub const GOSSIP: &str = "peer";
}

/// Keys of the rules that servers and balancers keep.
pub mod rule_key {
    /// Longest time between polls of the endpoint list, in milliseconds.
    pub const POLL_INTERVAL_MS: &str = "must-ask-in";
    /// Time within which attempts at a server have to end after its draining was announced, in milliseconds.
    pub const DRAIN_GRACE_MS: &str = "drain-grace";
    /// Share of its full capacity that a server has when it starts.
    pub const SLOW_START_SHARE: &str = "cold-share";
    /// Time from a server's start until it has its full capacity, in milliseconds.
    pub const SLOW_START_DURATION_MS: &str = "warm-up";
    /// Load at which a server in slow start fails, as a multiple of its present capacity.
    pub const SLOW_START_OVERLOAD_FACTOR: &str = "tip-multiple";
    /// Time for which a server in slow start must receive such a load before it fails, in milliseconds.
    pub const SLOW_START_WINDOW_MS: &str = "overload-for";
}

/// Keys of load reports.
pub mod reporting_key {
    /// Names of the reported fields.
    pub const FIELDS: &str = "fields";
    /// Mode of reporting: see [`REPORTING_OFF`](super::REPORTING_OFF).
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

/// Servers send no load reports.
pub const REPORTING_OFF: &str = "off";
/// Name of the first field of a load report.
pub const FIRST_FIELD: &str = "x0";
/// Name of the field of a load report that holds the utilisation.
pub const UTILISATION: &str = "utilization";
/// Short form of [`UTILISATION`]. Servers that answer probes on sockets may use either form.
pub const UTILISATION_SHORT: &str = "util";
