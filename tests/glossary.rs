//! The pages lead from the operators' words, and from each reason of a refusal, to terms that the code uses.

use std::collections::BTreeSet;
use std::path::Path;

use connection_balancer::RefusalReason;

/// The words of the operators' list: each begins the first cell of a row, or is one of several there.
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

/// A row of a table that leads to the code.
struct Row {
    words: String,
    terms: String,
}

fn repository_file(path: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(path);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Adds the identifiers of all Rust files under `folder`; comments are left out.
fn collect_identifiers(folder: &Path, identifiers: &mut BTreeSet<String>) {
    for entry in std::fs::read_dir(folder).expect("a source folder can be read") {
        let path = entry.expect("an entry of a source folder can be read").path();
        if path.is_dir() {
            collect_identifiers(&path, identifiers);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            let source = std::fs::read_to_string(&path).expect("a source file can be read");
            let code = source.lines().map(|line| line.split("//").next().unwrap_or_default());
            let words = code.flat_map(|line| line.split(|c: char| !c.is_ascii_alphanumeric() && c != '_'));
            identifiers.extend(words.map(str::to_owned));
        }
    }
}

fn source_identifiers() -> BTreeSet<String> {
    let mut identifiers = BTreeSet::new();
    collect_identifiers(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"), &mut identifiers);
    identifiers
}

/// The rows of the tables with three columns, without their heads.
fn rows() -> Vec<Row> {
    let page = repository_file("docs/glossary.md");
    let mut rows = Vec::new();
    let mut lines = page.lines().peekable();
    while let Some(line) = lines.next() {
        let is_head = lines.peek().is_some_and(|next| next.starts_with("| ---"));
        let cells: Vec<&str> = line.split(" | ").collect();
        if let ([words, _, terms], false) = (&cells[..], is_head || line.starts_with("| ---")) {
            let words = words.trim_start_matches("| ").to_owned();
            rows.push(Row { words, terms: terms.trim_end_matches(" |").to_owned() });
        }
    }
    rows
}

/// The texts in code font.
fn code_terms(text: &str) -> impl Iterator<Item = &str> {
    text.split('`').skip(1).step_by(2)
}

#[test]
fn each_code_term_of_the_glossary_exists_in_the_source() {
    let source = source_identifiers();
    let rows = rows();
    let mut named = 0;
    for row in &rows {
        for identifier in code_terms(&row.terms).flat_map(|term| term.split("::")) {
            named += 1;
            assert!(source.contains(identifier), "{}: {identifier} is not in the source", row.words);
        }
    }
    assert!(rows.len() > 60 && named > 120, "terms are found: {named} in {} rows", rows.len());
}

#[test]
fn the_glossary_has_a_row_for_each_word_of_the_operators() {
    let rows = rows();
    for word in OPERATORS_WORDS {
        let is_word =
            |part: &str| part == word || part.strip_suffix(')').is_some_and(|p| p.starts_with(word));
        let has_row = rows.iter().any(|row| row.words.split(", ").any(is_word));
        assert!(has_row, "{word} has no row");
    }
}

#[test]
fn each_word_of_the_glossary_has_one_row() {
    let rows = rows();
    let mut seen = BTreeSet::new();
    for row in &rows {
        assert!(seen.insert(&row.words), "{} has two rows", row.words);
        assert!(!row.terms.is_empty(), "{} leads nowhere", row.words);
    }
}

#[test]
fn the_on_call_page_leads_from_each_refusal_reason_to_a_module() {
    let page = repository_file("docs/oncall.md");
    let rows = page.lines().filter(|line| line.starts_with("| `"));
    let decided: BTreeSet<&str> = rows
        .filter_map(|row| row.trim_start_matches("| ").split_once(" | "))
        .filter(|(_, rest)| code_terms(rest).any(|term| term.ends_with(".rs")))
        .flat_map(|(reason, _)| code_terms(reason))
        .collect();
    for reason in RefusalReason::ALL {
        assert!(decided.contains(reason.name()), "{} has no row that names a module", reason.name());
    }
}
