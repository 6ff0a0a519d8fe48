//! What the decision module counts with: what is held at each server, sizes of connections and groups, requests in
//! flight, and random draws. Nothing here chooses a server, a retry or a rejection: that is `src/policy/`.

mod connection_size;
mod group_statistics;
mod held_connections;
mod random;
mod request_state;
mod running_mean;
mod server_state;

pub use connection_size::ConnectionSizes;
pub use group_statistics::GroupStatistics;
pub use held_connections::HeldConnections;
pub use random::{draw_weighted, exponential_for, jittered, jittered_backoff};
pub use request_state::{AnswerDeadline, Attempt, Request};
pub use running_mean::RunningMean;
pub use server_state::{server_of, Server};
