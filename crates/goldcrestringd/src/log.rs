//! Logs: one line of key=value pairs for each event.

mod buffer;

pub(crate) use buffer::flush;

use buffer::BoundedBuffer;
use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::{StdStream, StdStreamSink, WriteSink};
use std::fmt;
use std::sync::Arc;

/// Sends log lines to the standard error stream.
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

/// Sends log lines to the standard output through a bounded buffer, so that no decision waits for
/// a reader; lines that find no room are counted and dropped.
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

/// A value of a key=value pair, quoted where it holds spaces, quotes or equal signs.
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

/// Logs one event as a line of key=value pairs.
macro_rules! event {
    ($level:ident, $event:literal $(, $key:ident = $value:expr)* $(,)?) => {
        spdlog::$level!(
            concat!("event=", $event $(, " ", stringify!($key), "={}")*)
            $(, $crate::log::Value(&$value))*
        )
    };
}

pub(crate) use event;
