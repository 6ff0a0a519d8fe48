//! Quantities on which decisions are based: sizes of connections and groups, the connections at a server, and
//! random draws.
//!
//! This module does not decide on servers, retries or rejections. Those decisions are in `src/policy/`.

mod connection_size;
mod group_statistics;
mod random;
mod running_mean;
mod server_connections;

pub use connection_size::ConnectionSizes;
pub use group_statistics::GroupStatistics;
pub use random::{draw_weighted, exponential_for, jittered, jittered_backoff};
pub use running_mean::RunningMean;
pub use server_connections::ServerConnections;
