//! The pages under `docs/` agree with the code that they describe.

use std::collections::BTreeSet;
use std::path::Path;

/// Upper-case words of a log line that are no placeholder.
const FIXED_WORDS: [&str; 3] = ["IRC", "SIGHUP", "SIGTERM"];

/// The pages whose paths have to exist: all but those that tell of plans and of earlier versions.
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

fn read(path: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(path);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// The text of the first string literal in `source`, line continuations joined.
fn string_literal(source: &str) -> String {
    let mut text = String::new();
    let mut characters = source.split_once('"').expect("a string literal follows").1.chars();
    while let Some(character) = characters.next() {
        match character {
            '"' => return text,
            '\\' => match characters.next().expect("an escaped character follows") {
                '\n' => text = text.trim_end().to_owned() + " ",
                escaped => text.push(escaped),
            },
            '\n' => {}
            other => text.push(other),
        }
    }
    panic!("the string literal has no end: {text}")
}

/// A format string with each placeholder as `*`.
fn with_wildcards(template: &str) -> String {
    let mut parts = template.split('{');
    let mut text = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        text.push('*');
        text.push_str(part.split_once('}').expect("a placeholder ends").1);
    }
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// A line as the page writes it, with each upper-case word and each `…` as `*`.
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

/// The format strings of all events that a `log_event.rs` can write.
fn event_templates(path: &str) -> BTreeSet<String> {
    let source = read(path);
    let writes = source.split("write!(").skip(1);
    writes.map(|rest| with_wildcards(&string_literal(rest))).collect()
}

/// The first cells of the page's table of log lines; one cell may name several lines.
fn documented_lines() -> BTreeSet<String> {
    let page = read("docs/oncall.md");
    let section =
        page.split("\n## ").find(|section| section.starts_with("Log lines")).expect("a section on log lines");
    let rows = section.lines().filter(|line| line.starts_with("| `"));
    let cells = rows.map(|row| row.split(" | ").next().expect("a row has a first cell"));
    let lines = cells.flat_map(|cell| cell.split('`').skip(1).step_by(2));
    lines.map(row_with_wildcards).collect()
}

#[test]
fn oncall_page_documents_exactly_the_log_lines_that_there_are() {
    let mut written = event_templates("src/routing/log_event.rs");
    written.extend(event_templates("src/transport/log_event.rs"));
    let documented = documented_lines();

    let missing: Vec<_> = written.difference(&documented).collect();
    let surplus: Vec<_> = documented.difference(&written).collect();

    assert!(written.len() > 20, "the events are read: {written:?}");
    assert!(missing.is_empty(), "log lines without a row in docs/oncall.md: {missing:#?}");
    assert!(surplus.is_empty(), "rows of docs/oncall.md without a log line: {surplus:#?}");
}

#[test]
fn paths_named_in_the_pages_exist() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut named = 0;
    for page in PAGES {
        let text = read(page);
        for code in text.split('`').skip(1).step_by(2) {
            let is_path = ["src/", "tests/", "docs/", "simulation/", "deploy/", ".ci/"]
                .iter()
                .any(|start| code.starts_with(start));
            if is_path && !code.contains(char::is_whitespace) {
                named += 1;
                let exists = root.join(code).exists() || root.join(format!("{code}.rs")).exists();
                assert!(exists, "{page} names {code}, which does not exist");
            }
        }
    }
    assert!(named > 30, "paths are found in the pages: {named}");
}

/// Adds the text of each source file in a folder and its subfolders.
fn add_sources(folder: &Path, sources: &mut String) {
    for entry in std::fs::read_dir(folder).expect("a folder of tests can be read") {
        let path = entry.expect("an entry of a folder can be read").path();
        if path.is_dir() {
            add_sources(&path, sources);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            sources.push_str(&std::fs::read_to_string(path).expect("a test file can be read"));
        }
    }
}

#[test]
fn tests_named_in_the_page_of_races_exist() {
    let mut sources = String::new();
    add_sources(&Path::new(env!("CARGO_MANIFEST_DIR")).join("tests"), &mut sources);
    let page = read("docs/races.md");
    let codes = page.split('`').skip(1).step_by(2);
    let is_test = |code: &&str| {
        code.matches('_').count() >= 4
            && code.chars().all(|c| c.is_ascii_lowercase() || c == '_' || c.is_ascii_digit())
    };
    let names: BTreeSet<&str> = codes.filter(is_test).collect();
    assert!(names.len() > 30, "tests are found in the page: {names:?}");
    for name in names {
        assert!(sources.contains(&format!("fn {name}(")), "docs/races.md names {name}, which is no test");
    }
}
