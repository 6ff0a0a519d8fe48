//! Messages of a hot restart, between a process and its successor. Each message is a datagram of bounded
//! length that begins with the name and version of this protocol. Sockets are sent with a message as
//! ancillary data, not in its bytes.

mod decode;
mod encode;
mod endpoint_lease;

pub use decode::decode;
pub use encode::encode;

use crate::routing::store::KeyedEntry;
use crate::routing::{Endpoint, ExportedEndpoint, HandoverState, Readmission, TransferredConnection};
use crate::{EndpointLeaseState, LearnedState, Time};

/// Maximum length of a message, in bytes.
pub const MAX_MESSAGE_LENGTH: usize = 16 << 10;
/// Maximum number of sockets sent with a message: both sockets of an established connection.
pub const MAX_SOCKETS: usize = 2;
/// Maximum number of parts of a state. Without this limit, a process that sends parts without end would
/// exhaust the memory of its successor.
pub const MAX_PARTS: usize = 200_000;
/// Name of a socket without a descriptor, by which a predecessor announces that it accepts
/// [`HandoverMessage::SharesRequestIds`] and [`HandoverMessage::RequestAdmitted`].
pub const REQUEST_IDS_FEATURE: &str = "request-ids";
/// First bytes of each message. Messages of other versions of the protocol begin with other bytes.
const MAGIC: &[u8] = b"SGH1";

/// Kind of a message, the byte after [`MAGIC`].
mod message_tag {
    pub(super) const REQUEST_STATE: u8 = b'T';
    pub(super) const SOCKET: u8 = b'S';
    pub(super) const PART: u8 = b'P';
    pub(super) const DONE: u8 = b'D';
    pub(super) const SERVING: u8 = b'V';
    pub(super) const ESTABLISHED_CONNECTION: u8 = b'C';
    pub(super) const SHARE_EXCLUSION: u8 = b'B';
    pub(super) const EXCLUSION_ACKNOWLEDGED: u8 = b'A';
    pub(super) const SHARES_REQUEST_IDS: u8 = b'Q';
    pub(super) const REQUEST_ADMITTED: u8 = b'O';
}

/// Kind of a part, the first byte of the part.
mod part_tag {
    pub(super) const EXCLUDED: u8 = b'B';
    pub(super) const EVER_LISTED: u8 = b'N';
    pub(super) const ENTRY: u8 = b'E';
    pub(super) const ENDPOINT: u8 = b'H';
    pub(super) const READMITTED: u8 = b'R';
    pub(super) const ID: u8 = b'I';
    pub(super) const OPEN_DESCRIPTORS: u8 = b'L';
}

/// Values of a flag, and of the byte before an optional value that tells whether the value follows.
mod flag {
    pub(super) const NO: u8 = 0;
    pub(super) const YES: u8 = 1;
}

/// Lifecycle of a server. Servers that are gone are not sent.
mod lifecycle {
    pub(super) const READY: u8 = 0;
    pub(super) const DRAINING: u8 = 1;
}

/// Message between the two processes of a hot restart.
#[derive(Clone, Debug, PartialEq)]
pub enum HandoverMessage {
    /// The successor requests the predecessor's state.
    RequestState,
    /// Name of the socket that is sent with the message: a front's listener, or the socket of the replicated
    /// map.
    Socket(String),
    /// One part of the predecessor's state.
    StatePart(StatePart),
    /// The predecessor has sent its whole state.
    Done,
    /// The successor has started to serve.
    Serving,
    /// The predecessor transfers an established connection. The sockets of the client and of the server are
    /// sent with the message.
    EstablishedConnection {
        /// Name of the front.
        front: String,
        /// State with which the reducer continues the connection.
        established: TransferredConnection,
        /// State with which the front's protocol continues the connection.
        state: Vec<u8>,
    },
    /// An operator excluded or readmitted a server at one of the processes.
    ShareExclusion {
        /// Number of the admin call, repeated in the acknowledgement.
        number: u64,
        /// Name of the server.
        server: String,
        /// Whether the server is excluded.
        excluded: bool,
    },
    /// The other process has applied a [`HandoverMessage::ShareExclusion`].
    ExclusionAcknowledged {
        /// Number of the admin call.
        number: u64,
    },
    /// The successor accepts and sends [`HandoverMessage::RequestAdmitted`]. It sends this message before
    /// [`HandoverMessage::Serving`], if the predecessor has sent a [`HandoverMessage::Socket`] with the name
    /// [`REQUEST_IDS_FEATURE`]. Processes of earlier versions ignore such a socket, and reject the message.
    SharesRequestIds,
    /// The process has admitted a request since the export of the state.
    RequestAdmitted {
        /// Name of the pool.
        pool: String,
        /// Id in the client's request.
        id: String,
    },
}

