//! How CI treats the tests that are known to be red: `.ci/tests`, with this program as the tests that it runs.

use std::process::Command;

/// Set where CI's script runs this program: which of the tests below is to fail.
const FAILS: &str = "KNOWN_RED_FAILS";

fn fail_if_chosen(name: &str) {
    assert!(std::env::var(FAILS).map_or(true, |fails| fails != name), "{name} is to fail");
}

#[test]
fn example_of_a_red_test() {
    fail_if_chosen("red");
}

#[test]
fn example_of_another_test() {
    fail_if_chosen("another");
}

/// Runs CI's script with this file of known red tests. Returns whether it passes, and all that it printed.
fn run_ci_tests(lines: &str, fails: &str) -> (bool, String) {
    let file = std::env::temp_dir().join(format!("known-red-{}-{fails}-{}", std::process::id(), lines.len()));
    std::fs::write(&file, lines).expect("written");
    let mut command = Command::new("bash");
    command.arg(concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/tests")).arg(&file);
    command.arg(std::env::current_exe().expect("this program")).env(FAILS, fails);
    let output = command.output().expect("runs");
    std::fs::remove_file(file).expect("removed");
    (output.status.success(), String::from_utf8_lossy(&output.stdout).into_owned())
}

#[test]
fn passes_only_where_named_tests_fail_and_prints_them() {
    // Run by CI's script, it runs no second one.
    if std::env::var_os(FAILS).is_some() {
        return;
    }
    let line = "example_of_a_red_test: nothing mends it yet (issue 32)\n";
    for (lines, fails, passes) in [
        ("", "none", true),
        ("\n", "red", false),
        (line, "red", true),
        (line, "none", true),
        (line, "another", false),
        ("example_of_a_red: half a name (issue 32)\n", "red", false),
        ("example_of_a_red_test\n", "red", false),
        ("example_of_a_red_test: no issue\n", "red", false),
        (&line.repeat(4), "red", false),
    ] {
        let (passed, output) = run_ci_tests(lines, fails);
        assert_eq!(passed, passes, "{lines:?} where {fails} fails: {output}");
        if lines == line && passes {
            let verdict = if fails == "red" { "failed, as listed" } else { "passed this time" };
            assert!(output.contains(&format!("known red: {line}")), "{output}");
            assert!(output.contains(&format!("known red: example_of_a_red_test {verdict}")), "{output}");
        }
    }
}
