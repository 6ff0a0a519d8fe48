//! What CI makes of the tests that are known to be red: `.ci/tests`, with this program as the tests that it runs.

use std::process::Command;

/// Set where CI's script runs this program: which of the tests below is to fail.
const FAILS: &str = "KNOWN_RED_FAILS";

fn stand_in(name: &str) {
    assert!(std::env::var(FAILS).map_or(true, |fails| fails != name), "{name} is to fail");
}

#[test]
fn stand_in_for_a_red_test() {
    stand_in("red");
}

#[test]
fn stand_in_for_another_test() {
    stand_in("another");
}

/// Whether CI would pass, and all that it printed.
fn played(lines: &str, fails: &str) -> (bool, String) {
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
fn only_the_tests_that_are_named_may_fail_and_they_are_run_and_told() {
    // Run by CI's script, it runs no second one.
    if std::env::var_os(FAILS).is_some() {
        return;
    }
    let line = "stand_in_for_a_red_test: nothing mends it yet (issue 32)\n";
    for (lines, fails, passes) in [
        ("", "none", true),
        ("\n", "red", false),
        (line, "red", true),
        (line, "none", true),
        (line, "another", false),
        ("stand_in_for_a_red: half a name (issue 32)\n", "red", false),
        ("stand_in_for_a_red_test\n", "red", false),
        ("stand_in_for_a_red_test: no issue\n", "red", false),
        (&line.repeat(4), "red", false),
    ] {
        let (passed, told) = played(lines, fails);
        assert_eq!(passed, passes, "{lines:?} where {fails} fails: {told}");
        if lines == line && passes {
            let verdict = if fails == "red" { "failed, as told" } else { "passed this time" };
            assert!(told.contains(&format!("known red: {line}")), "{told}");
            assert!(told.contains(&format!("known red: stand_in_for_a_red_test {verdict}")), "{told}");
        }
    }
}
