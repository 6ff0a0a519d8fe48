//! Splits Rust source into its comments, string literals and names, and these into words.

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

/// Returns the number of characters of a string literal with `hashes`, from its opening quote on.
fn literal_length(rest: &[char], hashes: Option<usize>) -> usize {
    let mut at = 1;
    while at < rest.len() {
        let after = &rest[at + 1..];
        match (rest[at], hashes) {
            ('\\', None) => at += 1,
            ('"', None) => return at + 1,
            ('"', Some(count)) if after.iter().take_while(|&&next| next == '#').count() >= count => {
                return at + 1 + count;
            }
            _ => {}
        }
        at += 1;
    }
    rest.len()
}

/// Returns the place and the length of the part at the start of `rest`, or `None` for any other character.
fn next_part(rest: &[char]) -> (Option<Place>, usize) {
    let count = |rest: &[char], is: fn(char) -> bool| rest.iter().take_while(|&&next| is(next)).count();
    match rest {
        ['/', '/', ..] => (Some(Comments), count(rest, |next| next != '\n')),
        ['/', '*', after @ ..] => {
            let end = after.windows(2).position(|two| two == ['*', '/']);
            (Some(Comments), end.map_or(rest.len(), |end| 2 + end + 2))
        }
        ['b', 'r', '"' | '#', ..] => {
            let (place, length) = next_part(&rest[1..]);
            (place, 1 + length)
        }
        ['"', ..] => (Some(Texts), literal_length(rest, None)),
        ['r', after @ ..] if after.get(count(after, |next| next == '#')) == Some(&'"') => {
            let hashes = count(after, |next| next == '#');
            (Some(Texts), 1 + hashes + literal_length(&after[hashes..], Some(hashes)))
        }
        ['\'', '\\', _, after @ ..] => (None, 4 + count(after, |next| next != '\'')),
        ['\'', _, '\'', ..] => (None, 3),
        [first, ..] if first.is_alphanumeric() || *first == '_' => {
            (Some(Names), count(rest, |next| next.is_alphanumeric() || next == '_'))
        }
        _ => (None, 1),
    }
}

/// Returns the comments, texts and names of a source.
pub(super) fn parts(source: &str) -> Vec<Part> {
    let characters: Vec<char> = source.chars().collect();
    let mut parts: Vec<Part> = Vec::new();
    let (mut at, mut line, mut follows_comment) = (0, 1, false);
    while at < characters.len() {
        let (place, length) = next_part(&characters[at..]);
        let text: String = characters[at..(at + length).min(characters.len())].iter().collect();
        if let Some(place) = place.filter(|&place| place != Texts || text.contains(' ')) {
            if place != Comments || !follows_comment {
                let literal =
                    text.trim_start_matches(['b', 'r', '#']).trim_matches('#').trim_matches('"').to_owned();
                parts.push(Part { place, literal, words: Vec::new() });
            }
            // An escape sequence separates words.
            let unescaped = text.replace("\\n", "  ").replace("\\t", "  ").replace("\\r", "  ");
            add_words(&mut parts.last_mut().expect("a part was added").words, &unescaped, line);
        }
        follows_comment = place == Some(Comments) || (follows_comment && text.trim().is_empty());
        line += text.matches('\n').count();
        at += length;
    }
    parts
}
