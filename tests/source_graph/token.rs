//! Splits Rust into the tokens that paths need.

/// A token of Rust, as far as paths need it.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Token {
    Name(String),
    PathSeparator,
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

/// Splits a source into tokens, without comments and literals.
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

fn line_length(rest: &[char]) -> usize {
    rest.iter().take_while(|&&character| character != '\n').count()
}

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

/// The length of a raw string; none for a name that begins with `r`, or a raw name.
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
