//! Reads and validates the configuration and applies its defaults. No other module reads configuration.
//!
//! Every error names the key path of the invalid value.

mod daemon;
mod error;
mod fields;
mod irc;
mod limits;
mod log;
mod operator;
mod operator_key;
mod platform;
mod pool;
mod rebalance;
mod replicated_entry;
mod sources;
mod store;

pub use daemon::Config;
pub use error::{ConfigError, ReplicatedEntryError};
pub use irc::IrcFrontConfig;
pub use limits::{Limits, MAX_ADMIN_CLIENTS};
pub use operator::{parse_operator, Operator};
pub use platform::{parse_platform, PeerAddresses, PlatformConfig};
pub use rebalance::parse_rebalance;
pub use replicated_entry::check_replicated_entry;
pub use sources::{read_config, read_file, Sources};
pub use store::StoreConfig;
