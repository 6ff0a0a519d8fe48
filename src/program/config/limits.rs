//! Limits on the resources of the process, and their division between connections.

use crate::protocol::http::MAX_RESPONSE_LENGTH;
use crate::protocol::json::{DecodeError, JsonNode};
use crate::routing::{ResourceLimits, MAX_PROBES};

/// Highest number of simultaneous admin clients. Their descriptors are reserved.
pub const MAX_ADMIN_CLIENTS: usize = 10;
/// Descriptors reserved for other uses than connections: listeners, discovery, the log and the runtime.
const RESERVED_SOCKETS: usize = 20;
/// Descriptors of the admin endpoint: its listener, its clients, and one more client that is accepted before
/// the oldest one is closed.
const ADMIN_SOCKETS: usize = MAX_ADMIN_CLIENTS + 2;
const MIN_SOCKETS: usize = 64;
/// Upper bound of the default for the number of descriptors, even if the system allows more.
const MAX_DEFAULT_SOCKETS: u64 = 1 << 20;
const MIN_MEMORY_MB: usize = 8;
const DEFAULT_MEMORY_MB: usize = 256;
/// Smallest size of a buffer: it holds a few lines in each direction of a connection.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// The longest response of discovery takes this part of the memory. It is held several times while it is parsed.
const RESPONSE_MEMORY_DIVISOR: usize = 8;
const MAX_BUFFER_BYTES: usize = 16 << 10;

/// Keys of the limits in both configuration files.
pub(super) mod key {
    pub(in super::super) const SOCKETS: &str = "sockets";
    pub(in super::super) const MEMORY_MB: &str = "memory_mb";
}

/// Resources that the process may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Number of descriptors.
    pub sockets: usize,
    /// Memory in megabytes.
    pub memory_mb: usize,
}

impl Default for Limits {
    /// As many descriptors as the system allows, at most `MAX_DEFAULT_SOCKETS`, and a modest
    /// `DEFAULT_MEMORY_MB` megabytes of memory.
    fn default() -> Limits {
        let system_limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        let sockets = system_limit.map_or(MAX_DEFAULT_SOCKETS, |limit| limit.min(MAX_DEFAULT_SOCKETS));
        Limits { sockets: sockets as usize, memory_mb: DEFAULT_MEMORY_MB }
    }
}

impl Limits {
    pub(super) fn decode(node: &JsonNode<'_>) -> Result<Limits, DecodeError> {
        let default = Limits::default();
        let limits = Limits {
            sockets: node.field(key::SOCKETS).number_or(default.sockets as f64)? as usize,
            memory_mb: node.field(key::MEMORY_MB).number_or(default.memory_mb as f64)? as usize,
        };
        if limits.sockets < MIN_SOCKETS {
            let reason = format!("expected at least {MIN_SOCKETS} descriptors, got {}", limits.sockets);
            return Err(node.field(key::SOCKETS).error(&reason));
        }
        if limits.memory_mb < MIN_MEMORY_MB {
            let reason = format!("expected at least {MIN_MEMORY_MB} megabytes, got {}", limits.memory_mb);
            return Err(node.field(key::MEMORY_MB).error(&reason));
        }
        Ok(limits)
    }

    /// Returns the lower limit of each resource.
    pub(super) fn min(self, other: Limits) -> Limits {
        Limits { sockets: self.sockets.min(other.sockets), memory_mb: self.memory_mb.min(other.memory_mb) }
    }

    /// Divides the resources between connections.
    ///
    /// A pending connection, which has no attempt, takes one descriptor and one buffer. An admitted
    /// connection takes two of each: one for the client and one for the server. A fixed number of descriptors
    /// is reserved, among them those of the admin endpoint and of probes if these are configured; the others
    /// are free.
    ///
    /// - Admitted connections get three quarters of the free descriptors. They get more if the number of
    ///   admitted connections would be less than a third of all descriptors, but never more than seven
    ///   eighths of the free ones.
    /// - Half of the memory is for buffers. Admitted connections may use three quarters of the buffers,
    ///   pending ones a quarter.
    /// - A response of discovery may have an eighth of the memory, up to [`MAX_RESPONSE_LENGTH`].
    pub fn resource_limits(self, has_admin_endpoint: bool, has_probes: bool) -> ResourceLimits {
        let admin_sockets = if has_admin_endpoint { ADMIN_SOCKETS } else { 0 };
        let probe_sockets = if has_probes { MAX_PROBES } else { 0 };
        let free_sockets = self.sockets - (RESERVED_SOCKETS + admin_sockets + probe_sockets);
        let buffer_memory = (self.memory_mb << 20) / 2;
        let max_buffers = buffer_memory / MIN_BUFFER_BYTES;
        // An admitted connection takes two descriptors and two buffers, so each share is halved here.
        let admitted = (free_sockets * 3 / 8)
            .max(self.sockets / 3 + 1)
            .min(free_sockets * 7 / 16)
            .min(max_buffers * 3 / 8);
        let pending = (free_sockets - 2 * admitted).min(max_buffers / 4);
        let buffer = buffer_memory / (pending + 2 * admitted);
        ResourceLimits {
            max_pending_connections: pending,
            max_admitted_connections: admitted,
            buffer_bytes: buffer.clamp(MIN_BUFFER_BYTES, MAX_BUFFER_BYTES),
            max_response_bytes: ((self.memory_mb << 20) / RESPONSE_MEMORY_DIVISOR).min(MAX_RESPONSE_LENGTH),
        }
    }
}
