//! The platform's front. A client requests a connection by `OPEN`. A server accepts by `UP`, or answers
//! `BUSY` or `ERR`. Then lines are relayed in both directions, until the server ends the connection, by `BYE`
//! or `MOVE`, or the client does.

mod connection;
mod field;
mod keywords;
mod reply;
mod request;

pub use connection::Connection;
pub use reply::{parse_probe_answer, parse_server_reply, ServerReply, PROBE_REQUEST};
pub use request::{parse_client_command, ClientCommand, RequestTemplate};
