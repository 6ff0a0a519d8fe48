//! The resources of the process, and how they are divided.

use crate::protocol::json::{DecodeError, JsonNode};
use crate::routing::{Budget, MAX_PROBES};

/// Admin clients at a time: their descriptors are reserved.
pub const MAX_ADMIN_CLIENTS: usize = 10;
/// Descriptors that are not connections: listeners, discovery, the log and what the runtime needs.
const RESERVED_SOCKETS: usize = 20;
/// Descriptors of the admin endpoint: its listener, its clients, and one more client before the oldest is closed.
const ADMIN_SOCKETS: usize = MAX_ADMIN_CLIENTS + 2;
const MIN_SOCKETS: usize = 64;
/// The most descriptors that are used of those that the system grants.
const MAX_DEFAULT_SOCKETS: u64 = 1 << 20;
const MIN_MEMORY_MB: usize = 8;
const DEFAULT_MEMORY_MB: usize = 256;
/// Size of a buffer: a few lines in each direction of a connection.
const MIN_BUFFER_BYTES: usize = 8 << 10;
const MAX_BUFFER_BYTES: usize = 16 << 10;

/// Keys of the limits.
pub(super) mod key {
    pub(in super::super) const SOCKETS: &str = "sockets";
    pub(in super::super) const MEMORY_MB: &str = "memory_mb";
}

/// What this machine gives the process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Descriptors.
    pub sockets: usize,
    /// Megabytes of memory.
    pub memory_mb: usize,
}

impl Default for Limits {
    /// The descriptors that the system grants, and a modest memory.
    fn default() -> Limits {
        let granted = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        let sockets = granted.map_or(MAX_DEFAULT_SOCKETS, |granted| granted.min(MAX_DEFAULT_SOCKETS));
        Limits { sockets: sockets as usize, memory_mb: DEFAULT_MEMORY_MB }
    }
}

impl Limits {
    pub(super) fn decode(node: &JsonNode<'_>) -> Result<Limits, DecodeError> {
        let default = Limits::default();
        let limits = Limits {
            sockets: node.field(key::SOCKETS).number(default.sockets as f64)? as usize,
            memory_mb: node.field(key::MEMORY_MB).number(default.memory_mb as f64)? as usize,
        };
        if limits.sockets < MIN_SOCKETS {
            return Err(node.field(key::SOCKETS).error("at least 64 descriptors are wanted"));
        }
        if limits.memory_mb < MIN_MEMORY_MB {
            return Err(node.field(key::MEMORY_MB).error("at least 8 megabytes are wanted"));
        }
        Ok(limits)
    }

    /// The tighter of both limits, for each resource.
    pub(super) fn min(self, other: Limits) -> Limits {
        Limits { sockets: self.sockets.min(other.sockets), memory_mb: self.memory_mb.min(other.memory_mb) }
    }

    /// Divides the resources between connections.
    ///
    /// Pending connections, which have no attempt, take one descriptor and one buffer each; admitted ones take two of
    /// both. Three quarters of the free descriptors are for admitted connections, but enough for a third of all
    /// descriptors, and never more than seven eighths. Half of the memory is for buffers, of which three quarters may
    /// be used by admitted connections and a quarter by pending ones. The admin endpoint and the health checks of
    /// servers, where there are any, have descriptors of their own.
    pub fn budget(self, has_admin_endpoint: bool, has_probes: bool) -> Budget {
        let admin_sockets = if has_admin_endpoint { ADMIN_SOCKETS } else { 0 };
        let probe_sockets = if has_probes { MAX_PROBES } else { 0 };
        let free_sockets = self.sockets - (RESERVED_SOCKETS + admin_sockets + probe_sockets);
        let buffer_memory = (self.memory_mb << 20) / 2;
        let max_buffers = buffer_memory / MIN_BUFFER_BYTES;
        // Half of a share each: an admitted connection takes two descriptors and two buffers.
        let admitted = (free_sockets * 3 / 8)
            .max(self.sockets / 3 + 1)
            .min(free_sockets * 7 / 16)
            .min(max_buffers * 3 / 8);
        let pending = (free_sockets - 2 * admitted).min(max_buffers / 4);
        let buffer = buffer_memory / (pending + 2 * admitted);
        Budget { pending, admitted, buffer: buffer.clamp(MIN_BUFFER_BYTES, MAX_BUFFER_BYTES) }
    }
}
