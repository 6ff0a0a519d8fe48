//! Names and values of the simulator's protocol as constants under this code's names. Times and durations are
//! in milliseconds with a fraction.

/// Names of messages to the adapter.
pub(crate) mod message {
    pub(crate) const FRAME_STARTED: &str = "FRAME";
    pub(crate) const FRAME_ENDED: &str = "OVER_TO_YOU";
    pub(crate) const INSTANCE_SELECTED: &str = "TARGET_INSTANCE";
    pub(crate) const INSTANCE_STARTED: &str = "HELLO";
    pub(crate) const INSTANCE_KILLED: &str = "KILL";
    pub(crate) const ENDPOINT_SET_STARTED: &str = "TABLE";
    pub(crate) const ENDPOINT_SET_ENTRY: &str = "ITEM";
    pub(crate) const ENDPOINTS_SYNCED: &str = "SYNC";
    pub(crate) const REQUEST_ARRIVED: &str = "INGRESS";
    /// A connection established before the instance started.
    pub(crate) const CONNECTION_RESTORED: &str = "INHERITED";
    pub(crate) const CONNECTION_ESTABLISHED: &str = "ACK_FIRST";
    pub(crate) const CONNECTION_MEASURED: &str = "INTERIM";
    pub(crate) const ATTEMPT_ENDED: &str = "RESULT";
    pub(crate) const CLIENT_LEFT: &str = "ABORTED";
    pub(crate) const TIMER_FIRED: &str = "TICK_DUE";
    pub(crate) const PROBE_COMPLETED: &str = "PONG";
}

/// Names of the lines of a reply.
pub(crate) mod reply {
    /// Names the instance that the following actions belong to.
    pub(crate) const INSTANCE: &str = "SPEAKING";
    pub(crate) const END: &str = "EOR";
    pub(crate) const START_ATTEMPT: &str = "ATTEMPT";
    pub(crate) const REJECT: &str = "DENY";
    pub(crate) const FAIL: &str = "FINISH_ERROR";
    pub(crate) const CANCEL_ATTEMPT: &str = "RETRACT";
    pub(crate) const MIGRATE: &str = "MOVE";
    pub(crate) const PROBE_SERVER: &str = "SOUND_OUT";
    pub(crate) const WATCH_ENDPOINTS: &str = "SUBSCRIBE";
    pub(crate) const SET_TIMER: &str = "SLEEP";
}

/// Names of fields, in messages and replies.
pub(crate) mod field {
    pub(crate) const TIME: &str = "t";
    pub(crate) const INSTANCE: &str = "i";
    pub(crate) const SEED: &str = "prng";
    pub(crate) const ENDPOINT_SET: &str = "set-id";
    pub(crate) const SYNC_SCOPE: &str = "scope";
    pub(crate) const REQUEST: &str = "xid";
    pub(crate) const ATTEMPT: &str = "leg";
    pub(crate) const SERVER: &str = "backend";
    pub(crate) const ZONE: &str = "site";
    pub(crate) const CELL: &str = "cell";
    pub(crate) const ENDPOINT_STATE: &str = "mode";
    pub(crate) const STARTED: &str = "launched";
    pub(crate) const WEIGHT: &str = "units";
    pub(crate) const CLASS: &str = "service";
    pub(crate) const TENANT: &str = "owner";
    pub(crate) const GROUP: &str = "channel";
    pub(crate) const EXPECTED_LOAD: &str = "hint";
    pub(crate) const DEADLINE: &str = "give-up-at";
    pub(crate) const OUTCOME: &str = "ending";
    /// Whether the client has received its answer.
    pub(crate) const ANSWERED: &str = "last";
    pub(crate) const LOAD_REPORT: &str = "feedback";
    pub(crate) const MEASUREMENT_TOPIC: &str = "topic";
    pub(crate) const MEASUREMENT_AMOUNT: &str = "amount";
    pub(crate) const TIMEOUT: &str = "patience";
    pub(crate) const RETRY_AFTER: &str = "hold-off";
    pub(crate) const ENABLED: &str = "on";
    pub(crate) const DELAY: &str = "from-now";
    pub(crate) const TIMER: &str = "name";
}

/// Values of [`field::ENDPOINT_STATE`].
pub(crate) mod endpoint_state {
    pub(crate) const SERVING: &str = "in_service";
    pub(crate) const DRAINING: &str = "terminating";
    pub(crate) const GONE: &str = "terminated";
}

/// Values of [`field::SYNC_SCOPE`].
pub(crate) mod sync_scope {
    pub(crate) const SNAPSHOT: &str = "C";
    /// Handled in the same way as [`SNAPSHOT`].
    pub(crate) const FORCED_SNAPSHOT: &str = "F";
    pub(crate) const CHANGES: &str = "D";
    pub(crate) const FAILED: &str = "X";
}

/// Values of [`field::MEASUREMENT_TOPIC`].
pub(crate) mod topic {
    pub(crate) const LOAD: u32 = 1;
    pub(crate) const MESSAGE_TIME: u32 = 2;
}

/// Value of [`field::TENANT`] for requests without a tenant.
pub(crate) const NO_TENANT: &str = "0";
/// Value of [`field::TIMER`]. The adapter uses a single timer.
pub(crate) const TIMER_NAME: &str = "wake";
/// Name in a load report for the number of connections at the server.
pub(crate) const REPORTED_CONNECTIONS: &str = "outstanding";
