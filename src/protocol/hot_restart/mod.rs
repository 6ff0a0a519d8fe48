//! Messages of a hot restart, between a process and the successor that takes its place. Each is a datagram of bounded
//! length that begins with the name and version of this protocol. Sockets are sent beside a message, not in it.

mod decode;
mod encode;

pub use decode::decode;
pub use encode::encode;

use crate::routing::store::Entry;
use crate::routing::{Endpoint, EstablishedConnection, ExportedEndpoint, HandoverState, Readmission};
use crate::{LearnedState, Time};

/// The longest message, in bytes.
pub const MAX_MESSAGE_LENGTH: usize = 16 << 10;
/// The most sockets beside a message: those of an established connection.
pub const MAX_SOCKETS: usize = 2;
/// The most parts of a state. A process that never stopped sending them would fill the memory.
pub const MAX_PARTS: usize = 200_000;
/// What each message begins with; those of other versions begin otherwise.
const MAGIC: &[u8] = b"SGH1";

/// The byte after [`MAGIC`]: the kind of a message.
mod message_tag {
    pub(super) const REQUEST_STATE: u8 = b'T';
    pub(super) const SOCKET: u8 = b'S';
    pub(super) const PART: u8 = b'P';
    pub(super) const DONE: u8 = b'D';
    pub(super) const SERVING: u8 = b'V';
    pub(super) const ESTABLISHED_CONNECTION: u8 = b'C';
    pub(super) const SHARE_EXCLUSION: u8 = b'B';
    pub(super) const EXCLUSION_ACKNOWLEDGED: u8 = b'A';
}

/// The first byte of a part: its kind.
mod part_tag {
    pub(super) const EXCLUDED: u8 = b'B';
    pub(super) const EVER_LISTED: u8 = b'N';
    pub(super) const ENTRY: u8 = b'E';
    pub(super) const ENDPOINT: u8 = b'H';
    pub(super) const READMITTED: u8 = b'R';
    pub(super) const ID: u8 = b'I';
    pub(super) const OPEN_DESCRIPTORS: u8 = b'L';
}

/// Flags, and whether an optional value is there.
mod flag {
    pub(super) const NO: u8 = 0;
    pub(super) const YES: u8 = 1;
}

/// A server's lifecycle. Servers that are gone are not sent.
mod lifecycle {
    pub(super) const READY: u8 = 0;
    pub(super) const DRAINING: u8 = 1;
}

/// One message.
#[derive(Clone, Debug, PartialEq)]
pub enum HandoverMessage {
    /// The successor requests the predecessor's state.
    RequestState,
    /// Beside this is the socket of this name: a front's listener, or that of the replicated map.
    Socket(String),
    /// A part of the state.
    Part(Part),
    /// All of the state has been sent.
    Done,
    /// The successor serves from now on.
    Serving,
    /// Beside this are the sockets of the client and of its server, of a connection established at a front.
    EstablishedConnection {
        /// Name of the front.
        front: String,
        /// What the reducer needs to continue it.
        established: EstablishedConnection,
        /// What the front's protocol needs to continue it.
        state: Vec<u8>,
    },
    /// An operator excluded a server at one of the processes, or readmitted it.
    ShareExclusion {
        /// Number of the admin call, which its acknowledgement repeats.
        number: u64,
        /// Name of the server.
        server: String,
        /// Whether it is excluded.
        excluded: bool,
    },
    /// The other process has applied a [`HandoverMessage::ShareExclusion`].
    ExclusionAcknowledged {
        /// Number of the admin call.
        number: u64,
    },
}

/// A part of the exported state.
#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    /// A server that an operator has excluded.
    Excluded(String),
    /// A server that has been in an endpoint list.
    EverListed(String),
    /// A key of the replicated map with its entry.
    Entry(String, Entry),
    /// An endpoint of a pool.
    Endpoint {
        /// Name of the pool.
        pool: String,
        /// The endpoint.
        endpoint: Endpoint,
        /// What has been learned of its server.
        learned: Option<LearnedState>,
    },
    /// A server of a pool that an operator has readmitted.
    Readmitted {
        /// Name of the pool.
        pool: String,
        /// Name of the server.
        server: String,
        /// When it was readmitted.
        since: Time,
    },
    /// The id by which a client knows a connection that is open at the predecessor.
    Id {
        /// Name of the pool.
        pool: String,
        /// The id.
        id: String,
    },
    /// How many descriptors the predecessor goes on using until its last connections are transferred or ended.
    OpenDescriptors(u64),
}

/// Splits an exported state into parts.
pub fn split_state(state: HandoverState) -> Vec<Part> {
    let mut parts: Vec<Part> = state.excluded_by_operator.into_iter().map(Part::Excluded).collect();
    parts.extend(state.ever_listed.into_iter().map(Part::EverListed));
    parts.extend(state.entries.into_iter().map(|(key, entry)| Part::Entry(key, entry)));
    for (name, pool) in state.pools {
        parts.extend(pool.endpoints.into_iter().map(|ExportedEndpoint { endpoint, learned }| {
            Part::Endpoint { pool: name.clone(), endpoint, learned }
        }));
        let readmitted = pool.readmitted.into_iter();
        parts.extend(readmitted.map(|Readmission { server, at }| Part::Readmitted {
            pool: name.clone(),
            server,
            since: at,
        }));
        parts.extend(pool.ids.into_iter().map(|id| Part::Id { pool: name.clone(), id }));
    }
    parts.push(Part::OpenDescriptors(state.open_descriptors as u64));
    parts
}

/// Adds a part to a state that is being imported.
pub fn add_part(state: &mut HandoverState, part: Part) {
    match part {
        Part::Excluded(server) => state.excluded_by_operator.push(server),
        Part::EverListed(server) => state.ever_listed.push(server),
        Part::Entry(key, entry) => state.entries.push((key, entry)),
        Part::Endpoint { pool, endpoint, learned } => {
            state.pools.entry(pool).or_default().endpoints.push(ExportedEndpoint { endpoint, learned });
        }
        Part::Readmitted { pool, server, since } => {
            state.pools.entry(pool).or_default().readmitted.push(Readmission { server, at: since });
        }
        Part::Id { pool, id } => state.pools.entry(pool).or_default().ids.push(id),
        Part::OpenDescriptors(count) => state.open_descriptors = count as usize,
    }
}
