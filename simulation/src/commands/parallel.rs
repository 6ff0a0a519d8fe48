//! Runs jobs on all cores.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

/// A job's result, with the job's index.
struct Indexed<R> {
    index: usize,
    result: R,
}

/// Runs `work` on each job; the results in the order of the jobs.
pub(super) fn map_parallel<J: Sync, R: Send>(jobs: &[J], work: impl Fn(&J) -> R + Sync) -> Vec<R> {
    let next = AtomicUsize::new(0);
    let done = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(1, usize::from) {
            scope.spawn(|| loop {
                let index = next.fetch_add(1, Ordering::Relaxed);
                let Some(job) = jobs.get(index) else { return };
                let result = work(job);
                done.lock().unwrap_or_else(PoisonError::into_inner).push(Indexed { index, result });
            });
        }
    });
    let mut done = done.into_inner().unwrap_or_else(PoisonError::into_inner);
    done.sort_by_key(|indexed| indexed.index);
    done.into_iter().map(|indexed| indexed.result).collect()
}
