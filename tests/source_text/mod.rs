//! Splits Rust source into its comments, string literals and names, and these into words.

use crate::rust_lexer::{lexemes, LexemeKind};
use Place::{Comments, Names, Texts};

/// Part of a source in which a word is looked for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Place {
    /// Comments and doc comments. Comments on consecutive lines are one text.
    Comments,
    /// String literals that contain a space.
    Texts,
    /// Identifiers, split at underscores and capitals.
    Names,
}

/// A comment, text or name.
pub(super) struct Part {
    /// Where the part was found.
    pub(super) place: Place,
    /// The text between the quotes of a string literal, as it is written in the source.
    pub(super) literal: String,
    /// Words in lower case, each with its line. Punctuation is the word `.`.
    pub(super) words: Vec<(String, usize)>,
}

/// Appends the words of `text`, which begins on `line`, in lower case. A hyphen between letters joins words.
fn add_words(words: &mut Vec<(String, usize)>, text: &str, mut line: usize) {
    let (mut word, mut last) = (String::new(), ' ');
    for character in text.chars().chain([' ']) {
        let is_capital_in_name = character.is_uppercase() && last.is_lowercase();
        if !word.is_empty() && (is_capital_in_name || !(character.is_alphanumeric() || character == '-')) {
            words.push((std::mem::take(&mut word).trim_end_matches('-').to_owned(), line));
        }
        match character {
            '-' if word.is_empty() => {}
            _ if character.is_alphanumeric() || character == '-' => word.extend(character.to_lowercase()),
            '.' | ',' | ';' | ':' | '(' | ')' | '=' => words.push((".".to_owned(), line)),
            _ => line += usize::from(character == '\n'),
        }
        last = character;
    }
}

/// Returns the place of a lexeme, or `None` if its words are not read.
fn place_of(kind: LexemeKind, text: &str) -> Option<Place> {
    match kind {
        LexemeKind::Comment => Some(Comments),
        LexemeKind::StringLiteral => text.contains(' ').then_some(Texts),
        LexemeKind::Name => Some(Names),
        LexemeKind::CharacterLiteral | LexemeKind::Symbol => None,
    }
}

/// Returns the comments, texts and names of a source.
pub(super) fn parts(source: &str) -> Vec<Part> {
    let mut parts: Vec<Part> = Vec::new();
    let (mut line, mut follows_comment) = (1, false);
    for (kind, text) in lexemes(source) {
        if let Some(place) = place_of(kind, &text) {
            if place != Comments || !follows_comment {
                let literal =
                    text.trim_start_matches(['b', 'r', '#']).trim_matches('#').trim_matches('"').to_owned();
                parts.push(Part { place, literal, words: Vec::new() });
            }
            // An escape sequence separates words.
            let unescaped = text.replace("\\n", "  ").replace("\\t", "  ").replace("\\r", "  ");
            add_words(&mut parts.last_mut().expect("a part was added").words, &unescaped, line);
        }
        follows_comment = kind == LexemeKind::Comment || (follows_comment && text.trim().is_empty());
        line += text.matches('\n').count();
    }
    parts
}
