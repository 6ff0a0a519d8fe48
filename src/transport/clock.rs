//! The process's clock: the system's time at the start of the process, advanced by the monotonic clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::Time;

/// A clock whose times can be compared between machines, and which never runs backwards in this process.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    /// The system's time when this clock was started.
    started_at: Time,
    /// Reading of the monotonic clock at the same moment.
    started: Instant,
}

impl Clock {
    /// Starts a clock at the system's time.
    pub(super) fn start() -> Clock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started_at: Time(since_epoch.as_micros() as u64), started: Instant::now() }
    }

    /// Returns the system's time when this clock was started.
    pub(super) fn started_at(&self) -> Time {
        self.started_at
    }

    /// Returns the current time.
    pub(super) fn now(&self) -> Time {
        Time(self.started_at.0 + self.started.elapsed().as_micros() as u64)
    }
}
