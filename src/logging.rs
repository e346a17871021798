//! Structured logs: one line of key=value pairs for each event.
//!
//! Events are written with the `log` macros and their key-value form, for example
//! `log::info!(event = "note-accepted", number = 7; "release note accepted")`.

use logforth::append::Stderr;
use logforth::bridge::log::LogBridge;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::LogfmtLayout;

use crate::error::{Error, Result};

/// Starts logging to standard error with a filter such as `info` or `laburnumtide=debug`.
///
/// # Errors
///
/// Fails if the filter can't be parsed or logging has been started before.
pub fn init(filter: &str) -> Result<()> {
    let filter = RustLogFilterBuilder::try_from_spec(filter)
        .map_err(|e| Error::invalid(format!("log filter: {e}")))?
        .build();
    let logger = logforth::core::builder()
        .dispatch(|d| {
            d.filter(filter)
                .append(Stderr::default().with_layout(LogfmtLayout::default()))
        })
        .build();
    log::set_boxed_logger(Box::new(LogBridge::new(logger)))
        .map_err(|_| Error::invalid("logging was started before"))?;
    log::set_max_level(log::LevelFilter::Trace);
    Ok(())
}
