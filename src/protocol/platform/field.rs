//! Parsing of the lists of fields `name=value` in lines of clients and servers.

use winnow::combinator::separated_pair;
use winnow::token::take_while;
use winnow::{ModalResult, Parser};

/// Maximum length of a name or key, in bytes.
const MAX_NAME_LENGTH: usize = 64;

/// Field `name=value` of a list.
#[derive(Clone, Copy)]
pub(super) struct Field<'a> {
    pub name: &'a [u8],
    pub value: &'a [u8],
}

/// Parses a name or key, which contains neither `=` nor `,`. Otherwise, if a line lacked its id or key, the
/// list of fields would be parsed as the id or key.
pub(super) fn parse_name<'a>(input: &mut &'a [u8]) -> ModalResult<&'a [u8]> {
    let is_name_byte = |b: u8| b.is_ascii_graphic() && b != b'=' && b != b',';
    take_while(1..=MAX_NAME_LENGTH, is_name_byte).parse_next(input)
}

pub(super) fn parse_field<'a>(input: &mut &'a [u8]) -> ModalResult<Field<'a>> {
    let value = take_while(0.., |b: u8| b.is_ascii_graphic() && b != b',');
    separated_pair(parse_name, b'=', value).map(|(name, value)| Field { name, value }).parse_next(input)
}
