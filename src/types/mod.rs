//! Types of the interface between a balancer and its host, the program that embeds it.
//!
//! Times are readings of the host's clock in whole microseconds. Zones, cells, classes and tenants are plain
//! indices: no decision depends on their names.
#![deny(missing_docs)]

mod action;
mod endpoint;
mod endpoint_lease;
mod event;
mod ids;
mod load;
mod settings;
mod time;
mod watch_timing;

pub use action::{Action, RefusalReason};
pub use endpoint::{EndpointEntry, EndpointState, LearnedState, Occupancy};
pub use endpoint_lease::{EndpointLeaseState, ListContinuity};
pub use event::{Event, Outcome, WatchFailure};
pub use ids::{CellId, ClassId, ConnectionId, GroupHash, GroupId, RequestId, ServerId, TenantId, ZoneId};
pub use load::{LoadReport, Measurement};
pub use settings::{Class, Idempotency, KeyScope, Settings, Tenant};
pub use time::{Micros, Time};
