//! Splits Rust source into the tokens that are needed to read paths.

/// A token of Rust source.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Token {
    /// An identifier, a keyword or a number.
    Name(String),
    /// `::`
    PathSeparator,
    /// Any other character that is not white space.
    Symbol(char),
}

impl Token {
    pub(super) fn is_name(&self, name: &str) -> bool {
        matches!(self, Token::Name(own) if own == name)
    }
}

fn is_name_character(character: char) -> bool {
    character.is_alphanumeric() || character == '_'
}

/// Splits a source into tokens. Comments, character literals and string literals are skipped.
pub(super) fn tokenize(source: &str) -> Vec<Token> {
    let characters: Vec<char> = source.chars().collect();
    let mut tokens = Vec::new();
    let mut at = 0;
    while at < characters.len() {
        let rest = &characters[at..];
        at += match rest {
            ['/', '/', ..] => line_length(rest),
            ['/', '*', ..] => block_comment_length(rest),
            ['"', ..] => string_length(rest),
            ['r', '"' | '#', ..] if raw_string_length(rest).is_some() => {
                raw_string_length(rest).unwrap_or_default()
            }
            ['\'', '\\', ..] => 3 + rest[3..].iter().take_while(|&&character| character != '\'').count() + 1,
            ['\'', _, '\'', ..] => 3,
            [':', ':', ..] => {
                tokens.push(Token::PathSeparator);
                2
            }
            [first, ..] if is_name_character(*first) => {
                let name: String = rest.iter().copied().take_while(|&next| is_name_character(next)).collect();
                let length = name.chars().count();
                tokens.push(Token::Name(name));
                length
            }
            [first, ..] => {
                if !first.is_whitespace() {
                    tokens.push(Token::Symbol(*first));
                }
                1
            }
            [] => 1,
        };
    }
    tokens
}

/// Returns the number of characters up to the end of the line.
fn line_length(rest: &[char]) -> usize {
    rest.iter().take_while(|&&character| character != '\n').count()
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

/// Returns the length of a raw string, or `None` for a name that begins with `r` or a raw identifier.
fn raw_string_length(rest: &[char]) -> Option<usize> {
    let hashes = rest[1..].iter().take_while(|&&character| character == '#').count();
    if rest.get(1 + hashes) != Some(&'"') {
        return None;
    }
    let begin = 2 + hashes;
    let is_end = |at: &usize| {
        rest[*at] == '"' && rest[at + 1..].iter().take(hashes).filter(|&&next| next == '#').count() == hashes
    };
    Some((begin..rest.len()).find(is_end).map_or(rest.len(), |end| end + 1 + hashes))
}
