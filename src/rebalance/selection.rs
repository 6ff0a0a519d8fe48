//! Which of a server's candidates are migrated now.
//!
//! **Decided:** the candidates of one server that are migrated at this evaluation.
//!
//! **Inputs:** the candidates; their gain and cost; the tokens of the migration rate, one for each client; the slots
//! that may be migrated.
//!
//! **Rule:** worthwhile candidates are taken in the order of gain over cost while tokens and slots last. A candidate may
//! exceed the remaining slots by half of its own. One that needs more tokens than there are now, but no more than can be
//! saved up, ends the selection.
//!
//! **Reason:** a small excess would otherwise never be relieved, as a candidate may be larger than it. Single
//! connections would otherwise use each token as it comes, and no group would ever be migrated.

use super::cost_benefit::CostBenefit;
use super::migration_candidates::MigrationCandidate;

/// The least share of a candidate's slots that has to be within the limit.
const MIN_FITTING_SHARE: f64 = 0.5;

/// What may be migrated away from one server now.
#[derive(Clone, Copy, Debug)]
pub(super) struct MigrationLimits {
    /// Clients that may be migrated now.
    pub(super) tokens: f64,
    /// Clients that may be migrated at once after all tokens have been saved up.
    pub(super) max_tokens: f64,
    /// Slots that may be migrated now.
    pub(super) slots: f64,
}

/// The candidates that are migrated now.
pub(super) fn select_candidates(
    candidates: Vec<MigrationCandidate>,
    cost_benefit: &CostBenefit,
    limits: MigrationLimits,
) -> Vec<MigrationCandidate> {
    let mut worthwhile: Vec<MigrationCandidate> =
        candidates.into_iter().filter(|candidate| cost_benefit.is_worthwhile(candidate)).collect();
    worthwhile.sort_by(|a, b| cost_benefit.order(a, b));
    take_within_limits(worthwhile, limits)
}

fn take_within_limits(
    candidates: Vec<MigrationCandidate>,
    limits: MigrationLimits,
) -> Vec<MigrationCandidate> {
    let MigrationLimits { mut tokens, max_tokens, mut slots } = limits;
    let mut selected = Vec::new();
    for candidate in candidates {
        let clients = candidate.members.len() as f64;
        let fits = candidate.slots * MIN_FITTING_SHARE <= slots;
        let is_worth_saving_for = clients > tokens && clients <= max_tokens && fits;
        if is_worth_saving_for {
            break;
        }
        if clients <= tokens && fits && slots > 0.0 {
            tokens -= clients;
            slots -= candidate.slots;
            selected.push(candidate);
        }
    }
    selected
}
