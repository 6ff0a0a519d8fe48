//! Checks that the pages agree with the code: documented log lines, paths and test names exist.

mod rust_files;

use std::collections::BTreeSet;
use std::path::Path;

use rust_files::read_rust_files;

/// Upper-case words in documented log lines that are not placeholders.
const FIXED_WORDS: [&str; 3] = ["IRC", "SIGHUP", "SIGTERM"];

/// Pages whose paths have to exist. Pages about plans and earlier versions are not included.
const PAGES: [&str; 11] = [
    "README.md",
    "CONTRIBUTING.md",
    "docs/architecture.md",
    "docs/deployments.md",
    "docs/design.md",
    "docs/fleet.md",
    "docs/incidents/2026-12-03-drain-after-silent-watch.md",
    "docs/oncall.md",
    "docs/operators.md",
    "docs/races.md",
    "docs/rebalancing.md",
];

/// Returns the text of a file of the repository.
fn read(path: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(path);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Returns the text of the first string literal in `source`, with line continuations joined.
fn string_literal(source: &str) -> String {
    let mut text = String::new();
    let mut characters = source.split_once('"').expect("the source has a string literal").1.chars();
    while let Some(character) = characters.next() {
        match character {
            '"' => return text,
            '\\' => match characters.next().expect("a backslash is followed by a character") {
                '\n' => text = text.trim_end().to_owned() + " ",
                escaped => text.push(escaped),
            },
            '\n' => {}
            other => text.push(other),
        }
    }
    panic!("unterminated string literal: {text}")
}

/// Returns a format string with each placeholder replaced by `*`.
fn with_wildcards(template: &str) -> String {
    let mut parts = template.split('{');
    let mut text = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        text.push('*');
        text.push_str(part.split_once('}').expect("a placeholder has a closing brace").1);
    }
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// Returns a documented log line with each placeholder, an upper-case word or `…`, replaced by `*`.
fn row_with_wildcards(line: &str) -> String {
    let mut text = String::new();
    let mut word = String::new();
    for character in line.chars().chain(std::iter::once('\0')) {
        if character.is_alphanumeric() || character == '_' {
            word.push(character);
            continue;
        }
        let is_placeholder = word.chars().any(|c| c.is_ascii_uppercase())
            && !word.chars().any(char::is_lowercase)
            && !FIXED_WORDS.contains(&word.as_str());
        text.push_str(if is_placeholder { "*" } else { &word });
        word.clear();
        text.push(if character == '…' { '*' } else { character });
    }
    text.trim_end_matches('\0').to_owned()
}

/// Returns the format strings of all log lines that a `log_event.rs` can write.
fn event_templates(path: &str) -> BTreeSet<String> {
    let source = read(path);
    let writes = source.split("write!(").skip(1);
    writes.map(|rest| with_wildcards(&string_literal(rest))).collect()
}

/// Returns the log lines in the first column of the table in docs/oncall.md. A cell may list several lines.
fn documented_lines() -> BTreeSet<String> {
    let page = read("docs/oncall.md");
    let section = page
        .split("\n## ")
        .find(|section| section.starts_with("Log lines"))
        .expect("docs/oncall.md has a section on log lines");
    let rows = section.lines().filter(|line| line.starts_with("| `"));
    let cells = rows.map(|row| row.split(" | ").next().expect("a row has a first cell"));
    let lines = cells.flat_map(|cell| cell.split('`').skip(1).step_by(2));
    lines.map(row_with_wildcards).collect()
}

#[test]
fn oncall_page_documents_exactly_the_existing_log_lines() {
    let mut written = event_templates("src/routing/log_event.rs");
    written.extend(event_templates("src/transport/log_event.rs"));
    let documented = documented_lines();

    let missing: Vec<_> = written.difference(&documented).collect();
    let outdated: Vec<_> = documented.difference(&written).collect();

    assert!(
        written.len() > 20,
        "only {} log lines were found, more than 20 are expected: {written:?}",
        written.len()
    );
    assert!(missing.is_empty(), "log lines without a row in docs/oncall.md: {missing:#?}");
    assert!(outdated.is_empty(), "rows of docs/oncall.md without a log line: {outdated:#?}");
}

#[test]
fn paths_named_in_the_pages_exist() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut path_count = 0;
    for page in PAGES {
        let text = read(page);
        for code in text.split('`').skip(1).step_by(2) {
            let is_path = ["src/", "tests/", "docs/", "simulation/", "deploy/", ".ci/"]
                .iter()
                .any(|start| code.starts_with(start));
            if is_path && !code.contains(char::is_whitespace) {
                path_count += 1;
                let exists = root.join(code).exists() || root.join(format!("{code}.rs")).exists();
                assert!(exists, "{page} names {code}, which does not exist");
            }
        }
    }
    assert!(path_count > 30, "only {path_count} paths were found in the pages, more than 30 are expected");
}

#[test]
fn tests_named_in_the_races_page_exist() {
    let sources: String = read_rust_files("tests").into_values().collect();
    let page = read("docs/races.md");
    let code_texts = page.split('`').skip(1).step_by(2);
    let is_test = |code: &&str| {
        code.matches('_').count() >= 4
            && code.chars().all(|c| c.is_ascii_lowercase() || c == '_' || c.is_ascii_digit())
    };
    let names: BTreeSet<&str> = code_texts.filter(is_test).collect();
    assert!(
        names.len() > 30,
        "only {} test names were found in docs/races.md, more than 30 are expected: {names:?}",
        names.len()
    );
    for name in names {
        assert!(sources.contains(&format!("fn {name}(")), "docs/races.md names {name}, which does not exist");
    }
}
