//! The IRC front: RFC 1459 and 2812 with `IRCv3`'s `CAP`. A client's complete registration is its connection
//! request. An attempt repeats the registration to a server, which accepts the client with `001`.

mod client_lines;
mod config;
mod connection;
mod handshake;
mod message;
mod registration;
mod replies;

pub use config::{AdvertisedAddress, IrcConfig};
pub use connection::Connection;
pub use message::{parse_message, Message, MAX_LINE_LENGTH, MAX_TAGS_LENGTH};

/// Maximum length of a line including its tags, in bytes.
const MAX_TAGGED_LINE_LENGTH: usize = MAX_TAGS_LENGTH + MAX_LINE_LENGTH;
