//! The log: events of `tracing`, written to standard error in one place, and rate-limited.
//!
//! As text a line is `connection-balancer: LEVEL: MESSAGE key=value`; as JSON it is one object with time,
//! level, target and fields. Levels are configured for each module.

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

/// Lines that may be written at once.
const MAX_BURST_LINES: f64 = 100.0;
/// Lines that may be written each second after a burst.
const LINES_PER_SECOND: f64 = 10.0;

/// The crate's name in the targets of log events.
const CRATE: &str = "connection_balancer";
/// The name that it had before, which configurations may still hold.
const FORMER_CRATE: &str = "sagemount";

/// What every line of text begins with.
const LINE_PREFIX: &str = "connection-balancer";

/// How the log is written.
#[derive(Clone, Debug, PartialEq)]
pub struct LogConfig {
    /// The lowest level that is written, for each module.
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
    /// Reads levels: one for all, then `MODULE=LEVEL` for modules of this program. None if the text is not of
    /// that form. Modules may be written under the program's former name, `sagemount::…`.
    pub fn levels(text: &str) -> Option<Targets> {
        let text = &text.replace(FORMER_CRATE, CRATE);
        let is_level = |text: &str| !text.is_empty() && text.parse::<LevelFilter>().is_ok();
        let is_valid = |part: &str| match part.split_once('=') {
            Some((module, level)) => module.starts_with(CRATE) && is_level(level),
            None => is_level(part),
        };
        text.split(',').all(is_valid).then(|| text.parse().ok()).flatten()
    }
}

/// Limits how many lines are written.
#[doc(hidden)]
#[derive(Debug)]
pub struct LineLimiter {
    /// Lines that may be written now.
    available: f64,
    updated_at: Option<Instant>,
    /// Lines that were dropped since the last one that was written.
    dropped: u64,
}

impl LineLimiter {
    /// A limiter that admits a full burst.
    pub const FULL: LineLimiter = LineLimiter { available: MAX_BURST_LINES, updated_at: None, dropped: 0 };

    /// Whether a line may be written now; if so, how many were dropped since the last one that was.
    pub fn admit(&mut self, now: Instant) -> Option<u64> {
        let updated_at = self.updated_at.replace(now);
        let elapsed_seconds = updated_at.map_or(0.0, |at| now.duration_since(at).as_secs_f64());
        self.available = (self.available + elapsed_seconds * LINES_PER_SECOND).min(MAX_BURST_LINES);
        if self.available < 1.0 {
            self.dropped += 1;
            return None;
        }
        self.available -= 1.0;
        Some(std::mem::take(&mut self.dropped))
    }
}

/// A crowd of bad clients must not fill the disk that the log goes to, nor block the one thread that writes
/// it.
static LIMITER: Mutex<LineLimiter> = Mutex::new(LineLimiter::FULL);

/// Standard error, as far as the limiter admits.
#[derive(Clone, Copy, Debug)]
struct LimitedStderr {
    json: bool,
}

impl Write for LimitedStderr {
    /// Writes or drops one line: each event is written with one call.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut limiter = LIMITER.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let Some(dropped) = limiter.admit(Instant::now()) else { return Ok(line.len()) };
        let mut stderr = io::stderr().lock();
        if dropped > 0 && self.json {
            writeln!(stderr, r#"{{"level":"WARN","message":"{dropped} log lines dropped"}}"#)?;
        } else if dropped > 0 {
            writeln!(stderr, "{LINE_PREFIX}: warn: {dropped} log lines dropped")?;
        }
        stderr.write_all(line)?;
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl MakeWriter<'_> for LimitedStderr {
    type Writer = LimitedStderr;

    fn make_writer(&self) -> LimitedStderr {
        *self
    }
}

/// Formats an event as a line of text.
struct TextFormat;

impl<S, N> FormatEvent<S, N> for TextFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        context: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        write!(writer, "{LINE_PREFIX}: {}: ", event.metadata().level().as_str().to_ascii_lowercase())?;
        context.format_fields(writer.by_ref(), event)?;
        writeln!(writer)
    }
}

/// Writes the log as configured from now on. Only the first call of a process has an effect; before it
/// nothing is written.
pub fn start(config: &LogConfig) {
    let stderr = LimitedStderr { json: config.json };
    let layer = tracing_subscriber::fmt::layer().with_ansi(false).with_writer(stderr);
    let layer = match config.json {
        true => layer.json().flatten_event(true).boxed(),
        false => layer.event_format(TextFormat).boxed(),
    };
    // This fails where the log was started before: that start counts.
    let _ = tracing_subscriber::registry().with(layer.with_filter(config.levels.clone())).try_init();
}

/// Writes a log line: a level, then what the macros of `tracing` take. All of the daemon's log goes through
/// here.
#[macro_export]
macro_rules! log {
    ($level:ident, $($text:tt)+) => {
        ::tracing::$level!($($text)+)
    };
}