/// Part of the exported state.
#[derive(Clone, Debug, PartialEq)]
pub enum StatePart {
    /// Name of a server that an operator has excluded.
    Excluded(String),
    /// Name of a server that an endpoint list has contained.
    EverListed(String),
    /// Entry of the replicated map.
    Entry(KeyedEntry),
    /// Endpoint of a pool.
    Endpoint {
        /// Name of the pool.
        pool: String,
        /// Endpoint as listed.
        endpoint: Endpoint,
        /// State learned of the endpoint's server, or `None` if the pool's balancer does not know the server.
        learned_state: Option<LearnedState>,
    },
    /// Lease on a pool's endpoint list. It is encoded as a [`HandoverMessage::Socket`], which processes of
    /// earlier versions ignore.
    EndpointLease {
        /// Name of the pool.
        pool: String,
        /// State of the lease.
        lease: EndpointLeaseState,
    },
    /// Server of a pool that an operator has readmitted.
    Readmitted {
        /// Name of the pool.
        pool: String,
        /// Name of the server.
        server: String,
        /// Time of the readmission.
        readmitted_at: Time,
    },
    /// Id that a client gave to a connection that is open at the predecessor.
    RequestId {
        /// Name of the pool.
        pool: String,
        /// Id in the client's request.
        id: String,
    },
    /// Number of descriptors that the predecessor uses until its last connections are transferred or ended.
    OpenDescriptors(u64),
}

/// Splits an exported state into parts.
pub fn split_state(state: HandoverState) -> Vec<StatePart> {
    let mut parts: Vec<StatePart> = state.excluded_by_operator.into_iter().map(StatePart::Excluded).collect();
    parts.extend(state.known_server_names.into_iter().map(StatePart::EverListed));
    parts.extend(state.entries.into_iter().map(StatePart::Entry));
    for (name, pool) in state.pools {
        let lease = pool.endpoint_lease;
        parts.extend(lease.map(|lease| StatePart::EndpointLease { pool: name.clone(), lease }));
        parts.extend(pool.endpoints.into_iter().map(|ExportedEndpoint { endpoint, learned_state }| {
            StatePart::Endpoint { pool: name.clone(), endpoint, learned_state }
        }));
        let readmitted = pool.readmitted.into_iter();
        parts.extend(readmitted.map(|Readmission { server, readmitted_at }| StatePart::Readmitted {
            pool: name.clone(),
            server,
            readmitted_at,
        }));
        parts.extend(pool.request_ids.into_iter().map(|id| StatePart::RequestId { pool: name.clone(), id }));
    }
    parts.push(StatePart::OpenDescriptors(state.pending_descriptors as u64));
    parts
}

/// Adds a part to a state that is being imported.
pub fn add_part(state: &mut HandoverState, part: StatePart) {
    match part {
        StatePart::Excluded(server) => state.excluded_by_operator.push(server),
        StatePart::EverListed(server) => state.known_server_names.push(server),
        StatePart::Entry(entry) => state.entries.push(entry),
        StatePart::Endpoint { pool, endpoint, learned_state } => {
            state.pools.entry(pool).or_default().endpoints.push(ExportedEndpoint { endpoint, learned_state });
        }
        StatePart::EndpointLease { pool, lease } => {
            state.pools.entry(pool).or_default().endpoint_lease = Some(lease);
        }
        StatePart::Readmitted { pool, server, readmitted_at } => {
            state.pools.entry(pool).or_default().readmitted.push(Readmission { server, readmitted_at });
        }
        StatePart::RequestId { pool, id } => state.pools.entry(pool).or_default().request_ids.push(id),
        StatePart::OpenDescriptors(count) => state.pending_descriptors = count as usize,
    }
}
