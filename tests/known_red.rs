//! How CI treats the tests that are known to be red: `.ci/tests`, with this program as the tests that it runs.

use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};

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
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let file = std::env::temp_dir().join(format!("known-red-{}-{count}", std::process::id()));
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
    let line = "example_of_a_red_test | cargo test --test known_red, seed 5 | it panics | issue 32\n";
    let seedless = "example_of_a_red_test | cargo test --test known_red, no seed | it panics | issue 32\n";
    for (lines, fails, passes) in [
        ("", "none", true),
        ("\n", "red", false),
        (line, "red", true),
        (line, "none", true),
        (line, "another", false),
        (seedless, "red", true),
        (seedless, "none", true),
    ] {
        let (passed, output) = run_ci_tests(lines, fails);
        assert_eq!(passed, passes, "{lines:?} where {fails} fails: {output}");
        if lines.starts_with("example_of_a_red_test ") && passes {
            let verdict = if fails == "red" { "failed, as listed" } else { "passed this time" };
            assert!(output.contains(&format!("known red: {lines}")), "{output}");
            assert!(output.contains(&format!("known red: example_of_a_red_test {verdict}")), "{output}");
        }
    }
}

#[test]
fn refuses_a_file_with_a_malformed_or_excess_entry() {
    // Run by CI's script, it runs no second one.
    if std::env::var_os(FAILS).is_some() {
        return;
    }
    let line = "example_of_a_red_test | cargo test, seed 5 | it panics | issue 32\n";
    let not_of_the_form = "not of the form";
    for (lines, reason) in [
        ("example_of_a_red_test\n", not_of_the_form),
        // One field is missing.
        ("cargo test, seed 5 | it panics | issue 32\n", not_of_the_form),
        ("example_of_a_red_test | it panics | issue 32\n", not_of_the_form),
        ("example_of_a_red_test | cargo test, seed 5 | issue 32\n", not_of_the_form),
        ("example_of_a_red_test | cargo test, seed 5 | it panics\n", not_of_the_form),
        // One field is blank, or a part of it is missing.
        (" | cargo test, seed 5 | it panics | issue 32\n", not_of_the_form),
        ("example_of_a_red_test |   | it panics | issue 32\n", not_of_the_form),
        ("example_of_a_red_test | , seed 5 | it panics | issue 32\n", not_of_the_form),
        ("example_of_a_red_test | cargo test | it panics | issue 32\n", not_of_the_form),
        ("example_of_a_red_test | cargo test, seed 5 |   | issue 32\n", not_of_the_form),
        ("example_of_a_red_test | cargo test, seed 5 | it panics | no issue\n", not_of_the_form),
        ("example_of_a_red_test | cargo test, seed 5 | it panics | issue\n", not_of_the_form),
        ("example_of_a_red_test: it panics (issue 32)\n", not_of_the_form),
        ("example_of_a_red_test | cargo test, seed 5 | it panics | issue 32 | more\n", not_of_the_form),
        (
            "example_of_a_red | cargo test, seed 5 | half a name | issue 32\n",
            "there is not one test of the name example_of_a_red",
        ),
        (&line.repeat(2), "two entries for one test"),
        (&line.repeat(4), "4 entries, and three at most are allowed"),
    ] {
        let (passed, output) = run_ci_tests(lines, "red");
        assert!(!passed, "{lines:?} passes: {output}");
        assert!(output.contains(reason), "{lines:?} is refused for another reason: {output}");
    }
}
