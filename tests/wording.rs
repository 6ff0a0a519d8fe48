//! Fails on words that the code no longer uses, with the file, the line and the word to use instead.
//! Comments, string literals that contain a space, and identifiers are checked. A string literal without a
//! space can be a name on a wire or a key of the settings, so it is not checked.

mod rust_files;
mod rust_lexer;
mod source_text;

use rust_files::read_rust_files;
use source_text::parts;
use source_text::Place::{self, Comments, Names, Texts};

/// All places.
const EVERYWHERE: &[Place] = &[Comments, Texts, Names];

/// Words with the same meaning that the code no longer uses.
#[derive(Debug)]
struct Withdrawn {
    /// Words in lower case, separated by `|`. Each is a word, or a few that follow one another.
    words: &'static str,
    /// Words to use instead.
    instead: &'static str,
    /// Places in which the word is reported.
    places: &'static [Place],
}

const fn withdrawn(words: &'static str, instead: &'static str, places: &'static [Place]) -> Withdrawn {
    Withdrawn { words, instead, places }
}

/// Withdrawn words, their replacement, and the places in which they are reported. The names `leg`, `patience`
/// and `worth` are keys in settings and on the simulator's wire, which tests quote in longer texts.
const WITHDRAWN: &[Withdrawn] = &[
    withdrawn("nobody", "no client, or the noun", EVERYWHERE),
    withdrawn("in vain|vain", "that the request failed or timed out", EVERYWHERE),
    withdrawn("all the same", "still or anyway", EVERYWHERE),
    withdrawn("is over|are over", "ends, expires or exceeds", &[Comments, Texts]),
    withdrawn("go on|goes on|going on|went on", "continue", EVERYWHERE),
    withdrawn("anew", "again", EVERYWHERE),
    withdrawn("set-up|set-ups", "setup", EVERYWHERE),
    withdrawn("time-out|time-outs", "timeout", EVERYWHERE),
    withdrawn("turned away", "rejected", EVERYWHERE),
    withdrawn("bear|bears", "handle", EVERYWHERE),
    withdrawn("so do|so does", "a sentence with its own verb", EVERYWHERE),
    withdrawn("also those", "including", EVERYWHERE),
    withdrawn("circle|circles", "cycle", EVERYWHERE),
    withdrawn("judge|judged|judges|judgement|judgements", "compare, or the comparison", EVERYWHERE),
    withdrawn("heir|heirs", "successor", EVERYWHERE),
    withdrawn("bequeath|bequeaths|bequeathed|legacy", "export, or the exported state", EVERYWHERE),
    withdrawn("acquirer|acquirers", "client", EVERYWHERE),
    withdrawn("issuer|issuers", "server", EVERYWHERE),
    withdrawn("authorisation|authorisations", "connection request", EVERYWHERE),
    withdrawn("patience", "timeout", &[Comments, Names]),
    withdrawn("greeting|greetings", "client command", EVERYWHERE),
    withdrawn("news|desk", "update", EVERYWHERE),
    withdrawn("told", "notified", EVERYWHERE),
    withdrawn("for ever", "forever, or without limit", EVERYWHERE),
    withdrawn("taken for a", "treated as", EVERYWHERE),
    withdrawn("stand|stands", "is or means", EVERYWHERE),
    withdrawn("come|comes", "arrives", EVERYWHERE),
    withdrawn("where it is|where that is", "the noun in place of the pronoun", EVERYWHERE),
    withdrawn("leg|legs", "attempt", &[Comments, Names]),
    withdrawn("tape", "record", EVERYWHERE),
    withdrawn("worth", "weight, value or cost", &[Comments, Names]),
    withdrawn("riddle|riddles", "a plain statement", EVERYWHERE),
    withdrawn("so many", "the number", EVERYWHERE),
    withdrawn("as they are", "unchanged", EVERYWHERE),
    withdrawn("lets go", "releases or closes", EVERYWHERE),
    withdrawn("nothing of", "no, and the noun", EVERYWHERE),
    withdrawn("the rest is", "the remaining, and the noun", EVERYWHERE),
];

/// A literal that has to contain a withdrawn word.
struct Exemption {
    /// The whole literal, as it is written in the source.
    text: &'static str,
    /// Why the literal stays.
    reason: &'static str,
}

