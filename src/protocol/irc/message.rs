//! Parsing of messages of RFC 1459 and 2812 with `IRCv3`'s tags, and the commands and numerics that the
//! balancer uses.

use winnow::combinator::{opt, preceded, repeat, terminated};
use winnow::token::{rest, take_till, take_while};
use winnow::{ModalResult, Parser};

/// Maximum length of a line in bytes, including its ending and without its tags (RFC 1459, 2.3).
pub const MAX_LINE_LENGTH: usize = 512;
/// Maximum length of a line's tags in bytes, including `@` and the space after them (`IRCv3` message tags).
pub const MAX_TAGS_LENGTH: usize = 8191;
/// Maximum number of parameters of a message before the trailing one.
const MAX_MIDDLE_PARAMS: usize = 15;
const LINE_ENDING_LENGTH: usize = 2;
/// Number of digits of a numeric.
const NUMERIC_LENGTH: usize = 3;

pub(super) const CAP: &[u8] = b"CAP";
pub(super) const ERROR: &[u8] = b"ERROR";
pub(super) const NICK: &[u8] = b"NICK";
pub(super) const PASS: &[u8] = b"PASS";
pub(super) const PING: &[u8] = b"PING";
pub(super) const PONG: &[u8] = b"PONG";
pub(super) const QUIT: &[u8] = b"QUIT";
pub(super) const USER: &[u8] = b"USER";

// Subcommands of CAP.
pub(super) const CAP_END: &[u8] = b"END";
pub(super) const CAP_LIST: &[u8] = b"LIST";
pub(super) const CAP_LS: &[u8] = b"LS";
pub(super) const CAP_NAK: &[u8] = b"NAK";
pub(super) const CAP_REQ: &[u8] = b"REQ";

// Numerics, named as in RFC 2812 or by common usage.
pub(super) const RPL_WELCOME: u16 = 1;
pub(super) const RPL_BOUNCE: u16 = 10;
pub(super) const RPL_TRYAGAIN: u16 = 263;
pub(super) const ERR_UNKNOWNERROR: u16 = 400;
pub(super) const ERR_NOORIGIN: u16 = 409;
pub(super) const ERR_INVALIDCAPCMD: u16 = 410;
pub(super) const ERR_INPUTTOOLONG: u16 = 417;
pub(super) const ERR_UNKNOWNCOMMAND: u16 = 421;
pub(super) const ERR_NONICKNAMEGIVEN: u16 = 431;
pub(super) const ERR_ERRONEUSNICKNAME: u16 = 432;
pub(super) const ERR_NICKNAMEINUSE: u16 = 433;
pub(super) const ERR_NICKCOLLISION: u16 = 436;
pub(super) const ERR_UNAVAILRESOURCE: u16 = 437;
pub(super) const ERR_NOTREGISTERED: u16 = 451;
pub(super) const ERR_NEEDMOREPARAMS: u16 = 461;
pub(super) const ERR_PASSWDMISMATCH: u16 = 464;
pub(super) const ERR_YOUREBANNEDCREEP: u16 = 465;

/// Message, without its tags, its prefix and the line ending.
#[derive(Debug, PartialEq)]
pub struct Message<'a> {
    /// Command, or a numeric of three digits.
    pub command: &'a [u8],
    /// Parameters, of which the trailing one is without its colon.
    pub params: Vec<&'a [u8]>,
}

impl Message<'_> {
    /// Returns the number of the command if it is a numeric.
    pub(super) fn numeric(&self) -> Option<u16> {
        let is_numeric = self.command.len() == NUMERIC_LENGTH && self.command.iter().all(u8::is_ascii_digit);
        is_numeric.then(|| self.command.iter().fold(0, |number, digit| number * 10 + u16::from(digit - b'0')))
    }
}

fn parse_word<'a>(input: &mut &'a [u8]) -> ModalResult<&'a [u8]> {
    take_till(1.., b' ').parse_next(input)
}

fn parse_spaces(input: &mut &[u8]) -> ModalResult<()> {
    take_while(1.., b' ').void().parse_next(input)
}

fn parse_message_parts<'a>(input: &mut &'a [u8]) -> ModalResult<Message<'a>> {
    let (tags, prefix) = (preceded(b'@', parse_word), preceded(b':', parse_word));
    opt(terminated(tags, parse_spaces)).void().parse_next(input)?;
    opt(terminated(prefix, parse_spaces)).void().parse_next(input)?;
    let command = take_while(1.., |b: u8| b.is_ascii_alphanumeric()).parse_next(input)?;
    let middle = preceded(parse_spaces, parse_word.verify(|word: &[u8]| word[0] != b':'));
    let mut params: Vec<&[u8]> = repeat(0..=MAX_MIDDLE_PARAMS, middle).parse_next(input)?;
    params.extend(opt(preceded((parse_spaces, b':'), rest)).parse_next(input)?);
    take_while(0.., b' ').void().parse_next(input)?;
    Ok(Message { command, params })
}

/// Parses a line without its ending. Returns `None` if it is not a message.
pub fn parse_message(line: &[u8]) -> Option<Message<'_>> {
    parse_message_parts.parse(line).ok()
}

/// Returns whether a line, given without its ending, is longer than the protocol allows.
pub(super) fn is_too_long(line: &[u8]) -> bool {
    let tags_length = if line.first() == Some(&b'@') {
        line.iter().position(|&b| b == b' ').map_or(line.len(), |end| end + 1)
    } else {
        0
    };
    tags_length > MAX_TAGS_LENGTH || line.len() - tags_length + LINE_ENDING_LENGTH > MAX_LINE_LENGTH
}
