//! The one place where configuration is read, checked and given its defaults. Every error names the key that is wrong.

mod daemon;
mod error;
mod fields;
mod limits;
mod operator;
mod platform;
mod pool;
mod rebalance;
mod replicated_entry;
mod sources;

pub use daemon::Config;
pub use error::{ConfigError, ReplicatedEntryError};
pub use limits::{Limits, MAX_ADMIN_CLIENTS};
pub use operator::{parse_operator, Irc, Operator, StoreConfig};
pub use platform::{parse_platform, PeersAt, Platform};
pub use rebalance::parse_rebalance;
pub use replicated_entry::check_replicated_entry;
pub use sources::{read_config, read_file, Sources};