const EXEMPTIONS: [Exemption; 3] = [
    Exemption { text: "turned away", reason: "the operators' word, which tests/glossary.rs looks up" },
    Exemption { text: "a wait that was told", reason: "the operators' words, as above" },
    Exemption { text: ":anew.test PONG anew.test", reason: "a server name that a test of IRC configures" },
];

/// Returns a line for each withdrawn word of a source, in the order of the source.
fn findings(file: &str, source: &str) -> Vec<String> {
    let mut findings = Vec::new();
    for part in parts(source) {
        let exempted = |exemption: &Exemption| part.place == Texts && part.literal == exemption.text;
        if EXEMPTIONS.iter().any(exempted) {
            continue;
        }
        for withdrawn in WITHDRAWN.iter().filter(|withdrawn| withdrawn.places.contains(&part.place)) {
            for word in withdrawn.words.split('|') {
                let sequence: Vec<&str> = word.split(' ').collect();
                for found in part.words.windows(sequence.len()) {
                    if found.iter().map(|(word, _)| word.as_str()).eq(sequence.iter().copied()) {
                        let (line, place, instead) = (found[0].1, part.place, withdrawn.instead);
                        findings.push(format!("{file}:{line}: {word:?} in {place:?}; use: {instead}"));
                    }
                }
            }
        }
    }
    findings
}

#[test]
fn the_code_has_no_withdrawn_words() {
    let mut sources = String::new();
    let mut files = 0;
    let mut all = Vec::new();
    for folder in ["src", "tests", "simulation/src", "simulation/tests", "benches"] {
        for (file, source) in read_rust_files(folder) {
            let file = format!("{folder}/{file}");
            if file == "tests/wording.rs" {
                continue;
            }
            files += 1;
            all.extend(findings(&file, &source));
            sources.push_str(&source);
        }
    }
    assert!(files > 250, "only {files} files were found, more than 250 are expected");
    assert!(all.is_empty(), "words that the code no longer uses:\n{}", all.join("\n"));
    for Exemption { text, reason } in EXEMPTIONS {
        assert!(
            sources.contains(&format!("\"{text}\"")),
            "no source contains {text:?}, exempted as {reason}"
        );
    }
}

#[test]
fn finds_each_withdrawn_word_in_comments_texts_and_names() {
    for withdrawn in WITHDRAWN {
        for word in withdrawn.words.split('|') {
            let (first, rest) = word.split_once(' ').unwrap_or((word, ""));
            let name = word.replace(' ', "_");
            let capital = first[..1].to_uppercase() + &first[1..];
            let comment =
                format!("\n    /// It was\n    /// {capital}\n    /// {rest}, once.\nfn f() {{}}\n");
            let text = format!("let a =\n'\"'; g(r#\"said \"{word}\"\"#);\n");
            for (place, source, line) in
                [(Comments, comment, 3), (Texts, text, 2), (Names, format!("\n\nfn is_{name}_x() {{}}"), 3)]
            {
                let reported = format!("a.rs:{line}: {word:?} in {place:?}; use: {}", withdrawn.instead);
                // A hyphenated word cannot be in a name.
                let is_expected =
                    withdrawn.places.contains(&place) && (place != Names || !word.contains('-'));
                let found = findings("a.rs", &source);
                assert_eq!(found.contains(&reported), is_expected, "{source}: {found:?}");
            }
        }
    }
    assert_eq!(findings("a.rs", "struct LastHeirList;").len(), 1);
    assert_eq!(findings("a.rs", "/* an \" heir */ f(br#\"{\"a\\\"#, 'x', \"an heir\");").len(), 2);
}

#[test]
fn one_word_literals_and_longer_words_are_not_reported() {
    let sources = [
        r#"const KEYS: [&str; 4] = ["legs", "news", "over-share-worth", r"told"];"#,
        "// The outcome of their bearer, a circled newsletter and an over-share-worth.",
        "let text = \"an outcome of their bearer, \\\" and \\ttold-off standing\";",
        "fn outcome_of_their_bearers(newsletter: Welcome, standing: Outcomes) -> char { 'n' }",
        "// The load is. Over this limit, as. They are so.\nfn all() {}\n// many the same",
    ];
    for source in sources {
        assert_eq!(findings("a.rs", source), Vec::<String>::new(), "{source}");
    }
}
