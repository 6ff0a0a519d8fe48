//! Prints comparisons as rows of a table.

use simulation::comparison::Comparison;

/// Number of violations that are printed for each comparison.
const MAX_PRINTED_VIOLATIONS: usize = 3;

pub(super) fn print_header() {
    println!(
        "| case | served value off | gain | 95% half-interval | migrations/day | per 1,000 connection-minutes | |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
}

pub(super) fn print_row(name: &str, comparison: &Comparison) {
    println!(
        "| {name} | {:.4} | {:+.4} | {:.4} | {:.1} | {:.2} | {} |",
        comparison.served_value_off,
        comparison.gain,
        comparison.half_interval,
        comparison.migrations_per_day,
        comparison.migrations_per_minute * 1000.0,
        verdict(comparison)
    );
    for violation in comparison.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("  {violation}");
    }
}

fn verdict(comparison: &Comparison) -> &'static str {
    if !comparison.violations.is_empty() {
        "INVARIANT VIOLATED"
    } else if !comparison.is_harmless() {
        "WORSE"
    } else if comparison.gain > comparison.half_interval {
        "better"
    } else {
        ""
    }
}
