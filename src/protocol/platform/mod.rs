//! The platform's front: `OPEN` from the client, `UP`, `BUSY`, `ERR`, `BYE` and `MOVE` from servers, and lines in both
//! directions between.

mod connection;
mod field;
mod keywords;
mod reply;
mod request;

pub use connection::Connection;
pub use reply::{parse_probe_answer, parse_server_reply, ServerReply, PROBE_REQUEST};
pub use request::{parse_greeting, Greeting, RequestTemplate};
