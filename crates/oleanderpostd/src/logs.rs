//! Set-up of the logs: JSON lines on the standard streams.

use std::num::NonZeroUsize;

use spdlog::{
    Level, LevelFilter, Logger, ThreadPool,
    formatter::JsonFormatter,
    sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink},
};

use crate::{LogLevel, Result};

/// Lines that may wait for the standard output.
const QUEUE_CAPACITY: usize = 2_048;

/// Makes JSON lines on the standard error stream the default logger of the process.
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

/// Makes JSON lines on the standard output the default logger of the process.
///
/// A slow reader holds nothing up: lines wait in a bounded queue for a thread that writes them, and are
/// dropped when it is full.
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
