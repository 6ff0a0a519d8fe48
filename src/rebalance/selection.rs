//! Selects the candidates of a server that are migrated now.
//!
//! **Decided:** the candidates of one server that are migrated at this evaluation.
//!
//! **Inputs:** the candidates; their gain and cost; the tokens of the migration rate, of which each client
//! needs one; the slots that may be migrated.
//!
//! **Rule:** candidates whose gain is large enough are selected in the order of gain over cost until tokens
//! or slots are used up. A candidate may exceed the remaining slots by half of its own slots. A candidate
//! that needs more tokens than are available, but no more than can be saved up, ends the selection.
//!
//! **Reason:** a candidate may be larger than a small excess. Without the allowance for exceeding the
//! remaining slots, such an excess would never be relieved. Without the saving of tokens, single connections
//! would use each token as soon as it is added, and no group would ever be migrated.

use super::cost_benefit::CostBenefit;
use super::migration_candidates::MigrationCandidate;

/// Smallest share of a candidate's slots that has to be within the limit.
const MIN_FITTING_SHARE: f64 = 0.5;

/// Limits of the migrations away from one server at one evaluation.
#[derive(Clone, Copy, Debug)]
pub(super) struct MigrationLimits {
    /// Number of clients that may be migrated now.
    pub(super) tokens: f64,
    /// Number of clients that may be migrated at the same time when the token bucket is full.
    pub(super) max_tokens: f64,
    /// Number of slots that may be migrated now.
    pub(super) slots: f64,
}

/// Selects the candidates that are migrated now.
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
        let should_save_tokens = clients > tokens && clients <= max_tokens && fits;
        if should_save_tokens {
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
