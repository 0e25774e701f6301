//! Logger set-up: JSON lines on standard error or standard output.

use std::num::NonZeroUsize;

use spdlog::{
    Level, LevelFilter, Logger, ThreadPool,
    formatter::JsonFormatter,
    sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink},
};

use crate::{LogLevel, Result};

/// Maximum number of log lines that wait to be written to standard output.
const QUEUE_CAPACITY: usize = 2_048;

/// Sets the default logger of the process to one that writes JSON lines to standard error.
///
/// # Errors
///
/// [`Error::Logs`](crate::Error::Logs) when the logger cannot be built.
pub fn init(level: LogLevel) -> Result<()> {
    let sink = StdStreamSink::builder()
        .stderr()
        .formatter(JsonFormatter::new())
        .build_arc()?;
    let logger = Logger::builder()
        .name("oleanderpostd")
        .sink(sink)
        .level_filter(level.filter())
        .build_arc()?;
    spdlog::set_default_logger(logger);
    Ok(())
}

/// Sets the default logger of the process to one that writes JSON lines to standard output.
///
/// A slow reader does not block the process: a thread writes the lines from a bounded queue, and new lines
/// are dropped while the queue is full.
///
/// # Errors
///
/// [`Error::Logs`](crate::Error::Logs) when the logger cannot be built.
pub fn init_entry() -> Result<()> {
    let sink = StdStreamSink::builder()
        .stdout()
        .formatter(JsonFormatter::new())
        .build_arc()?;
    let pool = ThreadPool::builder()
        .capacity(NonZeroUsize::new(QUEUE_CAPACITY).unwrap_or(NonZeroUsize::MIN))
        .build_arc()?;
    let queue = AsyncPoolSink::builder()
        .sink(sink)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build_arc()?;
    let logger = Logger::builder()
        .name("oleanderpostd")
        .sink(queue)
        .level_filter(LevelFilter::MoreSevereEqual(Level::Info))
        .build_arc()?;
    spdlog::set_default_logger(logger);
    Ok(())
}
