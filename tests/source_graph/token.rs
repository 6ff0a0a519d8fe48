//! Splits Rust source into the tokens that are needed to read paths.

use crate::rust_lexer::{lexemes, LexemeKind};

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

/// Splits a source into tokens. Comments, character literals and string literals are skipped.
pub(super) fn tokenize(source: &str) -> Vec<Token> {
    lexemes(source).into_iter().filter_map(|(kind, text)| token_of(kind, text)).collect()
}

fn token_of(kind: LexemeKind, text: String) -> Option<Token> {
    match kind {
        LexemeKind::Name => Some(Token::Name(text)),
        LexemeKind::Symbol if text == "::" => Some(Token::PathSeparator),
        LexemeKind::Symbol => text.chars().next().filter(|symbol| !symbol.is_whitespace()).map(Token::Symbol),
        LexemeKind::Comment | LexemeKind::StringLiteral | LexemeKind::CharacterLiteral => None,
    }
}
