//! Tests of `.ci/tests`, which runs all tests and lets those listed as known to fail ("known red") fail. The
//! script is run with this test program as the tests that it runs.

use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Environment variable that is set while CI's script runs this program. Its value chooses the example test
/// that fails.
const FAILING_EXAMPLE: &str = "KNOWN_RED_FAILS";

fn fail_if_chosen(name: &str) {
    assert!(
        std::env::var(FAILING_EXAMPLE).map_or(true, |failing| failing != name),
        "{name} was chosen to fail"
    );
}

#[test]
fn example_of_a_red_test() {
    fail_if_chosen("red");
}

#[test]
fn example_of_another_test() {
    fail_if_chosen("another");
}

/// Runs CI's script with a known-red file of these lines, and with the example test `failing` set to fail.
/// Returns whether the script passed, and its standard output.
fn run_ci_tests(lines: &str, failing: &str) -> (bool, String) {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let file = std::env::temp_dir().join(format!("known-red-{}-{count}", std::process::id()));
    std::fs::write(&file, lines).expect("the known-red file can be written");
    let mut command = Command::new("bash");
    command.arg(concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/tests")).arg(&file);
    command
        .arg(std::env::current_exe().expect("the path of this program is known"))
        .env(FAILING_EXAMPLE, failing);
    let output = command.output().expect("bash can be run");
    std::fs::remove_file(file).expect("the known-red file can be removed");
    (output.status.success(), String::from_utf8_lossy(&output.stdout).into_owned())
}

#[test]
fn passes_only_where_named_tests_fail_and_prints_them() {
    // Under CI's script this test does nothing, because it would run the script again without end.
    if std::env::var_os(FAILING_EXAMPLE).is_some() {
        return;
    }
    let line = "example_of_a_red_test | cargo test --test known_red, seed 5 | it panics | issue 32\n";
    let seedless = "example_of_a_red_test | cargo test --test known_red, no seed | it panics | issue 32\n";
    for (lines, failing, passes) in [
        ("", "none", true),
        ("\n", "red", false),
        (line, "red", true),
        (line, "none", true),
        (line, "another", false),
        (seedless, "red", true),
        (seedless, "none", true),
    ] {
        let (passed, output) = run_ci_tests(lines, failing);
        assert_eq!(passed, passes, "known-red file {lines:?}, failing test {failing}: {output}");
        if lines.starts_with("example_of_a_red_test ") && passes {
            let verdict = if failing == "red" { "failed, as listed" } else { "passed this time" };
            assert!(output.contains(&format!("known red: {lines}")), "{output}");
            assert!(output.contains(&format!("known red: example_of_a_red_test {verdict}")), "{output}");
        }
    }
}

#[test]
fn refuses_a_file_with_a_malformed_or_excess_entry() {
    // Under CI's script this test does nothing, because it would run the script again without end.
    if std::env::var_os(FAILING_EXAMPLE).is_some() {
        return;
    }
    let line = "example_of_a_red_test | cargo test, seed 5 | it panics | issue 32\n";
    let malformed = "malformed entry, expected";
    for (lines, reason) in [
        ("example_of_a_red_test\n", malformed),
        // One field is missing.
        ("cargo test, seed 5 | it panics | issue 32\n", malformed),
        ("example_of_a_red_test | it panics | issue 32\n", malformed),
        ("example_of_a_red_test | cargo test, seed 5 | issue 32\n", malformed),
        ("example_of_a_red_test | cargo test, seed 5 | it panics\n", malformed),
        // One field is blank, or a part of it is missing.
        (" | cargo test, seed 5 | it panics | issue 32\n", malformed),
        ("example_of_a_red_test |   | it panics | issue 32\n", malformed),
        ("example_of_a_red_test | , seed 5 | it panics | issue 32\n", malformed),
        ("example_of_a_red_test | cargo test | it panics | issue 32\n", malformed),
        ("example_of_a_red_test | cargo test, seed 5 |   | issue 32\n", malformed),
        ("example_of_a_red_test | cargo test, seed 5 | it panics | no issue\n", malformed),
        ("example_of_a_red_test | cargo test, seed 5 | it panics | issue\n", malformed),
        ("example_of_a_red_test: it panics (issue 32)\n", malformed),
        ("example_of_a_red_test | cargo test, seed 5 | it panics | issue 32 | more\n", malformed),
        (
            "example_of_a_red | cargo test, seed 5 | half a name | issue 32\n",
            "expected exactly one test named example_of_a_red",
        ),
        (&line.repeat(2), "two entries name the same test"),
        (&line.repeat(4), "4 entries exceed the limit of 3"),
    ] {
        let (passed, output) = run_ci_tests(lines, "red");
        assert!(!passed, "known-red file {lines:?} is accepted: {output}");
        assert!(
            output.contains(reason),
            "known-red file {lines:?} is not rejected with {reason:?}: {output}"
        );
    }
}
