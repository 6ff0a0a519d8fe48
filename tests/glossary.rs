//! Checks that the glossary maps the operators' words to terms of the code, and that the on-call page maps
//! each refusal reason to a module.

mod rust_files;

use std::collections::BTreeSet;
use std::path::Path;

use connection_balancer::RefusalReason;
use rust_files::read_rust_files;

/// Words of the operators' list. Each has to be in the first cell of a row, alone or with other words.
const OPERATORS_WORDS: [&str; 35] = [
    "turned away",
    "sent on",
    "try",
    "further try",
    "second copy",
    "safe to repeat",
    "keyed",
    "told",
    "whole",
    "drains",
    "leaves",
    "cold",
    "ramp",
    "fail-back",
    "aim",
    "worth",
    "trouble",
    "bad server",
    "thrown out",
    "probe",
    "report",
    "the list",
    "news",
    "ask",
    "a pause that grows",
    "a wait that was told",
    "room",
    "share",
    "let in",
    "refuse",
    "peers' word",
    "holder of a duty",
    "life",
    "kept",
    "held",
];

/// A row of a table with three columns.
struct Row {
    /// First cell: the words of the operators.
    words: String,
    /// Third cell: the terms of the code.
    terms: String,
}

fn repository_file(path: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(path);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Returns the words in the code of all Rust files in `src`, without comments.
fn source_identifiers() -> BTreeSet<String> {
    let sources = read_rust_files("src");
    let lines = sources.values().flat_map(|source| source.lines());
    let code = lines.map(|line| line.split("//").next().unwrap_or_default());
    let words = code.flat_map(|line| line.split(|c: char| !c.is_ascii_alphanumeric() && c != '_'));
    words.map(str::to_owned).collect()
}

/// Returns the rows of the glossary's tables with three columns, without the header rows.
fn rows() -> Vec<Row> {
    let page = repository_file("docs/glossary.md");
    let mut rows = Vec::new();
    let mut lines = page.lines().peekable();
    while let Some(line) = lines.next() {
        let is_header = lines.peek().is_some_and(|next| next.starts_with("| ---"));
        let cells: Vec<&str> = line.split(" | ").collect();
        if let ([words, _, terms], false) = (&cells[..], is_header || line.starts_with("| ---")) {
            let words = words.trim_start_matches("| ").to_owned();
            rows.push(Row { words, terms: terms.trim_end_matches(" |").to_owned() });
        }
    }
    rows
}

/// Returns the texts in code font.
fn code_terms(text: &str) -> impl Iterator<Item = &str> {
    text.split('`').skip(1).step_by(2)
}

#[test]
fn each_code_term_of_the_glossary_exists_in_the_source() {
    let source = source_identifiers();
    let rows = rows();
    let mut term_count = 0;
    for row in &rows {
        for identifier in code_terms(&row.terms).flat_map(|term| term.split("::")) {
            term_count += 1;
            assert!(
                source.contains(identifier),
                "glossary row {}: {identifier} does not exist in the source",
                row.words
            );
        }
    }
    assert!(
        rows.len() > 60 && term_count > 120,
        "only {term_count} terms in {} rows were found, more than 120 in more than 60 are expected",
        rows.len()
    );
}

#[test]
fn the_glossary_has_a_row_for_each_word_of_the_operators() {
    let rows = rows();
    for word in OPERATORS_WORDS {
        let is_same_word =
            |part: &str| part == word || part.strip_suffix(')').is_some_and(|p| p.starts_with(word));
        let has_row = rows.iter().any(|row| row.words.split(", ").any(is_same_word));
        assert!(has_row, "the glossary has no row for {word}");
    }
}

#[test]
fn each_word_of_the_glossary_has_one_row() {
    let rows = rows();
    let mut seen = BTreeSet::new();
    for row in &rows {
        assert!(seen.insert(&row.words), "the glossary has two rows for {}", row.words);
        assert!(!row.terms.is_empty(), "the glossary row for {} has no terms", row.words);
    }
}

#[test]
fn the_on_call_page_names_a_module_for_each_refusal_reason() {
    let page = repository_file("docs/oncall.md");
    let rows = page.lines().filter(|line| line.starts_with("| `"));
    let reasons_with_module: BTreeSet<&str> = rows
        .filter_map(|row| row.trim_start_matches("| ").split_once(" | "))
        .filter(|(_, rest)| code_terms(rest).any(|term| term.ends_with(".rs")))
        .flat_map(|(reason, _)| code_terms(reason))
        .collect();
    for reason in RefusalReason::ALL {
        assert!(
            reasons_with_module.contains(reason.name()),
            "docs/oncall.md has no row that names a module for {}",
            reason.name()
        );
    }
}
