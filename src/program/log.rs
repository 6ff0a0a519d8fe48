//! The log: events of `tracing`, written to standard error in one place and rate-limited.
//!
//! As text a line reads `connection-balancer: LEVEL: MESSAGE key=value`; as JSON lines it is one object with time, level,
//! target and fields. Levels are set for each module.

use std::fmt;
use std::io::{self, Write};
use std::sync::Mutex;
use std::time::Instant;

use tracing::{Event, Subscriber};
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields, MakeWriter};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::Layer;

/// Lines that may come at once, and each second after that.
const BURST: f64 = 100.0;
const EACH_SECOND: f64 = 10.0;

/// The crate's name as it stands in the targets of log events, and the name that it had before.
const CRATE: &str = "connection_balancer";
const FORMER_CRATE: &str = "sagemount";

/// How the log is written.
#[derive(Clone, Debug, PartialEq)]
pub struct LogConfig {
    /// The least level that is written, for each module.
    pub levels: Targets,
    /// JSON lines, or else text.
    pub json: bool,
}

impl Default for LogConfig {
    /// Text, from info on.
    fn default() -> LogConfig {
        LogConfig { levels: Targets::new().with_default(tracing::Level::INFO), json: false }
    }
}

impl LogConfig {
    /// Reads levels: one for all, and after that `MODULE=LEVEL` for modules of this program. None if that is not so.
    /// Modules may be written under the program's earlier name, `sagemount::…`.
    pub fn levels(text: &str) -> Option<Targets> {
        let text = &text.replace(FORMER_CRATE, CRATE);
        let level = |text: &str| !text.is_empty() && text.parse::<LevelFilter>().is_ok();
        let sound = |part: &str| match part.split_once('=') {
            Some((module, text)) => module.starts_with(CRATE) && level(text),
            None => level(part),
        };
        text.split(',').all(sound).then(|| text.parse().ok()).flatten()
    }
}

/// Lines that may be written now.
#[derive(Debug)]
struct Bucket {
    left: f64,
    filled: Option<Instant>,
    dropped: u64,
}

impl Bucket {
    const FULL: Bucket = Bucket { left: BURST, filled: None, dropped: 0 };

    /// Whether a line may be written now, and how many were not since the last that was.
    fn admit(&mut self, now: Instant) -> Option<u64> {
        let past = self.filled.replace(now).map_or(0.0, |at| now.duration_since(at).as_secs_f64());
        self.left = (self.left + past * EACH_SECOND).min(BURST);
        if self.left < 1.0 {
            self.dropped += 1;
            return None;
        }
        self.left -= 1.0;
        Some(std::mem::take(&mut self.dropped))
    }
}

/// Danger: a crowd of bad clients must not fill the disk that the log goes to, nor stop the one thread there is.
static BUCKET: Mutex<Bucket> = Mutex::new(Bucket::FULL);

/// Standard error, as far as the bucket admits.
#[derive(Clone, Copy, Debug)]
struct Limited {
    json: bool,
}

impl Write for Limited {
    /// One call is one line: that is how events are written.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut bucket = BUCKET.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let Some(dropped) = bucket.admit(Instant::now()) else { return Ok(line.len()) };
        let mut out = io::stderr().lock();
        if dropped > 0 && self.json {
            writeln!(out, r#"{{"level":"WARN","message":"{dropped} log lines dropped"}}"#)?;
        } else if dropped > 0 {
            writeln!(out, "connection-balancer: warn: {dropped} log lines dropped")?;
        }
        out.write_all(line)?;
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl MakeWriter<'_> for Limited {
    type Writer = Limited;

    fn make_writer(&self) -> Limited {
        *self
    }
}

/// A line of text.
struct Text;

impl<S, N> FormatEvent<S, N> for Text
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        ctx: &FmtContext<'_, S, N>,
        mut out: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        write!(out, "connection-balancer: {}: ", event.metadata().level().as_str().to_ascii_lowercase())?;
        ctx.format_fields(out.by_ref(), event)?;
        writeln!(out)
    }
}

/// Writes the log like this from now on. The first call of a process counts; before it nothing is written.
pub fn start(setup: &LogConfig) {
    let to = Limited { json: setup.json };
    let layer = tracing_subscriber::fmt::layer().with_ansi(false).with_writer(to);
    let layer = match setup.json {
        true => layer.json().flatten_event(true).boxed(),
        false => layer.event_format(Text).boxed(),
    };
    // A second one is a process that has said already how it logs.
    let _ = tracing_subscriber::registry().with(layer.with_filter(setup.levels.clone())).try_init();
}

/// Writes a log line: a level, then what `tracing`'s macros take. All of the daemon's log goes through here.
#[macro_export]
macro_rules! log {
    ($level:ident, $($text:tt)+) => {
        ::tracing::$level!($($text)+)
    };
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::*;

    #[test]
    fn levels_are_for_all_or_for_modules_of_this_program() {
        for sound in
            ["info", "off", "warn,connection_balancer::transport=debug", "warn,sagemount::transport=debug"]
        {
            assert!(LogConfig::levels(sound).is_some(), "{sound}");
        }
        for faulty in [
            "loud",
            "",
            "transport=debug",
            "connection_balancer::transport=loud",
            "sagemount::transport=loud",
            "info,",
        ] {
            assert!(LogConfig::levels(faulty).is_none(), "{faulty}");
        }
    }

    #[test]
    fn a_flood_is_cut_off_and_counted() {
        let (mut bucket, now) = (Bucket::FULL, Instant::now());
        let admitted = (0..500).filter(|_| bucket.admit(now).is_some()).count();
        assert_eq!(admitted, 100);
        // A second later ten more may come, and the first says how many were lost.
        let later = now + Duration::from_secs(1);
        assert_eq!(bucket.admit(later), Some(400));
        assert_eq!((0..500).filter(|_| bucket.admit(later).is_some()).count(), 9);
    }
}
