//! Replies of the front to a client.

use super::message::{ERR_INPUTTOOLONG, ERR_UNKNOWNERROR, RPL_BOUNCE, RPL_TRYAGAIN};
use super::registration::Registration;
use super::AdvertisedAddress;
use crate::Micros;

/// Shortest time after which a rejected client may try again, in seconds.
const MIN_RETRY_AFTER_SECONDS: u64 = 1;

impl Registration {
    /// Encodes a numeric reply.
    pub(super) fn numeric_reply(&self, numeric: u16, text: &str) -> Vec<u8> {
        format!(":{} {numeric:03} {} {text}\r\n", self.config().name, self.display_nick()).into_bytes()
    }

    /// Encodes the `ERROR` that the front sends before it closes the client's connection.
    pub(super) fn closing_link(&self, reason: &str) -> Vec<u8> {
        format!("ERROR :Closing Link: {} ({reason})\r\n", self.display_nick()).into_bytes()
    }

    /// Encodes the reply to a line that is too long.
    pub(super) fn input_too_long(&self) -> Vec<u8> {
        self.numeric_reply(ERR_INPUTTOOLONG, ":Input line was too long")
    }

    /// Encodes the reply to a line with a NUL byte.
    pub(super) fn input_contains_nul(&self) -> Vec<u8> {
        self.numeric_reply(ERR_UNKNOWNERROR, ":Line with a NUL byte")
    }

    /// Encodes the answer to a client that is rejected and may try again after `retry_after`.
    pub(super) fn rejection(&self, retry_after: Micros) -> Vec<u8> {
        let seconds = retry_after.as_secs_ceil().max(MIN_RETRY_AFTER_SECONDS);
        let text = format!("USER :Server load is too heavy. Please wait {seconds} s and try again.");
        let error = self.closing_link(&format!("Try again in {seconds} s"));
        [self.numeric_reply(RPL_TRYAGAIN, &text), error].concat()
    }

    /// Encodes the notice that asks a migrated client to reconnect.
    pub(super) fn migration_notice(&self) -> Vec<u8> {
        let (name, nick) = (&self.config().name, self.display_nick());
        let AdvertisedAddress { host, port } = &self.config().advertised_address;
        let notice = format!(":{name} NOTICE {nick} :Your server is leaving; please reconnect\r\n");
        let text = format!("{host} {port} :Please use this Server/Port instead");
        [notice.into_bytes(), self.numeric_reply(RPL_BOUNCE, &text)].concat()
    }
}
