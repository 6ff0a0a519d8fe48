//! Writes events of `tracing` to standard error as log lines, with a rate limit.
//!
//! In text format a line is `connection-balancer: LEVEL: MESSAGE key=value`. In JSON format it is one object
//! with time, level, target and fields. The level is configurable for each module.

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

/// Number of lines that may be written without delay between them.
const MAX_BURST_LINES: f64 = 100.0;
/// Rate at which further lines may be written after a burst.
const LINES_PER_SECOND: f64 = 10.0;

/// The crate's name in the targets of log events.
const CRATE: &str = "connection_balancer";
/// Former name of the crate, which existing configurations may still use in their levels.
const FORMER_CRATE: &str = "sagemount";

/// Prefix of every line in text format.
const LINE_PREFIX: &str = "connection-balancer";

/// Levels and format of the log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogConfig {
    /// Least severe level that is written, for each module.
    pub levels: Targets,
    /// Whether lines are JSON objects rather than text.
    pub json: bool,
}

impl Default for LogConfig {
    /// Text format, with level info and more severe levels.
    fn default() -> LogConfig {
        LogConfig { levels: Targets::new().with_default(tracing::Level::INFO), json: false }
    }
}

impl LogConfig {
    /// Parses a comma-separated list of levels: a level alone applies to all modules, and `MODULE=LEVEL` to a
    /// module of this program. Modules may also have the program's former name, as in `sagemount::…`. Returns
    /// `None` if the text does not have this form.
    pub fn parse_levels(text: &str) -> Option<Targets> {
        let text = &text.replace(FORMER_CRATE, CRATE);
        let is_level = |text: &str| !text.is_empty() && text.parse::<LevelFilter>().is_ok();
        let is_valid = |part: &str| match part.split_once('=') {
            Some((module, level)) => module.starts_with(CRATE) && is_level(level),
            None => is_level(part),
        };
        text.split(',').all(is_valid).then(|| text.parse().ok()).flatten()
    }
}

/// Limits the rate of log lines. A token bucket holds up to `MAX_BURST_LINES` and refills at
/// `LINES_PER_SECOND`.
#[doc(hidden)]
#[derive(Debug)]
pub struct LineLimiter {
    /// Number of lines that may be written now.
    available: f64,
    /// Time of the last call of `admit`. `None` before the first one.
    updated_at: Option<Instant>,
    /// Number of lines dropped since the last written line.
    dropped: u64,
}

impl LineLimiter {
    /// Limiter that admits a full burst.
    pub const FULL: LineLimiter = LineLimiter { available: MAX_BURST_LINES, updated_at: None, dropped: 0 };

    /// Decides whether a line may be written at `now`. Returns the number of lines dropped since the last
    /// written one, or `None` if this line is dropped too.
    pub fn admit(&mut self, now: Instant) -> Option<u64> {
        let last_update = self.updated_at.replace(now);
        let elapsed_seconds = last_update.map_or(0.0, |at| now.duration_since(at).as_secs_f64());
        self.available = (self.available + elapsed_seconds * LINES_PER_SECOND).min(MAX_BURST_LINES);
        if self.available < 1.0 {
            self.dropped += 1;
            return None;
        }
        self.available -= 1.0;
        Some(std::mem::take(&mut self.dropped))
    }
}

/// Limiter of the process. Without a limit, many misbehaving clients could fill the disk that stores the log,
/// or block the daemon's only thread while it writes the log.
static LIMITER: Mutex<LineLimiter> = Mutex::new(LineLimiter::FULL);

/// Writer to standard error that drops the lines that [`LIMITER`] does not admit.
#[derive(Clone, Copy, Debug)]
struct LimitedStderr {
    json: bool,
}

impl Write for LimitedStderr {
    /// Writes or drops one line. The caller writes each event as one line in a single call.
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

/// Starts the log with this configuration. Only the first call in a process has an effect. Events before it
/// are not written.
pub fn start(config: &LogConfig) {
    let stderr = LimitedStderr { json: config.json };
    let layer = tracing_subscriber::fmt::layer().with_ansi(false).with_writer(stderr);
    let layer = match config.json {
        true => layer.json().flatten_event(true).boxed(),
        false => layer.event_format(TextFormat).boxed(),
    };
    // Initialisation fails if the log is already running. Its first configuration stays in effect.
    let _ = tracing_subscriber::registry().with(layer.with_filter(config.levels.clone())).try_init();
}

/// Writes a log line. The arguments are a level and then the arguments of the `tracing` macros. All log lines
/// of the daemon are written with this macro.
#[macro_export]
macro_rules! log {
    ($level:ident, $($text:tt)+) => {
        ::tracing::$level!($($text)+)
    };
}
