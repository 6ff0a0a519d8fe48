//! Splits Rust source into lexemes.

/// Kind of a lexeme.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum LexemeKind {
    /// A line comment without its line end, or a block comment.
    Comment,
    /// A string literal with its quotes, and a raw one with its prefix.
    StringLiteral,
    /// A character literal with its quotes.
    CharacterLiteral,
    /// An identifier, a keyword or a number.
    Name,
    /// `::`, or any other single character, including white space.
    Symbol,
}

/// Returns the lexemes of a source in order. Their texts joined together are the source.
pub(crate) fn lexemes(source: &str) -> Vec<(LexemeKind, String)> {
    let characters: Vec<char> = source.chars().collect();
    let mut lexemes = Vec::new();
    let mut rest = &characters[..];
    while !rest.is_empty() {
        let (kind, length) = first_lexeme(rest);
        let (lexeme, after) = rest.split_at(length.min(rest.len()));
        lexemes.push((kind, lexeme.iter().collect()));
        rest = after;
    }
    lexemes
}

/// Returns the kind and the length of the lexeme at the start of `rest`. The length of an unterminated
/// literal may exceed `rest`.
fn first_lexeme(rest: &[char]) -> (LexemeKind, usize) {
    if let Some(length) = raw_string_length(rest) {
        return (LexemeKind::StringLiteral, length);
    }
    match rest {
        ['/', '/', ..] => (LexemeKind::Comment, count_while(rest, |character| character != '\n')),
        ['/', '*', ..] => (LexemeKind::Comment, block_comment_length(rest)),
        ['"', ..] => (LexemeKind::StringLiteral, string_length(rest)),
        ['\'', '\\', _, after @ ..] => {
            (LexemeKind::CharacterLiteral, 4 + count_while(after, |character| character != '\''))
        }
        ['\'', _, '\'', ..] => (LexemeKind::CharacterLiteral, 3),
        [':', ':', ..] => (LexemeKind::Symbol, 2),
        [first, ..] if is_name_character(*first) => (LexemeKind::Name, count_while(rest, is_name_character)),
        _ => (LexemeKind::Symbol, 1),
    }
}

fn is_name_character(character: char) -> bool {
    character.is_alphanumeric() || character == '_'
}

/// Returns the number of characters at the start of `rest` for which `condition` holds.
fn count_while(rest: &[char], condition: fn(char) -> bool) -> usize {
    rest.iter().take_while(|&&character| condition(character)).count()
}

/// Returns the length of a block comment, which may be nested.
fn block_comment_length(rest: &[char]) -> usize {
    let (mut depth, mut at) = (0, 0);
    while at < rest.len() {
        match &rest[at..] {
            ['/', '*', ..] => (depth, at) = (depth + 1, at + 2),
            ['*', '/', ..] if depth == 1 => return at + 2,
            ['*', '/', ..] => (depth, at) = (depth - 1, at + 2),
            _ => at += 1,
        }
    }
    rest.len()
}

/// Returns the length of a string literal with its quotes.
fn string_length(rest: &[char]) -> usize {
    let mut at = 1;
    while at < rest.len() {
        match rest[at] {
            '\\' => at += 2,
            '"' => return at + 1,
            _ => at += 1,
        }
    }
    rest.len()
}

/// Returns the length of a raw string with its prefix, or `None` if `rest` begins with anything else, such as
/// a name or a raw identifier.
fn raw_string_length(rest: &[char]) -> Option<usize> {
    let prefix = match rest {
        ['r', ..] => 1,
        ['b', 'r', ..] => 2,
        _ => return None,
    };
    let hashes = count_while(&rest[prefix..], |character| character == '#');
    if rest.get(prefix + hashes) != Some(&'"') {
        return None;
    }
    let begin = prefix + hashes + 1;
    let is_end = |at: &usize| {
        rest[*at] == '"' && rest[at + 1..].iter().take(hashes).filter(|&&next| next == '#').count() == hashes
    };
    Some((begin..rest.len()).find(is_end).map_or(rest.len(), |end| end + 1 + hashes))
}
