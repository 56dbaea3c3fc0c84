//! Logging: one line of key=value pairs per event.

mod buffer;

pub(crate) use buffer::flush;

use buffer::BoundedBuffer;
use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::{StdStream, StdStreamSink, WriteSink};
use std::fmt;
use std::sync::Arc;

/// Logs an event as a line of key=value pairs.
macro_rules! event {
    ($level:ident, $event:literal $(, $key:ident = $value:expr)* $(,)?) => {
        spdlog::$level!(
            concat!("event=", $event $(, " ", stringify!($key), "={}")*)
            $(, $crate::log::Value(&$value))*
        )
    };
}

/// Logs to standard error.
pub(crate) fn start() -> Result<(), spdlog::Error> {
    let formatter = PatternFormatter::new(pattern!(
        "time={date}T{time}.{millisecond} level={level} {payload}{eol}"
    ));
    let sink =
        StdStreamSink::builder().std_stream(StdStream::Stderr).formatter(formatter).build()?;
    let logger = spdlog::Logger::builder().sink(Arc::new(sink)).build()?;
    logger.set_flush_level_filter(spdlog::LevelFilter::All);
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Logs to standard output through a bounded buffer, so that a slow reader never blocks the
/// scheduler. Lines that do not fit are dropped and counted.
pub(crate) fn start_buffered() -> Result<(), spdlog::Error> {
    let formatter = PatternFormatter::new(pattern!(
        "time={date}T{time}.{millisecond} level={level} {payload}{eol}"
    ));
    let sink = WriteSink::builder().target(BoundedBuffer).formatter(formatter).build()?;
    let logger = spdlog::Logger::builder().sink(Arc::new(sink)).build()?;
    logger.set_flush_level_filter(spdlog::LevelFilter::Off);
    spdlog::set_default_logger(Arc::new(logger));
    buffer::start();
    Ok(())
}

/// Logs each panic as an event, wherever it is caught.
pub(crate) fn log_panics() {
    std::panic::set_hook(Box::new(|panic| {
        let at = panic.location().map(ToString::to_string).unwrap_or_default();
        let payload = panic.payload();
        let text = payload.downcast_ref::<&str>().copied();
        let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
        let problem = text.unwrap_or("not a text");
        event!(error, "panic", at = at, problem = problem);
    }));
}

/// Formats a value of a key=value pair. Quotes it if it is empty or contains whitespace, control
/// characters, quotes or equal signs.
pub(crate) struct Value<T>(pub(crate) T);

impl<T: fmt::Display> fmt::Display for Value<T> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = self.0.to_string();
        let is_plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
        if !text.is_empty() && text.chars().all(is_plain) {
            return formatter.write_str(&text);
        }
        write!(formatter, "{text:?}")
    }
}

pub(crate) use event;
