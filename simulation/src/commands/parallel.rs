//! Runs jobs in parallel on all cores.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

/// Result of a job, and the job's index.
struct Indexed<R> {
    index: usize,
    result: R,
}

/// Runs `work` on each job. Returns the results in the order of the jobs.
pub(super) fn map_parallel<J: Sync, R: Send>(jobs: &[J], work: impl Fn(&J) -> R + Sync) -> Vec<R> {
    let next_index = AtomicUsize::new(0);
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(1, usize::from) {
            scope.spawn(|| loop {
                let index = next_index.fetch_add(1, Ordering::Relaxed);
                let Some(job) = jobs.get(index) else { return };
                let result = work(job);
                results.lock().unwrap_or_else(PoisonError::into_inner).push(Indexed { index, result });
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.sort_by_key(|indexed| indexed.index);
    results.into_iter().map(|indexed| indexed.result).collect()
}
